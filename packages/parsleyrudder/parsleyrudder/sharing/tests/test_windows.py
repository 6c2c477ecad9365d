"""Tests of windows learned from load reports, and of the right to grant after a takeover."""

import msgspec
import pytest
from parsleyrudder import CoordinatorLease, LearnedWindows, LeaseRecord, Row, TxnResult, WindowRules


def learn(capacity: int, seconds: int, lag: int = 2) -> list[int]:
    """Return the successive windows of an engine with all slots in use and delayed reports."""
    windows = LearnedWindows(WindowRules(min_window=2))
    windows.set_servers({"s": 8})
    history = [8]
    for now in range(seconds):
        load = history[max(0, len(history) - 1 - lag)]
        windows.on_load("s", min(load, capacity), max(0, load - capacity), float(now))
        history.append(windows.windows()["s"])
    return history


@pytest.mark.parametrize(("capacity", "min_window"), [(8, 8), (5, 5), (1, 2)])
def test_window_converges_to_the_batch_size(capacity, min_window):
    """Guards against queues in an engine, and against windows that are too small or oscillate."""
    history = learn(capacity, 200)
    assert min(history) == min_window
    assert set(history[5:]) <= {min_window, min_window + 1}
    above = sum(window > capacity for window in history[100:])
    assert capacity < 2 or above <= 10


def test_window_grows_back_when_the_engine_can_run_more():
    """Guards against windows that stay small after one slow period."""
    windows = LearnedWindows()
    windows.set_servers({"s": 8, "t": 4})
    assert windows.on_load("s", 3, 5, 0.0)
    assert not windows.on_load("s", 2, 5, 1.0)  # load remaining from the larger window
    assert windows.windows() == {"s": 3, "t": 4}
    for now in range(2, 60):
        windows.on_load("s", windows.windows()["s"], 0, float(now))
    assert windows.windows() == {"s": 8, "t": 4}


def take(lease: CoordinatorLease, candidate: bool, now: float, result: TxnResult) -> None:
    txn = lease.next_txn(now, candidate, ("r1", "r2", "r3", "r4", "r5"))
    assert txn is not None
    lease.on_result(txn, result, now, now)


def record_row(holder: str, epoch: int, revision: int, view: tuple[str, ...]) -> TxnResult:
    value = msgspec.json.encode(LeaseRecord(holder, 1, epoch, view))
    return TxnResult(True, revision, [[Row("coordinators/pool", value, revision)]])


def test_new_holder_waits_for_a_majority_of_the_previous_view():
    """Guards against two coordinators: promises of its majority may let the old one continue."""
    view = ("r1", "r2", "r3", "r4", "r5")
    lease = CoordinatorLease("pool", "r2", 1)
    take(lease, False, 0.0, record_row("r1", 4, 10, view))
    take(lease, True, 5.0, record_row("r2", 5, 11, view))
    lease.on_report("r3", 4, 0, True)
    lease.on_report("r2", 5, 0, True)
    assert not lease.may_grant(5.1)
    lease.on_report("r3", 5, 0, True)
    lease.on_report("r4", 5, 0, True)
    assert lease.may_grant(5.2)


def test_promise_binds_although_the_table_names_another_holder():
    """Guards against a router that follows a new holder while the old one relies on it."""
    lease = CoordinatorLease("pool", "r3", 1)
    view = ("r1", "r2", "r3")
    take(lease, False, 0.0, record_row("r1", 4, 10, view))
    assert lease.follow(4, "r1", 1.0)
    lease.promise()
    take(lease, False, 1.5, record_row("r2", 5, 11, view))
    assert not lease.may_follow(3.4)
    assert not lease.may_report(4, 3.4)
    assert not lease.follow(5, "r2", 3.4)
    assert lease.may_follow(3.6)
    assert lease.follow(5, "r2", 3.6)
