"""Bringing engines to what they should hold: which orders are due.

An order that was lost, refused or overridden by a late order of an earlier lease holder shows as a
difference between wanted and reported state, and is given again.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from ..table import Compare, Put, Txn
from .model import EngineState, Loaded, Order

__all__ = ["OrderRules", "Reconciler", "authorise"]


@dataclass(slots=True, frozen=True)
class OrderRules:
    """Limits on orders.

    :ivar loads_per_minute: loads that may start, so that the weight store's rate is kept.
    :ivar loads_at_once: engines of one group that may be loading at the same time.
    :ivar repeat_s: time after which an order that shows no effect is given again.
    :ivar send_margin_s: time that the lease must still have when an order is sent.
    """

    loads_per_minute: float = 6.0
    loads_at_once: int = 1
    repeat_s: float = 10.0
    send_margin_s: float = 1.0


@dataclass(slots=True)
class Reconciler:
    """Decides on the orders to one group of engines, under one lease."""

    rules: OrderRules = field(default_factory=OrderRules)
    _ordered_at: dict[str, tuple[Loaded, float]] = field(default_factory=dict)
    _starts: list[float] = field(default_factory=list)

    def due(
        self,
        wanted_by_server: Mapping[str, Loaded],
        state_by_server: Mapping[str, EngineState],
        fence: int,
        now: float,
    ) -> list[Order]:
        """Return the orders to give now.

        Engines that have not reported get none: an order to an engine that is down would only use
        up the weight store's rate.

        :param fence: epoch of the lease.
        """
        self._starts = [at for at in self._starts if now - at < 60.0]
        loading = sum(state.loading is not None for state in state_by_server.values())
        orders = []
        for server in sorted(wanted_by_server):
            wanted, state = wanted_by_server[server], state_by_server.get(server)
            if state is None or wanted in (state.loaded, state.loading):
                continue
            if self._was_ordered(server, wanted, now):
                loading += 1
                continue
            if loading >= self.rules.loads_at_once:
                break
            if len(self._starts) >= self.rules.loads_per_minute:
                break
            orders.append(Order(server, fence, wanted))
            self._ordered_at[server] = (wanted, now)
            self._starts.append(now)
            loading += 1
        return orders

    def refused(self, server: str) -> None:
        """Forget an order that was not sent, or that the engine refused."""
        self._ordered_at.pop(server, None)

    def _was_ordered(self, server: str, wanted: Loaded, now: float) -> bool:
        ordered, at = self._ordered_at.get(server, (None, 0.0))
        return ordered == wanted and now - at < self.rules.repeat_s


def authorise(lease_key: str, lease_revision: int, audit: Put) -> Txn:
    """Return the transaction to run just before orders are sent.

    It writes their audit record only if the lease is still the one that they are given under, so a
    holder that was stopped and woke up learns here that it has lost the lease.
    """
    return Txn((Compare(lease_key, lease_revision),), (audit,))
