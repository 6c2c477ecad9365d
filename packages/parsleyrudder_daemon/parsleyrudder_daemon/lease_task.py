"""Table transactions of one lease: acquisition, renewal, and reads of the current holder."""

import logging
from collections.abc import Callable, Collection

from parsleyrudder import CoordinatorLease, TableError, TxnResult, rendezvous
from parsleyrudder_adapters.logs import log_event

from .context import Context

__all__ = ["LeaseTask"]

_LOGGER = logging.getLogger(__name__)


class LeaseTask:
    """Sends the table transactions of one lease.

    :param on_change: called after each result from the table.
    """

    def __init__(
        self, context: Context, lease: CoordinatorLease, on_change: Callable[[], None]
    ) -> None:
        self._context = context
        self._lease = lease
        self._on_change = on_change

    def send_due_txn(self, now: float, other_routers: Collection[str] = ()) -> None:
        """Send the transaction that is due, if any; to be called a few times per second.

        :param other_routers: routers to include in the recorded view besides the live ones.
        """
        self._lease.gone = self._context.gone
        view = {*self._context.view.live_routers(now), *other_routers}
        txn = self._lease.next_txn(now, self._is_candidate(now), view)
        if txn is None:
            return

        def on_result(result: TxnResult | TableError) -> None:
            up = not isinstance(result, TableError)
            if self._context.table_health.record_result(up):
                log_event(_LOGGER, "table_up" if up else "table_down", lease=self._lease.pool)
            if isinstance(result, TxnResult):
                self._lease.on_result(txn, result, now, self._context.now())
                self._on_change()

        self._context.table.txn(txn, on_result)

    def resign(self, clean: bool = False) -> None:
        """Resign the lease, if this router holds it; see :meth:`CoordinatorLease.resign`."""
        txn = self._lease.resign(clean)
        if txn is not None:
            self._context.table.txn(txn, lambda result: None)

    def _is_candidate(self, now: float) -> bool:
        """Whether this router should hold the lease.

        The candidate is the current holder or, if there is none, the first router by rendezvous
        hashing. A holder whose lease has lapsed is skipped even while it is still in the view,
        because portions expire before the view detects that a router is silent.
        """
        own_name, view = self._context.name, self._context.view.active_routers(now)
        holder = self._lease.record.holder if self._lease.record else ""
        if holder in view and (holder == own_name or not self._lease.has_lapsed(now)):
            return holder == own_name
        others = [name for name in view if name != holder]
        return next(iter(rendezvous(self._lease.pool, others)), "") == own_name
