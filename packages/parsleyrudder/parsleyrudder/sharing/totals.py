"""Fleet-wide service totals and virtual times of one pool, summed from routers' reports."""

import heapq
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from ..messages import Carried, MemberReport, MemberTotal

__all__ = ["ServiceTotals"]


@dataclass(slots=True)
class _MemberState:
    """Totals of one member, and its calls by router."""

    virtual_time: float = 0.0
    served: float = 0.0
    admitted: int = 0
    running: int = 0
    waiting: int = 0
    remaining_cost: float = 0.0
    running_by_router: dict[str, int] = field(default_factory=dict)
    waiting_by_router: dict[str, int] = field(default_factory=dict)
    remaining_cost_by_router: dict[str, float] = field(default_factory=dict)

    def set_calls(
        self, router: str, running: int, waiting: int, remaining_cost: float = 0.0
    ) -> None:
        self.remaining_cost += remaining_cost - self.remaining_cost_by_router.pop(router, 0.0)
        if remaining_cost:
            self.remaining_cost_by_router[router] = remaining_cost
        self.running += running - self.running_by_router.pop(router, 0)
        self.waiting += waiting - self.waiting_by_router.pop(router, 0)
        if running:
            self.running_by_router[router] = running
        if waiting:
            self.waiting_by_router[router] = waiting


@dataclass(slots=True)
class _RouterCounts:
    """Amounts included in the totals from one incarnation of a router, by member.

    :ivar reported_members: members listed in its last report.
    """

    incarnation: int
    served_by_member: dict[str, float] = field(default_factory=dict)
    admitted_by_member: dict[str, int] = field(default_factory=dict)
    reported_members: set[str] = field(default_factory=set)


@dataclass(slots=True)
class ServiceTotals:
    """Virtual time of each member: service received fleet-wide, divided by share.

    Reports carry cumulative values, so lost or repeated reports cause no lasting error. A report
    affects only the members that it or the previous report of the router lists.

    A member *contends* while calls of it wait and it runs fewer calls than its concurrency limit.
    Only contending members determine the floor. A member that runs all its calls, or as many as its
    limit allows, falls behind because it asks for no more; its low virtual time would otherwise
    become credit for itself and for every member that starts at the floor.

    :ivar floor: virtual time at which members start to contend: the lowest of the contending
        members or, if there is none, the highest of the members with calls; never decreases.
    :ivar _heap: virtual times and names of contending members; may hold outdated entries.
    """

    share_by_member: dict[str, float] = field(default_factory=dict)
    limit_by_member: dict[str, int] = field(default_factory=dict)
    floor: float = 0.0
    _members: dict[str, _MemberState] = field(default_factory=dict)
    _counts_by_router: dict[str, _RouterCounts] = field(default_factory=dict)
    _active: set[str] = field(default_factory=set)
    _contending: set[str] = field(default_factory=set)
    _heap: list[tuple[float, str]] = field(default_factory=list)

    def add(
        self,
        router: str,
        incarnation: int,
        reports: Iterable[MemberReport],
        carried: Iterable[Carried] = (),
        floor: float = 0.0,
    ) -> None:
        """Add one router's report; members that it does not list have no calls at the router.

        :param carried: virtual times from the previous coordinator; each is applied once.
        :param floor: floor known to the router, possibly from the previous coordinator.
        """
        counts = self._counts_by_router.get(router)
        if counts is None or counts.incarnation != incarnation:
            reported_members = counts.reported_members if counts else set()
            counts = self._counts_by_router[router] = _RouterCounts(
                incarnation, reported_members=reported_members
            )
        self._apply_carried(counts, carried, floor)
        before = counts.reported_members
        counts.reported_members = set()
        for report in reports:
            counts.reported_members.add(report.member)
            self._add_member_report(counts, router, report)
        for name in before - counts.reported_members:
            self._members[name].set_calls(router, 0, 0)
        self._update_contending(before | counts.reported_members)

    def remove_router(self, router: str) -> None:
        """Remove the calls of a lost router; the service that it reported stays counted."""
        counts = self._counts_by_router.get(router)
        if counts is None:
            return
        reported_members, counts.reported_members = counts.reported_members, set()
        for name in reported_members:
            self._members[name].set_calls(router, 0, 0)
        self._update_contending(reported_members)

    def cap_lead(self, bound: float) -> None:
        """Limit the lead of members over the floor, as after a partition.

        A member whose virtual time is far above the floor would otherwise starve until the others
        have received as much service.

        :param bound: maximum lead, in cost units per share.
        """
        for member in self._members.values():
            member.virtual_time = min(member.virtual_time, self.floor + bound)
        self._heap = [(self._members[name].virtual_time, name) for name in self._contending]
        heapq.heapify(self._heap)

    def active(self) -> list[str]:
        """Return the members with waiting or running calls, by name."""
        return sorted(self._active)

    def waiting_total(self) -> int:
        """Return the number of waiting calls in the fleet."""
        return sum(sum(self.waiting(member).values()) for member in self._active)

    def share(self, member: str) -> float:
        """Return a member's share; members without a configured share have share 1."""
        return self.share_by_member.get(member, 1.0)

    def demand(self, member: str) -> int:
        """Return the number of a member's waiting and running calls."""
        state = self._members[member]
        return state.running + state.waiting

    def running(self, member: str) -> Mapping[str, int]:
        """Return the number of a member's running calls by router, without zeros."""
        return self._members[member].running_by_router

    def waiting(self, member: str) -> Mapping[str, int]:
        """Return the number of a member's waiting calls by router, without zeros."""
        return self._members[member].waiting_by_router

    def virtual_time(self, member: str) -> float:
        """Return a member's virtual time, which is at least the floor."""
        return max(self._members[member].virtual_time, self.floor)

    def max_remaining_cost(self) -> float:
        """Return the highest mean remaining cost of the running calls of any member."""
        states = (self._members[name] for name in self._active)
        return max(
            (state.remaining_cost / state.running for state in states if state.running), default=0.0
        )

    def total(self, member: str) -> MemberTotal:
        """Return the totals of a member for a grant."""
        state = self._members[member]
        return MemberTotal(
            member, self.virtual_time(member), state.served, state.admitted, state.running
        )

    def _apply_carried(
        self, counts: _RouterCounts, carried: Iterable[Carried], floor: float
    ) -> None:
        for item in carried:
            if item.member in counts.served_by_member:
                continue
            member = self._member(item.member)
            member.virtual_time = max(member.virtual_time, item.virtual_time)
            counts.served_by_member[item.member] = item.included_served
            counts.admitted_by_member[item.member] = item.included_admitted
        if floor > self.floor:
            # Other routers may have reported before, with members that had no virtual time yet.
            self.floor = floor
            for name in self._contending:
                self._members[name].virtual_time = max(self._members[name].virtual_time, floor)

    def _add_member_report(self, counts: _RouterCounts, router: str, report: MemberReport) -> None:
        member = self._member(report.member)
        served = report.served - counts.served_by_member.get(report.member, 0.0)
        admitted = report.admitted - counts.admitted_by_member.get(report.member, 0)
        member.virtual_time += max(0.0, served) / self.share(report.member)
        member.served += max(0.0, served)
        member.admitted += max(0, admitted)
        counts.served_by_member[report.member] = report.served
        counts.admitted_by_member[report.member] = report.admitted
        member.set_calls(router, report.running, report.waiting, report.remaining_cost)

    def _member(self, name: str) -> _MemberState:
        member = self._members.get(name)
        if member is None:
            member = self._members[name] = _MemberState(virtual_time=self.floor)
        return member

    def _contends(self, name: str, member: _MemberState) -> bool:
        return member.waiting > 0 and member.running < self.limit_by_member.get(name, math.inf)

    def _update_contending(self, names: Iterable[str]) -> None:
        """Raise the floor, then start newly contending members at the floor or above."""
        starting = []
        highest = 0.0
        for name in names:
            member = self._members[name]
            if member.running or member.waiting:
                self._active.add(name)
            else:
                self._active.discard(name)
            if not self._contends(name, member):
                self._contending.discard(name)
                highest = max(highest, member.virtual_time)
            elif name not in self._contending:
                starting.append(name)
        self.floor = max(self.floor, self._min_contending(highest))
        for name in starting:
            member = self._members[name]
            member.virtual_time = max(member.virtual_time, self.floor)
            self._contending.add(name)
            heapq.heappush(self._heap, (member.virtual_time, name))

    def _min_contending(self, default: float) -> float:
        """Return the lowest virtual time of the contending members, or a default if there are none.

        Virtual times only increase, so an outdated heap entry can only be too low. It is corrected
        when it reaches the top.
        """
        heap = self._heap
        while heap:
            virtual_time, name = heap[0]
            now = self._members[name].virtual_time
            if name not in self._contending:
                heapq.heappop(heap)
            elif now > virtual_time:
                heapq.heapreplace(heap, (now, name))
            else:
                return virtual_time
        return default
