"""Orders to the engines of a pool, given by the holder of the pool's coordinator lease.

The epoch of the lease is the fencing number. Orders state the wanted result; they are authorised by
a write to the audit trail that is conditional on the lease, just before they are sent.
"""

import logging
import time
import uuid
from collections.abc import Iterable, Mapping

import msgspec
from parsleyrudder import (
    BackendError,
    CoordinatorLease,
    EngineState,
    ModelSpec,
    Order,
    Put,
    Reconciler,
    TableError,
    TxnResult,
    order_authorisation_txn,
)
from parsleyrudder_adapters.logs import log_event
from parsleyrudder_adapters.settings import PoolSettings

from .context import Context
from .pool_task import PoolTask

__all__ = ["OrderGiver", "OrdersTask", "audit_record", "wanted_by"]

_LOGGER = logging.getLogger(__name__)
_INTERVAL_S = 2.0


class _AuditRecord(msgspec.Struct):
    """Audit record of some orders, in the form of an operator's action."""

    time: float
    author: str
    action: str
    target: str


def wanted_by(settings: PoolSettings) -> ModelSpec:
    """Return what the engines of a pool should hold."""
    return ModelSpec(settings.model or settings.name, settings.version, settings.adapters)


def audit_record(router: str, action: str, target: str) -> Put:
    """Return the write of an audit record."""
    now = time.time()
    key = f"audit/{int(now * 1000):015d}-{uuid.uuid4().hex[:8]}"
    return Put(key, msgspec.json.encode(_AuditRecord(now, f"router {router}", action, target)))


class OrderGiver:
    """Looks at some engines and orders them to hold what they should.

    :param address_by_server: the engines.
    """

    def __init__(
        self,
        context: Context,
        reconciler: Reconciler,
        address_by_server: Mapping[str, str],
    ) -> None:
        self._context = context
        self._reconciler = reconciler
        self._address_by_server = address_by_server
        self.state_by_server: dict[str, EngineState] = {}

    def look(self) -> None:
        """Ask the engines what they hold; the answers serve the next orders."""
        for server, address in self._address_by_server.items():
            self._ask(server, address)

    def order(self, lease: CoordinatorLease, wanted_by_server: Mapping[str, ModelSpec]) -> None:
        """Give the orders that are due, under a lease that this router holds."""
        now = self._context.now()
        orders = self._reconciler.due_orders(
            wanted_by_server, self.state_by_server, lease.epoch, now
        )
        if not orders:
            return
        target = ", ".join(_describe(order) for order in orders)
        audit = audit_record(self._context.name, "order", target)

        def authorised(result: TxnResult | TableError) -> None:
            allowed = isinstance(result, TxnResult) and result.succeeded
            for order in orders:
                if allowed and self._is_covered(lease, order):
                    self._send(order)
                else:
                    self._reconciler.forget_order(order.server)

        self._context.table.txn(
            order_authorisation_txn(lease.key, lease.revision, audit), authorised
        )

    def _is_covered(self, lease: CoordinatorLease, order: Order) -> bool:
        """Whether the lease still runs for long enough, just before sending."""
        margin_s = self._reconciler.rules.send_margin_s
        return lease.is_valid(self._context.now() + margin_s) and lease.epoch == order.fence

    def _ask(self, server: str, address: str) -> None:
        def done(state: EngineState | BackendError) -> None:
            if isinstance(state, EngineState):
                self.state_by_server[server] = state
            else:
                self.state_by_server.pop(server, None)

        self._context.engines.state(address, done)

    def _send(self, order: Order) -> None:
        def done(taken: bool | BackendError) -> None:
            accepted = taken is True
            log_event(
                _LOGGER,
                "order_ended",
                server=order.server,
                fence=order.fence,
                model=order.wanted.model,
                accepted=accepted,
                reason=taken if isinstance(taken, BackendError) else None,
            )
            if not accepted:
                self._reconciler.forget_order(order.server)

        self._context.engines.order(self._address_by_server[order.server], order, done)


class OrdersTask:
    """Owner of the orders to the engines of the pools that this router coordinates."""

    def __init__(self, context: Context, pools: Iterable[PoolTask]) -> None:
        self._context = context
        orders = context.settings.orders
        self._giver_by_pool = {
            pool: OrderGiver(
                context,
                Reconciler(orders.rules(pool.settings.orders_fenced)),
                {server.id: server.address for server in pool.settings.servers},
            )
            for pool in pools
            if pool.settings.kind == "engine"
        }

    def start(self) -> None:
        """Begin to look at the engines of coordinated pools."""
        self._context.timers.every(_INTERVAL_S, self._step)

    def _step(self) -> None:
        now = self._context.now()
        for pool, giver in self._giver_by_pool.items():
            if pool.lease.is_valid(now):
                giver.order(
                    pool.lease, dict.fromkeys(giver.state_by_server, wanted_by(pool.settings))
                )
                giver.look()


def _describe(order: Order) -> str:
    wanted = order.wanted
    parts = [wanted.model, wanted.version, "+".join(wanted.adapters), wanted.role]
    return f"{order.server} {'/'.join(part for part in parts if part)} fence {order.fence}"
