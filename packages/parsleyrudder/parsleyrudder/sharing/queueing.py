"""Queues of the calls of one pool that wait at one router, by member and class."""

import math
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

__all__ = ["MemberQueue", "WaitingCall"]


@dataclass(slots=True, eq=False)
class WaitingCall:
    """A call that waits for a slot or runs on one.

    :ivar id: unique at this router.
    :ivar kind: key that separates cheap calls from costly ones in estimates.
    :ivar estimate: expected cost.
    :ivar queue_until: monotonic time at which the call is refused if it is still waiting.
    :ivar deadline: monotonic time after which the answer is useless.
    :ivar charged: cost accrued so far.
    :ivar server: server that the call runs on; empty while it waits.
    :ivar excluded: servers at which an attempt of the call has failed.
    :ivar submitted_at: monotonic time at which the call was first queued.
    :ivar started_at: monotonic time of the last dispatch.
    """

    id: str
    member: str
    kind: str
    interactive: bool
    estimate: float
    queue_until: float
    deadline: float = math.inf
    prompt: str = ""
    charged: float = 0.0
    server: str = ""
    excluded: frozenset[str] = frozenset()
    submitted_at: float = 0.0
    started_at: float = 0.0

    @property
    def remaining_cost(self) -> float:
        """Estimated cost yet to accrue; at least a tenth of the estimate."""
        return max(self.estimate - self.charged, 0.1 * self.estimate)


@dataclass(slots=True)
class MemberQueue:
    """Waiting calls of one member: interactive calls first, each class in order of arrival."""

    interactive: deque[WaitingCall] = field(default_factory=deque)
    batch: deque[WaitingCall] = field(default_factory=deque)

    def __len__(self) -> int:
        return len(self.interactive) + len(self.batch)

    def __iter__(self) -> Iterator[WaitingCall]:
        yield from self.interactive
        yield from self.batch

    def add(self, call: WaitingCall, at_front: bool = False) -> None:
        """Add a call.

        :param at_front: whether to put it before others of its class, as after a failed attempt.
        """
        calls = self.interactive if call.interactive else self.batch
        if at_front:
            calls.appendleft(call)
        else:
            calls.append(call)

    def count_ahead_of(self, call: WaitingCall) -> int:
        """Return the number of calls that would be dispatched before a new call."""
        return len(self.interactive) if call.interactive else len(self)

    def head(self, batch_allowed: bool) -> WaitingCall | None:
        """Return the call to dispatch next, or None."""
        if self.interactive:
            return self.interactive[0]
        return self.batch[0] if self.batch and batch_allowed else None

    def remove(self, call: WaitingCall) -> None:
        """Remove a waiting call.

        :raises ValueError: if the call is not in this queue.
        """
        (self.interactive if call.interactive else self.batch).remove(call)
