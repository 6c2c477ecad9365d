"""Policies to compare fair sharing with: first come first served, fair per router, static split.

A policy is a scheduler for each router and a coordinator; the daemon's pool setting ``policy``
selects it. The ideal, a central queue, needs no policy of its own: it is a fleet of one router.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Protocol

from ..lists import Config
from ..outcomes import Failure
from .coordination import Coordinator
from .local_order import LocalOrder, MemberCounters
from .ordering import normalised_shares, split
from .queueing import WaitingCall
from .scheduling import PoolScheduler
from .targets import Targets

__all__ = ["POLICY_BY_NAME", "SharingPolicy", "divide_evenly"]


class SharingPolicy(Protocol):
    """How slots are divided between routers, and whose call goes next at a router."""

    @property
    def scheduler(self) -> Callable[..., PoolScheduler]:
        """Makes the scheduler of one pool at one router."""
        ...

    @property
    def coordinator(self) -> Callable[..., Coordinator]:
        """Makes the coordinator of one pool."""
        ...


def divide_evenly(count: int, names: list[str]) -> dict[str, int]:
    """Divide slots evenly; the first names get one more if there is a rest.

    >>> divide_evenly(5, ["r1", "r2"])
    {'r1': 3, 'r2': 2}
    """
    return {
        name: count // len(names) + (index < count % len(names)) for index, name in enumerate(names)
    }


class _DemandCoordinator(Coordinator):
    """Gives slots to routers by the number of their calls, whosever they are."""

    def _compute_targets(self, window: int) -> Targets:
        active = self.totals.active()
        running = _sum_by_router(self.totals.running(member) for member in active)
        waiting = _sum_by_router(self.totals.waiting(member) for member in active)
        slots_by_router = dict.fromkeys(self._routers, 0) | split(window, running, waiting)
        spare = window - sum(slots_by_router.values())
        for name, count in divide_evenly(spare, sorted(self._routers)).items():
            slots_by_router[name] += count
        contended = sum(running.values()) + sum(waiting.values()) > window
        return Targets(slots_by_router, contended)


class _EvenCoordinator(Coordinator):
    """Gives every router the same number of slots, used or not."""

    def _compute_targets(self, window: int) -> Targets:
        # Routers give idle slots back while a pool is contended, so it is never said to be.
        return Targets(divide_evenly(window, sorted(self._routers)), False)


class _ArrivalOrder(LocalOrder):
    """Orders members by the arrival of the call at the head of their queues."""

    def __init__(self, quantum: float) -> None:
        super().__init__(quantum)
        self._arrivals = 0
        self._arrival_by_call: dict[str, int] = {}

    def arrived(self, call: WaitingCall) -> None:
        """Number a call that arrives."""
        self._arrivals += 1
        self._arrival_by_call[call.id] = self._arrivals

    def ended(self, call: WaitingCall) -> None:
        """Forget a call."""
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
        self.order.arrived(call)
        refused = super().submit(call, now)
        if refused is not None:
            self.order.ended(call)
        return refused

    def finish(self, call: WaitingCall, now: float, learn: bool = True) -> None:
        self.order.ended(call)
        super().finish(call, now, learn)

    def cancel(self, call: WaitingCall) -> None:
        self.order.ended(call)
        super().cancel(call)


class _OwnServiceOrder(LocalOrder):
    """Orders members by this router's own service alone."""

    def __init__(self, quantum: float) -> None:
        super().__init__(quantum)
        self._lift_by_member: dict[str, float] = {}

    def virtual_time(self, counters: MemberCounters) -> float:
        share = self.share_by_member.get(counters.member, 1.0)
        return self._own_time(counters) + len(counters.running) * self.quantum / share

    def lift(self, counters: MemberCounters, active: Iterable[MemberCounters]) -> None:
        """Let a member that has been idle start at the lowest time of the active members."""
        lowest = min((self._own_time(other) for other in active), default=0.0)
        behind = lowest - self._own_time(counters)
        if behind > 0:
            name = counters.member
            self._lift_by_member[name] = self._lift_by_member.get(name, 0.0) + behind

    def _own_time(self, counters: MemberCounters) -> float:
        share = self.share_by_member.get(counters.member, 1.0)
        return self._lift_by_member.get(counters.member, 0.0) + counters.served / share


class _LocalFairScheduler(PoolScheduler):
    """Fair queueing on each router alone."""

    def __post_init__(self) -> None:
        super().__post_init__()
        self.order: _OwnServiceOrder = _OwnServiceOrder(self.estimator.default)

    def submit(self, call: WaitingCall, now: float) -> Failure | None:
        active = self._backlog.waiting | self._backlog.running
        if call.member not in active:
            own = self._backlog.counters.get(call.member) or MemberCounters(call.member)
            self.order.lift(own, active.values())
        return super().submit(call, now)


class _StaticScheduler(_LocalFairScheduler):
    """Lets each member use only its share of the router's slots, and at least one."""

    def __post_init__(self) -> None:
        super().__post_init__()
        self._part_by_member: dict[str, float] = {}

    def set_config(self, config: Config) -> None:
        super().set_config(config)
        shares = normalised_shares(config)
        self._part_by_member = {name: share / len(shares) for name, share in shares.items()}

    def _may_start(self, counters: MemberCounters, now: float) -> bool:
        part = self._part_by_member.get(counters.member, 0.0)
        if len(counters.running) >= max(1, round(part * self.slots.total_held())):
            return False
        return super()._may_start(counters, now)


@dataclass(slots=True, frozen=True)
class _Policy:
    """A pair of classes."""

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
