"""Parses the declared sizes of the chunks of a body before the chunk data has arrived.

h11 reports only the data of a chunk. Without this parser, a body whose first chunk declares more
than the limit would be refused only after that much data had been received.
"""

from dataclasses import dataclass, field

__all__ = ["ChunkSizeParser"]

# h11 refuses longer chunk-size lines; the length includes chunk extensions.
_MAX_LINE_BYTES = 256
_LINE_END = b"\r\n"


@dataclass(slots=True)
class ChunkSizeParser:
    """Parses the chunk-size lines of one chunked body; framing errors are reported by h11.

    :ivar declared_bytes: total size of all chunks whose size line has arrived.
    """

    declared_bytes: int = 0
    _line: bytearray = field(default_factory=bytearray)
    _skip_bytes: int = 0
    _is_finished: bool = False

    def feed(self, data: bytes) -> int:
        """Process the next bytes of the body; return the total size declared so far.

        >>> sizes = ChunkSizeParser()
        >>> [sizes.feed(part) for part in (b"5;x=1\\r\\nab", b"cde\\r\\n1", b"0\\r\\n")]
        [5, 5, 21]
        """
        position = 0
        while position < len(data) and not self._is_finished:
            skipped_bytes = min(self._skip_bytes, len(data) - position)
            self._skip_bytes -= skipped_bytes
            position += skipped_bytes
            if position < len(data):
                position = self._parse_line(data, position)
        return self.declared_bytes

    def _parse_line(self, data: bytes, position: int) -> int:
        """Parse bytes of a chunk-size line; return the position after them."""
        end = data.find(b"\n", position)
        self._line += data[position:] if end < 0 else data[position : end + 1]
        if len(self._line) > _MAX_LINE_BYTES:
            self._is_finished = True
        if end < 0:
            return len(data)
        digits = bytes(self._line).removesuffix(_LINE_END).partition(b";")[0].strip()
        self._line.clear()
        try:
            size = int(digits, 16)
        except ValueError:
            size = 0
        if size > 0:
            self.declared_bytes += size
            self._skip_bytes = size + len(_LINE_END)
        else:
            # The last chunk, or an invalid size, which h11 refuses.
            self._is_finished = True
        return end + 1
