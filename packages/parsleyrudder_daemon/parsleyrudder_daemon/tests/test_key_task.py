"""Calls with an idempotency key run at most once if the table is slow, down or loses responses."""

import heapq
import itertools
import random
import time
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest
from parsleyrudder import (
    KeyReplay,
    KeyRow,
    KeyState,
    RouterInfo,
    Row,
    TableError,
    TxnResult,
)
from parsleyrudder_adapters.timers import Timer
from parsleyrudder_daemon.key_claim import KeyClaim
from parsleyrudder_daemon.key_sweep import KeySweep
from parsleyrudder_daemon.key_task import KeyTask
from parsleyrudder_daemon.metrics import Metrics

PATH = "keys/lab-cariri/order-1"


class Simulation:
    """Simulated clock and table service with faults from a seeded random generator.

    :ivar scripted_faults: faults of the next transactions, used up before random ones.
    """

    def __init__(self, seed, fault_rate, delay_s=0.005):
        self.rng = random.Random(seed)
        self.fault_rate = fault_rate
        self.delay_s = delay_s
        self.scripted_faults: list[str] = []
        self.time = 0.0
        self.rows = {}
        self.revision = 0
        self.txns = []
        self._heap = []
        self._counter = itertools.count()

    def after(self, delay_s, callback):
        timer = Timer(callback)
        heapq.heappush(self._heap, (self.time + delay_s, next(self._counter), timer))
        return timer

    def run(self, until):
        while self._heap and self._heap[0][0] <= until:
            self.time, _, timer = heapq.heappop(self._heap)
            timer.fire()
        self.time = until

    def txn(self, txn, done):
        """Apply a transaction after a delay.

        Its response may be lost, or an error may be reported before it is applied.
        """
        self.txns.append(txn)
        fault = self.scripted_faults.pop(0) if self.scripted_faults else ""
        if self.rng.random() < self.fault_rate:
            fault = self.rng.choice(["refused", "lost", "late", "slow"])
        if fault == "refused":
            self.after(0.01, lambda: done(TableError("refused", "", False)))
        elif fault == "late":
            self.after(0.02, lambda: done(TableError("cut", "", txn.has_writes)))
            self.after(self.rng.uniform(0.02, 3.0), lambda: self._apply(txn))
        elif fault == "lost":
            self.after(0.01, lambda: self._apply(txn))
            self.after(0.02, lambda: done(TableError("cut", "", txn.has_writes)))
        else:
            delay_s = self.rng.uniform(0.5, 2.0) if fault == "slow" else self.delay_s
            self.after(delay_s, lambda: done(self._apply(txn)))

    def _apply(self, txn):
        names = [put.key for put in txn.puts] + list(txn.deletes)
        assert len(set(names)) == len(names), "etcd rejects a transaction that writes a key twice"
        rows = self.rows
        succeeded = all(
            (rows[c.key].revision if c.key in rows else 0) == c.revision for c in txn.compares
        )
        if succeeded:
            self.revision += 1
            for put in txn.puts:
                rows[put.key] = Row(put.key, put.value, self.revision)
            for key in txn.deletes:
                rows.pop(key, None)
        reads = [
            [
                rows[key]
                for key in sorted(rows)
                if key == read.key
                or (read.prefix and key.startswith(read.key) and key > read.after)
            ][: read.limit or None]
            for read in txn.reads
        ]
        return TxnResult(succeeded, self.revision, reads)

    def router(self, name):
        """Return the key task of a router."""
        return KeyTask(self.context(name))

    def context(self, name):
        """Return the context that the tasks of a router share."""
        view = SimpleNamespace(
            info=lambda name: RouterInfo(name, 1, "d", "", ""),
            live_routers=lambda now: ["r1", "r2", "r3"],
            active_routers=lambda now: ["r1", "r2", "r3"],
        )
        settings = SimpleNamespace(router=SimpleNamespace(key_ttl_s=3600.0, key_wait_s=1.0))
        context: Any = SimpleNamespace(
            name=name, incarnation=1, view=view, settings=settings, metrics=Metrics()
        )
        context.timers, context.table, context.now = self, self, lambda: self.time
        return context


def claim(task, path=PATH):
    """Start to claim a key; the result is appended to the returned list."""
    results: list[Any] = []
    task.claim(path, "d", 10.0, results.append)
    return results


def state(simulation, path=PATH):
    """Return the state of a row, or None if it is absent."""
    return KeyRow.decode(simulation.rows[path].value).state if path in simulation.rows else None


@pytest.mark.parametrize("seed", range(60))
def test_call_with_key_runs_at_most_once_under_faults(seed):
    """Guards against a second run when routers retry writes whose responses were lost.

    Calls with one key arrive at three routers: each ends in time, and at most one runs.
    """
    simulation = Simulation(seed, fault_rate=0.4)
    tasks = [simulation.router(f"r{n}") for n in (1, 2, 3)]
    runs: list[int] = []
    ended: list[tuple[int, float]] = []

    def call(task, number):
        def done(result):
            ended.append((number, simulation.time - started_at))
            if not isinstance(result, KeyClaim):
                return
            if simulation.rng.random() < 0.3:
                task.release(result)
                return
            runs.append(number)
            body = b"response %d" % number
            finish = simulation.rng.choice([lambda: task.mark_lost(result), lambda: store(body)])
            simulation.after(simulation.rng.uniform(0.0, 1.0), finish)

            def store(body):
                task.store(result, 200, "text/plain", body)

        started_at = simulation.time
        task.claim(PATH, "d", 10.0, done)

    for number in range(12):
        task = simulation.rng.choice(tasks)
        simulation.after(simulation.rng.uniform(0.0, 8.0), lambda t=task, n=number: call(t, n))
    simulation.run(8.0)
    simulation.fault_rate = 0.0
    simulation.run(60.0)
    assert len(runs) <= 1
    assert sorted(number for number, _ in ended) == list(range(12))
    assert max(seconds for _, seconds in ended) < 1.1, "a call waits for the table at most 1 s"
    assert not any(task.pending() for task in tasks)
    if runs:
        repeat = claim(tasks[0])
        simulation.run(61.0)
        known = isinstance(repeat[0], KeyReplay)
        assert repeat[0].body == b"response %d" % runs[0] if known else repeat[0].kind.code
        assert state(simulation) is (KeyState.DONE if known else KeyState.LOST)
    else:
        assert state(simulation) in (None, KeyState.RUNNING)


def test_claim_obtained_after_timeout_is_released():
    """Guards against repeats that are refused because of the row of a call that never ran."""
    simulation = Simulation(0, fault_rate=0.0, delay_s=2.0)
    task = simulation.router("r1")
    results = claim(task)
    simulation.run(1.5)
    assert [failure.kind.code for failure in results] == ["table_down"]
    simulation.run(10.0)
    assert state(simulation) is None
    assert len(results) == 1


@pytest.mark.parametrize(
    ("faults", "kind", "remaining_state"),
    [
        (["lost"], "KeyClaim", KeyState.RUNNING),
        (["refused"], "Failure", None),
        (["lost", "refused"], "Failure", None),
        (["lost", "lost", "lost", "refused"], "Failure", None),
    ],
)
def test_create_with_lost_response_is_resolved(faults, kind, remaining_state):
    """Guards against a router that takes its own row for another's, or leaves it for a day.

    Both happen if a create whose response was lost is not retried and cleaned up.
    """
    simulation = Simulation(0, fault_rate=0.0)
    simulation.scripted_faults = faults
    results = claim(simulation.router("r1"))
    simulation.run(30.0)
    assert [type(result).__name__ for result in results] == [kind]
    assert state(simulation) is remaining_state


def test_batch_with_one_claimed_key_falls_back_to_single_writes():
    simulation = Simulation(0, fault_rate=0.0)
    first, second = simulation.router("r1"), simulation.router("r2")
    claim(first)
    simulation.run(1.0)
    simulation.txns.clear()
    results = [claim(second, path) for path in (PATH, "keys/m/2", "keys/m/3")]
    simulation.run(2.0)
    kinds = [type(result).__name__ for (result,) in results]
    assert kinds == ["Failure", "KeyClaim", "KeyClaim"]
    assert [len(txn.puts) for txn in simulation.txns] == [3, 1, 1, 1]


@pytest.mark.parametrize(("size", "replayed"), [(65536, True), (65537, False)])
def test_body_over_64_kib_is_not_stored_but_its_call_is_known_as_done(size, replayed):
    simulation = Simulation(0, fault_rate=0.0)
    task = simulation.router("r1")
    results = claim(task)
    simulation.run(1.0)
    task.store(results[0], 200, "text/plain", b"x" * size)
    simulation.run(2.0)
    repeat = claim(simulation.router("r2"))
    simulation.run(3.0)
    if replayed:
        assert repeat == [KeyReplay(200, "text/plain", b"x" * size)]
    else:
        assert repeat[0].kind.code == "result_lost"


def test_only_one_router_removes_expired_rows():
    """Guards against expired rows that fill the table, and against removal before expiry.

    After an early removal, a repeated call would run again.
    """
    simulation = Simulation(0, fault_rate=0.0)
    row = KeyRow(KeyState.DONE, "a", "r1", 1, "d", 0.0, expires_at=time.time() - 1.0)
    unexpired_row = msgspec.structs.replace(row, expires_at=time.time() + 3600.0)
    for number in range(100):
        path, value = f"keys/m/{number}", (unexpired_row if number % 10 == 3 else row).encode()
        simulation.rows[path] = Row(path, value, number + 1)
    for name in ("r1", "r2", "r3"):
        KeySweep(simulation.context(name)).start()
    simulation.run(20.0)
    assert sorted(simulation.rows) == sorted(f"keys/m/{number}" for number in range(3, 100, 10))
    deletes = [key for txn in simulation.txns for key in txn.deletes]
    assert len(deletes) == len(set(deletes)) == 90
