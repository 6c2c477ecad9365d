"""Orders to load models, sent to the engines of a pool by the holder of its coordinator lease.

The epoch of the lease is the fencing number. An order states the wanted state of the engine. Just
before orders are sent, they are authorised by a write to the audit trail that succeeds only if the
lease has not changed.
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

__all__ = ["OrderSender", "OrdersTask", "audit_record_put", "wanted_model"]

_LOGGER = logging.getLogger(__name__)
_INTERVAL_S = 2.0


class _AuditRecord(msgspec.Struct):
    """Audit record in the format that is used for operators' actions."""

    time: float
    author: str
    action: str
    target: str


def wanted_model(settings: PoolSettings) -> ModelSpec:
    """Return the model that the engines of a pool should have loaded."""
    return ModelSpec(settings.model or settings.name, settings.version, settings.adapters)


def audit_record_put(router: str, action: str, target: str) -> Put:
    """Return the table write of an audit record."""
    now = time.time()
    key = f"audit/{int(now * 1000):015d}-{uuid.uuid4().hex[:8]}"
    return Put(key, msgspec.json.encode(_AuditRecord(now, f"router {router}", action, target)))


class OrderSender:
    """Polls the state of a group of engines and sends them orders to load models.

    :param address_by_server: addresses of the engines, by id.
    :ivar state_by_server: last reported state of each engine; absent if the last poll failed.
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

    def poll_states(self) -> None:
        """Request the state of all engines; the results are used by the next orders."""
        for server, address in self._address_by_server.items():
            self._read_state(server, address)

    def send_due_orders(
        self, lease: CoordinatorLease, wanted_by_server: Mapping[str, ModelSpec]
    ) -> None:
        """Authorise and send the orders that are due, under a lease that this router holds."""
        now = self._context.now()
        orders = self._reconciler.due_orders(
            wanted_by_server, self.state_by_server, lease.epoch, now
        )
        if not orders:
            return
        target = ", ".join(_describe_order(order) for order in orders)
        audit = audit_record_put(self._context.name, "order", target)

        def on_authorised(result: TxnResult | TableError) -> None:
            allowed = isinstance(result, TxnResult) and result.succeeded
            for order in orders:
                if allowed and self._may_send(lease, order):
                    self._send(order)
                else:
                    self._reconciler.forget_order(order.server)

        self._context.table.txn(
            order_authorisation_txn(lease.key, lease.revision, audit), on_authorised
        )

    def _may_send(self, lease: CoordinatorLease, order: Order) -> bool:
        """Whether the lease is valid for long enough to send an order given in its epoch."""
        margin_s = self._reconciler.rules.send_margin_s
        return lease.is_valid(self._context.now() + margin_s) and lease.epoch == order.fence

    def _read_state(self, server: str, address: str) -> None:
        def on_state(state: EngineState | BackendError) -> None:
            if isinstance(state, EngineState):
                self.state_by_server[server] = state
            else:
                self.state_by_server.pop(server, None)

        self._context.engines.state(address, on_state)

    def _send(self, order: Order) -> None:
        def on_result(result: bool | BackendError) -> None:
            accepted = result is True
            log_event(
                _LOGGER,
                "order_ended",
                server=order.server,
                fence=order.fence,
                model=order.wanted.model,
                accepted=accepted,
                reason=result if isinstance(result, BackendError) else None,
            )
            if not accepted:
                self._reconciler.forget_order(order.server)

        self._context.engines.order(self._address_by_server[order.server], order, on_result)


class OrdersTask:
    """Keeps the engines of the pools that this router coordinates at their wanted models."""

    def __init__(self, context: Context, pools: Iterable[PoolTask]) -> None:
        self._context = context
        orders = context.settings.orders
        self._sender_by_pool = {
            pool: OrderSender(
                context,
                Reconciler(orders.rules(pool.settings.orders_fenced)),
                {server.id: server.address for server in pool.settings.servers},
            )
            for pool in pools
            if pool.settings.kind == "engine"
        }

    def start(self) -> None:
        """Start the periodic reconciliation of the coordinated pools."""
        self._context.timers.every(_INTERVAL_S, self._reconcile)

    def _reconcile(self) -> None:
        now = self._context.now()
        for pool, sender in self._sender_by_pool.items():
            if pool.lease.is_valid(now):
                sender.send_due_orders(
                    pool.lease, dict.fromkeys(sender.state_by_server, wanted_model(pool.settings))
                )
                sender.poll_states()


def _describe_order(order: Order) -> str:
    wanted = order.wanted
    parts = [wanted.model, wanted.version, "+".join(wanted.adapters), wanted.role]
    return f"{order.server} {'/'.join(part for part in parts if part)} fence {order.fence}"
