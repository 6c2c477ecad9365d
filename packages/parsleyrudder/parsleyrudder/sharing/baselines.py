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
from .ordering import split
from .queueing import WaitingCall
from .scheduling import PoolScheduler, normalised_shares

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

    def _targets(self) -> tuple[dict[str, int], dict[str, dict[str, int]], bool]:
        window = sum(self.slots.limit_by_name.values())
        active = self.totals.active()
        running = _sum_by_router(self.totals.running(member) for member in active)
        waiting = _sum_by_router(self.totals.waiting(member) for member in active)
        targets = dict.fromkeys(self._routers, 0) | split(window, running, waiting)
        spare = window - sum(targets.values())
        for name, count in divide_evenly(spare, sorted(self._routers)).items():
            targets[name] += count
        contended = sum(running.values()) + sum(waiting.values()) > window
        return targets, _wanted(self), contended


class _EvenCoordinator(Coordinator):
    """Gives every router the same number of slots, used or not."""

    def _targets(self) -> tuple[dict[str, int], dict[str, dict[str, int]], bool]:
        window = sum(self.slots.limit_by_name.values())
        # Routers give idle slots back while a pool is contended, so it is never said to be.
        return divide_evenly(window, sorted(self._routers)), _wanted(self), False


class _FifoScheduler(PoolScheduler):
    """Orders members by the arrival of the call at the head of their queues."""

    def __post_init__(self) -> None:
        super().__post_init__()
        self._arrivals = 0
        self._arrival_by_call: dict[str, int] = {}

    def submit(self, call: WaitingCall, now: float) -> Failure | None:
        refused = super().submit(call, now)
        if refused is None:
            self._arrivals += 1
            self._arrival_by_call[call.id] = self._arrivals
        return refused

    def finish(self, call: WaitingCall, learn: bool = True) -> None:
        self._arrival_by_call.pop(call.id, None)
        super().finish(call, learn)

    def cancel(self, call: WaitingCall) -> None:
        self._arrival_by_call.pop(call.id, None)
        super().cancel(call)

    def _virtual_time(self, name, counters):  # type: ignore[no-untyped-def]
        head = counters.queue.head(True)
        return float(self._arrival_by_call[head.id]) if head else 0.0


class _LocalFairScheduler(PoolScheduler):
    """Orders members by this router's own service alone."""

    def __post_init__(self) -> None:
        super().__post_init__()
        self._lift_by_member: dict[str, float] = {}

    def submit(self, call: WaitingCall, now: float) -> Failure | None:
        counters = self._members.get(call.member)
        if counters is None or not (counters.queue or counters.running):
            self._lift(call.member)
        return super().submit(call, now)

    def _virtual_time(self, name, counters):  # type: ignore[no-untyped-def]
        share = self._share_by_member.get(name, 1.0)
        return self._own_time(name) + len(counters.running) * self.quantum / share

    def _own_time(self, name: str) -> float:
        counters = self._members.get(name)
        served = counters.served if counters else 0.0
        return self._lift_by_member.get(name, 0.0) + served / self._share_by_member.get(name, 1.0)

    def _lift(self, name: str) -> None:
        """Let a member that has been idle start at the lowest time of the active members."""
        active = [
            self._own_time(other)
            for other, counters in self._members.items()
            if counters.queue or counters.running
        ]
        behind = min(active, default=0.0) - self._own_time(name)
        if behind > 0:
            self._lift_by_member[name] = self._lift_by_member.get(name, 0.0) + behind


class _StaticScheduler(_LocalFairScheduler):
    """Lets each member use only its share of the router's slots, and at least one."""

    def __post_init__(self) -> None:
        super().__post_init__()
        self._part_by_member: dict[str, float] = {}

    def set_config(self, config: Config) -> None:
        super().set_config(config)
        shares = normalised_shares(config)
        self._part_by_member = {name: share / len(shares) for name, share in shares.items()}

    def _next_call(
        self, now: float, idle: Mapping[str, int], skipped: set[str]
    ) -> WaitingCall | None:
        held = self.slots.total_held()
        full = {
            name
            for name, counters in self._members.items()
            if len(counters.running) >= max(1, round(self._part_by_member.get(name, 0.0) * held))
        }
        return super()._next_call(now, idle, skipped | full)


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


def _wanted(coordinator: Coordinator) -> dict[str, dict[str, int]]:
    """Return the calls that each member may run at each router, bounded by its concurrency."""
    totals = coordinator.totals
    wanted = {}
    for member in totals.active():
        limit = coordinator.concurrency.limit_by_name.get(member, 0)
        count = min(totals.demand(member), limit)
        wanted[member] = split(count, totals.running(member), totals.waiting(member))
    return wanted
