"""Starts of streams in a store that fails at times."""

from types import SimpleNamespace
from typing import Any

import pytest
from parsleyrudder import Row, StreamStart, TableError, stream_key
from parsleyrudder_daemon.relay import coalesced_read, stream_store
from parsleyrudder_daemon.relay.stream_store import StreamStore

from .memory_feed import Feed


class Clock:
    """Timers and clocks under the control of a test."""

    def __init__(self, monkeypatch):
        self.now = 1000.0
        self._due: list[Any] = []
        monkeypatch.setattr(stream_store, "now", lambda: self.now)
        monkeypatch.setattr(coalesced_read, "now", lambda: self.now)
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
    store = make_store(feed, clock, "fresh")
    store.reads.request(clock.now)
    return next(iter(store.find([start.key])), None)


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


def test_reads_are_bounded_and_return_only_what_has_changed(clock):
    """Guards against whole reads for each of the streams that break together."""
    feed = Feed()
    recorder = make_store(feed, clock)
    for number in range(100):
        recorder.add([make_start(number)])
        clock.advance(0.25)
    store = make_store(feed, clock, "fresh")
    feed.rows_returned = 0
    for _ in range(50):
        store.reads.request(clock.now)
        clock.advance(0.02)
    assert feed.reads <= 6
    assert feed.rows_returned == len(feed.rows) == 100
    assert store.find([make_start(n).key for n in (3, 99, 500)]) == [make_start(3), make_start(99)]


def test_changes_and_gaps_lead_to_the_rows_that_are_there(clock):
    feed = Feed()
    recorder = make_store(feed, clock)
    store = make_store(feed, clock, "fresh")
    recorder.add([make_start(1)])
    store.reads.request(clock.now)
    for number in (2, 3):
        clock.advance(0.3)
        recorder.add([make_start(number)])
        if number == 3:
            feed.has_gap = True
        store.reads.request(clock.now)
        assert store.find([make_start(number).key]) == [make_start(number)]
    clock.advance(0.3)
    feed.has_gap = False
    feed.remove_all("streams", list(feed.rows), lambda result: None)
    store.reads.request(clock.now)
    assert store.find([make_start(n).key for n in (1, 2, 3)]) == []


@pytest.mark.parametrize("order", [(0, 1), (1, 0)])
def test_answers_in_another_order_than_the_reads_lose_no_row(clock, order):
    feed = Feed()
    recorder = make_store(feed, clock)
    answers: list[Any] = []
    late: Any = SimpleNamespace(
        read=lambda table, done: feed.read(table, lambda page: answers.append((done, page)))
    )
    store = make_store(late, clock, "fresh")
    for number in range(2):
        recorder.add([make_start(number)])
        store.reads.request(clock.now)
        clock.advance(0.5)
    for position in order:
        done, page = answers[position]
        done(page)
    assert len(store.find([make_start(n).key for n in range(2)])) == 2


@pytest.mark.parametrize("is_performed", [True, False], ids=["answer-lost", "not-performed"])
def test_a_write_without_an_answer_delays_no_other(clock, is_performed):
    """All streams that began until the timeout of the write were lost with the routers."""
    feed = Feed()
    unanswered: list[Any] = []

    def put(table, key, value, done):
        if is_performed or unanswered:
            feed.put(table, key, value, lambda result: None)
        unanswered.append(done)

    slow: Any = SimpleNamespace(put=put)
    recorder = make_store(slow, clock)
    for number in range(8):
        recorder.add([make_start(number)])
        clock.advance(0.25)
    found = [find(feed, clock, make_start(number)) is not None for number in range(8)]
    assert found == [is_performed] + [True] * 7
    assert len(unanswered) == 8
    unanswered[0](TableError("no response", "retry"))
    clock.advance(0.25)
    assert find(feed, clock, make_start(0)) is not None


def test_the_number_of_writes_without_an_answer_is_bounded(clock):
    puts: list[Any] = []
    silent: Any = SimpleNamespace(put=lambda table, key, value, done: puts.append((key, done)))
    recorder = make_store(silent, clock)
    for number in range(100):
        recorder.add([make_start(number)])
        clock.advance(0.25)
    assert len(puts) == len({key for key, _ in puts}) <= 16


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


def test_streams_that_the_store_has_lost_are_written_again(clock):
    """The store came back from an older copy, and their callers could not resume them."""
    feed = Feed()
    recorder = make_store(feed, clock)
    starts = [make_start(number) for number in range(40)]
    for start in starts:
        recorder.add([start])
        clock.advance(0.25)
    feed.come_back_from_copy(revision=21)
    assert sum(find(feed, clock, start) is not None for start in starts) == 20
    recorder.write_again()
    clock.advance(0.25)
    assert [find(feed, clock, start) for start in starts] == starts


def test_a_reader_of_streams_follows_a_store_that_came_back_from_a_copy(clock):
    """It took revisions that were given out twice for those that it had read."""
    feed = Feed()
    recorder = make_store(feed, clock)
    store = make_store(feed, clock, "fresh")
    for number in range(4):
        recorder.add([make_start(number)])
        clock.advance(0.3)
    store.reads.request(clock.now)
    feed.come_back_from_copy(revision=2)
    for number in range(10, 14):
        make_store(feed, clock, f"r{number}").add([make_start(number)])
        clock.advance(0.3)
        store.reads.request(clock.now)
    assert [find(feed, clock, make_start(n)) for n in (0, 10, 11, 12, 13)] == [
        make_start(n) for n in (0, 10, 11, 12, 13)
    ]
    assert len(store.find([make_start(n).key for n in (0, 10, 11, 12, 13)])) == 5
