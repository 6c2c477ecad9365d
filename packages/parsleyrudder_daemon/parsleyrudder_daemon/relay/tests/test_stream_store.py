"""Starts of streams in a store that fails at times."""

from types import SimpleNamespace
from typing import Any

import pytest
from parsleyrudder import Row, StreamStart, stream_key
from parsleyrudder_daemon.relay import stream_store
from parsleyrudder_daemon.relay.stream_store import StreamStore

from .memory_feed import Feed


class Clock:
    """Timers and clocks under the control of a test."""

    def __init__(self, monkeypatch):
        self.now = 1000.0
        self._due: list[Any] = []
        monkeypatch.setattr(stream_store, "now", lambda: self.now)
        monkeypatch.setattr(stream_store, "time", SimpleNamespace(time=lambda: self.now))

    def after(self, delay_s, callback):
        self._due.append((self.now + delay_s, callback))

    def advance(self, seconds):
        self.now += seconds
        due = [callback for at, callback in self._due if at <= self.now]
        self._due = [entry for entry in self._due if entry[0] > self.now]
        for callback in due:
            callback()


@pytest.fixture
def clock(monkeypatch):
    return Clock(monkeypatch)


def make_store(feed, clock, name="r1"):
    return StreamStore(feed, clock, name, "streams")


def make_start(number, version="v1"):
    return StreamStart(stream_key(f"s{number}"), "p", version)


def find(feed, clock, start):
    """Return what a router that has just started finds."""
    found: list[Any] = []
    make_store(feed, clock, "fresh").find(start.key, found.append)
    [result] = found
    return result


@pytest.mark.parametrize("failures", [0, 2])
def test_streams_are_found_after_a_restart_of_all_routers(clock, failures):
    feed = Feed(failures)
    recorders = [make_store(feed, clock, name) for name in ("r1", "r2")]
    starts = [make_start(number, f"v{number % 3}") for number in range(60)]
    for number, start in enumerate(starts):
        recorders[number % 2].add([start])
        clock.advance(0.05)
    for _ in range(4):
        clock.advance(0.5)
    assert [find(feed, clock, start) for start in starts] == starts
    assert find(feed, clock, make_start(99)) is None
    # Batches: at most four writes a second and recorder, however many streams begin.
    assert feed.puts <= 2 * 4 * 5 + failures


def test_a_recorder_overwrites_only_rows_of_long_ago(clock):
    """Guards against a table that grows, and against the loss of streams that are still open."""
    feed = Feed()
    recorder = make_store(feed, clock)
    for number in range(400):
        recorder.add([make_start(number)])
        clock.advance(0.3)
    assert len(feed.rows) <= 256
    # A restart of the recorder does not begin with its newest rows either.
    make_store(feed, clock).add([make_start(400)])
    assert all(find(feed, clock, make_start(number)) for number in range(300, 401))


def test_an_unknown_stream_does_not_read_the_store_again_at_once(clock):
    feed = Feed()
    store = make_store(feed, clock)
    found: list[Any] = []
    for _ in range(50):
        store.find(make_start(1).key, found.append)
        clock.advance(0.02)
    assert found == [None] * 50
    assert feed.reads == 1


@pytest.mark.parametrize("damage", ["away", "row"])
def test_a_stream_in_an_unreadable_record_is_unknown(clock, damage):
    feed = Feed()
    make_store(feed, clock).add([make_start(1)])
    if damage == "away":
        feed.failures = 1
    else:
        feed.rows = {key: Row(key, b"\xc1", 1) for key in feed.rows}
    assert find(feed, clock, make_start(1)) is None


def test_all_rows_are_removed_when_no_caller_needs_them_any_more(clock):
    feed = Feed()
    for name in ("r1", "r2"):
        recorder = make_store(feed, clock, name)
        for number in range(120):
            recorder.add([make_start(number)])
            clock.advance(0.3)
    make_store(feed, clock).clear()
    assert feed.rows == {}
