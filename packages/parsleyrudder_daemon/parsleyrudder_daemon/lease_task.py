"""The table's side of one lease: takes it, renews it, reads who holds it."""

import logging
from collections.abc import Callable, Collection

from parsleyrudder import CoordinatorLease, TableError, TxnResult, rendezvous
from parsleyrudder_adapters.logs import log_event

from .context import Context

__all__ = ["LeaseTask"]

_LOGGER = logging.getLogger(__name__)


class LeaseTask:
    """Owner of one lease's traffic with the table.

    :param on_change: called after each answer of the table.
    """

    def __init__(
        self, context: Context, lease: CoordinatorLease, on_change: Callable[[], None]
    ) -> None:
        self._context = context
        self._lease = lease
        self._on_change = on_change

    def step(self, now: float, others: Collection[str] = ()) -> None:
        """Send the transaction that is due; call it a few times per second.

        :param others: routers that belong to the recorded view besides the live ones.
        """
        self._lease.gone = self._context.gone
        view = {*self._context.view.live_routers(now), *others}
        txn = self._lease.next_txn(now, self._is_candidate(now), view)
        if txn is None:
            return

        def done(result: TxnResult | TableError) -> None:
            up = not isinstance(result, TableError)
            if self._context.table_health.note(up):
                log_event(_LOGGER, "table_up" if up else "table_down", lease=self._lease.pool)
            if isinstance(result, TxnResult):
                self._lease.on_result(txn, result, now, self._context.now())
                self._on_change()

        self._context.table.txn(txn, done)

    def resign(self, clean: bool = False) -> None:
        """Give the lease up; see :meth:`CoordinatorLease.resign`."""
        txn = self._lease.resign(clean)
        if txn is not None:
            self._context.table.txn(txn, lambda result: None)

    def _is_candidate(self, now: float) -> bool:
        """Whether this router should hold the lease: the present holder, or the first by hash.

        A holder whose lease has lapsed is passed over before it leaves the view, because portions
        end sooner than the view notices its silence.
        """
        me, view = self._context.name, self._context.view.active_routers(now)
        holder = self._lease.record.holder if self._lease.record else ""
        if holder in view and (holder == me or not self._lease.has_lapsed(now)):
            return holder == me
        others = [name for name in view if name != holder]
        return next(iter(rendezvous(self._lease.pool, others)), "") == me
