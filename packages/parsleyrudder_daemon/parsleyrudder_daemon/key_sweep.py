"""Removal of expired idempotency keys, by one router of the fleet at a time."""

import logging
import time

from parsleyrudder import (
    KEYS_PREFIX,
    Range,
    TableError,
    Txn,
    TxnResult,
    expired_row_deletes,
    key_txn,
    rendezvous,
)
from parsleyrudder_adapters.logs import log_event

from .context import Context

__all__ = ["KeySweep"]

_LOGGER = logging.getLogger(__name__)
_PAGE_ROWS = 32
_PAGE_PAUSE_S = 0.2
"""With 32 rows per page, 160 rows/s: 13 M rows, the keys of a day at 150/s, take 23 h."""
_PASS_PAUSE_S = 5.0


class KeySweep:
    """Reads the rows in pages and deletes those that have expired."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._after = ""

    def start(self) -> None:
        """Begin; a router that is not the first by hash does nothing."""
        self._context.timers.after(_PASS_PAUSE_S, self._step)

    def _step(self) -> None:
        context = self._context
        first = next(iter(rendezvous("keys", context.view.active_routers(context.now()))), "")
        if first != context.name:
            self._next(_PASS_PAUSE_S, "")
            return
        page = Range(KEYS_PREFIX, prefix=True, after=self._after, limit=_PAGE_ROWS)
        context.table.txn(Txn(reads=(page,)), self._on_page)

    def _on_page(self, result: TxnResult | TableError) -> None:
        if isinstance(result, TableError):
            self._next(_PASS_PAUSE_S, self._after)
            return
        rows = result.rows[0]
        expired = expired_row_deletes(rows, time.time())
        if expired:
            log_event(_LOGGER, "keys_expired", count=len(expired))
            # If a row has changed since it was read, the whole page waits for the next pass.
            self._context.table.txn(key_txn(expired), lambda result: None)
        if len(rows) < _PAGE_ROWS:
            self._next(_PASS_PAUSE_S, "")
        else:
            self._next(_PAGE_PAUSE_S, rows[-1].key)

    def _next(self, delay_s: float, after: str) -> None:
        self._after = after
        self._context.timers.after(delay_s, self._step)
