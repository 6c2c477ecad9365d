"""Idempotency keys at this router: claims keys in the table and stores the results of their calls.

It makes all of this router's writes for claims and results to ``keys/``. The writes of up to 20 ms
are batched into one transaction; if a condition of it fails, each write is retried in its own
transaction.
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
from .key_claim import ClaimCallback, KeyClaim, PendingClaim, WriteCallback, table_down_failure
from .key_sweep import KeySweep

__all__ = ["KeyTask"]

_LOGGER = logging.getLogger(__name__)
_MAX_OPEN_TXNS = 8
"""Transactions in flight; the limit keeps one router from overloading a slow table."""
_MAX_QUEUED_WRITES = 2000
_MAX_PENDING_BYTES = 32 << 20
"""Total size of the values that wait to be written.

Beyond it, results are stored without their bodies, so that an outage of the table does not exhaust
the memory.
"""
_WRITE_RETRY_DELAY_S = 0.5
_WRITE_TIMEOUT_S = 600.0
_MAX_STOP_WAIT_S = 10.0
_RUN_MARGIN_S = 30.0
"""Time allowed for the last write of a call and for clock differences between routers."""


@dataclass(slots=True)
class _PendingWrite:
    """Write that waits for its transaction to be sent or to complete.

    :ivar since: monotonic time at which it was queued.
    """

    write: KeyWrite
    done: WriteCallback
    since: float


class KeyTask:
    """Owner of the idempotency keys at this router."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._batcher = KeyBatcher()
        self._pending_by_id: dict[int, _PendingWrite] = {}
        self._unfinished_claims: dict[str, float] = {}
        self._open_txns = 0
        self._pending_bytes = 0
        self._flush_timer: Timer | None = None
        self._sweep = KeySweep(context)

    @property
    def max_stored_body_bytes(self) -> int:
        """Size of the largest body that is stored."""
        return self._batcher.limits.body_bytes

    def start(self) -> None:
        """Start the removal of expired rows."""
        self._sweep.start()

    def pending(self) -> int:
        """Return the number of writes and claims that must complete before the router stops.

        Those older than ``_MAX_STOP_WAIT_S`` are not counted, so that the router stops even if the
        table is down.
        """
        oldest = self._context.now() - _MAX_STOP_WAIT_S
        writes = sum(1 for write in self._pending_by_id.values() if write.since > oldest)
        return writes + sum(1 for since in self._unfinished_claims.values() if since > oldest)

    def claim(
        self, path: str, digest: str, max_duration_s: float, done: ClaimCallback
    ) -> PendingClaim:
        """Create the row of a call; no byte of the call may be sent before ``done`` gets the claim.

        :param max_duration_s: time within which the call ends.
        :param done: called with the claim, the stored response to an earlier call or the refusal of
            this call; not called if the claim is abandoned before that.
        """
        wall_time = time.time()
        row = KeyRow(
            KeyState.RUNNING,
            uuid.uuid4().hex,
            self._context.name,
            self._context.incarnation,
            digest,
            wall_time + max_duration_s + _RUN_MARGIN_S,
            wall_time + self._context.settings.router.key_ttl_s,
        )
        pending_claim = PendingClaim(self._context, self, path, row, done)
        if len(self._batcher) >= _MAX_QUEUED_WRITES:
            pending_claim.finish(table_down_failure("too many calls wait for the table"))
        else:
            pending_claim.begin()
        return pending_claim

    def store(self, claim: KeyClaim, status: int, content_type: str, body: bytes | None) -> None:
        """Store the response to a call.

        The body is omitted if it is too large, or if too many bytes wait to be written.
        """
        max_bytes = self._batcher.limits.body_bytes
        if body is not None and (len(body) > max_bytes or self._pending_bytes > _MAX_PENDING_BYTES):
            body = None
        self._finish_claim(claim, result_row(claim.row, status, content_type, body).encode())

    def mark_lost(self, claim: KeyClaim) -> None:
        """Store that the outcome of a call is unknown."""
        self._finish_claim(claim, lost_row(claim.row).encode())

    def release(self, claim: KeyClaim) -> None:
        """Remove the row of a call that was not run, so that a repeated call may run."""
        self._finish_claim(claim, None)

    def write(self, write: KeyWrite, done: WriteCallback) -> None:
        """Queue a write for the next transaction.

        :param done: called with the result, unless the write is discarded; the condition of the
            write may have failed.
        """
        self._pending_by_id[id(write)] = _PendingWrite(write, done, self._context.now())
        self._pending_bytes += len(write.value or b"")
        self._batcher.add(write)
        self._schedule_flush()

    def discard(self, write: KeyWrite) -> bool:
        """Remove a write that is still queued; return whether it was."""
        if not self._batcher.discard(write):
            return False
        self._remove_pending(write)
        return True

    def _finish_claim(self, claim: KeyClaim, value: bytes | None) -> None:
        """Write or delete the row of a finished call; retry for up to ``_WRITE_TIMEOUT_S``.

        :param value: final value of the row, or None to delete it.
        """
        since = self._unfinished_claims.setdefault(claim.row.attempt, self._context.now())
        write = KeyWrite(claim.path, claim.revision, value)

        def done(result: TxnResult | TableError) -> None:
            # A failed condition means that an earlier try of this write was applied, although its
            # response was lost.
            if isinstance(result, TxnResult):
                self._unfinished_claims.pop(claim.row.attempt, None)
            elif self._context.now() - since < _WRITE_TIMEOUT_S:
                self._context.timers.after(
                    _WRITE_RETRY_DELAY_S, lambda: self._finish_claim(claim, value)
                )
            else:
                self._unfinished_claims.pop(claim.row.attempt, None)
                log_event(_LOGGER, "key_write_lost", logging.WARNING, reason=result.message)

        self.write(write, done)

    def _schedule_flush(self) -> None:
        if self._flush_timer is None or not self._flush_timer.is_pending:
            delay_s = self._batcher.limits.batch_s
            self._flush_timer = self._context.timers.after(delay_s, self._flush)

    def _flush(self) -> None:
        while self._open_txns < _MAX_OPEN_TXNS:
            batch = self._batcher.take()
            if not batch:
                return
            self._send_batch(batch)

    def _send_batch(self, batch: list[KeyWrite]) -> None:
        self._open_txns += 1

        def done(result: TxnResult | TableError) -> None:
            self._open_txns -= 1
            if len(batch) > 1 and isinstance(result, TxnResult) and not result.succeeded:
                for write in batch:
                    self._send_batch([write])
            else:
                self._complete_batch(batch, result)
            if len(self._batcher):
                self._schedule_flush()

        self._context.metrics.count("key_txns")
        self._context.metrics.count("key_writes", len(batch))
        self._context.table.txn(key_txn(batch), done)

    def _complete_batch(self, batch: list[KeyWrite], result: TxnResult | TableError) -> None:
        rows = iter(result.rows) if isinstance(result, TxnResult) else iter(())
        for write in batch:
            write_result = result
            if isinstance(result, TxnResult):
                write_result = TxnResult(
                    result.succeeded, result.revision, [next(rows)] if write.read else []
                )
            pending_write = self._remove_pending(write)
            if pending_write is not None:
                pending_write.done(write_result)

    def _remove_pending(self, write: KeyWrite) -> _PendingWrite | None:
        pending_write = self._pending_by_id.pop(id(write), None)
        if pending_write is not None:
            self._pending_bytes -= len(write.value or b"")
        return pending_write
