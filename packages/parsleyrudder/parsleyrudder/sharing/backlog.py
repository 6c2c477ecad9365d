"""The calls of one pool at one router: those that wait and those that run, by member.

It owns the counters of the router's incarnation and what is learned about waiting times.
"""

import heapq
import math
import zlib
from dataclasses import dataclass, field

from ..lists import Plan
from ..outcomes import Failure, failure
from .local_order import MemberCounters
from .queueing import WaitingCall
from .waits import DrainRate, DurationEstimator

__all__ = ["Backlog"]

_SHORTEST_HINT_S = 1.0
_LONGEST_HINT_S = 30.0


@dataclass(slots=True)
class Backlog:
    """Waiting and running calls.

    :ivar counters: counters of every member that has been admitted.
    :ivar waiting: counters of the members with waiting calls.
    :ivar running: counters of the members with running calls.
    :ivar batch_running: running calls that are not interactive.
    """

    durations: DurationEstimator = field(default_factory=DurationEstimator)
    counters: dict[str, MemberCounters] = field(default_factory=dict)
    waiting: dict[str, MemberCounters] = field(default_factory=dict)
    running: dict[str, MemberCounters] = field(default_factory=dict)
    batch_running: int = 0
    _drain_by_member: dict[str, DrainRate] = field(default_factory=dict)
    _call_by_id: dict[str, WaitingCall] = field(default_factory=dict)
    _expiry: list[tuple[float, str]] = field(default_factory=list)

    def check(self, call: WaitingCall, plan: Plan, now: float) -> Failure | None:
        """Return why a call has no place in the queue, or can't end in time, or None."""
        counters = self.counters.get(call.member)
        length = len(counters.queue) if counters else 0
        if length >= plan.queue_length:
            text = f"{length} calls of {call.member} wait already"
            return failure("queue_full", text, self.wait_hint_s(call, now))
        ahead = counters.queue.ahead_of(call) if counters else 0
        drain = self._drain_by_member.get(call.member)
        wait_s = drain.wait_s(ahead, now) if drain else None
        needed_s = (wait_s or 0.0) + self.durations.expected_s(call.member, call.kind, now)
        late_s = now + needed_s - call.deadline
        if late_s <= 0:
            return None
        text = f"expected to need {needed_s:.3g} s, {late_s:.3g} s more than the deadline allows"
        return failure("deadline_unreachable", text, self.wait_hint_s(call, now))

    def admit(self, call: WaitingCall, now: float) -> MemberCounters:
        """Count a new call and let it wait."""
        counters = self.counters.get(call.member)
        if counters is None:
            counters = self.counters[call.member] = MemberCounters(call.member)
        counters.admitted += 1
        call.submitted_at = now
        self._call_by_id[call.id] = call
        self.add(call, now)
        return counters

    def add(self, call: WaitingCall, now: float, first: bool = False) -> None:
        """Let a call wait.

        :param first: whether before the member's other calls of its class.
        """
        counters = self.counters[call.member]
        if not counters.queue:
            self.waiting[call.member] = counters
            self._drain_by_member.setdefault(call.member, DrainRate()).begin(now)
        counters.queue.add(call, first)
        heapq.heappush(self._expiry, (min(call.queue_until, call.deadline), call.id))

    def may_start_batch(self, held: int, reserve: float, router: str) -> bool:
        """Whether a batch call may start: the reserve counts running batch calls only.

        The part below a whole slot is rounded up at some routers and down at others, by their
        names, so that the reserves of many small portions add up to about the pool's.

        :param held: slots that the router holds.
        :param reserve: part of them that only interactive calls may use.
        """
        dither = zlib.crc32(router.encode()) / 2**32
        reserved = math.floor(reserve * held + dither)
        return self.batch_running < held - min(reserved, held - 1)

    def start(self, call: WaitingCall, server: str, now: float) -> None:
        """Move a waiting call to the running ones."""
        self._drain_by_member[call.member].left(now, waited=now > call.submitted_at)
        self._leave(call)
        counters = self.counters[call.member]
        counters.running[call.id] = call
        self.running[call.member] = counters
        self.batch_running += not call.interactive
        call.server, call.started_at = server, now

    def stop(self, call: WaitingCall) -> bool:
        """Take a call out of the running ones; return whether it ran."""
        counters = self.counters[call.member]
        if counters.running.pop(call.id, None) is None:
            return False
        if not counters.running:
            del self.running[call.member]
        self.batch_running -= not call.interactive
        call.server = ""
        return True

    def forget(self, call: WaitingCall) -> None:
        """Forget a call that has ended."""
        self._call_by_id.pop(call.id, None)

    def cancel(self, call: WaitingCall) -> bool:
        """Remove a call that still waits; return whether it did."""
        if call.server or self._call_by_id.pop(call.id, None) is None:
            return False
        self._leave(call)
        return True

    def expire(self, now: float) -> list[tuple[WaitingCall, Failure]]:
        """Remove the calls whose waiting time or deadline is over, with the reason for each."""
        self.durations.alive(now)
        expired = []
        while self._expiry and self._expiry[0][0] <= now:
            call = self._call_by_id.get(heapq.heappop(self._expiry)[1])
            if call is None or call.server:
                continue
            code = "queue_timeout"
            if call.deadline < call.queue_until:
                code = "deadline_unreachable"
            hint = self.wait_hint_s(call, now)
            expired.append((call, failure(code, "no slot became free in time", hint)))
            self.cancel(call)
        return expired

    def wait_hint_s(self, call: WaitingCall, now: float) -> float:
        """Return the time in which the member's queue drains, as a time to wait before a repeat."""
        counters = self.counters.get(call.member)
        drain = self._drain_by_member.get(call.member)
        wait_s = drain.wait_s(len(counters.queue), now) if drain and counters else None
        return min(_LONGEST_HINT_S, max(_SHORTEST_HINT_S, wait_s or 0.0))

    def _leave(self, call: WaitingCall) -> None:
        counters = self.counters[call.member]
        counters.queue.remove(call)
        if not counters.queue:
            del self.waiting[call.member]
