"""Interface to the table service: rows, conditional transactions and range reads.

The table service assigns revisions: each write gets a higher one, and a row keeps the revision of
its last write. Keys are strings and values are bytes; a range is a key prefix.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from .errors import TableError

__all__ = ["Compare", "Put", "Range", "Row", "TableService", "Txn", "TxnCallback", "TxnResult"]


@dataclass(slots=True, frozen=True)
class Row:
    """Row of the table."""

    key: str
    value: bytes
    revision: int


@dataclass(slots=True, frozen=True)
class Compare:
    """Condition that a key has this revision; 0 requires that the key is absent."""

    key: str
    revision: int


@dataclass(slots=True, frozen=True)
class Put:
    """Write of one row."""

    key: str
    value: bytes


@dataclass(slots=True, frozen=True)
class Range:
    """Read of one key, or of all keys that start with it.

    :ivar prefix: whether all keys that start with ``key`` are read.
    :ivar after: with a prefix, only keys greater than this one are read.
    :ivar limit: largest number of rows returned; 0 for no limit.
    """

    key: str
    prefix: bool = False
    after: str = ""
    limit: int = 0


@dataclass(slots=True, frozen=True)
class Txn:
    """Transaction: if all conditions hold, the puts and deletes are applied atomically.

    The reads see the state after the writes; they run whether or not the conditions hold.
    """

    compares: tuple[Compare, ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()
    reads: tuple[Range, ...] = ()

    @property
    def has_writes(self) -> bool:
        """Whether the transaction contains puts or deletes."""
        return bool(self.puts or self.deletes)


@dataclass(slots=True, frozen=True)
class TxnResult:
    """Result of a transaction.

    :ivar succeeded: whether all conditions held.
    :ivar rows: one list of rows per read.
    """

    succeeded: bool
    revision: int
    rows: list[list[Row]] = field(default_factory=list)


TxnCallback = Callable[[TxnResult | TableError], None]


class TableService(Protocol):
    """Asynchronous access to the table service."""

    def txn(self, txn: Txn, done: TxnCallback) -> None:
        """Run a transaction and call ``done`` once with its result or error."""
        ...
