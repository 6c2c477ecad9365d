"""Fleet-wide service totals and virtual times of one pool, summed from routers' reports."""

import heapq
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from ..messages import Carried, MemberReport, MemberTotal

__all__ = ["ServiceTotals"]


@dataclass(slots=True)
class _Member:
    """Totals of one member, and its calls by router."""

    vt: float = 0.0
    served: float = 0.0
    admitted: int = 0
    running: int = 0
    waiting: int = 0
    rest: float = 0.0
    running_by_router: dict[str, int] = field(default_factory=dict)
    waiting_by_router: dict[str, int] = field(default_factory=dict)
    rest_by_router: dict[str, float] = field(default_factory=dict)

    def set_calls(self, router: str, running: int, waiting: int, rest: float = 0.0) -> None:
        self.rest += rest - self.rest_by_router.pop(router, 0.0)
        if rest:
            self.rest_by_router[router] = rest
        self.running += running - self.running_by_router.pop(router, 0)
        self.waiting += waiting - self.waiting_by_router.pop(router, 0)
        if running:
            self.running_by_router[router] = running
        if waiting:
            self.waiting_by_router[router] = waiting


@dataclass(slots=True)
class _Counted:
    """What has been added to the totals from one incarnation of a router, by member.

    :ivar named: members that its last report named.
    """

    incarnation: int
    served_by_member: dict[str, float] = field(default_factory=dict)
    admitted_by_member: dict[str, int] = field(default_factory=dict)
    named: set[str] = field(default_factory=set)


@dataclass(slots=True)
class ServiceTotals:
    """Virtual time of each member: service received fleet-wide, divided by share.

    Reports carry cumulative values, so a lost or repeated report changes nothing in the end. A
    report touches only the members that it names or that its predecessor named.

    A member *contends* while calls of it wait and it runs fewer calls than its concurrency limit.
    The floor follows the contending members only: a member that runs all its calls, or as many as
    its limit allows, lags behind by its own choice, and its low virtual time would otherwise
    become credit for itself and for every member that starts at the floor.

    :ivar floor: virtual time at which members start to contend: the lowest of the contending
        members or, if there is none, the highest of the members with calls; never decreases.
    """

    share_by_member: dict[str, float] = field(default_factory=dict)
    limit_by_member: dict[str, int] = field(default_factory=dict)
    floor: float = 0.0
    _members: dict[str, _Member] = field(default_factory=dict)
    _counted: dict[str, _Counted] = field(default_factory=dict)
    _busy: set[str] = field(default_factory=set)
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
        """Add one router's report; members that it does not name have no calls there.

        :param carried: virtual times from the previous coordinator; each counts once.
        :param floor: floor that the router knows, perhaps from the previous coordinator.
        """
        counted = self._counted.get(router)
        if counted is None or counted.incarnation != incarnation:
            named = counted.named if counted else set()
            counted = self._counted[router] = _Counted(incarnation, named=named)
        self._adopt(counted, carried, floor)
        before = counted.named
        counted.named = set()
        for report in reports:
            counted.named.add(report.member)
            self._count(counted, router, report)
        for name in before - counted.named:
            self._members[name].set_calls(router, 0, 0)
        self._update(before | counted.named)

    def drop_router(self, router: str) -> None:
        """Forget the calls of a router that is gone; what it served stays counted."""
        counted = self._counted.get(router)
        if counted is None:
            return
        named, counted.named = counted.named, set()
        for name in named:
            self._members[name].set_calls(router, 0, 0)
        self._update(named)

    def cap(self, bound: float) -> None:
        """Forgive debts above ``bound``, as after a partition.

        :param bound: largest allowed lead over the floor, in cost units per share.
        """
        for member in self._members.values():
            member.vt = min(member.vt, self.floor + bound)
        self._heap = [(self._members[name].vt, name) for name in self._contending]
        heapq.heapify(self._heap)

    def active(self) -> list[str]:
        """Return the members with waiting or running calls, by name."""
        return sorted(self._busy)

    def waiting_total(self) -> int:
        """Return the number of calls that wait anywhere."""
        return sum(sum(self.waiting(member).values()) for member in self._busy)

    def share(self, member: str) -> float:
        """Return a member's weight; members that are not listed have weight 1."""
        return self.share_by_member.get(member, 1.0)

    def demand(self, member: str) -> int:
        """Return the number of a member's waiting and running calls."""
        state = self._members[member]
        return state.running + state.waiting

    def running(self, member: str) -> Mapping[str, int]:
        """Return a member's running calls by router; zeros are left out."""
        return self._members[member].running_by_router

    def waiting(self, member: str) -> Mapping[str, int]:
        """Return a member's waiting calls by router; zeros are left out."""
        return self._members[member].waiting_by_router

    def vt(self, member: str) -> float:
        """Return a member's virtual time, the floor at least."""
        return max(self._members[member].vt, self.floor)

    def longest_rest(self) -> float:
        """Return the largest mean cost, among the members, that a running call has still to run."""
        states = (self._members[name] for name in self._busy)
        return max((state.rest / state.running for state in states if state.running), default=0.0)

    def total(self, member: str) -> MemberTotal:
        """Return the totals of a member for a grant."""
        state = self._members[member]
        return MemberTotal(member, self.vt(member), state.served, state.admitted, state.running)

    def _adopt(self, counted: _Counted, carried: Iterable[Carried], floor: float) -> None:
        for item in carried:
            if item.member in counted.served_by_member:
                continue
            member = self._member(item.member)
            member.vt = max(member.vt, item.vt)
            counted.served_by_member[item.member] = item.counted
            counted.admitted_by_member[item.member] = item.admitted
        if floor > self.floor:
            # The other routers may have reported first, with members that are new to the fleet.
            self.floor = floor
            for name in self._contending:
                self._members[name].vt = max(self._members[name].vt, floor)

    def _count(self, counted: _Counted, router: str, report: MemberReport) -> None:
        member = self._member(report.member)
        served = report.served - counted.served_by_member.get(report.member, 0.0)
        admitted = report.admitted - counted.admitted_by_member.get(report.member, 0)
        member.vt += max(0.0, served) / self.share(report.member)
        member.served += max(0.0, served)
        member.admitted += max(0, admitted)
        counted.served_by_member[report.member] = report.served
        counted.admitted_by_member[report.member] = report.admitted
        member.set_calls(router, report.running, report.waiting, report.rest)

    def _member(self, name: str) -> _Member:
        member = self._members.get(name)
        if member is None:
            member = self._members[name] = _Member(vt=self.floor)
        return member

    def _contends(self, name: str, member: _Member) -> bool:
        return member.waiting > 0 and member.running < self.limit_by_member.get(name, math.inf)

    def _update(self, names: Iterable[str]) -> None:
        """Raise the floor, then start the members at it that begin to contend."""
        starting = []
        highest = 0.0
        for name in names:
            member = self._members[name]
            if member.running or member.waiting:
                self._busy.add(name)
            else:
                self._busy.discard(name)
            if not self._contends(name, member):
                self._contending.discard(name)
                highest = max(highest, member.vt)
            elif name not in self._contending:
                starting.append(name)
        self.floor = max(self.floor, self._lowest(highest))
        for name in starting:
            member = self._members[name]
            member.vt = max(member.vt, self.floor)
            self._contending.add(name)
            heapq.heappush(self._heap, (member.vt, name))

    def _lowest(self, default: float) -> float:
        """Return the lowest virtual time of the contending members.

        Virtual times only grow, so an entry of the heap is at most too low and is corrected when
        it comes to the top.
        """
        heap = self._heap
        while heap:
            vt, name = heap[0]
            now = self._members[name].vt
            if name not in self._contending:
                heapq.heappop(heap)
            elif now > vt:
                heapq.heapreplace(heap, (now, name))
            else:
                return vt
        return default
