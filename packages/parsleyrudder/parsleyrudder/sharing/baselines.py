"""Sharing policies: fair sharing and baselines for comparison.

The baselines are first come first served, fair queueing per router, and a static split. A policy
consists of a scheduler class and a coordinator class, and is selected by the daemon's pool setting
``policy``. The ideal, a central queue, needs no policy of its own: it is a fleet of one router.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Protocol

from ..lists import Config
from ..outcomes import Failure
from .coordination import Coordinator
from .local_order import LocalOrder, MemberCounters
from .ordering import normalised_shares, split_between_routers
from .queueing import WaitingCall
from .scheduling import PoolScheduler
from .targets import Targets

__all__ = ["POLICY_BY_NAME", "SharingPolicy", "divide_evenly"]


class SharingPolicy(Protocol):
    """Division of slots between routers, and the order of members at a router."""

    @property
    def scheduler(self) -> Callable[..., PoolScheduler]:
        """Factory of the scheduler of one pool at one router."""
        ...

    @property
    def coordinator(self) -> Callable[..., Coordinator]:
        """Factory of the coordinator of one pool."""
        ...


def divide_evenly(count: int, names: list[str]) -> dict[str, int]:
    """Divide slots evenly; a remainder goes to the first names, one slot each.

    >>> divide_evenly(5, ["r1", "r2"])
    {'r1': 3, 'r2': 2}
    """
    return {
        name: count // len(names) + (index < count % len(names)) for index, name in enumerate(names)
    }


class _DemandCoordinator(Coordinator):
    """Divides slots between routers by the number of their calls, regardless of the member."""

    def _compute_targets(self, window: int) -> Targets:
        active = self.totals.active()
        running = _sum_by_router(self.totals.running(member) for member in active)
        waiting = _sum_by_router(self.totals.waiting(member) for member in active)
        slots_by_router = dict.fromkeys(self._routers, 0) | split_between_routers(
            window, running, waiting
        )
        spare = window - sum(slots_by_router.values())
        for name, count in divide_evenly(spare, sorted(self._routers)).items():
            slots_by_router[name] += count
        contended = sum(running.values()) + sum(waiting.values()) > window
        return Targets(slots_by_router, contended)


class _EvenCoordinator(Coordinator):
    """Gives every router the same number of slots, whether used or not."""

    def _compute_targets(self, window: int) -> Targets:
        # Routers release idle slots of a contended pool, so it is never reported as contended.
        return Targets(divide_evenly(window, sorted(self._routers)), False)


class _ArrivalOrder(LocalOrder):
    """Orders members by the arrival of the call at the head of their queues."""

    def __init__(self, quantum: float) -> None:
        super().__init__(quantum)
        self._arrivals = 0
        self._arrival_by_call: dict[str, int] = {}

    def on_arrival(self, call: WaitingCall) -> None:
        """Assign an arrival number to a new call."""
        self._arrivals += 1
        self._arrival_by_call[call.id] = self._arrivals

    def on_end(self, call: WaitingCall) -> None:
        """Remove the arrival number of a call."""
        self._arrival_by_call.pop(call.id, None)

    def virtual_time(self, counters: MemberCounters) -> float:
        head = counters.queue.head(True)
        return float(self._arrival_by_call.get(head.id, 0)) if head else 0.0


class _FifoScheduler(PoolScheduler):
    """First come, first served at each router."""

    def __post_init__(self) -> None:
        super().__post_init__()
        self.order: _ArrivalOrder = _ArrivalOrder(self.estimator.default)

    def submit(self, call: WaitingCall, now: float) -> Failure | None:
        self.order.on_arrival(call)
        refused = super().submit(call, now)
        if refused is not None:
            self.order.on_end(call)
        return refused

    def finish(self, call: WaitingCall, now: float, learn: bool = True) -> None:
        self.order.on_end(call)
        super().finish(call, now, learn)

    def cancel(self, call: WaitingCall) -> None:
        self.order.on_end(call)
        super().cancel(call)


class _OwnServiceOrder(LocalOrder):
    """Orders members by the service at this router only."""

    def __init__(self, quantum: float) -> None:
        super().__init__(quantum)
        self._offset_by_member: dict[str, float] = {}

    def virtual_time(self, counters: MemberCounters) -> float:
        share = self.share_by_member.get(counters.member, 1.0)
        return self._own_virtual_time(counters) + len(counters.running) * self.quantum / share

    def raise_to_lowest(self, counters: MemberCounters, active: Iterable[MemberCounters]) -> None:
        """Raise the virtual time of an idle member to the lowest of the active members."""
        lowest = min((self._own_virtual_time(other) for other in active), default=0.0)
        behind = lowest - self._own_virtual_time(counters)
        if behind > 0:
            name = counters.member
            self._offset_by_member[name] = self._offset_by_member.get(name, 0.0) + behind

    def _own_virtual_time(self, counters: MemberCounters) -> float:
        share = self.share_by_member.get(counters.member, 1.0)
        return self._offset_by_member.get(counters.member, 0.0) + counters.served / share


class _LocalFairScheduler(PoolScheduler):
    """Fair queueing at each router independently."""

    def __post_init__(self) -> None:
        super().__post_init__()
        self.order: _OwnServiceOrder = _OwnServiceOrder(self.estimator.default)

    def submit(self, call: WaitingCall, now: float) -> Failure | None:
        active = self._backlog.waiting | self._backlog.running
        if call.member not in active:
            own = self._backlog.counters.get(call.member) or MemberCounters(call.member)
            self.order.raise_to_lowest(own, active.values())
        return super().submit(call, now)


class _StaticScheduler(_LocalFairScheduler):
    """Limits each member to its share of the router's slots, but at least one slot."""

    def __post_init__(self) -> None:
        super().__post_init__()
        self._fraction_by_member: dict[str, float] = {}

    def set_config(self, config: Config) -> None:
        super().set_config(config)
        shares = normalised_shares(config)
        self._fraction_by_member = {name: share / len(shares) for name, share in shares.items()}

    def _may_start(self, counters: MemberCounters, now: float) -> bool:
        fraction = self._fraction_by_member.get(counters.member, 0.0)
        if len(counters.running) >= max(1, round(fraction * self.slots.total_held())):
            return False
        return super()._may_start(counters, now)


@dataclass(slots=True, frozen=True)
class _Policy:
    """A scheduler class and a coordinator class."""

    scheduler: Callable[..., PoolScheduler]
    coordinator: Callable[..., Coordinator]


POLICY_BY_NAME: dict[str, SharingPolicy] = {
    "fair": _Policy(PoolScheduler, Coordinator),
    "fifo": _Policy(_FifoScheduler, _DemandCoordinator),
    "local-fair": _Policy(_LocalFairScheduler, _EvenCoordinator),
    "static": _Policy(_StaticScheduler, _EvenCoordinator),
}


def _sum_by_router(counts: Iterable[Mapping[str, int]]) -> dict[str, int]:
    total: dict[str, int] = {}
    for count_by_router in counts:
        for router, count in count_by_router.items():
            total[router] = total.get(router, 0) + count
    return total
