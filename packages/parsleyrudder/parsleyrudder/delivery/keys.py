"""Idempotency keys: table rows that make a repeated call run at most once in the whole fleet.

This module defines the row format, the response to a repeated call, and how row writes are batched
into transactions.
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
    "KeyLimits",
    "KeyReplay",
    "KeyRow",
    "KeyState",
    "KeyWrite",
    "expired_row_deletes",
    "is_valid_key",
    "key_path",
    "key_txn",
    "lost_row",
    "request_digest",
    "resolve_repeat",
    "result_row",
]

KEYS_PREFIX = "keys/"
_MAX_KEY_LENGTH = 255
_RUNNING_RETRY_AFTER_S = 1.0


class KeyState(StrEnum):
    """State of a call with an idempotency key."""

    RUNNING = "running"
    DONE = "done"
    LOST = "lost"
    """The call ended without a complete response; whether it ran is unknown."""


class KeyRow(msgspec.Struct, frozen=True):
    """Row of a call with an idempotency key.

    :ivar attempt: id of the attempt to create the row; a router whose write got no response
        recognises its own row by it.
    :ivar router: router that runs the call.
    :ivar digest: digest of method, path and body; see :func:`request_digest`.
    :ivar run_until: wall time by which the call has ended and its result has been stored.
    :ivar expires_at: wall time from which the key may be reused.
    :ivar body: body of the response, or None if it was too large to store.
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
        """Return the row as a table value."""
        return msgspec.msgpack.encode(self)

    @staticmethod
    def decode(value: bytes) -> "KeyRow":
        """Return the row encoded in a table value.

        :raises msgspec.MsgspecError: if the value is not a valid row.
        """
        return msgspec.msgpack.decode(value, type=KeyRow)


@dataclass(slots=True, frozen=True)
class KeyLimits:
    """Limits for batching and storing key rows.

    :ivar batch_s: time for which writes are collected into one transaction.
    :ivar batch_writes: most writes in one transaction; each may add a read, and etcd accepts 128
        operations per transaction unless configured otherwise.
    :ivar batch_bytes: largest total size of the values in one transaction; etcd rejects requests
        over 1.5 MiB, and base64 encoding enlarges the values by a third.
    :ivar body_bytes: largest response body that is stored.
    """

    batch_s: float = 0.02
    batch_writes: int = 60
    batch_bytes: int = 512 * 1024
    body_bytes: int = 64 * 1024


@dataclass(slots=True, frozen=True)
class KeyFree:
    """Result for a key that may be used: its row is absent (revision 0) or has expired."""

    revision: int


@dataclass(slots=True, frozen=True)
class KeyReplay:
    """Stored response to the first call with the key."""

    status: int
    content_type: str
    body: bytes


def is_valid_key(key: str) -> bool:
    """Whether an idempotency key consists of 1 to 255 visible ASCII characters.

    >>> is_valid_key("order-17"), is_valid_key(""), is_valid_key("a b")
    (True, False, False)
    """
    return 0 < len(key) <= _MAX_KEY_LENGTH and all("!" <= char <= "~" for char in key)


def key_path(member: str, key: str) -> str:
    """Return the table key of an idempotency key's row; member names contain no slash."""
    return f"{KEYS_PREFIX}{member}/{key}"


def request_digest(method: str, path: str, body: bytes) -> str:
    """Return the digest by which a repeated call is recognised as the same request."""
    digest = hashlib.sha256(f"{method} {path}\n".encode("latin-1", "replace"))
    digest.update(body)
    return digest.hexdigest()


def result_row(row: KeyRow, status: int, content_type: str, body: bytes | None) -> KeyRow:
    """Return the row of a call that got a response."""
    return msgspec.structs.replace(
        row, state=KeyState.DONE, status=status, content_type=content_type, body=body
    )


def lost_row(row: KeyRow) -> KeyRow:
    """Return the row of a call whose outcome is unknown."""
    return msgspec.structs.replace(row, state=KeyState.LOST)


def resolve_repeat(
    row: KeyRow, revision: int, digest: str, is_runner_live: bool, wall_time: float
) -> KeyFree | KeyReplay | Failure:
    """Decide how to respond to a call whose key already has a row.

    :param revision: revision of the row.
    :param digest: digest of the repeated call.
    :param is_runner_live: whether the router incarnation that created the row is live.
    :param wall_time: wall time in seconds.
    """
    if wall_time >= row.expires_at:
        return KeyFree(revision)
    if row.digest != digest:
        return failure("key_reused", "the key was used for another method, path or body")
    if row.state is KeyState.DONE and row.body is not None:
        return KeyReplay(row.status, row.content_type, row.body)
    if row.state is KeyState.DONE:
        text = f"the call was answered with status {row.status}; its body was too large to keep"
        return failure("result_lost", text)
    if row.state is KeyState.RUNNING and is_runner_live and wall_time < row.run_until:
        return failure("still_running", "the first call with this key runs", _RUNNING_RETRY_AFTER_S)
    return failure("result_lost", "the first call with this key ended without a known result")


@dataclass(slots=True, frozen=True)
class KeyWrite:
    """Conditional write of one row.

    :ivar path: key of the row in the table.
    :ivar revision: revision that the row must have; 0 if it must be absent.
    :ivar value: new value, or None to delete the row.
    :ivar read: whether the transaction also reads the row after the write.
    """

    path: str
    revision: int
    value: bytes | None
    read: bool = False


def key_txn(writes: Sequence[KeyWrite]) -> Txn:
    """Return the transaction that applies all writes or none."""
    return Txn(
        tuple(Compare(write.path, write.revision) for write in writes),
        tuple(Put(write.path, write.value) for write in writes if write.value is not None),
        tuple(write.path for write in writes if write.value is None),
        tuple(Range(write.path) for write in writes if write.read),
    )


def expired_row_deletes(rows: Iterable[Row], wall_time: float) -> list[KeyWrite]:
    """Return writes that delete the expired rows; rows that fail to decode are skipped."""
    writes = []
    for row in rows:
        try:
            expired = wall_time >= KeyRow.decode(row.value).expires_at
        except msgspec.MsgspecError:
            continue
        if expired:
            writes.append(KeyWrite(row.key, row.revision, None))
    return writes


@dataclass(slots=True)
class KeyBatcher:
    """Queue of row writes that are batched into transactions.

    A path occurs once per batch, because the table rejects a transaction that writes a key twice.

    >>> batcher = KeyBatcher(KeyLimits(batch_writes=2))
    >>> for path in ("a", "a", "b", "c"):
    ...     batcher.add(KeyWrite(path, 0, b""))
    >>> [[write.path for write in batcher.take()] for _ in range(3)]
    [['a', 'b'], ['a', 'c'], []]
    """

    limits: KeyLimits = field(default_factory=KeyLimits)
    _pending: list[KeyWrite] = field(default_factory=list)

    def __len__(self) -> int:
        return len(self._pending)

    def add(self, write: KeyWrite) -> None:
        """Add a write to the queue."""
        self._pending.append(write)

    def discard(self, write: KeyWrite) -> bool:
        """Remove a write that is still queued; return whether it was."""
        for index, pending in enumerate(self._pending):
            if pending is write:
                del self._pending[index]
                return True
        return False

    def take(self) -> list[KeyWrite]:
        """Remove and return the writes for the next transaction, oldest first."""
        batch: list[KeyWrite] = []
        rest: list[KeyWrite] = []
        paths: set[str] = set()
        size = 0
        for write in self._pending:
            added = len(write.value or b"")
            fits = not batch or size + added <= self.limits.batch_bytes
            if write.path in paths or len(batch) >= self.limits.batch_writes or not fits:
                rest.append(write)
                # Later writes of the same path must not overtake this one.
                paths.add(write.path)
                continue
            batch.append(write)
            paths.add(write.path)
            size += added
        self._pending = rest
        return batch
