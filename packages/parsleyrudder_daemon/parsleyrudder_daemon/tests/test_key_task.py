"""Guards at-most-once runs of keyed calls while the table is slow, down or loses answers."""

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


class World:
    """Simulated time and a table whose answers a seeded generator delays, loses or refuses."""

    def __init__(self, seed, fault_rate, delay_s=0.005):
        self.rng = random.Random(seed)
        self.fault_rate = fault_rate
        self.delay_s = delay_s
        self.script: list[str] = []
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
        """Apply a transaction after a while; its answer may be lost, or come before its effect."""
        self.txns.append(txn)
        fault = self.script.pop(0) if self.script else ""
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
        assert len(set(names)) == len(names), "etcd refuses a key that is written twice"
        rows = self.rows
        held = all(
            (rows[c.key].revision if c.key in rows else 0) == c.revision for c in txn.compares
        )
        if held:
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
        return TxnResult(held, self.revision, reads)

    def router(self, name):
        """Return the key task of a router."""
        return KeyTask(self.context(name))

    def context(self, name):
        """Return what the tasks of a router share."""
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
    """Begin to claim a key; what comes of it is appended to the returned list."""
    results: list[Any] = []
    task.claim(path, "d", 10.0, results.append)
    return results


def state(world, path=PATH):
    """Return the state of a row, or None if it is absent."""
    return KeyRow.decode(world.rows[path].value).state if path in world.rows else None


@pytest.mark.parametrize("seed", range(60))
def test_a_key_runs_at_most_once_under_faults(seed):
    """Calls of one key at three routers: each ends in time, and one runs, or none while refused."""
    world = World(seed, fault_rate=0.4)
    tasks = [world.router(f"r{n}") for n in (1, 2, 3)]
    runs: list[int] = []
    ended: list[tuple[int, float]] = []

    def call(task, number):
        def done(result):
            ended.append((number, world.time - begun))
            if not isinstance(result, KeyClaim):
                return
            if world.rng.random() < 0.3:
                task.release(result)
                return
            runs.append(number)
            body = b"answer of %d" % number
            finish = world.rng.choice([lambda: task.lose(result), lambda: store(body)])
            world.after(world.rng.uniform(0.0, 1.0), finish)

            def store(body):
                task.store(result, 200, "text/plain", body)

        begun = world.time
        task.claim(PATH, "d", 10.0, done)

    for number in range(12):
        task = world.rng.choice(tasks)
        world.after(world.rng.uniform(0.0, 8.0), lambda t=task, n=number: call(t, n))
    world.run(8.0)
    world.fault_rate = 0.0
    world.run(60.0)
    assert len(runs) <= 1
    assert sorted(number for number, _ in ended) == list(range(12))
    assert max(seconds for _, seconds in ended) < 1.1, "a call waits for the table at most 1 s"
    assert not any(task.pending() for task in tasks)
    if runs:
        repeat = claim(tasks[0])
        world.run(61.0)
        known = isinstance(repeat[0], KeyReplay)
        assert repeat[0].body == b"answer of %d" % runs[0] if known else repeat[0].kind.code
        assert state(world) is (KeyState.DONE if known else KeyState.LOST)
    else:
        assert state(world) in (None, KeyState.RUNNING)


def test_claim_that_comes_too_late_is_given_back():
    """A refused call that has left its row behind would make repeats wait for nothing."""
    world = World(0, fault_rate=0.0, delay_s=2.0)
    task = world.router("r1")
    results = claim(task)
    world.run(1.5)
    assert [failure.kind.code for failure in results] == ["table_down"]
    world.run(10.0)
    assert state(world) is None
    assert len(results) == 1


@pytest.mark.parametrize(
    ("faults", "kind", "left"),
    [
        (["lost"], "KeyClaim", KeyState.RUNNING),
        (["refused"], "Failure", None),
        (["lost", "refused"], "Failure", None),
        (["lost", "lost", "lost", "refused"], "Failure", None),
    ],
)
def test_lost_answer_of_a_create_is_settled(faults, kind, left):
    """Without it, the own row would be taken for another router's, or stay for a day."""
    world = World(0, fault_rate=0.0)
    world.script = faults
    results = claim(world.router("r1"))
    world.run(30.0)
    assert [type(result).__name__ for result in results] == [kind]
    assert state(world) is left


def test_batch_with_one_taken_key_falls_back_to_single_writes():
    world = World(0, fault_rate=0.0)
    first, second = world.router("r1"), world.router("r2")
    claim(first)
    world.run(1.0)
    world.txns.clear()
    results = [claim(second, path) for path in (PATH, "keys/m/2", "keys/m/3")]
    world.run(2.0)
    kinds = [type(result).__name__ for (result,) in results]
    assert kinds == ["Failure", "KeyClaim", "KeyClaim"]
    assert [len(txn.puts) for txn in world.txns] == [3, 1, 1, 1]


@pytest.mark.parametrize(("size", "replayed"), [(65536, True), (65537, False)])
def test_body_over_64_kib_is_not_stored_but_its_call_is_known_as_done(size, replayed):
    world = World(0, fault_rate=0.0)
    task = world.router("r1")
    results = claim(task)
    world.run(1.0)
    task.store(results[0], 200, "text/plain", b"x" * size)
    world.run(2.0)
    repeat = claim(world.router("r2"))
    world.run(3.0)
    if replayed:
        assert repeat == [KeyReplay(200, "text/plain", b"x" * size)]
    else:
        assert repeat[0].kind.code == "result_lost"


def test_one_router_removes_expired_rows_page_by_page():
    """Rows that stay for ever would fill the table; rows removed early would let repeats run."""
    world = World(0, fault_rate=0.0)
    row = KeyRow(KeyState.DONE, "a", "r1", 1, "d", 0.0, expires_at=time.time() - 1.0)
    lasting = msgspec.structs.replace(row, expires_at=time.time() + 3600.0)
    for number in range(100):
        path, value = f"keys/m/{number}", (lasting if number % 10 == 3 else row).encode()
        world.rows[path] = Row(path, value, number + 1)
    for name in ("r1", "r2", "r3"):
        KeySweep(world.context(name)).start()
    world.run(20.0)
    assert sorted(world.rows) == sorted(f"keys/m/{number}" for number in range(3, 100, 10))
    deletes = [key for txn in world.txns for key in txn.deletes]
    assert len(deletes) == len(set(deletes)) == 90
