"""Order of members at one router: the coordinator's virtual times plus the router's own service.

:class:`LocalOrder` owns the last totals from the coordinator and a heap of the members with waiting
calls.
"""

import heapq
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from ..messages import Carried, MemberReport, MemberTotal
from .queueing import MemberQueue, WaitingCall

__all__ = ["LocalOrder", "MemberCounters"]

_MAX_STALE_ENTRIES = 64


@dataclass(slots=True)
class MemberCounters:
    """One member's calls at this router since the start of the router's incarnation.

    :ivar served: cost accrued.
    :ivar admitted: number of calls admitted.
    """

    member: str
    served: float = 0.0
    admitted: int = 0
    queue: MemberQueue = field(default_factory=MemberQueue)
    running: dict[str, WaitingCall] = field(default_factory=dict)

    def report(self) -> MemberReport:
        """Return the counters as a part of a report."""
        return MemberReport(
            member=self.member,
            served=self.served,
            admitted=self.admitted,
            running=len(self.running),
            waiting=len(self.queue),
            remaining_cost=sum(call.remaining_cost for call in self.running.values()),
        )


@dataclass(slots=True)
class _LastTotal:
    """The coordinator's last total of a member, and this router's report that it includes."""

    total: MemberTotal
    local_report: MemberReport


@dataclass(slots=True)
class LocalOrder:
    """Virtual times of members at one router.

    :ivar quantum: cost assumed for each running call.
    :ivar floor: lower bound of all virtual times.
    :ivar _received_in_epoch: members with totals from the current coordinator.
    :ivar _heap: virtual times and names of members with waiting calls; may hold outdated entries.
    """

    quantum: float
    floor: float = 0.0
    share_by_member: dict[str, float] = field(default_factory=dict)
    _last_total_by_member: dict[str, _LastTotal] = field(default_factory=dict)
    _received_in_epoch: set[str] = field(default_factory=set)
    _heap: list[tuple[float, str]] = field(default_factory=list)

    def virtual_time(self, counters: MemberCounters) -> float:
        """Return a member's virtual time, counting each running call as one quantum."""
        share = self.share_by_member.get(counters.member, 1.0)
        last = self._last_total_by_member.get(counters.member)
        if last is None:
            return self.floor + len(counters.running) * self.quantum / share
        running = last.total.running + len(counters.running) - last.local_report.running
        local_served = counters.served - last.local_report.served
        return (
            max(last.total.virtual_time, self.floor)
            + (local_served + max(0, running) * self.quantum) / share
        )

    def on_totals(
        self, totals: Iterable[MemberTotal], local_report_by_member: Mapping[str, MemberReport]
    ) -> list[tuple[MemberTotal, MemberReport]]:
        """Store totals; return each with this router's report that it includes."""
        accepted = []
        for total in totals:
            local_report = local_report_by_member.get(total.member)
            if local_report is not None:
                self._last_total_by_member[total.member] = _LastTotal(total, local_report)
                self._received_in_epoch.add(total.member)
                accepted.append((total, local_report))
        return accepted

    def is_counted(self, counters: MemberCounters) -> bool:
        """Whether the totals include all the service and admissions of a member at this router."""
        last = self._last_total_by_member.get(counters.member)
        if last is None:
            return not counters.admitted
        local_report = last.local_report
        return (local_report.served, local_report.admitted) == (counters.served, counters.admitted)

    def begin_epoch(self) -> None:
        """Await totals of a new coordinator, which is sent the previous coordinator's times."""
        self._received_in_epoch.clear()

    def carried(self, members: Iterable[str]) -> tuple[Carried, ...]:
        """Return the members' times from the previous coordinator that the new one lacks."""
        result = []
        for name in members:
            last = self._last_total_by_member.get(name)
            if last is not None and name not in self._received_in_epoch:
                local_report = last.local_report
                result.append(
                    Carried(
                        name, last.total.virtual_time, local_report.served, local_report.admitted
                    )
                )
        return tuple(result)

    def rebuild(self, waiting: Iterable[MemberCounters]) -> None:
        """Rebuild the heap of members with waiting calls, as after new totals."""
        self._heap = [(self.virtual_time(counters), counters.member) for counters in waiting]
        heapq.heapify(self._heap)

    def add(self, counters: MemberCounters, waiting: Mapping[str, MemberCounters]) -> None:
        """Add a member whose virtual time may have decreased or whose calls begin to wait."""
        if len(self._heap) > 2 * len(waiting) + _MAX_STALE_ENTRIES:
            self.rebuild(waiting.values())
        else:
            heapq.heappush(self._heap, (self.virtual_time(counters), counters.member))

    def pop(self, waiting: Mapping[str, MemberCounters]) -> MemberCounters | None:
        """Remove and return the member with the lowest virtual time that has waiting calls.

        An outdated entry can only be too low, because a member whose virtual time decreases is
        added again. An entry that is too low is replaced by the current virtual time.
        """
        while self._heap:
            key, name = self._heap[0]
            counters = waiting.get(name)
            if counters is None:
                heapq.heappop(self._heap)
                continue
            now = self.virtual_time(counters)
            if now <= key:
                heapq.heappop(self._heap)
                return counters
            heapq.heapreplace(self._heap, (now, name))
        return None
