"""Whole events out of the bytes of an event stream, however the bytes were cut on their way."""

from dataclasses import dataclass

__all__ = ["EventBuffer"]

_MOST_EVENT_BYTES = 1 << 20
_EVENT_END = b"\n\n"


@dataclass(slots=True)
class EventBuffer:
    """Bytes of the event that has not come whole yet.

    :ivar is_too_long: whether an event is longer than can be kept.
    """

    is_too_long: bool = False
    _data: bytes = b""

    @property
    def is_empty(self) -> bool:
        """Whether the bytes so far end with an event."""
        return not self._data

    def feed(self, data: bytes) -> list[bytes]:
        r"""Take received bytes and return the whole events, without the empty line that ends each.

        >>> buffer = EventBuffer()
        >>> buffer.feed(b"data: a\n\ndata: b\n"), buffer.feed(b"\nda")
        ([b'data: a'], [b'data: b'])
        """
        data = self._data + data
        end = data.rfind(_EVENT_END)
        if end < 0:
            self._data = data
            self.is_too_long = len(data) > _MOST_EVENT_BYTES
            return []
        self._data = data[end + len(_EVENT_END) :]
        return data[:end].split(_EVENT_END)
