"""Declared sizes of chunks, for any cut of the bytes: no cut hides a chunk or adds one."""

import pytest
from parsleyrudder_adapters.chunk_sizes import ChunkSizes


@pytest.mark.parametrize(
    ("body", "declared"),
    [
        (b"5\r\nabcde\r\n0\r\n\r\n", 5),
        (b"5;name=f0\r\nabcde\r\n10\r\n" + b"\r\n" * 8 + b"\r\n0\r\nX-T: ff\r\n\r\n", 21),
        (b"FFFFFFFFFFFFFFFFF\r\n", 16**17 - 1),
        (b"1\r\nff\r\n", 1),
        # Framing faults are left to the parser.
        (b"zz\r\nff\r\n", 0),
        (b"f" * 300, 0),
    ],
)
def test_sizes_for_every_cut(body, declared):
    for step in (1, 2, 3, 7, len(body)):
        sizes = ChunkSizes()
        for at in range(0, len(body), step):
            sizes.feed(body[at : at + step])
        assert sizes.declared == declared, step
