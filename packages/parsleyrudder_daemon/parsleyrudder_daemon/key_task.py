"""Idempotency keys at this router: claims keys in the table and stores the results of their calls.

It owns the writes to ``keys/``. Writes of up to 20 ms share one transaction; if its conditions
fail, each write gets a transaction of its own.
"""

import logging
import time
import uuid
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from parsleyrudder import (
    Failure,
    KeyBatcher,
    KeyFree,
    KeyReplay,
    KeyRow,
    KeyState,
    KeyWrite,
    Range,
    Row,
    TableError,
    Txn,
    TxnResult,
    failure,
    judge_repeat,
    key_txn,
    lost_row,
    result_row,
)
from parsleyrudder_adapters.logs import log_event
from parsleyrudder_adapters.timers import Timer

from .context import Context
from .key_sweep import KeySweep

__all__ = ["KeyClaim", "KeyTask"]

_LOGGER = logging.getLogger(__name__)
_OPEN_TXNS = 8
_WAITING_WRITES = 2000
_KEPT_BODIES_BYTES = 32 << 20
_CREATE_RETRY_S = 0.1
_WRITE_RETRY_S = 0.5
_WRITE_LIMIT_S = 600.0
_STOP_WAIT_S = 10.0
_RUN_MARGIN_S = 30.0
_RETRY_AFTER_S = 2.0
_CLEAN_UP_TRIES = 20

WriteDone = Callable[[TxnResult | TableError], None]
ClaimDone = Callable[["KeyClaim | KeyReplay | Failure"], None]


@dataclass(slots=True)
class KeyClaim:
    """A key whose row this router has created for a call.

    :ivar revision: revision of the row.
    """

    path: str
    row: KeyRow
    revision: int


@dataclass(slots=True)
class _Write:
    """A write that waits for its transaction or the answer to it."""

    write: KeyWrite
    done: WriteDone
    since: float


class KeyTask:
    """Owner of the idempotency keys at this router."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._batcher = KeyBatcher()
        self._write_by_id: dict[int, _Write] = {}
        self._unsettled: dict[str, float] = {}
        self._open_txns = 0
        self._kept_bytes = 0
        self._flush_timer: Timer | None = None
        self._sweep = KeySweep(context)

    @property
    def most_body_bytes(self) -> int:
        """Size of the largest body that is stored."""
        return self._batcher.rules.body_bytes

    def start(self) -> None:
        """Begin to remove expired rows."""
        self._sweep.start()

    def pending(self) -> int:
        """Return the number of writes that a router which is stopping still waits for."""
        limit = self._context.now() - _STOP_WAIT_S
        writes = sum(1 for write in self._write_by_id.values() if write.since > limit)
        return writes + sum(1 for since in self._unsettled.values() if since > limit)

    def claim(self, path: str, digest: str, longest_s: float, done: ClaimDone) -> "Claiming":
        """Create the row of a call, before any byte of the call is sent.

        :param longest_s: time within which the call ends.
        :param done: called once, with the claim, the stored answer of an earlier call, or why the
            call is refused.
        """
        wall = time.time()
        row = KeyRow(
            KeyState.RUNNING,
            uuid.uuid4().hex,
            self._context.name,
            self._context.incarnation,
            digest,
            wall + longest_s + _RUN_MARGIN_S,
            wall + self._context.settings.router.key_ttl_s,
        )
        claiming = Claiming(self._context, self, path, row, done)
        if len(self._batcher) >= _WAITING_WRITES:
            claiming.finish(table_down("too many calls wait for the table"))
        else:
            claiming.begin()
        return claiming

    def store(self, claim: KeyClaim, status: int, content_type: str, body: bytes | None) -> None:
        """Store the answer of a call."""
        most = self._batcher.rules.body_bytes
        if body is not None and (len(body) > most or self._kept_bytes > _KEPT_BODIES_BYTES):
            body = None
        self._settle(claim, result_row(claim.row, status, content_type, body).encode())

    def lose(self, claim: KeyClaim) -> None:
        """Store that the outcome of a call is unknown."""
        self._settle(claim, lost_row(claim.row).encode())

    def release(self, claim: KeyClaim) -> None:
        """Remove the row of a call that was not run, so that a repeat may run."""
        self._settle(claim, None)

    def write(self, write: KeyWrite, done: WriteDone) -> None:
        """Make a write with the next transaction; its condition may fail."""
        self._write_by_id[id(write)] = _Write(write, done, self._context.now())
        self._kept_bytes += len(write.value or b"")
        self._batcher.add(write)
        self._arm()

    def drop(self, write: KeyWrite) -> bool:
        """Take back a write that no transaction holds yet; return whether that was possible."""
        if not self._batcher.discard(write):
            return False
        self._forget(write)
        return True

    def _settle(self, claim: KeyClaim, value: bytes | None) -> None:
        """Make the last write of a call's row; repeated until it is known to have been made."""
        since = self._unsettled.setdefault(claim.row.attempt, self._context.now())
        write = KeyWrite(claim.path, claim.revision, value)

        def done(result: TxnResult | TableError) -> None:
            # A failed condition means that a repetition of a lost answer's write has come too late.
            if isinstance(result, TxnResult):
                self._unsettled.pop(claim.row.attempt, None)
            elif self._context.now() - since < _WRITE_LIMIT_S:
                self._context.timers.after(_WRITE_RETRY_S, lambda: self._settle(claim, value))
            else:
                self._unsettled.pop(claim.row.attempt, None)
                log_event(_LOGGER, "key_write_lost", logging.WARNING, reason=result.message)

        self.write(write, done)

    def _arm(self) -> None:
        if self._flush_timer is None or not self._flush_timer.is_pending:
            delay = self._batcher.rules.batch_s
            self._flush_timer = self._context.timers.after(delay, self._flush)

    def _flush(self) -> None:
        while self._open_txns < _OPEN_TXNS:
            batch = self._batcher.take()
            if not batch:
                return
            self._run(batch)

    def _run(self, batch: list[KeyWrite]) -> None:
        self._open_txns += 1

        def done(result: TxnResult | TableError) -> None:
            self._open_txns -= 1
            if len(batch) > 1 and isinstance(result, TxnResult) and not result.succeeded:
                for write in batch:
                    self._run([write])
            else:
                self._answer(batch, result)
            if len(self._batcher):
                self._arm()

        self._context.metrics.count("key_txns")
        self._context.metrics.count("key_writes", len(batch))
        self._context.table.txn(key_txn(batch), done)

    def _answer(self, batch: list[KeyWrite], result: TxnResult | TableError) -> None:
        rows = iter(result.rows) if isinstance(result, TxnResult) else iter(())
        for write in batch:
            own = result
            if isinstance(result, TxnResult):
                own = TxnResult(
                    result.succeeded, result.revision, [next(rows)] if write.read else []
                )
            waiting = self._forget(write)
            if waiting is not None:
                waiting.done(own)

    def _forget(self, write: KeyWrite) -> _Write | None:
        waiting = self._write_by_id.pop(id(write), None)
        if waiting is not None:
            self._kept_bytes -= len(write.value or b"")
        return waiting


def table_down(message: str) -> Failure:
    """Return the refusal of a call whose key could not be claimed."""
    return failure("table_down", message, _RETRY_AFTER_S)


class Claiming:
    """The creation of one row, which a call waits for a bounded time.

    The call is refused when the time is over. What the table did with the write is then found out,
    and a row that it made is removed, as its call was never sent.
    """

    def __init__(
        self, context: Context, task: KeyTask, path: str, row: KeyRow, done: ClaimDone
    ) -> None:
        self._context = context
        self._task = task
        self._path = path
        self._row = row
        self._done: ClaimDone | None = done
        self._write: KeyWrite | None = None
        self._revision = 0
        self._maybe_made = False
        self._tries = 0
        limit_s = context.settings.router.key_wait_s
        self._timer = context.timers.after(limit_s, self._on_limit)

    def begin(self, revision: int = 0) -> None:
        """Write the row.

        :param revision: revision of an expired row that it replaces.
        """
        self._tries += 1
        self._revision = revision
        self._write = KeyWrite(self._path, revision, self._row.encode(), read=True)
        self._task.write(self._write, self._on_written)

    def abandon(self) -> None:
        """Give the claim up; the call that waits for it has ended."""
        self._done = None
        self._timer.cancel()
        if self._write is not None and self._task.drop(self._write):
            self._write = None
            if self._maybe_made:
                self._clean_up()

    def finish(self, result: KeyClaim | KeyReplay | Failure) -> None:
        """Tell the call, or undo a claim that comes too late."""
        self._timer.cancel()
        done, self._done = self._done, None
        if done is not None:
            done(result)
        elif isinstance(result, KeyClaim):
            self._task.release(result)

    def _on_limit(self) -> None:
        done = self._done
        self.abandon()
        if done is not None:
            done(table_down("the table service did not accept the key in time"))

    def _on_written(self, result: TxnResult | TableError) -> None:
        self._write = None
        if isinstance(result, TableError):
            self._on_error(result)
        elif result.succeeded:
            self.finish(KeyClaim(self._path, self._row, result.revision))
        else:
            self._on_taken(result.rows[0])

    def _on_error(self, error: TableError) -> None:
        """Settle a lost answer by the same write again: it succeeds, or shows whose row exists."""
        self._maybe_made = self._maybe_made or error.maybe_applied
        if error.maybe_applied and self._tries < 2 and self._done is not None:
            revision = self._revision
            self._context.timers.after(_CREATE_RETRY_S, lambda: self._retry(revision))
            return
        self.finish(table_down(error.message))
        if self._maybe_made:
            self._clean_up()

    def _retry(self, revision: int) -> None:
        if self._done is not None:
            self.begin(revision)
        else:
            self._clean_up()

    def _on_taken(self, rows: list[Row]) -> None:
        """Judge the row that exists already."""
        if not rows:
            # The row was removed in between; a bounded number of tries, as others may go on.
            if self._tries < 3 and self._done is not None:
                self.begin()
            else:
                self.finish(table_down("the row of the key changes too often"))
            return
        row = rows[0]
        try:
            found = KeyRow.decode(row.value)
        except msgspec.MsgspecError:
            self.finish(failure("result_lost", "the row of the key can't be read"))
            return
        if found.attempt == self._row.attempt:
            self.finish(KeyClaim(self._path, self._row, row.revision))
            return
        context = self._context
        live = is_live(context, found.router, found.incarnation)
        verdict = judge_repeat(found, row.revision, self._row.digest, live, time.time())
        if isinstance(verdict, KeyFree):
            if self._tries < 3 and self._done is not None:
                self.begin(verdict.revision)
            else:
                self.finish(table_down("the row of the key changes too often"))
            return
        self.finish(verdict)

    def _clean_up(self, tries: int = 0) -> None:
        """Remove the own row if the table made it after all; it may also do so late."""

        def done(result: TxnResult | TableError) -> None:
            if isinstance(result, TxnResult) and result.rows[0]:
                row = result.rows[0][0]
                if _attempt_of(row) == self._row.attempt:
                    self._task.release(KeyClaim(self._path, self._row, row.revision))
                return
            absent = isinstance(result, TxnResult)
            if tries < _CLEAN_UP_TRIES:
                delay_s = min(5.0, _WRITE_RETRY_S * 2**tries)
                following = tries + (4 if absent else 1)
                self._context.timers.after(delay_s, lambda: self._clean_up(following))

        self._context.table.txn(Txn(reads=(Range(self._path),)), done)


def is_live(context: Context, router: str, incarnation: int) -> bool:
    """Whether a router's incarnation is live as far as this router knows."""
    info = context.view.info(router)
    if info is None or router not in context.view.live(context.now()):
        return False
    return info.incarnation == incarnation


def _attempt_of(row: Row) -> str:
    try:
        return KeyRow.decode(row.value).attempt
    except msgspec.MsgspecError:
        return ""
