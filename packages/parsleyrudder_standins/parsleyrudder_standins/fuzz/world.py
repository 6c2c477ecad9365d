"""The virtual world: time, events, the network between routers, the table and its faults."""

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import parsleyrudder as pr

from .oracle import Oracle

__all__ = ["Host", "MemoryTable", "NetworkRules", "World"]

_TABLE_TIMEOUT_S = 2.0
_TABLE = "table"


class Host(Protocol):
    """A router's process as the world sees it."""

    name: str

    def receive(self, message: pr.Message) -> None:
        """Take a message from a peer."""
        ...

    def run(self, action: Callable[[], None]) -> None:
        """Do something now, or after a pause; never once the process has ended."""
        ...


@dataclass(slots=True)
class NetworkRules:
    """What the network does to messages.

    :ivar loss: part of the messages that are lost.
    :ivar repeats: part of the messages that arrive twice.
    :ivar most_delay_s: longest delay; messages with different delays overtake each other.
    """

    loss: float = 0.0
    repeats: float = 0.0
    most_delay_s: float = 0.002


class MemoryTable:
    """The table service: transactions in order of their revisions.

    :param on_write: called after each transaction that wrote, with its writes.
    """

    def __init__(self, on_write: Callable[[pr.Txn], None]) -> None:
        self.row_by_key: dict[str, pr.Row] = {}
        self.revision = 1
        self._on_write = on_write

    def apply(self, txn: pr.Txn) -> pr.TxnResult:
        """Run a transaction."""
        rows = self.row_by_key
        held = all(
            (rows[item.key].revision if item.key in rows else 0) == item.revision
            for item in txn.compares
        )
        if held and txn.has_writes:
            self.revision += 1
            for put in txn.puts:
                rows[put.key] = pr.Row(put.key, put.value, self.revision)
            for key in txn.deletes:
                rows.pop(key, None)
            self._on_write(txn)
        return pr.TxnResult(held, self.revision, [self._read(read) for read in txn.reads])

    def _read(self, read: pr.Range) -> list[pr.Row]:
        if not read.prefix:
            return [self.row_by_key[read.key]] if read.key in self.row_by_key else []
        keys = sorted(k for k in self.row_by_key if k.startswith(read.key) and k > read.after)
        return [self.row_by_key[key] for key in keys[: read.limit or None]]


@dataclass(slots=True)
class World:
    """Time and everything that happens in it.

    :param rng: decides about single messages; seeded by the machine.
    :ivar cut: directed links that carry nothing, by sender and receiver; the table is a receiver.
    :ivar answers_lost: whether the table's answers to writes are lost.
    :ivar writes_late: whether the table applies transactions after their senders have given up.
    """

    rng: random.Random
    oracle: Oracle
    now: float = 0.0
    network: NetworkRules = field(default_factory=NetworkRules)
    hosts: dict[str, Host] = field(default_factory=dict)
    cut: set[tuple[str, str]] = field(default_factory=set)
    table_up: bool = True
    answers_lost: bool = False
    writes_late: bool = False
    table: MemoryTable = field(init=False)
    _events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    _count: int = 0

    def __post_init__(self) -> None:
        self.table = MemoryTable(self._on_write)

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Let something happen after a delay."""
        self._count += 1
        heapq.heappush(self._events, (self.now + delay_s, self._count, action))

    def advance(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            at, _, action = heapq.heappop(self._events)
            self.now = at
            action()
        self.now = end

    def send(self, sender: str, receiver: str, message: pr.Message) -> None:
        """Send a message to whichever process has a name when it arrives."""
        if (sender, receiver) in self.cut or self.rng.random() < self.network.loss:
            return
        data = pr.encode_message(message)
        copies = 2 if self.rng.random() < self.network.repeats else 1
        for _ in range(copies):
            self.after(self._delay_s(), lambda: self._arrive(receiver, data))

    def txn(self, host: Host, txn: pr.Txn, done: pr.TxnCallback) -> None:
        """Run a transaction for a router."""
        reachable = self.table_up and (host.name, _TABLE) not in self.cut
        if not reachable:
            late = self.rng.random() < 0.5
            self._fail(host, done, _TABLE_TIMEOUT_S if late else 0.01, txn)
            return
        lost = txn.has_writes and (self.answers_lost or self.writes_late)
        if lost:
            delay_s = 2 * _TABLE_TIMEOUT_S * self.rng.random() if self.writes_late else 0.001
            self.after(delay_s, lambda: self._apply(txn))
            self._fail(host, done, _TABLE_TIMEOUT_S, txn)
            return
        there = 0.001 + 0.004 * self.rng.random()
        self.after(there, lambda: self._apply_and_answer(host, txn, done))

    def heal(self) -> None:
        """End all faults of network and table."""
        self.cut.clear()
        self.network = NetworkRules()
        self.table_up, self.answers_lost, self.writes_late = True, False, False

    def _apply(self, txn: pr.Txn) -> None:
        self.table.apply(txn)

    def _apply_and_answer(self, host: Host, txn: pr.Txn, done: pr.TxnCallback) -> None:
        result = self.table.apply(txn)
        self.after(0.001 + self._delay_s(), lambda: host.run(lambda: done(result)))

    def _fail(self, host: Host, done: pr.TxnCallback, delay_s: float, txn: pr.Txn) -> None:
        error = pr.TableError("table: no answer", "repeat", txn.has_writes)
        self.after(delay_s, lambda: host.run(lambda: done(error)))

    def _arrive(self, receiver: str, data: bytes) -> None:
        host = self.hosts.get(receiver)
        if host is not None:
            host.run(lambda: host.receive(pr.decode_message(data)))

    def _delay_s(self) -> float:
        if self.network.most_delay_s <= 0.01:
            return 0.0005 + 0.001 * self.rng.random()
        # Most messages are quick and some are very late, so that they overtake each other.
        return self.network.most_delay_s * self.rng.random() ** 3

    def _on_write(self, txn: pr.Txn) -> None:
        if not any(put.key == pr.lists.layout.HEAD_KEY for put in txn.puts):
            return
        config, _ = pr.decode_config(self.table.apply(pr.read_config_txn()))
        head, _ = pr.decode_head(self._head_rows())
        lists = (config.member_by_name, config.plan_by_name)
        self.oracle.accepted(config.version, head.submission, lists)

    def _head_rows(self) -> list[pr.Row]:
        return self.table.apply(pr.read_head_txn()).rows[0]
