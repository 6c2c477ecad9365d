"""What targets have stated in their responses: that they leave, or that they want a pause.

A target may state this long before its entry in the store shows it, or while the store is away.
Designed for targets that stop in a planned way under load, and for targets in need that turn away
the requests of some routers for a while.
"""

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..targets import Target

__all__ = ["TargetNotices", "TargetSignals"]

# Time for which a notice of leaving is repeated to other routers, as messages may be lost.
_REPORT_REPEAT_S = 3.0
_MAX_LEAVING = 4096
_MAX_PAUSE_S = 600.0
# Time after a pause in which the number of requests to the target rises again.
_RAMP_S = 1.0


@dataclass(slots=True, frozen=True)
class TargetSignals:
    """What the head of a response states about its target.

    :ivar rate_limit_per_s: requests per second that it accepts from all routers together; None if
        it states no limit.
    :ivar is_leaving: whether it is about to stop.
    :ivar pause_s: seconds for which it wants no further request from this router; 0 for none.
    """

    rate_limit_per_s: float | None = None
    is_leaving: bool = False
    pause_s: float = 0.0


@dataclass(slots=True)
class _Pause:
    """A pause, and the requests that were sent after it.

    :ivar until: time at which the pause ends.
    """

    until: float
    sent_count: int = 0

    def wait_s(self, slots: int, now: float) -> float:
        """Return the time until another request may be sent.

        After the pause one request may be sent at once, and a full load after the ramp time.
        """
        if now < self.until:
            return self.until - now
        next_at = self.until + self.sent_count * _RAMP_S / max(1, slots)
        return max(0.0, next_at - now)


@dataclass(slots=True)
class TargetNotices:
    """Notices by lifetime of a target.

    A target that has stated that it is leaving stays so for this router until its next lifetime,
    whatever its entry says. What other routers have been told is a hint: no requests go to the
    target as long as there is another one.

    :ivar drain_s: time after a notice for which requests that arrive may still be sent to a target
        that is leaving, if there is no other one.
    """

    drain_s: float = 2.0
    _left_at_by_lifetime: OrderedDict[str, float] = field(default_factory=OrderedDict)
    _hinted_lifetimes: set[str] = field(default_factory=set)
    _pause_by_lifetime: dict[str, _Pause] = field(default_factory=dict)

    def record_response(self, lifetime: str, signals: TargetSignals, now: float) -> bool:
        """Record what a response to this router states.

        :returns: whether it is the first one that states that the target is leaving.
        """
        if signals.pause_s > 0.0:
            until = now + min(_MAX_PAUSE_S, signals.pause_s)
            known = self._pause_by_lifetime.get(lifetime)
            # A response that was on its way does not shorten the pause.
            if known is None or until > known.until:
                self._pause_by_lifetime[lifetime] = _Pause(until)
        if not signals.is_leaving or lifetime in self._left_at_by_lifetime:
            return False
        self._left_at_by_lifetime[lifetime] = now
        if len(self._left_at_by_lifetime) > _MAX_LEAVING:
            self._left_at_by_lifetime.popitem(last=False)
        return True

    def record_report(self, lifetimes: Iterable[str]) -> None:
        """Record the targets that have told another router that they are leaving."""
        self._hinted_lifetimes.update(lifetimes)

    def report(self, now: float) -> tuple[str, ...]:
        """Return the targets that have told this router lately that they are leaving."""
        return tuple(
            lifetime
            for lifetime, at in self._left_at_by_lifetime.items()
            if now - at <= _REPORT_REPEAT_S
        )

    def record_sent(self, lifetime: str, now: float) -> None:
        """Count a request that is sent to a target."""
        pause = self._pause_by_lifetime.get(lifetime)
        if pause is not None:
            pause.sent_count += 1
            if now >= pause.until + _RAMP_S:
                del self._pause_by_lifetime[lifetime]

    @property
    def has_leaving(self) -> bool:
        """Whether any target is known to be leaving."""
        return bool(self._left_at_by_lifetime or self._hinted_lifetimes)

    @property
    def has_pauses(self) -> bool:
        """Whether any target gets fewer requests because it wants or wanted a pause."""
        return bool(self._pause_by_lifetime)

    def is_leaving(self, lifetime: str) -> bool:
        """Whether a target is known to be leaving, from its responses to any router."""
        return lifetime in self._left_at_by_lifetime or lifetime in self._hinted_lifetimes

    def is_closed(self, lifetime: str, arrived_at: float) -> bool:
        """Whether a target gets no request that arrived at a given time, as it is leaving."""
        left_at = self._left_at_by_lifetime.get(lifetime)
        return left_at is not None and arrived_at > left_at + self.drain_s

    def is_paused(self, lifetime: str, now: float) -> bool:
        """Whether a target wants no request from this router now."""
        pause = self._pause_by_lifetime.get(lifetime)
        return pause is not None and now < pause.until

    def pause_s(self, target: Target, now: float) -> float:
        """Return the time until this router may send a request to a target, 0 if it may now."""
        pause = self._pause_by_lifetime.get(target.lifetime)
        return pause.wait_s(target.slots, now) if pause else 0.0

    def paused_count(self, now: float) -> int:
        """Return the number of targets that want a pause now."""
        return sum(self.is_paused(lifetime, now) for lifetime in self._pause_by_lifetime)

    def retain(self, lifetimes: set[str]) -> None:
        """Forget the pauses and the hints of all lifetimes except the given ones.

        What a target has told this router is kept, as its entry may be missing for a while only.
        """
        self._hinted_lifetimes &= lifetimes
        for lifetime in [key for key in self._pause_by_lifetime if key not in lifetimes]:
            del self._pause_by_lifetime[lifetime]
