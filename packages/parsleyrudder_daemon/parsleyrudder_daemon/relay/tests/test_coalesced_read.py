"""Reads of the store for many who need one at the same time."""

from typing import Any

import pytest
from parsleyrudder_daemon.relay import coalesced_read
from parsleyrudder_daemon.relay.coalesced_read import CoalescedRead

INTERVAL_S = 0.2


class Reads:
    """Reads that a test answers, and timers under its control."""

    def __init__(self, monkeypatch):
        self.now = 100.0
        self.due: list[Any] = []
        self.sent: list[tuple[float, Any]] = []
        monkeypatch.setattr(coalesced_read, "now", lambda: self.now)
        timers: Any = self
        self.read = CoalescedRead(
            timers, lambda done: self.sent.append((self.now, done)), INTERVAL_S
        )

    def after(self, delay_s, callback):
        self.due.append((self.now + delay_s, callback))

    def advance(self, seconds):
        self.now += seconds
        due = [callback for at, callback in self.due if at <= self.now]
        self.due = [entry for entry in self.due if entry[0] > self.now]
        for callback in due:
            callback()

    def answer(self, has_succeeded=True):
        self.sent[-1][1](has_succeeded)


@pytest.fixture
def reads(monkeypatch):
    return Reads(monkeypatch)


def test_many_requests_cause_few_reads(reads):
    """Guards against a read per stream when all streams of a router break at once."""
    for _ in range(100):
        reads.read.request(reads.now)
        reads.advance(0.01)
        reads.answer()
    assert 1.0 / INTERVAL_S <= len(reads.sent) <= 1.0 / INTERVAL_S + 1


def test_a_read_that_was_sent_before_a_request_does_not_answer_it(reads):
    reads.read.request(reads.now)
    reads.advance(0.1)
    asked_at = reads.now
    reads.answer()
    reads.read.request(asked_at)
    assert reads.read.read_at < asked_at
    reads.advance(INTERVAL_S)
    reads.answer()
    assert reads.read.read_at >= asked_at
    reads.read.request(asked_at)
    assert len(reads.sent) == 2


def test_a_read_without_an_answer_delays_no_other_and_their_number_is_bounded(reads):
    since = reads.now
    for _ in range(40):
        reads.read.request(since)
        reads.advance(0.1)
    assert len(reads.sent) == 4
    reads.answer()
    assert reads.read.read_at > since


def test_a_failed_read_is_repeated_on_request(reads):
    since = reads.now
    reads.read.request(since)
    reads.answer(has_succeeded=False)
    assert reads.read.read_at < since
    reads.advance(INTERVAL_S)
    reads.read.request(since)
    reads.answer()
    assert reads.read.read_at >= since
