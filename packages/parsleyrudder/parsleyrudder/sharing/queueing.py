"""Calls of one pool that wait at one router, by member and class."""

import math
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field

__all__ = ["MemberQueue", "WaitingCall"]


@dataclass(slots=True, eq=False)
class WaitingCall:
    """A call that waits for a slot, or runs on one.

    :ivar id: unique to this router.
    :ivar kind: what distinguishes cheap calls from costly ones in cost estimates.
    :ivar estimate: expected cost.
    :ivar queue_until: monotonic time at which it is refused if it still waits.
    :ivar deadline: monotonic time after which its answer is of no use.
    :ivar charged: cost accrued so far.
    :ivar submitted_at: monotonic time at which it began to wait.
    :ivar started_at: monotonic time of its last dispatch.
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
    def rest(self) -> float:
        """Estimated cost still to come; a tenth of the estimate once that is used up."""
        return max(self.estimate - self.charged, 0.1 * self.estimate)


@dataclass(slots=True)
class MemberQueue:
    """Waiting calls of one member; interactive ones first, each class in order of arrival."""

    interactive: deque[WaitingCall] = field(default_factory=deque)
    batch: deque[WaitingCall] = field(default_factory=deque)

    def __len__(self) -> int:
        return len(self.interactive) + len(self.batch)

    def __iter__(self) -> Iterator[WaitingCall]:
        yield from self.interactive
        yield from self.batch

    def add(self, call: WaitingCall, first: bool = False) -> None:
        """Add a call.

        :param first: put it before the others of its class, as after a failed attempt.
        """
        calls = self.interactive if call.interactive else self.batch
        if first:
            calls.appendleft(call)
        else:
            calls.append(call)

    def ahead_of(self, call: WaitingCall) -> int:
        """Return the number of calls that would go before a new call."""
        return len(self.interactive) if call.interactive else len(self)

    def head(self, batch_allowed: bool) -> WaitingCall | None:
        """Return the call to dispatch next, or None."""
        if self.interactive:
            return self.interactive[0]
        return self.batch[0] if self.batch and batch_allowed else None

    def remove(self, call: WaitingCall) -> None:
        """Remove a waiting call.

        :raises ValueError: if it does not wait here.
        """
        (self.interactive if call.interactive else self.batch).remove(call)
