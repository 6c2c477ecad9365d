"""Idempotency keys at this router: claims keys in the table and stores the results of their calls.

It owns the writes to ``keys/``. Writes of up to 20 ms share one transaction; if its conditions
fail, each write gets a transaction of its own.
"""

import logging
import time
import uuid
from dataclasses import dataclass

from parsleyrudder import (
    KeyBatcher,
    KeyRow,
    KeyState,
    KeyWrite,
    TableError,
    TxnResult,
    key_txn,
    lost_row,
    result_row,
)
from parsleyrudder_adapters.logs import log_event
from parsleyrudder_adapters.timers import Timer

from .context import Context
from .key_claim import ClaimDone, Claiming, KeyClaim, WriteDone, table_down
from .key_sweep import KeySweep

__all__ = ["KeyTask"]

_LOGGER = logging.getLogger(__name__)
_OPEN_TXNS = 8
"""Transactions in flight; a slow table gets no more of them from one router."""
_WAITING_WRITES = 2000
_KEPT_BODIES_BYTES = 32 << 20
"""Bodies that wait to be stored; those beyond it are dropped, so that an outage fills no memory."""
_WRITE_RETRY_S = 0.5
_WRITE_LIMIT_S = 600.0
_STOP_WAIT_S = 10.0
_RUN_MARGIN_S = 30.0
"""Time for the last write of a call, and for the difference between the routers' clocks."""


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
        return self._batcher.limits.body_bytes

    def start(self) -> None:
        """Begin to remove expired rows."""
        self._sweep.start()

    def pending(self) -> int:
        """Return the number of writes that a router which is stopping still waits for."""
        limit = self._context.now() - _STOP_WAIT_S
        writes = sum(1 for write in self._write_by_id.values() if write.since > limit)
        return writes + sum(1 for since in self._unsettled.values() if since > limit)

    def claim(self, path: str, digest: str, longest_s: float, done: ClaimDone) -> Claiming:
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
        most = self._batcher.limits.body_bytes
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
            delay = self._batcher.limits.batch_s
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
