"""Order of members at one router: the coordinator's virtual times plus the router's own service.

It owns what the coordinator said last, and a heap of the members whose calls wait.
"""

import heapq
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from ..messages import Carried, MemberReport, MemberTotal
from .queueing import MemberQueue, WaitingCall

__all__ = ["LocalOrder", "MemberCounters"]

_SPARE_ENTRIES = 64


@dataclass(slots=True)
class MemberCounters:
    """One member's calls at this router since the start of its incarnation.

    :ivar served: cost accrued.
    :ivar admitted: calls admitted.
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
            rest=sum(call.rest for call in self.running.values()),
        )


@dataclass(slots=True)
class _Known:
    """What the coordinator said last of a member, and the own report that it includes."""

    total: MemberTotal
    own: MemberReport


@dataclass(slots=True)
class LocalOrder:
    """Virtual times of members at one router.

    :ivar quantum: cost counted for each running call.
    :ivar floor: virtual time that no member is below.
    """

    quantum: float
    floor: float = 0.0
    share_by_member: dict[str, float] = field(default_factory=dict)
    _known: dict[str, _Known] = field(default_factory=dict)
    _from_epoch: set[str] = field(default_factory=set)
    _heap: list[tuple[float, str]] = field(default_factory=list)

    def virtual_time(self, counters: MemberCounters) -> float:
        """Return a member's virtual time with its running calls counted as one quantum each."""
        share = self.share_by_member.get(counters.member, 1.0)
        known = self._known.get(counters.member)
        if known is None:
            return self.floor + len(counters.running) * self.quantum / share
        running = known.total.running + len(counters.running) - known.own.running
        own = counters.served - known.own.served
        return max(known.total.vt, self.floor) + (own + max(0, running) * self.quantum) / share

    def take_totals(
        self, totals: Iterable[MemberTotal], own_by_member: Mapping[str, MemberReport]
    ) -> list[tuple[MemberTotal, MemberReport]]:
        """Take totals; return each with the own report that it includes."""
        taken = []
        for total in totals:
            own = own_by_member.get(total.member)
            if own is not None:
                self._known[total.member] = _Known(total, own)
                self._from_epoch.add(total.member)
                taken.append((total, own))
        return taken

    def is_counted(self, counters: MemberCounters) -> bool:
        """Whether the totals include all that the member was served and admitted here."""
        known = self._known.get(counters.member)
        if known is None:
            return not counters.admitted
        own = known.own
        return (own.served, own.admitted) == (counters.served, counters.admitted)

    def begin_epoch(self) -> None:
        """Expect totals of a new coordinator, which has to be told what the previous one said."""
        self._from_epoch.clear()

    def carried(self, members: Iterable[str]) -> tuple[Carried, ...]:
        """Return what the previous coordinator said of some members, until the new one answers."""
        result = []
        for name in members:
            known = self._known.get(name)
            if known is not None and name not in self._from_epoch:
                own = known.own
                result.append(Carried(name, known.total.vt, own.served, own.admitted))
        return tuple(result)

    def rebuild(self, waiting: Iterable[MemberCounters]) -> None:
        """Order the members with waiting calls anew, as after new totals."""
        self._heap = [(self.virtual_time(counters), counters.member) for counters in waiting]
        heapq.heapify(self._heap)

    def add(self, counters: MemberCounters, waiting: Mapping[str, MemberCounters]) -> None:
        """Order a member anew whose virtual time may have fallen, or that begins to wait."""
        if len(self._heap) > 2 * len(waiting) + _SPARE_ENTRIES:
            self.rebuild(waiting.values())
        else:
            heapq.heappush(self._heap, (self.virtual_time(counters), counters.member))

    def pop(self, waiting: Mapping[str, MemberCounters]) -> MemberCounters | None:
        """Take out the member with the lowest virtual time among those with waiting calls.

        Virtual times of entries are at most too low, because a member whose time falls is added
        again; an entry that is too low goes back.
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
