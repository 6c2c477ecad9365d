"""Guards windows and limits against lost messages, restarts, pauses, takeovers and changes.

The driver checks both at each start of a call.
"""

import os
import random
import subprocess
import sys
from functools import partial

import pytest
from parsleyrudder import (
    Carried,
    Coordinator,
    Holding,
    MemberReport,
    PoolRules,
    Portions,
    Report,
)

from .driver import Cell
from .test_fairness import ROUTERS, WINDOWS, bound, keep_backlogged


def backlogged_cell(seed: int, loss: float, **limits: float) -> Cell:
    rng = random.Random(seed)
    cell = Cell(8, WINDOWS, {"a": 1, "b": 1, "c": 1}, seed=seed, loss=loss, **limits)
    for member, routers in (("a", ROUTERS), ("b", ["r1"]), ("c", ["r2", "r7"])):
        keep_backlogged(cell, member, routers, 30, lambda: 300 * rng.random() + 10)
    return cell


def refill(cell: Cell, router: str) -> None:
    for _ in range(30):
        cell.submit(router, "a", 100)


def restart(cell: Cell) -> None:
    cell.start_router("r4")
    refill(cell, "r4")


def pause(cell: Cell) -> None:
    cell.paused.add("r1")
    cell.at(cell.now + 9, lambda: cell.resume("r1"))


def isolate(cell: Cell) -> None:
    cell.silent.add("r3")
    cell.at(cell.now + 8, lambda: cell.silent.discard("r3"))


def crash_coordinator(cell: Cell) -> None:
    cell.coordinator_down = True
    cell.at(cell.now + 3.75, lambda: cell.take_over(tuple(ROUTERS)))


def crash_both(cell: Cell) -> None:
    cell.silent.add("r5")
    crash_coordinator(cell)
    cell.at(cell.now + 15, lambda: cell.silent.discard("r5"))


def shrink(cell: Cell) -> None:
    smaller = {"s0": 3, "s1": 8, "s2": 8, "s3": 1}  # s4 leaves
    cell.set_windows(smaller)
    cell.at(cell.now + 9, lambda: cell.set_windows(WINDOWS))


@pytest.mark.parametrize(("loss", "limit"), [(0.0, 1000), (0.15, 9)])
@pytest.mark.parametrize(
    "fault", [restart, pause, isolate, crash_coordinator, crash_both, shrink, None]
)
def test_windows_and_limits_hold_and_service_goes_on(fault, limit, loss):
    """Guards against a sum of portions above a window or limit, and against slots lost for ever."""
    cell = backlogged_cell(3, loss, concurrency=limit)
    if fault:
        cell.at(5.0, lambda: fault(cell))
    cell.run(30)
    # All calls at the servers of lost routers have ended, so the slots are in use again.
    usable = min(sum(WINDOWS.values()), 3 * limit)
    assert sum(cell.by_server.values()) >= 0.9 * usable


@pytest.mark.parametrize(("seed", "limit", "loss"), [(2, 1000, 0.0), (94, 1000, 0.3), (7, 5, 0.1)])
def test_windows_and_limits_hold_under_combined_faults(seed, limit, loss):
    """Guards against overlapping faults: seed 2 shrinks windows during a takeover (old calls were
    not counted against a new call), seed 94 restarts a router while no coordinator lives (its old
    calls were forgotten).
    """
    rng = random.Random(seed)
    rng.choice("...")
    rng.choice("...")  # the two faults above were found with these draws
    cell = backlogged_cell(seed, loss, concurrency=limit)
    faults = [restart, pause, isolate, crash_coordinator, crash_both, shrink]
    for _ in range(6):
        fault = rng.choice(faults)
        cell.at(rng.uniform(2, 40), partial(fault, cell))
    cell.run(50)
    assert cell.started[-1][0] > 48


@pytest.mark.parametrize("fault", [crash_coordinator, isolate])
def test_gap_stays_bounded_over_takeover_and_partition(fault):
    """Guards against a new coordinator that counts service anew, and against old debts."""
    cell = backlogged_cell(4, 0.0)
    cell.at(20, lambda: fault(cell))
    cell.run(40)
    cell.samples.clear()
    cell.run(60)
    assert cell.gap(members=("b", "c")) <= bound(310)


def test_no_call_starts_on_an_ended_lease():
    """Guards against a router that is stopped and goes on after its lease has ended."""
    cell = backlogged_cell(5, 0.0)
    cell.run(3)
    cell.paused.add("r1")
    cell.run(12)
    cell.silent.add("r1")
    count = len(cell.started)
    cell.resume("r1")
    cell.run(14)
    assert "r1" not in {router for _, router, _ in cell.started[count:]}
    held = cell.routers["r1"].report(cell.now, True)
    assert all(holding.held == 0 for holding in held.slots + held.concurrency)


def test_decisions_do_not_depend_on_the_order_of_sets():
    """Guards against runs that a seed can't repeat, because sets of names are ordered at random."""
    program = (
        f"from {__package__}.test_faults import backlogged_cell\n"
        "cell = backlogged_cell(7, 0.1, concurrency=9)\n"
        "cell.run(4)\n"
        "print(cell.started, [r.slots.holdings() for r in cell.routers.values()])"
    )
    path = os.pathsep.join(sys.path)
    outputs = set()
    for hash_seed in "123":
        env = os.environ | {"PYTHONHASHSEED": hash_seed, "PYTHONPATH": path}
        command = [sys.executable, "-c", program]
        outputs.add(subprocess.run(command, env=env, check=True, capture_output=True).stdout)
    assert len(outputs) == 1


def test_portions_are_not_usable_from_the_end_of_the_lease_on():
    """Guards each of the two lookups; the other one hides a fault of either in whole runs."""
    portions = Portions()
    portions.apply({"s": 2})
    portions.renew(5.0)
    assert (portions.idle("s", 4.9), portions.idle_by_name(4.9)) == (2, {"s": 2})
    assert (portions.idle("s", 5.0), portions.idle_by_name(5.0)) == (0, {})


def report(seq: int, epoch: int = 1, grant: int = 0, sender: str = "r1", **fields) -> Report:
    return Report("pool", sender, 1, seq, epoch, grant, 0, True, 0, 0.0, granted_epoch=1, **fields)


def coordinator(expected=()) -> Coordinator:
    result = Coordinator(
        "c", "pool", 1, PoolRules(), 0.0, expected_routers=set(expected), previous_clean=True
    )
    result.set_servers({"s": 8})
    result.set_members({"a": 1.0, "b": 1.0}, {"a": 50, "b": 50})
    return result


def test_new_coordinator_renews_what_routers_hold_and_moves_nothing():
    """Guards against a first grant of a takeover that takes portions away or adds some."""
    new = coordinator(expected={"r1", "r2"})
    member = MemberReport("a", 0.0, 9, 3, 6, 0.0)
    holds: dict = {"slots": (Holding("s", 3, 3),), "concurrency": (Holding("a", 3, 3),)}
    [(_, grant)] = new.on_report(report(1, members=(member,), **holds), 0.1)
    assert (grant.slots, grant.concurrency) == ((("s", 3),), (("a", 3),))
    new.on_report(report(1, sender="r2", slots=(Holding("s", 4, 0),)), 0.2)
    [(_, grant)] = new.on_report(report(2, grant=grant.number, members=(member,), **holds), 0.3)
    assert grant.slots == (("s", 4),)


def test_takeover_adopts_virtual_times_floor_and_counts():
    """Guards against credit for members that the first reports after a takeover do not carry."""
    new = coordinator(expected={"r1", "r2"})
    newcomer = MemberReport("b", 0.0, 1, 0, 1, 0.0)
    new.on_report(report(1, sender="r2", members=(newcomer,)), 0.1)
    member = MemberReport("a", 700.0, 90, 1, 1, 0.0)
    carried = (Carried("a", 5000.0, 650.0, 88),)
    [(_, grant)] = new.on_report(report(1, members=(member,), carried=carried, floor=4900.0), 0.2)[
        :1
    ]
    assert (new.totals.virtual_time("a"), new.totals.virtual_time("b")) == (5050.0, 4900.0)
    assert (grant.totals[0].admitted, grant.totals[0].served) == (2, 50.0)


def test_debt_of_a_rejoining_router_is_capped():
    """Guards against old service that starves a member after a partition."""
    old = coordinator()
    waiting = MemberReport("b", 0.0, 1, 0, 1, 0.0)
    for seq, now in ((1, 0.0), (2, 7.0)):
        old.on_report(report(seq, sender="r2", members=(waiting,)), now)
    old.on_report(report(1), 0.0)
    old.tick(7.0)
    late = MemberReport("a", 1e6, 10, 0, 1, 0.0)
    old.on_report(report(2, members=(late,)), 9.0)
    assert (
        old.totals.virtual_time("a") - old.totals.virtual_time("b") <= 2 * PoolRules().largest_cost
    )


def test_numbers_of_grants_go_on_when_a_lost_router_returns():
    """Guards against new grants that the router takes for old ones, and old ones for new."""
    one = coordinator()
    [(_, first)] = one.on_report(report(1), 0.0)
    [(_, second)] = one.on_report(report(2, grant=first.number), 0.1)
    assert second.number > first.number
    one.tick(7.0)
    [(_, third)] = one.on_report(report(3, grant=first.number), 9.0)
    assert third.number > second.number


def test_old_and_repeated_reports_change_nothing():
    """Guards against a delayed report that revives a lost router or its portions."""
    one = coordinator()
    first = report(5, slots=(Holding("s", 8, 8),))
    assert one.on_report(first, 0.0)
    assert one.on_report(first, 0.1) == one.on_report(report(4), 0.1) == []
    one.tick(7.0)
    assert one.slots.limit_by_name == {"s": 0}
    assert one.on_report(first, 7.1) == []
    one.on_server_load("s", 2, 8.0)
    one.tick(9.0)
    assert one.slots.limit_by_name == {"s": 0}  # the load may be older than the loss
    one.on_server_load("s", 2, 9.5)
    one.tick(10.0)
    assert one.slots.limit_by_name == {"s": 6}
    one.on_report(report(6, slots=(Holding("s", 0, 1),)), 10.0)
    assert one.slots.limit_by_name == {"s": 8}
