"""The claim of one idempotency key: creation of its row within a bounded time, or its undoing."""

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

__all__ = ["ClaimDone", "Claiming", "KeyClaim", "WriteDone", "table_down"]

_TRIES = 3
_CREATE_RETRY_S = 0.1
_RETRY_AFTER_S = 2.0
_CLEAN_UP_TRIES = 20
_CLEAN_UP_RETRY_S = 0.5
_ABSENT_WEIGHT = 4
"""A row found absent may still be made by a late write, but with each look that is less likely."""

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


def table_down(message: str) -> Failure:
    """Return the refusal of a call whose key could not be claimed."""
    return failure("table_down", message, _RETRY_AFTER_S)


class Claiming:
    """The creation of one row, which a call waits for a bounded time.

    The call is refused when the time is over. What the table did with the write is then found out,
    and a row that it made is removed, as its call was never sent.
    """

    def __init__(
        self, context: Context, task: "KeyTask", path: str, row: KeyRow, done: ClaimDone
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
            if self._tries < _TRIES and self._done is not None:
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
        verdict = resolve_repeat(found, row.revision, self._row.digest, live, time.time())
        if isinstance(verdict, KeyFree):
            if self._tries < _TRIES and self._done is not None:
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
                delay_s = min(5.0, _CLEAN_UP_RETRY_S * 2**tries)
                following = tries + (_ABSENT_WEIGHT if absent else 1)
                self._context.timers.after(delay_s, lambda: self._clean_up(following))

        self._context.table.txn(Txn(reads=(Range(self._path),)), done)


def is_live(context: Context, router: str, incarnation: int) -> bool:
    """Whether a router's incarnation is live as far as this router knows."""
    info = context.view.info(router)
    if info is None or router not in context.view.live_routers(context.now()):
        return False
    return info.incarnation == incarnation


def _attempt_of(row: Row) -> str:
    try:
        return KeyRow.decode(row.value).attempt
    except msgspec.MsgspecError:
        return ""
