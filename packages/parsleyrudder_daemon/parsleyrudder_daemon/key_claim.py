"""Claim of one idempotency key: its row is created within a time limit, or removed again."""

import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec
from parsleyrudder import (
    Failure,
    KeyFree,
    KeyReplay,
    KeyRow,
    KeyWrite,
    Range,
    Row,
    TableError,
    Txn,
    TxnResult,
    failure,
    resolve_repeat,
)

from .context import Context

if TYPE_CHECKING:
    from .key_task import KeyTask

__all__ = ["ClaimCallback", "KeyClaim", "PendingClaim", "WriteCallback", "table_down_failure"]

_MAX_CREATE_TRIES = 3
_CREATE_RETRY_DELAY_S = 0.1
_RETRY_AFTER_S = 2.0
_MAX_CLEANUP_TRIES = 20
_CLEANUP_RETRY_DELAY_S = 0.5
_ABSENT_TRY_COUNT = 4
"""Tries that a read counts for if it finds no row.

A delayed write may still create the row, but this is less likely after each such read.
"""

WriteCallback = Callable[[TxnResult | TableError], None]
ClaimCallback = Callable[["KeyClaim | KeyReplay | Failure"], None]


@dataclass(slots=True)
class KeyClaim:
    """Idempotency key whose row this router has created for a call.

    :ivar revision: revision of the row.
    """

    path: str
    row: KeyRow
    revision: int


def table_down_failure(message: str) -> Failure:
    """Return the refusal of a call whose key could not be claimed."""
    return failure("table_down", message, _RETRY_AFTER_S)


class PendingClaim:
    """Claim of a key whose row is still being created.

    The call is refused if the row is not created within ``key_wait_s``. If the table then turns
    out to have created the row, the row is removed, because the call was never sent.
    """

    def __init__(
        self, context: Context, task: "KeyTask", path: str, row: KeyRow, done: ClaimCallback
    ) -> None:
        self._context = context
        self._task = task
        self._path = path
        self._row = row
        self._done: ClaimCallback | None = done
        self._write: KeyWrite | None = None
        self._revision = 0
        self._maybe_created = False
        self._tries = 0
        timeout_s = context.settings.router.key_wait_s
        self._timer = context.timers.after(timeout_s, self._on_timeout)

    def begin(self, revision: int = 0) -> None:
        """Write the row.

        :param revision: revision of an expired row that it replaces.
        """
        self._tries += 1
        self._revision = revision
        self._write = KeyWrite(self._path, revision, self._row.encode(), read=True)
        self._task.write(self._write, self._on_written)

    def abandon(self) -> None:
        """Stop claiming the key, as the call has ended."""
        self._done = None
        self._timer.cancel()
        if self._write is not None and self._task.discard(self._write):
            self._write = None
            if self._maybe_created:
                self._clean_up()

    def finish(self, result: KeyClaim | KeyReplay | Failure) -> None:
        """Pass the result to the call, or release a claim that was obtained too late."""
        self._timer.cancel()
        done, self._done = self._done, None
        if done is not None:
            done(result)
        elif isinstance(result, KeyClaim):
            self._task.release(result)

    def _on_timeout(self) -> None:
        done = self._done
        self.abandon()
        if done is not None:
            done(table_down_failure("the table service did not accept the key in time"))

    def _on_written(self, result: TxnResult | TableError) -> None:
        self._write = None
        if isinstance(result, TableError):
            self._on_error(result)
        elif result.succeeded:
            self.finish(KeyClaim(self._path, self._row, result.revision))
        else:
            self._on_row_exists(result.rows[0])

    def _on_error(self, error: TableError) -> None:
        """Repeat a write whose response was lost: it succeeds, or it returns the existing row."""
        self._maybe_created = self._maybe_created or error.maybe_applied
        if error.maybe_applied and self._tries < 2 and self._done is not None:
            revision = self._revision
            self._context.timers.after(_CREATE_RETRY_DELAY_S, lambda: self._retry(revision))
            return
        self.finish(table_down_failure(error.message))
        if self._maybe_created:
            self._clean_up()

    def _retry(self, revision: int) -> None:
        if self._done is not None:
            self.begin(revision)
        else:
            self._clean_up()

    def _on_row_exists(self, rows: list[Row]) -> None:
        """Resolve the conflict with the row that already exists."""
        if not rows:
            # The row has been removed in the meantime. The number of tries is limited, as other
            # routers may keep creating and removing it.
            if self._tries < _MAX_CREATE_TRIES and self._done is not None:
                self.begin()
            else:
                self.finish(table_down_failure("the row of the key changes too often"))
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
        is_runner_live = is_incarnation_live(context, found.router, found.incarnation)
        resolution = resolve_repeat(
            found, row.revision, self._row.digest, is_runner_live, time.time()
        )
        if isinstance(resolution, KeyFree):
            if self._tries < _MAX_CREATE_TRIES and self._done is not None:
                self.begin(resolution.revision)
            else:
                self.finish(table_down_failure("the row of the key changes too often"))
            return
        self.finish(resolution)

    def _clean_up(self, tries: int = 0) -> None:
        """Remove the row if the table created it, now or later, despite the reported error."""

        def done(result: TxnResult | TableError) -> None:
            if isinstance(result, TxnResult) and result.rows[0]:
                row = result.rows[0][0]
                if _decode_attempt(row) == self._row.attempt:
                    self._task.release(KeyClaim(self._path, self._row, row.revision))
                return
            is_absent = isinstance(result, TxnResult)
            if tries < _MAX_CLEANUP_TRIES:
                delay_s = min(5.0, _CLEANUP_RETRY_DELAY_S * 2**tries)
                next_tries = tries + (_ABSENT_TRY_COUNT if is_absent else 1)
                self._context.timers.after(delay_s, lambda: self._clean_up(next_tries))

        self._context.table.txn(Txn(reads=(Range(self._path),)), done)


def is_incarnation_live(context: Context, router: str, incarnation: int) -> bool:
    """Whether an incarnation of a router is live, according to this router's fleet view."""
    info = context.view.info(router)
    if info is None or router not in context.view.live_routers(context.now()):
        return False
    return info.incarnation == incarnation


def _decode_attempt(row: Row) -> str:
    try:
        return KeyRow.decode(row.value).attempt
    except msgspec.MsgspecError:
        return ""
