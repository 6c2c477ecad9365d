"""Discrete-event simulation of time, the network between routers, and the table, with faults."""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import parsleyrudder as pr

from .oracle import Oracle

__all__ = ["Host", "MemoryTable", "NetworkRules", "Simulation"]

_TABLE_TIMEOUT_S = 2.0
_TABLE = "table"


class Host(Protocol):
    """Interface of a router process to the simulation."""

    name: str

    def receive(self, message: pr.Message) -> None:
        """Handle a message from a peer."""
        ...

    def run(self, action: Callable[[], None]) -> None:
        """Run an action now, or after a pause; drop it if the process has ended."""
        ...


@dataclass(slots=True)
class NetworkRules:
    """Faults of the network.

    Its representation is printed with each failure, hence the names of its fields.

    :ivar loss: fraction of messages that are lost.
    :ivar repeats: fraction of messages that are duplicated.
    :ivar most_delay_s: maximum delay; messages with different delays are reordered.
    """

    loss: float = 0.0
    repeats: float = 0.0
    most_delay_s: float = 0.002


class MemoryTable:
    """In-memory table service that applies transactions one at a time.

    :param on_write: called with each transaction that has written, after its writes.
    """

    def __init__(self, on_write: Callable[[pr.Txn], None]) -> None:
        self.row_by_key: dict[str, pr.Row] = {}
        self.revision = 1
        self._on_write = on_write

    def apply(self, txn: pr.Txn) -> pr.TxnResult:
        """Apply the writes of a transaction if all its conditions hold; run its reads always."""
        rows = self.row_by_key
        compares_hold = all(
            (rows[item.key].revision if item.key in rows else 0) == item.revision
            for item in txn.compares
        )
        if compares_hold and txn.has_writes:
            self.revision += 1
            for put in txn.puts:
                rows[put.key] = pr.Row(put.key, put.value, self.revision)
            for key in txn.deletes:
                rows.pop(key, None)
            self._on_write(txn)
        return pr.TxnResult(compares_hold, self.revision, [self._read(read) for read in txn.reads])

    def _read(self, read: pr.Range) -> list[pr.Row]:
        if not read.prefix:
            return [self.row_by_key[read.key]] if read.key in self.row_by_key else []
        keys = sorted(k for k in self.row_by_key if k.startswith(read.key) and k > read.after)
        return [self.row_by_key[key] for key in keys[: read.limit or None]]


@dataclass(slots=True)
class Simulation:
    """Event queue, network and table of the simulation.

    :param rng: source of the random choices for single messages, transactions and calls.
    :ivar now: simulated time in seconds.
    :ivar cut_links: directed links without traffic, as (sender, receiver); the table is only a
        receiver.
    :ivar answers_lost: whether the table's answers to writes are lost.
    :ivar writes_late: whether the table applies transactions after their senders have given up.
    """

    rng: random.Random
    oracle: Oracle
    now: float = 0.0
    network: NetworkRules = field(default_factory=NetworkRules)
    host_by_name: dict[str, Host] = field(default_factory=dict)
    cut_links: set[tuple[str, str]] = field(default_factory=set)
    table_up: bool = True
    answers_lost: bool = False
    writes_late: bool = False
    table: MemoryTable = field(init=False)
    _events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    _event_count: int = 0

    def __post_init__(self) -> None:
        self.table = MemoryTable(self._on_write)

    def schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        self._event_count += 1
        heapq.heappush(self._events, (self.now + delay_s, self._event_count, action))

    def advance(self, seconds: float) -> None:
        """Advance the time, running the actions that become due."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            at, _, action = heapq.heappop(self._events)
            self.now = at
            action()
        self.now = end

    def send(self, sender: str, receiver: str, message: pr.Message) -> None:
        """Send a message to the process that has the receiver's name when the message arrives."""
        if (sender, receiver) in self.cut_links or self.rng.random() < self.network.loss:
            return
        data = pr.encode_message(message)
        copies = 2 if self.rng.random() < self.network.repeats else 1
        for _ in range(copies):
            self.schedule(self._draw_delay_s(), lambda: self._deliver(receiver, data))

    def txn(self, host: Host, txn: pr.Txn, done: pr.TxnCallback) -> None:
        """Run a transaction of a router, subject to the faults of the table."""
        reachable = self.table_up and (host.name, _TABLE) not in self.cut_links
        if not reachable:
            times_out = self.rng.random() < 0.5
            self._fail_txn(host, done, _TABLE_TIMEOUT_S if times_out else 0.01, txn)
            return
        is_answer_lost = txn.has_writes and (self.answers_lost or self.writes_late)
        if is_answer_lost:
            delay_s = 2 * _TABLE_TIMEOUT_S * self.rng.random() if self.writes_late else 0.001
            self.schedule(delay_s, lambda: self._apply(txn))
            self._fail_txn(host, done, _TABLE_TIMEOUT_S, txn)
            return
        request_delay_s = 0.001 + 0.004 * self.rng.random()
        self.schedule(request_delay_s, lambda: self._apply_and_answer(host, txn, done))

    def clear_faults(self) -> None:
        """End all faults of the network and the table."""
        self.cut_links.clear()
        self.network = NetworkRules()
        self.table_up, self.answers_lost, self.writes_late = True, False, False

    def _apply(self, txn: pr.Txn) -> None:
        self.table.apply(txn)

    def _apply_and_answer(self, host: Host, txn: pr.Txn, done: pr.TxnCallback) -> None:
        result = self.table.apply(txn)
        self.schedule(0.001 + self._draw_delay_s(), lambda: host.run(lambda: done(result)))

    def _fail_txn(self, host: Host, done: pr.TxnCallback, delay_s: float, txn: pr.Txn) -> None:
        error = pr.TableError("table: no answer", "repeat", txn.has_writes)
        self.schedule(delay_s, lambda: host.run(lambda: done(error)))

    def _deliver(self, receiver: str, data: bytes) -> None:
        host = self.host_by_name.get(receiver)
        if host is not None:
            host.run(lambda: host.receive(pr.decode_message(data)))

    def _draw_delay_s(self) -> float:
        if self.network.most_delay_s <= 0.01:
            return 0.0005 + 0.001 * self.rng.random()
        # The cube makes most delays short and a few very long, so that messages are reordered.
        return self.network.most_delay_s * self.rng.random() ** 3

    def _on_write(self, txn: pr.Txn) -> None:
        if not any(put.key == pr.lists.layout.HEAD_KEY for put in txn.puts):
            return
        config, _ = pr.decode_config(self.table.apply(pr.read_config_txn()))
        head, _ = pr.decode_head(self._head_rows())
        content = (config.member_by_name, config.plan_by_name)
        self.oracle.config_accepted(config.version, head.submission, content)

    def _head_rows(self) -> list[pr.Row]:
        return self.table.apply(pr.read_head_txn()).rows[0]
