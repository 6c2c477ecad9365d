"""The table service as the decision code sees it: rows, conditional transactions, ranged reads.

Revisions are those of the table service: each write gets a higher one, and a row keeps the
revision of its last write. Keys and values are text and bytes; a range is a key prefix.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from .errors import TableError

__all__ = ["Compare", "Put", "Range", "Row", "TableDone", "TableService", "Txn", "TxnResult"]


@dataclass(slots=True, frozen=True)
class Row:
    """One row of the table."""

    key: str
    value: bytes
    revision: int


@dataclass(slots=True, frozen=True)
class Compare:
    """Condition that the last write of a key had this revision; 0 means that the key is absent."""

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

    :ivar after: with a prefix, only keys greater than this one.
    :ivar limit: number of rows at most; 0 for all.
    """

    key: str
    prefix: bool = False
    after: str = ""
    limit: int = 0


@dataclass(slots=True, frozen=True)
class Txn:
    """A transaction: if all conditions hold, the writes and deletes take effect together.

    The reads see the state after the writes; they are done whether or not the conditions held.
    """

    compares: tuple[Compare, ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()
    reads: tuple[Range, ...] = ()

    @property
    def writes(self) -> bool:
        """Whether the transaction may change the table."""
        return bool(self.puts or self.deletes)


@dataclass(slots=True, frozen=True)
class TxnResult:
    """Answer to a transaction; ``rows`` has one list per read."""

    succeeded: bool
    revision: int
    rows: list[list[Row]] = field(default_factory=list)


TableDone = Callable[[TxnResult | TableError], None]


class TableService(Protocol):
    """Asynchronous access to the table service."""

    def txn(self, txn: Txn, done: TableDone) -> None:
        """Run a transaction and call ``done`` once with its result or error."""
        ...
