"""Idempotency keys: rows of the table that make a repeated call run at most once fleet-wide.

It owns the row format, what a repeat is told, and how writes are put into transactions.
"""

import hashlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

import msgspec

from ..outcomes import Failure, failure
from ..table import Compare, Put, Range, Row, Txn

__all__ = [
    "KEYS_PREFIX",
    "KeyBatcher",
    "KeyFree",
    "KeyReplay",
    "KeyRow",
    "KeyRules",
    "KeyState",
    "KeyWrite",
    "expired_writes",
    "is_valid_key",
    "judge_repeat",
    "key_path",
    "key_txn",
    "lost_row",
    "request_digest",
    "result_row",
]

KEYS_PREFIX = "keys/"
_LONGEST_KEY = 255
_RETRY_RUNNING_S = 1.0


class KeyState(StrEnum):
    """State of a keyed call."""

    RUNNING = "running"
    DONE = "done"
    LOST = "lost"
    """The call ended without a whole answer; whether it ran is unknown."""


class KeyRow(msgspec.Struct, frozen=True):
    """Row of a keyed call.

    :ivar attempt: id of the attempt to create the row; tells the own row after a lost answer.
    :ivar digest: digest of method, path and body.
    :ivar run_until: wall time by which the call has ended and its result has been stored.
    :ivar expires_at: wall time after which the key may be used anew.
    :ivar body: body of the answer, or None if it was too large to store.
    """

    state: KeyState
    attempt: str
    router: str
    incarnation: int
    digest: str
    run_until: float
    expires_at: float
    status: int = 0
    content_type: str = ""
    body: bytes | None = None

    def encode(self) -> bytes:
        """Return the value of the row in the table."""
        return msgspec.msgpack.encode(self)

    @staticmethod
    def decode(value: bytes) -> "KeyRow":
        """Return the row of a value in the table.

        :raises msgspec.MsgspecError: if it is none.
        """
        return msgspec.msgpack.decode(value, type=KeyRow)


@dataclass(slots=True, frozen=True)
class KeyRules:
    """Limits of the keys.

    :ivar batch_s: time for which writes are collected into one transaction.
    :ivar batch_writes: writes in one transaction; each may add a read, and etcd accepts 128
        operations per transaction unless configured otherwise.
    :ivar batch_bytes: summed values of one transaction; etcd refuses requests over 1.5 MiB, and
        base64 makes them larger by a third.
    :ivar body_bytes: largest body that is stored.
    """

    batch_s: float = 0.02
    batch_writes: int = 60
    batch_bytes: int = 512 * 1024
    body_bytes: int = 64 * 1024


@dataclass(slots=True, frozen=True)
class KeyFree:
    """The key may be used: its row is absent (revision 0) or has expired."""

    revision: int


@dataclass(slots=True, frozen=True)
class KeyReplay:
    """The stored answer of the first call with the key."""

    status: int
    content_type: str
    body: bytes


def is_valid_key(key: str) -> bool:
    """Whether a caller's key is 1 to 255 visible ASCII characters.

    >>> is_valid_key("order-17"), is_valid_key(""), is_valid_key("a b")
    (True, False, False)
    """
    return 0 < len(key) <= _LONGEST_KEY and all("!" <= char <= "~" for char in key)


def key_path(member: str, key: str) -> str:
    """Return the key of the row in the table; names of members hold no slash."""
    return f"{KEYS_PREFIX}{member}/{key}"


def request_digest(method: str, path: str, body: bytes) -> str:
    """Return the digest that tells whether a repeat is the same request."""
    digest = hashlib.sha256(f"{method} {path}\n".encode("latin-1", "replace"))
    digest.update(body)
    return digest.hexdigest()


def result_row(row: KeyRow, status: int, content_type: str, body: bytes | None) -> KeyRow:
    """Return the row of a call that was answered."""
    return msgspec.structs.replace(
        row, state=KeyState.DONE, status=status, content_type=content_type, body=body
    )


def lost_row(row: KeyRow) -> KeyRow:
    """Return the row of a call whose outcome is unknown."""
    return msgspec.structs.replace(row, state=KeyState.LOST)


def judge_repeat(
    row: KeyRow, revision: int, digest: str, runner_live: bool, wall: float
) -> KeyFree | KeyReplay | Failure:
    """Decide what a call is told whose key has a row already.

    :param runner_live: whether the router incarnation that created the row is live.
    :param wall: wall time in seconds.
    """
    if wall >= row.expires_at:
        return KeyFree(revision)
    if row.digest != digest:
        return failure("key_reused", "the key was used for another method, path or body")
    if row.state is KeyState.DONE and row.body is not None:
        return KeyReplay(row.status, row.content_type, row.body)
    if row.state is KeyState.DONE:
        text = f"the call was answered with status {row.status}; its body was too large to keep"
        return failure("result_lost", text)
    if row.state is KeyState.RUNNING and runner_live and wall < row.run_until:
        return failure("still_running", "the first call with this key runs", _RETRY_RUNNING_S)
    return failure("result_lost", "the first call with this key ended without a known result")


@dataclass(slots=True, frozen=True)
class KeyWrite:
    """Conditional write of one row.

    :ivar revision: revision that the row must have; 0 if it must be absent.
    :ivar value: new value, or None to delete the row.
    :ivar read: whether the row is to be read after the write.
    """

    path: str
    revision: int
    value: bytes | None
    read: bool = False


def key_txn(writes: Sequence[KeyWrite]) -> Txn:
    """Return the transaction that makes all writes or none."""
    return Txn(
        tuple(Compare(write.path, write.revision) for write in writes),
        tuple(Put(write.path, write.value) for write in writes if write.value is not None),
        tuple(write.path for write in writes if write.value is None),
        tuple(Range(write.path) for write in writes if write.read),
    )


def expired_writes(rows: Iterable[Row], wall: float) -> list[KeyWrite]:
    """Return the deletes of the rows that have expired; unreadable rows are left alone."""
    writes = []
    for row in rows:
        try:
            expired = wall >= KeyRow.decode(row.value).expires_at
        except msgspec.MsgspecError:
            continue
        if expired:
            writes.append(KeyWrite(row.key, row.revision, None))
    return writes


@dataclass(slots=True)
class KeyBatcher:
    """Collects writes for one transaction.

    A path occurs once per batch, since the table refuses a transaction that writes a key twice.

    >>> batcher = KeyBatcher(KeyRules(batch_writes=2))
    >>> for path in ("a", "a", "b", "c"):
    ...     batcher.add(KeyWrite(path, 0, b""))
    >>> [[write.path for write in batcher.take()] for _ in range(3)]
    [['a', 'b'], ['a', 'c'], []]
    """

    rules: KeyRules = field(default_factory=KeyRules)
    _waiting: list[KeyWrite] = field(default_factory=list)

    def __len__(self) -> int:
        return len(self._waiting)

    def add(self, write: KeyWrite) -> None:
        """Add a write."""
        self._waiting.append(write)

    def discard(self, write: KeyWrite) -> bool:
        """Remove a write that has not been taken; return whether it was there."""
        for index, waiting in enumerate(self._waiting):
            if waiting is write:
                del self._waiting[index]
                return True
        return False

    def take(self) -> list[KeyWrite]:
        """Remove and return the writes of the next transaction, oldest first."""
        batch: list[KeyWrite] = []
        rest: list[KeyWrite] = []
        paths: set[str] = set()
        size = 0
        for write in self._waiting:
            added = len(write.value or b"")
            fits = not batch or size + added <= self.rules.batch_bytes
            if write.path in paths or len(batch) >= self.rules.batch_writes or not fits:
                rest.append(write)
                # Later writes of the path must not overtake this one.
                paths.add(write.path)
                continue
            batch.append(write)
            paths.add(write.path)
            size += added
        self._waiting = rest
        return batch
