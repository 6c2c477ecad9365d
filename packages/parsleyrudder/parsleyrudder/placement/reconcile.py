"""Reconciliation of engines' reported state with their wanted state by orders to load a model.

An order that was lost, refused, or overridden by a delayed order of an earlier lease holder leaves
a difference between wanted and reported state, and is therefore sent again.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from ..table import Compare, Put, Txn
from .model import EngineState, ModelSpec, Order

__all__ = ["OrderRules", "Reconciler", "order_authorisation_txn"]


@dataclass(slots=True, frozen=True)
class OrderRules:
    """Limits on orders.

    :ivar loads_per_minute: loads that may start per minute; keeps within the rate limit of the
        weight store.
    :ivar loads_at_once: engines of one group that may be loading at the same time.
    :ivar resend_after_s: time after which an order without a visible effect is sent again.
    :ivar send_margin_s: minimum remaining time of the lease when an order is sent.
    """

    loads_per_minute: float = 6.0
    loads_at_once: int = 1
    resend_after_s: float = 10.0
    send_margin_s: float = 1.0


@dataclass(slots=True)
class Reconciler:
    """Selects the orders to one group of engines, sent under one lease."""

    rules: OrderRules = field(default_factory=OrderRules)
    _last_order_by_server: dict[str, tuple[ModelSpec, float]] = field(default_factory=dict)
    _load_starts: list[float] = field(default_factory=list)

    def due_orders(
        self,
        wanted_by_server: Mapping[str, ModelSpec],
        state_by_server: Mapping[str, EngineState],
        fence: int,
        now: float,
    ) -> list[Order]:
        """Return the orders to send now.

        An engine without a reported state gets no order: it may be down, and the order would only
        use up the weight store's rate limit.

        :param fence: fencing number of the orders: epoch of the lease.
        """
        self._load_starts = [at for at in self._load_starts if now - at < 60.0]
        loading = sum(state.loading is not None for state in state_by_server.values())
        orders = []
        for server in sorted(wanted_by_server):
            wanted, state = wanted_by_server[server], state_by_server.get(server)
            if state is None or wanted in (state.loaded, state.loading):
                continue
            if self._has_pending_order(server, wanted, now):
                loading += 1
                continue
            if loading >= self.rules.loads_at_once:
                break
            if len(self._load_starts) >= self.rules.loads_per_minute:
                break
            orders.append(Order(server, fence, wanted))
            self._last_order_by_server[server] = (wanted, now)
            self._load_starts.append(now)
            loading += 1
        return orders

    def forget_order(self, server: str) -> None:
        """Forget an order that was not sent or was refused, so that it is due again at once."""
        self._last_order_by_server.pop(server, None)

    def _has_pending_order(self, server: str, wanted: ModelSpec, now: float) -> bool:
        ordered, at = self._last_order_by_server.get(server, (None, 0.0))
        return ordered == wanted and now - at < self.rules.resend_after_s


def order_authorisation_txn(lease_key: str, lease_revision: int, audit: Put) -> Txn:
    """Return the transaction that must succeed just before orders are sent.

    It writes their audit record only if the lease is unchanged, so a holder whose process was
    suspended and resumed detects here that it has lost the lease.

    :param lease_revision: revision of the lease row under which the orders are sent.
    """
    return Txn((Compare(lease_key, lease_revision),), (audit,))
