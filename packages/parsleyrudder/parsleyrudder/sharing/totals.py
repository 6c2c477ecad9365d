"""Fleet-wide service totals and virtual times of one pool, summed from routers' reports."""

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
    active: bool = False
    running_by_router: dict[str, int] = field(default_factory=dict)
    waiting_by_router: dict[str, int] = field(default_factory=dict)

    @property
    def demand(self) -> int:
        return sum(self.running_by_router.values()) + sum(self.waiting_by_router.values())


@dataclass(slots=True)
class _Counted:
    """What has been added to the totals from one incarnation of a router, by member."""

    incarnation: int
    served_by_member: dict[str, float] = field(default_factory=dict)
    admitted_by_member: dict[str, int] = field(default_factory=dict)


@dataclass(slots=True)
class ServiceTotals:
    """Virtual time of each member: service received fleet-wide, divided by share.

    Reports carry cumulative values, so a lost or repeated report changes nothing in the end.

    :ivar floor: lowest virtual time of the active members; never decreases.
    """

    share_by_member: dict[str, float] = field(default_factory=dict)
    floor: float = 0.0
    _members: dict[str, _Member] = field(default_factory=dict)
    _counted: dict[str, _Counted] = field(default_factory=dict)

    def add(
        self,
        router: str,
        incarnation: int,
        reports: Iterable[MemberReport],
        carried: Iterable[Carried] = (),
    ) -> None:
        """Add one router's report; members that it does not name have no calls there.

        :param carried: virtual times from the previous coordinator, for a first report.
        """
        counted = self._counted.get(router)
        if counted is None or counted.incarnation != incarnation:
            counted = self._counted[router] = _Counted(incarnation)
            self._adopt(counted, carried)
        named = set()
        for report in reports:
            named.add(report.member)
            self._count(counted, router, report)
        for name, member in self._members.items():
            if name not in named:
                member.running_by_router.pop(router, None)
                member.waiting_by_router.pop(router, None)
        self._update_activity()

    def drop_router(self, router: str) -> None:
        """Forget the calls of a router that is gone; what it served stays counted."""
        for member in self._members.values():
            member.running_by_router.pop(router, None)
            member.waiting_by_router.pop(router, None)
        self._update_activity()

    def cap(self, bound: float) -> None:
        """Forgive debts above ``bound``, as after a partition.

        :param bound: largest allowed lead over the floor, in cost units per share.
        """
        for member in self._members.values():
            member.vt = min(member.vt, self.floor + bound)

    def active(self) -> list[str]:
        """Return the members with waiting or running calls, by name."""
        return sorted(name for name, member in self._members.items() if member.active)

    def share(self, member: str) -> float:
        """Return a member's weight; members that are not listed have weight 1."""
        return self.share_by_member.get(member, 1.0)

    def demand(self, member: str) -> int:
        """Return the number of a member's waiting and running calls."""
        return self._members[member].demand

    def running(self, member: str) -> Mapping[str, int]:
        """Return a member's running calls by router."""
        return self._members[member].running_by_router

    def waiting(self, member: str) -> Mapping[str, int]:
        """Return a member's waiting calls by router."""
        return self._members[member].waiting_by_router

    def vt(self, member: str) -> float:
        """Return a member's virtual time."""
        return self._members[member].vt

    def total(self, member: str) -> MemberTotal:
        """Return the totals of a member for a grant."""
        state = self._members[member]
        running = sum(state.running_by_router.values())
        return MemberTotal(member, state.vt, state.served, state.admitted, running)

    def waiting_total(self) -> int:
        """Return the number of calls that wait anywhere."""
        return sum(sum(m.waiting_by_router.values()) for m in self._members.values())

    def _adopt(self, counted: _Counted, carried: Iterable[Carried]) -> None:
        for item in carried:
            member = self._member(item.member)
            member.vt = max(member.vt, item.vt)
            counted.served_by_member[item.member] = item.counted

    def _count(self, counted: _Counted, router: str, report: MemberReport) -> None:
        member = self._member(report.member)
        served = report.served - counted.served_by_member.get(report.member, 0.0)
        admitted = report.admitted - counted.admitted_by_member.get(report.member, 0)
        member.vt += max(0.0, served) / self.share(report.member)
        member.served += max(0.0, served)
        member.admitted += max(0, admitted)
        counted.served_by_member[report.member] = report.served
        counted.admitted_by_member[report.member] = report.admitted
        member.running_by_router[router] = report.running
        member.waiting_by_router[router] = report.waiting

    def _member(self, name: str) -> _Member:
        member = self._members.get(name)
        if member is None:
            member = self._members[name] = _Member(vt=self.floor)
        return member

    def _update_activity(self) -> None:
        """Lift newly active members to the floor, then move the floor up."""
        active = [member for member in self._members.values() if member.demand]
        staying = [member.vt for member in active if member.active]
        if staying:
            self.floor = max(self.floor, min(staying))
        for member in self._members.values():
            if member.demand and not member.active:
                member.vt = max(member.vt, self.floor)
            member.active = member.demand > 0
