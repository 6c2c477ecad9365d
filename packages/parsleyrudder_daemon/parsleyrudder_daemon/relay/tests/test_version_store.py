"""Software versions in a store that fails at times."""

from types import SimpleNamespace
from typing import Any

import pytest
from parsleyrudder import PoolVersion, Row
from parsleyrudder_daemon.relay.version_store import StoredVersions, VersionStore

from .memory_feed import Feed

V1, V2 = PoolVersion("p", "v1"), PoolVersion("p", "v2")


def start(feed):
    """Return a store that has read the table, and what it has read."""
    timers: Any = SimpleNamespace(after=lambda delay_s, callback: callback())
    store = VersionStore(feed, timers, "versions")
    read: list[StoredVersions] = []
    store.start(read.append)
    return store, read[0]


@pytest.mark.parametrize("failures", [0, 3])
def test_versions_are_read_after_a_restart(failures):
    feed = Feed()
    store, read = start(feed)
    assert read == StoredVersions(frozenset(), is_complete=False, is_empty=True)
    store.save([V1, V2], is_complete=False)
    feed.failures = failures
    assert start(feed)[1] == StoredVersions(frozenset({V1, V2}), False, False)
    store.save([V1, V2], is_complete=True)
    assert start(feed)[1] == StoredVersions(frozenset({V1, V2}), True, False)


def test_a_version_is_written_once_and_again_only_after_a_failure():
    feed = Feed()
    store, _ = start(feed)
    feed.failures = 1
    for _ in range(5):
        store.save([V1], is_complete=False)
    assert feed.puts == 2
    start(feed)[0].save([V1], is_complete=False)
    assert feed.puts == 2


@pytest.mark.parametrize("failures", [0, 1])
def test_the_rows_of_versions_that_are_gone_are_removed(failures):
    feed = Feed()
    store, _ = start(feed)
    store.save([V1, V2], is_complete=True)
    feed.failures = failures
    for _ in range(2):
        store.remove_others([V2])
    assert start(feed)[1] == StoredVersions(frozenset({V2}), True, False)


def test_a_damaged_row_makes_the_history_incomplete_until_it_is_replaced():
    """A history that can't be read is not the same as one version."""
    feed = Feed()
    start(feed)[0].save([V1, V2], is_complete=True)
    for key in ("p/v1", "p/v3"):
        feed.rows[key] = Row(key, b"\xc1", 1)
    store, read = start(feed)
    assert read == StoredVersions(frozenset({V2}), is_complete=False, is_empty=False)
    store.save([V1, V2], is_complete=True)
    store.remove_others([V1, V2])
    assert start(feed)[1] == StoredVersions(frozenset({V1, V2}), True, False)


def test_versions_that_the_store_has_lost_are_written_again():
    """The store came back from an older copy, with a version that is gone and without others."""
    feed = Feed()
    store, _ = start(feed)
    store.save([V1], is_complete=True)
    copy = dict(feed.rows)
    store.save([V1, V2], is_complete=True)
    store.remove_others([V2])
    feed.rows = copy
    store.write_again()
    for _ in range(2):
        store.save([V2], is_complete=True)
        store.remove_others([V2])
    assert start(feed)[1] == StoredVersions(frozenset({V2}), True, False)
