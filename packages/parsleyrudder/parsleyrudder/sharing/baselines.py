"""Policies to compare fair sharing with: first come first served, fair per router, static split.

A policy is a scheduler for each router and a coordinator; the daemon's pool setting ``policy``
selects it. The ideal, a central queue, needs no policy of its own: it is a fleet of one router.

The baselines use the public interface of the fair classes and rewrite the messages between them,
so a change inside these classes doesn't reach them. They enforce concurrency limits at each router
alone.
"""

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from typing import Any, Protocol

import msgspec

from ..lists import Config
from ..messages import Grant, MemberReport, MemberTotal, Report
from ..outcomes import Failure
from .coordination import Coordinator
from .queueing import WaitingCall
from .scheduling import Choose, PoolScheduler, normalised_shares

__all__ = ["POLICY_BY_NAME", "SharingPolicy"]

_ALL = "*"
_NO_LIMIT = 1_000_000
_KEPT_REPORTS = 100


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


class _DemandCoordinator(Coordinator):
    """Gives slots to routers by the number of their calls, whosever they are.

    All members count as one, so that the fair division is one by demand.
    """

    def set_members(
        self, share_by_member: Mapping[str, float], concurrency_by_member: Mapping[str, int]
    ) -> None:
        self._limits = tuple(sorted(concurrency_by_member.items()))
        super().set_members({_ALL: 1.0}, {_ALL: _NO_LIMIT})

    def on_report(self, report: Report, now: float) -> list[tuple[str, Grant]]:
        whole = self._whole(report.members)
        changed = msgspec.structs.replace(report, members=whole, concurrency=(), carried=())
        return [
            (name, msgspec.structs.replace(grant, concurrency=self._limits, totals=()))
            for name, grant in super().on_report(changed, now)
        ]

    def _whole(self, members: tuple[MemberReport, ...]) -> tuple[MemberReport, ...]:
        """Return one row for all members."""
        if not members:
            return ()
        sums = [
            sum(getattr(member, name) for member in members)
            for name in ("served", "admitted", "running", "waiting", "rest")
        ]
        return (MemberReport(_ALL, *sums),)


class _EvenCoordinator(_DemandCoordinator):
    """Gives every router the same number of slots, used or not."""

    def on_report(self, report: Report, now: float) -> list[tuple[str, Grant]]:
        # Routers give idle slots back while a pool is contended, so it is never said to be.
        return [
            (name, msgspec.structs.replace(grant, contended=False))
            for name, grant in super().on_report(report, now)
        ]

    def _whole(self, members: tuple[MemberReport, ...]) -> tuple[MemberReport, ...]:
        """Return the same endless demand for every router."""
        return (MemberReport(_ALL, 0.0, 0, 0, _NO_LIMIT, 0.0),)


class _LocalScheduler(PoolScheduler):
    """Base of the baselines at a router; keeps concurrency portions that are not used."""

    def __post_init__(self) -> None:
        self.rules = replace(self.rules, concurrency_idle_s=math.inf)
        super().__post_init__()


class _FifoScheduler(_LocalScheduler):
    """Sends first the member whose next call arrived first."""

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

    def finish(self, call: WaitingCall, *args: Any, **options: Any) -> None:
        self._arrival_by_call.pop(call.id, None)
        super().finish(call, *args, **options)

    def cancel(self, call: WaitingCall) -> None:
        self._arrival_by_call.pop(call.id, None)
        super().cancel(call)

    def dispatch(self, now: float, choose: Choose) -> list[WaitingCall]:
        dispatched: list[WaitingCall] = []
        while started := self._dispatch_first(now, choose):
            dispatched += started
        return dispatched

    def _dispatch_first(self, now: float, choose: Choose) -> list[WaitingCall]:
        """Send the earliest call that has a slot."""
        head_by_member: dict[str, WaitingCall] = {}
        for call in self.waiting_calls():
            head_by_member.setdefault(call.member, call)
        for head in sorted(head_by_member.values(), key=lambda c: self._arrival_by_call[c.id]):
            if not self.slots.idle_by_name(now):
                break
            started = super().dispatch(now, _restricted(choose, {head.id}))
            if started:
                return started
        return super().dispatch(now, _restricted(choose, set()))


class _LocalFairScheduler(_LocalScheduler):
    """Orders members by this router's own service alone.

    The totals of each grant are replaced by what the answered report said.
    """

    def __post_init__(self) -> None:
        super().__post_init__()
        self._shares: dict[str, float] = {}
        self._lift_by_member: dict[str, float] = {}
        self._report_by_seq: dict[int, Report] = {}
        self._named: set[str] = set()
        self._floor = 0.0

    def set_config(self, config: Config) -> None:
        super().set_config(config)
        self._shares = normalised_shares(config)

    def report(self, now: float, table_up: bool) -> Report:
        report = super().report(now, table_up)
        self._report_by_seq[report.seq] = report
        self._report_by_seq.pop(report.seq - _KEPT_REPORTS, None)
        self._update_floor([m for m in report.members if m.running or m.waiting])
        return report

    def on_grant(self, grant: Grant, now: float) -> bool:
        report = self._report_by_seq.get(grant.answers)
        members = report.members if report else ()
        totals = tuple(
            MemberTotal(m.member, self._own_time(m), m.served, m.admitted, m.running)
            for m in members
        )
        return super().on_grant(
            msgspec.structs.replace(grant, totals=totals, floor=self._floor), now
        )

    def _own_time(self, member: MemberReport) -> float:
        served = member.served / self._shares.get(member.member, 1.0)
        return self._lift_by_member.get(member.member, 0.0) + served

    def _update_floor(self, active: list[MemberReport]) -> None:
        """Move the floor up, and let members that were idle start there."""
        staying = [self._own_time(member) for member in active if member.member in self._named]
        self._floor = max(self._floor, min(staying, default=self._floor))
        for member in active:
            behind = self._floor - self._own_time(member)
            if member.member not in self._named and behind > 0:
                lift = self._lift_by_member.get(member.member, 0.0)
                self._lift_by_member[member.member] = lift + behind
        self._named = {member.member for member in active}


class _StaticScheduler(_LocalFairScheduler):
    """Lets each member use only its share of the router's slots, and at least one."""

    def dispatch(self, now: float, choose: Choose) -> list[WaitingCall]:
        held = self.slots.total_held()
        running: dict[str, int] = {}
        for call in self.running_calls():
            running[call.member] = running.get(call.member, 0) + 1

        def choose_within_part(call: WaitingCall, idle: Mapping[str, int]) -> str | None:
            part = self._shares.get(call.member, 0.0) / max(1, len(self._shares))
            if running.get(call.member, 0) >= max(1, round(part * held)):
                return None
            server = choose(call, idle)
            if server is not None:
                running[call.member] = running.get(call.member, 0) + 1
            return server

        return super().dispatch(now, choose_within_part)


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


def _restricted(choose: Choose, ids: set[str]) -> Choose:
    """Return a choice that finds servers only for the calls with these ids."""
    return lambda call, idle: choose(call, idle) if call.id in ids else None
