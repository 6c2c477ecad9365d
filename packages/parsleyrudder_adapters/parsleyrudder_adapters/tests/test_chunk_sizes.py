"""Declared chunk sizes do not depend on how the bytes of the body are split into reads."""

import pytest
from parsleyrudder_adapters.chunk_sizes import ChunkSizeParser


@pytest.mark.parametrize(
    ("body", "declared"),
    [
        (b"5\r\nabcde\r\n0\r\n\r\n", 5),
        (b"5;name=f0\r\nabcde\r\n10\r\n" + b"\r\n" * 8 + b"\r\n0\r\nX-T: ff\r\n\r\n", 21),
        (b"FFFFFFFFFFFFFFFFF\r\n", 16**17 - 1),
        (b"1\r\nff\r\n", 1),
        # Framing errors are left to h11.
        (b"zz\r\nff\r\n", 0),
        (b"f" * 300, 0),
    ],
)
def test_declared_size_for_every_split(body, declared):
    for step in (1, 2, 3, 7, len(body)):
        sizes = ChunkSizeParser()
        for position in range(0, len(body), step):
            sizes.feed(body[position : position + step])
        assert sizes.declared_bytes == declared, step
