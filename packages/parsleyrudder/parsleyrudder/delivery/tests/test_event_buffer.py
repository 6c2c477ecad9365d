"""For any chunking of the bytes, no event is lost, merged, or returned before it is complete."""

import pytest
from parsleyrudder.delivery.event_buffer import EventBuffer

STREAM = b"id: 0\ndata: a\n\n: comment\n\nid: 1\ndata: b\n\n"


@pytest.mark.parametrize("step", [1, 2, 3, 7, len(STREAM)])
def test_complete_events_for_any_chunking(step):
    buffer = EventBuffer()
    events = []
    for at in range(0, len(STREAM), step):
        events += buffer.feed(STREAM[at : at + step])
    assert events == [b"id: 0\ndata: a", b": comment", b"id: 1\ndata: b"]
    assert buffer.is_empty


@pytest.mark.parametrize(
    ("data", "is_empty", "is_too_long"),
    [
        (b"data: a\n\n", True, False),
        (b"data: a\n\n\n", True, False),
        (b"data: a\n\ndata", False, False),
        (b"x" * ((1 << 20) + 1), False, True),
    ],
)
def test_state_after_incomplete_event(data, is_empty, is_too_long):
    buffer = EventBuffer()
    buffer.feed(data)
    assert (buffer.is_empty, buffer.is_too_long) == (is_empty, is_too_long)
