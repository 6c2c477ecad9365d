"""Which software version began each stream, for callers that resume a stream at any router.

A stream may go on only at the version that began it. A caller that resumes a stream names the
request that brought its first event, but not the version, and the router that began the stream may
be gone. So while targets of several versions serve in a pool, each router tells a few others, the
holders, about the streams that it begins. The holders of a stream follow from the id of its first
request, so that any router knows whom to ask.

Designed for callers that change routers in the middle of a stream: after a failure of their router,
a reset of its connections, or a new list of addresses.
"""

import hashlib
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..messages import OriginReply, StreamStart

__all__ = ["STREAM_KEY_BYTES", "OriginEvidence", "OriginInquiry", "StreamOrigins", "stream_key"]

STREAM_KEY_BYTES = 8
_MAX_STREAMS = 20_000


def stream_key(request: str) -> bytes:
    """Return the key of the stream whose first event a request has brought.

    :param request: id that the caller gave the request.
    """
    return hashlib.blake2b(request.encode(), digest_size=STREAM_KEY_BYTES).digest()


@dataclass(slots=True)
class _KnownStart:
    start: StreamStart
    at: float
    is_own: bool
    is_unsent: bool


@dataclass(slots=True)
class StreamOrigins:
    """The streams that this router has begun, and those that others have told it of.

    :ivar memory_s: time after its start for which a stream is remembered.
    """

    memory_s: float = 300.0
    _known_by_key: OrderedDict[bytes, _KnownStart] = field(default_factory=OrderedDict)

    def record_own(self, start: StreamStart, is_told: bool, now: float) -> None:
        """Record a stream of this router that has brought its first event.

        :param is_told: whether its holders are told at once.
        """
        self._record(_KnownStart(start, now, is_own=True, is_unsent=not is_told))

    def record_reported(self, starts: Iterable[StreamStart], now: float) -> None:
        """Record streams that other routers have begun."""
        for start in starts:
            self._record(_KnownStart(start, now, is_own=False, is_unsent=False))

    def find(self, key: bytes) -> StreamStart | None:
        """Return the start of a stream, or None if this router does not know it."""
        known = self._known_by_key.get(key)
        return known.start if known else None

    def take_unsent(self, pools: set[str]) -> list[StreamStart]:
        """Return own streams in the given pools that no other router has been told of."""
        unsent = []
        for known in self._known_by_key.values():
            if known.is_unsent and known.start.pool in pools:
                known.is_unsent = False
                unsent.append(known.start)
        return unsent

    def starts_in(self, pools: set[str]) -> list[StreamStart]:
        """Return all known streams in the given pools."""
        return [k.start for k in self._known_by_key.values() if k.start.pool in pools]

    def own_starts_since(self, pools: set[str], since: float) -> list[StreamStart]:
        """Return own streams in the given pools that others were told of and that began lately."""
        starts = []
        for known in reversed(self._known_by_key.values()):
            if known.at < since:
                break
            if known.is_own and not known.is_unsent and known.start.pool in pools:
                starts.append(known.start)
        return starts

    def expire(self, now: float) -> None:
        """Forget streams that began too long ago."""
        while self._known_by_key:
            oldest = next(iter(self._known_by_key.values()))
            if now - oldest.at < self.memory_s:
                return
            self._known_by_key.popitem(last=False)

    def _record(self, known: _KnownStart) -> None:
        self._known_by_key[known.start.key] = known
        self._known_by_key.move_to_end(known.start.key)
        if len(self._known_by_key) > _MAX_STREAMS:
            self._known_by_key.popitem(last=False)


@dataclass(slots=True, frozen=True)
class OriginEvidence:
    """What a router knows of the versions in use, besides the replies to its inquiry.

    :ivar is_history_complete: see :meth:`VersionHistory.is_complete`.
    :ivar targets_confirmed_at: time at which its copy of the targets was known to be up to date.
    :ivar versions_read_at: time at which the last read of the versions in the store was sent.
    :ivar is_store_away: whether the store gives no answer, so that the replies have to do.
    :ivar is_fleet_whole: whether all known routers are active, so that this router and those that
        it asks are not cut off from others that reach the store.
    """

    is_history_complete: bool
    targets_confirmed_at: float
    versions_read_at: float
    is_store_away: bool
    is_fleet_whole: bool


@dataclass(slots=True)
class OriginInquiry:
    """One question to other routers about a stream that a caller resumes.

    :ivar pool: pool in which the stream would go on.
    :ivar began_at: time at which the caller asked for the rest of the stream.
    :ivar versions: versions that the pool's targets have had lately, as far as any router knows.
    :ivar unanswered: names of the routers that were asked and have not replied yet.
    :ivar replied: names of those that have.
    :ivar is_looked_up: whether the stream has been looked up among those that were recorded.
    :ivar is_closed: whether the result has been reported.
    """

    key: bytes
    pool: str
    began_at: float
    versions: set[str]
    start: StreamStart | None = None
    unanswered: set[str] = field(default_factory=set)
    replied: set[str] = field(default_factory=set)
    is_looked_up: bool = False
    is_closed: bool = False

    def record_asked(self, names: Iterable[str]) -> None:
        """Record the routers that are expected to reply now; others are not waited for."""
        self.unanswered = set(names) - self.replied

    def record_reply(self, reply: OriginReply) -> None:
        """Merge the reply of a router."""
        self.unanswered.discard(reply.sender)
        self.replied.add(reply.sender)
        self.versions.update(reply.versions)
        self.start = self.start or reply.start

    @property
    def is_answered(self) -> bool:
        """Whether other routers were asked, and all of them have replied."""
        return bool(self.replied) and not self.unanswered

    def may_infer(self, evidence: OriginEvidence) -> bool:
        """Whether it is certain that all targets have had the same version lately.

        The stream may have begun at a version that has joined since this router last read the
        targets, and the routers that know it may not reply. So both the targets and either the
        versions are to be read, or all asked routers to be heard, after the inquiry began. While
        the store is away from a whole fleet, the routers that reply know what any router knows.
        """
        if len(self.versions) > 1 or not evidence.is_history_complete:
            return False
        is_current = evidence.targets_confirmed_at >= self.began_at
        if is_current and (self.is_answered or evidence.versions_read_at >= self.began_at):
            return True
        return evidence.is_store_away and self.is_answered and evidence.is_fleet_whole

    def inferred_start(self) -> StreamStart:
        """Return where the stream began if :meth:`may_infer` holds."""
        return StreamStart(self.key, self.pool, next(iter(self.versions), ""))
