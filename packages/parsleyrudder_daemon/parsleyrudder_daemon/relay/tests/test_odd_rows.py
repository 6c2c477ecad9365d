"""Rows in the fleet's own tables that another program has written, without a network."""

from types import SimpleNamespace
from typing import Any

import msgspec
import pytest
from parsleyrudder import (
    LoadMessage,
    PoolVersion,
    Row,
    StreamStart,
    Suspect,
    SuspectCrashes,
    SuspectKind,
    encode_message,
)
from parsleyrudder_daemon.relay.quarantine_store import QuarantineStore
from parsleyrudder_daemon.relay.stream_store import StreamStore
from parsleyrudder_daemon.relay.version_store import VersionStore

from .memory_feed import Feed

TIMERS: Any = SimpleNamespace(after=lambda delay_s, callback: None)
NESTED = b"\x91" * 5000 + b"\xc0"
KEY = b"12345678"


def feed_of(good, odd) -> Any:
    """Return a table with an odd row between two good ones."""
    feed = Feed()
    feed.rows = {key: Row(key, value, 1) for key, value in (("a", good), ("b", odd), ("c", good))}
    return feed


def quarantine(crashed_at, pool="p", kind="part", id="x"):
    return msgspec.msgpack.encode([pool, kind, id, {f"t{n}/1": at for n, at in crashed_at.items()}])


@pytest.mark.parametrize(
    "odd",
    [
        pytest.param(b"\x95\xa1p\xa4part\xa1x\x80" + NESTED, id="nested"),
        pytest.param(b"", id="empty"),
        pytest.param(quarantine({1: float("nan")}), id="nan"),
        pytest.param(quarantine({1: float("inf")}), id="inf"),
        pytest.param(quarantine({1: -1e300}), id="long-ago"),
        pytest.param(quarantine({1: 1e300}), id="future"),
        pytest.param(quarantine({}, kind="other"), id="kind"),
    ],
)
def test_an_odd_quarantine_hides_no_other_one(odd):
    """An age of more than 64 bits could be sent in no report to other routers."""
    read: list[Any] = []
    feed = feed_of(quarantine({1: 1.7e9, 2: 1.7e9}), odd)
    QuarantineStore(feed, TIMERS, "quarantines").start(read.extend)
    assert [len(crashes.crash_age_ms_by_lifetime) for crashes in read] == [2, 2]
    encode_message(LoadMessage("a", 1, 1, True, suspect_crashes=tuple(read)))


@pytest.mark.parametrize("odd", [b"\x93\xa1p\xa1v" + NESTED, b"", b"\x91\xa1p"])
def test_an_odd_version_hides_no_other_one(odd):
    read: list[Any] = []
    feed = feed_of(msgspec.msgpack.encode(PoolVersion("p", "v1")), odd)
    VersionStore(feed, TIMERS, "versions").start(read.append)
    assert [stored.versions for stored in read] == [{PoolVersion("p", "v1")}]
    assert not read[0].is_complete


@pytest.mark.parametrize("odd", [b"\x92\x80" + NESTED, b"", b"\x91\x81\xa1p\x01"])
def test_an_odd_row_of_streams_hides_no_other_one(odd):
    """All callers that asked for a stream waited for ever."""
    feed = feed_of(msgspec.msgpack.encode([{"p": {"v1": KEY}}]), odd)
    store = StreamStore(feed, TIMERS, "r", "streams")
    store.reads.request(0.0)
    assert store.find([KEY]) == [StreamStart(KEY, "p", "v1")] * 2


@pytest.mark.parametrize("text", ["v" * 300, "ä" * 190], ids=["long", "two-byte"])
def test_the_key_of_a_row_is_no_longer_than_the_store_allows(text):
    """The store refused the row each time, and the router wrote it again each second."""
    feed: Any = Feed()
    versions = VersionStore(feed, TIMERS, "versions")
    versions.start(lambda stored: None)
    versions.save([PoolVersion(text, "v1"), PoolVersion(text, "v2")], is_complete=False)
    quarantines = QuarantineStore(feed, TIMERS, "quarantines")
    quarantines.start(lambda reports: None)
    for id in (text + "1", text + "2"):
        crashes = SuspectCrashes("p", SuspectKind.PART, id, {})
        quarantines.save(Suspect("p", SuspectKind.PART, id), crashes)
    assert len(feed.rows) == 4
    assert max(len(key.encode()) for key in feed.rows) <= 200


def test_a_short_key_of_a_row_stays_readable():
    feed: Any = Feed()
    versions = VersionStore(feed, TIMERS, "versions")
    versions.start(lambda stored: None)
    versions.save([PoolVersion("p", "v1")], is_complete=False)
    assert list(feed.rows) == ["p/v1"]
