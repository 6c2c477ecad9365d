"""Quarantines in a store that fails at times."""

from types import SimpleNamespace
from typing import Any

import pytest
from parsleyrudder import Row, Suspect, SuspectCrashes, SuspectKind
from parsleyrudder_daemon.relay.quarantine_store import QuarantineStore

from .memory_feed import Feed

SUSPECT = Suspect("p", SuspectKind.REQUEST, "digest")


def crashes(count):
    ages_ms = {f"t{number}/1": 1000 * (count - number) for number in range(count)}
    return SuspectCrashes("p", SuspectKind.REQUEST, "digest", ages_ms)


def start(feed, after=lambda delay_s, callback: callback()):
    """Return a store that has read the table, and what it has read."""
    timers: Any = SimpleNamespace(after=after)
    store = QuarantineStore(feed, timers, "quarantines")
    read: list[SuspectCrashes] = []
    store.start(read.extend)
    return store, read


@pytest.mark.parametrize("failures", [0, 3])
def test_a_quarantine_is_read_after_a_restart_until_it_is_removed(failures):
    feed = Feed()
    store, _ = start(feed)
    store.save(SUSPECT, crashes(3))
    feed.failures = failures
    _, [read] = start(feed)
    assert (read.pool, read.kind, read.id) == SUSPECT
    assert read.crash_age_ms_by_lifetime == pytest.approx(
        crashes(3).crash_age_ms_by_lifetime, abs=200
    )
    store.remove(SUSPECT)
    assert start(feed)[1] == []


def test_a_quarantine_is_written_again_only_after_a_failure_or_a_further_crash():
    """Guards against a write to the store in each report interval."""
    feed = Feed()
    store, _ = start(feed)
    feed.failures = 1
    for _ in range(5):
        store.save(SUSPECT, crashes(3))
    assert feed.puts == 2
    for _ in range(5):
        store.save(SUSPECT, crashes(4))
    assert feed.puts == 3
    restarted, _ = start(feed)
    restarted.save(SUSPECT, crashes(4))
    assert feed.puts == 3


def test_a_failed_write_is_not_repeated_at_once():
    """A store that is down got a write in each report interval, ten a second."""
    feed = Feed()
    pending: list[Any] = []
    store, _ = start(feed, lambda delay_s, callback: pending.append((delay_s, callback)))
    feed.failures = 1
    for _ in range(10):
        store.save(SUSPECT, crashes(3))
    assert feed.puts == 1
    [(delay_s, callback)] = pending
    assert delay_s >= 1.0
    callback()
    store.save(SUSPECT, crashes(3))
    assert feed.puts == 2
    assert len(feed.rows) == 1


def test_a_foreign_row_is_ignored():
    feed = Feed()
    feed.rows["x"] = Row("x", b"\xc1", 1)
    assert start(feed)[1] == []


def test_a_quarantine_that_the_store_has_lost_is_written_again():
    """The store came back from an older copy, and a restart of all routers forgot the suspect."""
    feed = Feed()
    store, _ = start(feed)
    store.save(SUSPECT, crashes(3))
    feed.rows.clear()
    store.write_again()
    store.save(SUSPECT, crashes(3))
    assert len(start(feed)[1]) == 1
