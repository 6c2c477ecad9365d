"""Removal of expired idempotency keys; one router of the fleet does it at any time."""

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
    """Periodic removal of expired rows, which are read page by page."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._after = ""

    def start(self) -> None:
        """Start; a router that is not the first by rendezvous hash removes nothing."""
        self._context.timers.after(_PASS_PAUSE_S, self._read_page)

    def _read_page(self) -> None:
        context = self._context
        owner = next(iter(rendezvous("keys", context.view.active_routers(context.now()))), "")
        if owner != context.name:
            self._schedule(_PASS_PAUSE_S, "")
            return
        page = Range(KEYS_PREFIX, prefix=True, after=self._after, limit=_PAGE_ROWS)
        context.table.txn(Txn(reads=(page,)), self._on_page)

    def _on_page(self, result: TxnResult | TableError) -> None:
        if isinstance(result, TableError):
            self._schedule(_PASS_PAUSE_S, self._after)
            return
        rows = result.rows[0]
        expired = expired_row_deletes(rows, time.time())
        if expired:
            log_event(_LOGGER, "keys_expired", count=len(expired))
            # If a row has changed since it was read, none of the page's rows is deleted before the
            # next pass.
            self._context.table.txn(key_txn(expired), lambda result: None)
        if len(rows) < _PAGE_ROWS:
            self._schedule(_PASS_PAUSE_S, "")
        else:
            self._schedule(_PAGE_PAUSE_S, rows[-1].key)

    def _schedule(self, delay_s: float, after: str) -> None:
        self._after = after
        self._context.timers.after(delay_s, self._read_page)
