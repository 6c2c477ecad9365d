"""Crashes of targets as one router observes them, with the requests that may have caused them.

A crash interrupts all requests that the target runs, sound ones too. What a request may crash a
target by is called a suspect: the request itself, if it comes again, or a part of its prompt, which
other requests may share.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from ..messages import SuspectKind

__all__ = ["Crash", "CrashEvidence", "Suspect"]


class Suspect(NamedTuple):
    """Something that may crash the targets of a pool.

    :ivar id: id of the part, or digest of the request; see :func:`repeat_digest`.
    """

    pool: str
    kind: SuspectKind
    id: str


@dataclass(slots=True, frozen=True)
class Crash:
    """A crash of a target, with the suspects of one request that it interrupted.

    :ivar lifetime: lifetime of the target; see :attr:`Target.lifetime`.
    :ivar at: time in seconds.
    """

    lifetime: str
    suspects: tuple[Suspect, ...]
    at: float


@dataclass(slots=True)
class _OpenSend:
    suspects: tuple[Suspect, ...]
    sent_at: float
    is_responding: bool = False

    def suspects_if_broken(self) -> tuple[Suspect, ...]:
        """Return what may have crashed the target, if the send breaks off now.

        Parts are sound once the response has begun. The request is suspected until its response is
        complete, because a target may crash at any time while it runs the request.
        """
        if not self.is_responding:
            return self.suspects
        return _of_kind(self.suspects, SuspectKind.REQUEST)


@dataclass(slots=True)
class _TargetSends:
    """Sends of this router to one lifetime of a target.

    :ivar newest_responding_at: time of the newest send to which a response has begun.
    """

    open_by_request: dict[str, _OpenSend] = field(default_factory=dict)
    newest_responding_at: float = float("-inf")

    def is_alive_after(self, at: float) -> bool:
        """Whether a response shows that the target is alive after a given time."""
        return self.newest_responding_at > at or any(
            send.is_responding for send in self.open_by_request.values()
        )


@dataclass(slots=True)
class CrashEvidence:
    """The sends of one router, and those that broke off and may be due to a crash.

    :ivar confirm_s: time after a broken send in which other responses of the same target show that
        the target has not crashed.
    """

    confirm_s: float = 0.25
    _sends_by_lifetime: dict[str, _TargetSends] = field(default_factory=dict)
    _breaks: list[Crash] = field(default_factory=list)

    def record_sent(
        self, lifetime: str, request: str, suspects: tuple[Suspect, ...], now: float
    ) -> None:
        """Record that a request is sent to a target."""
        sends = self._sends_by_lifetime.setdefault(lifetime, _TargetSends())
        sends.open_by_request[request] = _OpenSend(suspects, now)

    def record_response(self, lifetime: str, request: str) -> tuple[Suspect, ...]:
        """Record that the response to a request has begun; return the suspects that are sound."""
        sends = self._sends_by_lifetime.get(lifetime)
        send = sends.open_by_request.get(request) if sends else None
        if sends is None or send is None:
            return ()
        send.is_responding = True
        sends.newest_responding_at = max(sends.newest_responding_at, send.sent_at)
        return _of_kind(send.suspects, SuspectKind.PART)

    def record_complete(self, lifetime: str, request: str) -> tuple[Suspect, ...]:
        """Record that the response is complete; return the suspects that are sound."""
        send = self._close(lifetime, request)
        return send.suspects if send is not None else ()

    def record_broken(self, lifetime: str, request: str, now: float) -> None:
        """Record that the connection failed after the request was sent."""
        send = self._close(lifetime, request)
        suspects = send.suspects_if_broken() if send is not None else ()
        if suspects:
            self._breaks.append(Crash(lifetime, suspects, now))

    def record_cancelled(self, lifetime: str, request: str) -> None:
        """Record an end that says nothing about the request."""
        self._close(lifetime, request)

    def retain(self, lifetimes: set[str]) -> None:
        """Forget the sends to lifetimes that are not among the given ones and have none open."""
        self._sends_by_lifetime = {
            lifetime: sends
            for lifetime, sends in self._sends_by_lifetime.items()
            if lifetime in lifetimes or sends.open_by_request
        }

    def confirm(self, now: float) -> list[Crash]:
        """Return the crashes that are now certain.

        A broken send to a target that goes on to respond to other requests was no crash.
        """
        due = [broken for broken in self._breaks if now - broken.at >= self.confirm_s]
        if not due:
            return []
        self._breaks = [broken for broken in self._breaks if now - broken.at < self.confirm_s]
        return [broken for broken in due if not self._is_alive_after(broken)]

    def _is_alive_after(self, broken: Crash) -> bool:
        sends = self._sends_by_lifetime.get(broken.lifetime)
        return sends is not None and sends.is_alive_after(broken.at)

    def _close(self, lifetime: str, request: str) -> _OpenSend | None:
        sends = self._sends_by_lifetime.get(lifetime)
        return sends.open_by_request.pop(request, None) if sends else None


def _of_kind(suspects: tuple[Suspect, ...], kind: SuspectKind) -> tuple[Suspect, ...]:
    return tuple(suspect for suspect in suspects if suspect.kind is kind)
