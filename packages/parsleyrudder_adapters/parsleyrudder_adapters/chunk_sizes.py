"""Sizes that the chunks of a body declare, known before the chunks themselves have come.

h11 reports the data of a chunk only, so without this a body whose first chunk declares too much
would be refused only after as much had been sent.
"""

from dataclasses import dataclass, field

__all__ = ["ChunkSizes"]

# h11 refuses longer size lines, extensions included.
_LONGEST_LINE_BYTES = 256
_LINE_END = b"\r\n"


@dataclass(slots=True)
class ChunkSizes:
    """Follows the framing of one chunked body; h11 reports what is wrong with it.

    :ivar declared: bytes of all chunks whose size line has come.
    """

    declared: int = 0
    _line: bytearray = field(default_factory=bytearray)
    _to_skip: int = 0
    _is_over: bool = False

    def feed(self, data: bytes) -> int:
        """Take the next bytes of the body; return the size declared so far.

        >>> sizes = ChunkSizes()
        >>> [sizes.feed(part) for part in (b"5;x=1\\r\\nab", b"cde\\r\\n1", b"0\\r\\n")]
        [5, 5, 21]
        """
        at = 0
        while at < len(data) and not self._is_over:
            skipped = min(self._to_skip, len(data) - at)
            self._to_skip -= skipped
            at += skipped
            if at < len(data):
                at = self._take_line(data, at)
        return self.declared

    def _take_line(self, data: bytes, at: int) -> int:
        """Take bytes of a size line; return where the rest begins."""
        end = data.find(b"\n", at)
        self._line += data[at:] if end < 0 else data[at : end + 1]
        if len(self._line) > _LONGEST_LINE_BYTES:
            self._is_over = True
        if end < 0:
            return len(data)
        digits = bytes(self._line).removesuffix(_LINE_END).partition(b";")[0].strip()
        self._line.clear()
        try:
            size = int(digits, 16)
        except ValueError:
            size = 0
        if size > 0:
            self.declared += size
            self._to_skip = size + len(_LINE_END)
        else:
            # The last chunk, or one that h11 refuses.
            self._is_over = True
        return end + 1
