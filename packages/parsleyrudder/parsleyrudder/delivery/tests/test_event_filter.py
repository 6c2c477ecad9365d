"""No event of a resumed stream is lost, duplicated, or merged from two attempts."""

import pytest
from parsleyrudder import EventFilter


def event(number):
    return b"id: %d\ndata: x%d\n\n" % (number, number)


@pytest.mark.parametrize("size", [1, 2, 5, 7, 1000])
def test_events_are_relayed_complete_for_any_chunking(size):
    data = b"".join(event(n) for n in range(5))
    event_filter = EventFilter()
    out = b"".join(event_filter.feed(data[i : i + size]) for i in range(0, len(data), size))
    assert out == data
    assert event_filter.is_between_events


def test_incomplete_event_is_dropped_when_another_target_resumes():
    event_filter = EventFilter()
    assert event_filter.feed(event(0) + event(1)[:8]) == event(0)
    event_filter.begin_attempt()
    assert event_filter.feed(event(0) + event(1)) == event(1)


@pytest.mark.parametrize(
    ("start", "data", "relayed", "has_error"),
    [
        (None, event(3) + event(4), event(3) + event(4), False),
        (2, event(3), event(3), False),
        (2, event(2) + event(3), event(3), False),
        (2, event(4), b"", True),
        (2, event(3) + event(5) + event(6), event(3), True),
        (2, b": comment\n\n" + event(3), b": comment\n\n" + event(3), False),
    ],
)
def test_gaps_and_duplicates_are_found_by_event_ids(start, data, relayed, has_error):
    event_filter = EventFilter(last_id=start)
    assert event_filter.feed(data) == relayed
    assert bool(event_filter.error) is has_error


def test_endless_event_is_rejected_before_it_exhausts_memory():
    event_filter = EventFilter()
    for _ in range(40):
        event_filter.feed(b"x" * 65536)
    assert event_filter.error


@pytest.mark.parametrize("digits", [19, 400, 5000])
def test_an_event_id_of_many_digits_ends_the_attempt_instead_of_failing(digits):
    """int() accepts at most 4,300 digits; its error left the stream without a further event."""
    event_filter = EventFilter()
    assert event_filter.feed(b"id: 1\ndata: a\n\n") == b"id: 1\ndata: a\n\n"
    assert event_filter.feed(b"id: " + b"9" * digits + b"\ndata: b\n\n") == b""
    assert "digits" in event_filter.error
    event_filter.begin_attempt()
    assert event_filter.feed(b"id: 2\ndata: b\n\n") == b"id: 2\ndata: b\n\n"
