"""Filter for a server-sent event stream that is relayed unchanged.

Only complete events are relayed: a target may stop in the middle of one, and the fragment would be
joined with the first event of the target that resumes the stream.
"""

from dataclasses import dataclass, field

from .event_buffer import EventBuffer

__all__ = ["EventFilter"]

# Integers of at most 18 digits have 64 bits.
_MAX_ID_DIGITS = 18


@dataclass(slots=True)
class EventFilter:
    """Splits the bytes of each attempt into complete events and drops those already relayed.

    :ivar last_id: id of the last relayed event; None before the first one.
    :ivar event_count: number of events to relay so far; comments are relayed, but do not count.
    :ivar error: why the rest of the stream is unusable, or an empty string.
    """

    last_id: int | None = None
    event_count: int = 0
    error: str = ""
    _buffer: EventBuffer = field(default_factory=EventBuffer)

    def begin_attempt(self) -> None:
        """Discard the incomplete event of the previous attempt."""
        self._buffer = EventBuffer()
        self.error = ""

    def feed(self, data: bytes) -> bytes:
        r"""Buffer received bytes and return the complete events not yet sent to the caller.

        >>> event_filter = EventFilter(last_id=3)
        >>> event_filter.feed(b"id: 3\ndata: a\n\nid: 4\ndata: b\n\nid: 5\nda")
        b'id: 4\ndata: b\n\n'
        """
        if self.error:
            return b""
        relayed = [
            event + b"\n\n" for event in self._buffer.feed(data) if self._should_relay(event)
        ]
        self.event_count += sum(not _is_comment(event) for event in relayed)
        if self._buffer.is_too_long:
            self.error = "an event is too large"
        return b"".join(relayed)

    @property
    def is_between_events(self) -> bool:
        """Whether no incomplete event is buffered."""
        return self._buffer.is_empty

    def _should_relay(self, event: bytes) -> bool:
        if self.error:
            return False
        text = _event_id(event)
        if text is None:
            return True
        if len(text) > _MAX_ID_DIGITS:
            self.error = f"an event has an id of {len(text)} digits"
            return False
        number = int(text)
        if self.last_id is not None:
            if number <= self.last_id:
                return False
            if number != self.last_id + 1:
                self.error = f"event {number} was received directly after event {self.last_id}"
                return False
        self.last_id = number
        return True


def _is_comment(event: bytes) -> bool:
    """Whether an event consists of comments only, which servers send to keep connections open."""
    return all(line.startswith(b":") or not line for line in event.split(b"\n"))


def _event_id(event: bytes) -> bytes | None:
    """Return the digits of an event's id, or None if it has no numeric id."""
    for line in event.split(b"\n"):
        if line.startswith(b"id:"):
            text = line[3:].strip()
            return text if text.isdigit() else None
    return None
