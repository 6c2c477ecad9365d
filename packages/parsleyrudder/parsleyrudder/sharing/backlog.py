"""Waiting and running calls of one pool at one router, by member.

The backlog owns the counters of the router's incarnation and the estimates of waiting times.
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

_MIN_RETRY_AFTER_S = 1.0
_MAX_RETRY_AFTER_S = 30.0


@dataclass(slots=True)
class Backlog:
    """Waiting and running calls.

    :ivar counters: counters of each member with at least one admitted call, by name.
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
    _expiry_heap: list[tuple[float, str]] = field(default_factory=list)

    def check(self, call: WaitingCall, plan: Plan, now: float) -> Failure | None:
        """Return why a call is refused (queue full, deadline unreachable), or None."""
        counters = self.counters.get(call.member)
        length = len(counters.queue) if counters else 0
        if length >= plan.queue_length:
            text = f"{length} calls of {call.member} wait already"
            return failure("queue_full", text, self.retry_after_s(call, now))
        ahead = counters.queue.count_ahead_of(call) if counters else 0
        drain = self._drain_by_member.get(call.member)
        wait_s = drain.wait_s(ahead, now) if drain else None
        needed_s = (wait_s or 0.0) + self.durations.expected_s(call.member, call.kind, now)
        late_s = now + needed_s - call.deadline
        if late_s <= 0:
            return None
        text = f"expected to need {needed_s:.3g} s, {late_s:.3g} s more than the deadline allows"
        return failure("deadline_unreachable", text, self.retry_after_s(call, now))

    def admit(self, call: WaitingCall, now: float) -> MemberCounters:
        """Count a new call and add it to its member's queue."""
        counters = self.counters.get(call.member)
        if counters is None:
            counters = self.counters[call.member] = MemberCounters(call.member)
        counters.admitted += 1
        call.submitted_at = now
        self._call_by_id[call.id] = call
        self.add(call, now)
        return counters

    def add(self, call: WaitingCall, now: float, at_front: bool = False) -> None:
        """Add a call to its member's queue.

        :param at_front: whether to put it before the member's other calls of its class.
        """
        counters = self.counters[call.member]
        if not counters.queue:
            self.waiting[call.member] = counters
            self._drain_by_member.setdefault(call.member, DrainRate()).begin(now)
        counters.queue.add(call, at_front)
        heapq.heappush(self._expiry_heap, (min(call.queue_until, call.deadline), call.id))

    def may_start_batch(self, held: int, reserve: float, router: str) -> bool:
        """Whether a batch call may start without using the reserve for interactive calls.

        Only running batch calls are counted. The fraction of a slot is rounded up at some routers
        and down at others, depending on a hash of their names, so that the reserves of many small
        portions add up to about the pool's reserve.

        :param held: number of slots that the router holds.
        :param reserve: fraction of them that only interactive calls may use.
        """
        dither = zlib.crc32(router.encode()) / 2**32
        reserved = math.floor(reserve * held + dither)
        return self.batch_running < held - min(reserved, held - 1)

    def start(self, call: WaitingCall, server: str, now: float) -> None:
        """Move a waiting call to the running calls."""
        self._drain_by_member[call.member].on_dispatch(now, waited=now > call.submitted_at)
        self._remove_from_queue(call)
        counters = self.counters[call.member]
        counters.running[call.id] = call
        self.running[call.member] = counters
        self.batch_running += not call.interactive
        call.server, call.started_at = server, now

    def stop(self, call: WaitingCall) -> bool:
        """Remove a call from the running calls; return whether it was running."""
        counters = self.counters[call.member]
        if counters.running.pop(call.id, None) is None:
            return False
        if not counters.running:
            del self.running[call.member]
        self.batch_running -= not call.interactive
        call.server = ""
        return True

    def remove(self, call: WaitingCall) -> None:
        """Remove a call that has ended."""
        self._call_by_id.pop(call.id, None)

    def cancel(self, call: WaitingCall) -> bool:
        """Remove a waiting call; return whether it was waiting."""
        if call.server or self._call_by_id.pop(call.id, None) is None:
            return False
        self._remove_from_queue(call)
        return True

    def expire(self, now: float) -> list[tuple[WaitingCall, Failure]]:
        """Remove and return the calls past their waiting time or deadline, each with the reason."""
        self.durations.record_heartbeat(now)
        expired = []
        while self._expiry_heap and self._expiry_heap[0][0] <= now:
            call = self._call_by_id.get(heapq.heappop(self._expiry_heap)[1])
            if call is None or call.server:
                continue
            code = "queue_timeout"
            if call.deadline < call.queue_until:
                code = "deadline_unreachable"
            retry_after_s = self.retry_after_s(call, now)
            expired.append((call, failure(code, "no slot became free in time", retry_after_s)))
            self.cancel(call)
        return expired

    def retry_after_s(self, call: WaitingCall, now: float) -> float:
        """Return the time before a retry: the expected time until the member's queue is empty."""
        counters = self.counters.get(call.member)
        drain = self._drain_by_member.get(call.member)
        wait_s = drain.wait_s(len(counters.queue), now) if drain and counters else None
        return min(_MAX_RETRY_AFTER_S, max(_MIN_RETRY_AFTER_S, wait_s or 0.0))

    def _remove_from_queue(self, call: WaitingCall) -> None:
        counters = self.counters[call.member]
        counters.queue.remove(call)
        if not counters.queue:
            del self.waiting[call.member]
