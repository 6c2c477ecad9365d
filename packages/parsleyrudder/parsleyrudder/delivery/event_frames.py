"""Whole events of a server-sent event stream that is relayed as it is.

Only whole events are passed on: a target may stop in the middle of one, and the part would be
joined with the first event of the target that resumes the stream.
"""

from dataclasses import dataclass, field

from .event_buffer import EventBuffer

__all__ = ["EventFrames"]


@dataclass(slots=True)
class EventFrames:
    """Splits the bytes of one attempt into whole events and keeps the last id.

    :ivar last_id: id of the last event that was passed on; None before the first one.
    :ivar fault: why the stream can't be used any more, or an empty string.
    """

    last_id: int | None = None
    fault: str = ""
    _buffer: EventBuffer = field(default_factory=EventBuffer)

    def begin_attempt(self) -> None:
        """Drop the unfinished event of the attempt before."""
        self._buffer = EventBuffer()
        self.fault = ""

    def feed(self, data: bytes) -> bytes:
        r"""Take received bytes and return the whole events that the caller has not got yet.

        >>> frames = EventFrames(last_id=3)
        >>> frames.feed(b"id: 3\ndata: a\n\nid: 4\ndata: b\n\nid: 5\nda")
        b'id: 4\ndata: b\n\n'
        """
        if self.fault:
            return b""
        passed = [event + b"\n\n" for event in self._buffer.feed(data) if self._passes(event)]
        if self._buffer.is_too_long:
            self.fault = "an event is too large"
        return b"".join(passed)

    @property
    def is_between_events(self) -> bool:
        """Whether no part of an unfinished event is buffered."""
        return self._buffer.is_empty

    def _passes(self, event: bytes) -> bool:
        if self.fault:
            return False
        number = _event_id(event)
        if number is None:
            return True
        if self.last_id is not None:
            if number <= self.last_id:
                return False
            if number != self.last_id + 1:
                self.fault = f"event {number} follows event {self.last_id}"
                return False
        self.last_id = number
        return True


def _event_id(event: bytes) -> int | None:
    """Return the id of an event, or None if it has none that is a number."""
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            text = line[3:].strip()
            return int(text) if text.isdigit() else None
    return None
