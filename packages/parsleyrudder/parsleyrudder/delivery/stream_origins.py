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

__all__ = ["STREAM_KEY_BYTES", "OriginInquiry", "StreamOrigins", "stream_key"]

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


@dataclass(slots=True)
class OriginInquiry:
    """One question to other routers about a stream that a caller resumes.

    :ivar pool: pool in which the stream would go on.
    :ivar asked: names of the routers that have not replied yet.
    :ivar versions: versions that the pool's targets have had lately, as far as any router knows.
    :ivar is_closed: whether no further reply is waited for.
    """

    key: bytes
    pool: str
    asked: set[str]
    versions: set[str]
    start: StreamStart | None = None
    is_closed: bool = False

    def record_reply(self, reply: OriginReply) -> None:
        """Merge the reply of a router."""
        self.asked.discard(reply.sender)
        self.versions.update(reply.versions)
        self.start = self.start or reply.start

    @property
    def is_settled(self) -> bool:
        """Whether no further reply can change the result."""
        return self.start is not None or not self.asked

    def result(self, is_complete: bool, is_current: bool) -> StreamStart | None:
        """Return where the stream began, or None if its version is unknown.

        If all targets have had the same version lately, the stream has begun at that one.

        :param is_complete: see :meth:`VersionHistory.is_complete`.
        :param is_current: whether this router's own knowledge of the targets is up to date; if not,
            other routers may have begun streams at versions that it does not know.
        """
        if self.start is not None or len(self.versions) > 1:
            return self.start
        if not is_complete or (self.asked and not is_current):
            return None
        return StreamStart(self.key, self.pool, next(iter(self.versions), ""))
