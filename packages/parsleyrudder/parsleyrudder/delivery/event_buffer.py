"""Splitter of a byte stream into server-sent events, independent of how the bytes are chunked."""

from dataclasses import dataclass

__all__ = ["EventBuffer"]

_MAX_EVENT_BYTES = 1 << 20
_EVENT_END = b"\n\n"


@dataclass(slots=True)
class EventBuffer:
    """Buffer for the incomplete event at the end of the received bytes.

    :ivar is_too_long: whether the incomplete event exceeds the buffer limit.
    """

    is_too_long: bool = False
    _data: bytes = b""

    @property
    def is_empty(self) -> bool:
        """Whether the bytes received so far end with a complete event."""
        return not self._data

    def feed(self, data: bytes) -> list[bytes]:
        r"""Append received bytes and return the complete events, each without its final empty line.

        >>> buffer = EventBuffer()
        >>> buffer.feed(b"data: a\n\ndata: b\n"), buffer.feed(b"\nda")
        ([b'data: a'], [b'data: b'])
        """
        data = self._data + data
        end = data.rfind(_EVENT_END)
        if end < 0:
            self._data = data
            self.is_too_long = len(data) > _MAX_EVENT_BYTES
            return []
        self._data = data[end + len(_EVENT_END) :]
        return data[:end].split(_EVENT_END)
