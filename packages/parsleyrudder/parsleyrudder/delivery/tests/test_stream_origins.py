"""What a router knows of where streams began, and what it concludes from the replies of others."""

import pytest
from parsleyrudder import (
    OriginEvidence,
    OriginInquiry,
    OriginReply,
    PoolVersion,
    StreamOrigins,
    StreamStart,
    Target,
    VersionHistory,
    stream_key,
)

KEY = stream_key("first")
START = StreamStart(KEY, "p", "v1")


def reply(sender, start=None, versions=("v1",)):
    return OriginReply(sender, KEY, start, versions)


BEGAN_AT = 100.0


def evidence(targets=True, versions=False, away=False, whole=True, complete=True):
    """Return evidence; ``targets`` and ``versions`` say whether they were read since the start."""
    return OriginEvidence(
        complete,
        BEGAN_AT if targets else BEGAN_AT - 0.1,
        BEGAN_AT if versions else BEGAN_AT - 0.1,
        away,
        whole,
    )


AWAY = evidence(targets=False, away=True)


@pytest.mark.parametrize(
    ("own_versions", "replies", "known", "expected"),
    [
        pytest.param({"v1", "v2"}, [reply("a", START)], evidence(), "v1", id="told"),
        pytest.param({"v2"}, [reply("a", START)], AWAY, "v1", id="told-although-out-of-date"),
        pytest.param({"v1", "v2"}, [reply("a"), reply("b")], evidence(), None, id="nobody-knows"),
        pytest.param({"v2"}, [reply("a"), reply("b")], evidence(), None, id="other-has-seen-v1"),
        pytest.param({"v1"}, [reply("a"), reply("b")], evidence(), "v1", id="only-one-version"),
        pytest.param(
            {"v1"}, [reply("a"), reply("b")], evidence(targets=False), None, id="copy-out-of-date"
        ),
        pytest.param({"v1"}, [], evidence(), None, id="no-reply-and-versions-not-read"),
        pytest.param({"v1"}, [], evidence(versions=True), "v1", id="no-reply-but-all-read"),
        pytest.param({"v1"}, [], AWAY, None, id="cut-off-and-no-reply"),
        pytest.param({"v1"}, [reply("a")], AWAY, None, id="store-away-and-one-reply"),
        pytest.param({"v1"}, [reply("a"), reply("b")], AWAY, "v1", id="store-away-but-all-replied"),
        pytest.param(
            {"v1"},
            [reply("a"), reply("b")],
            evidence(targets=False, away=True, whole=False),
            None,
            id="store-away-and-others-silent",
        ),
        pytest.param(
            set(), [reply("a", versions=()), reply("b", versions=())], AWAY, "", id="none"
        ),
    ],
)
def test_a_stream_goes_on_where_it_began_or_where_there_is_only_one_version(
    own_versions, replies, known, expected
):
    inquiry = OriginInquiry(KEY, "p", BEGAN_AT, set(own_versions))
    inquiry.record_asked({"a", "b"})
    for received in replies:
        inquiry.record_reply(received)
    inferred = inquiry.inferred_start() if inquiry.may_infer(known) else None
    result = inquiry.start or inferred
    assert (result.version if result else None) == expected
    assert not inquiry.may_infer(evidence(versions=True, complete=False))


def test_an_inquiry_without_a_router_to_ask_is_not_answered():
    """A router that was cut off for long took the silence of all others for their consent."""
    inquiry = OriginInquiry(KEY, "p", BEGAN_AT, {"v1"})
    inquiry.record_asked([])
    assert not inquiry.may_infer(evidence(away=True))


def test_own_streams_are_told_once_and_only_in_mixed_pools():
    origins = StreamOrigins()
    origins.record_own(START, False, 0.0)
    origins.record_own(StreamStart(b"other", "q", "v1"), False, 1.0)
    origins.record_reported([StreamStart(b"told", "p", "v2")], 2.0)
    assert origins.take_unsent({"r"}) == []
    assert origins.take_unsent({"p"}) == [START]
    assert origins.take_unsent({"p"}) == []
    assert [start.key for start in origins.take_unsent({"p", "q"})] == [b"other"]
    assert [start.key for start in origins.starts_in({"p"})] == [KEY, b"told"]
    assert origins.own_starts_since({"p", "q"}, since=0.5) == [StreamStart(b"other", "q", "v1")]


def test_streams_of_long_ago_are_forgotten():
    origins = StreamOrigins(memory_s=10.0)
    origins.record_own(START, False, 0.0)
    origins.record_own(StreamStart(b"later", "p", "v2"), False, 9.0)
    origins.expire(10.0)
    assert origins.find(KEY) is None
    assert origins.find(b"later") is not None


def test_the_number_of_streams_is_bounded():
    origins = StreamOrigins()
    for number in range(25_000):
        origins.record_own(StreamStart(str(number).encode(), "p", "v1"), False, 0.0)
    assert len(origins.starts_in({"p"})) == 20_000
    assert origins.find(b"24999") is not None


@pytest.mark.parametrize(
    ("seconds_since", "versions"), [(0.0, {"v1", "v2"}), (99.0, {"v1", "v2"}), (100.0, {"v2"})]
)
def test_a_version_counts_for_some_time_after_its_last_target(seconds_since, versions):
    """Guards against a stream that goes on at v2 right after the last target of v1 has stopped."""
    history = VersionHistory(memory_s=100.0)
    old, new = (Target(v, "p", "10.0.0.1:1", "a", 4, version=v) for v in ("v1", "v2"))
    history.record([old, new], 0.0)
    history.record([new], seconds_since)
    assert history.versions("p", seconds_since) == versions
    assert ("p" in history.mixed_pools(seconds_since)) == (len(versions) > 1)
    assert history.versions("other", seconds_since) == set()


@pytest.mark.parametrize(
    ("has_earlier", "seconds_up", "is_complete"),
    [(False, 0.0, False), (False, 99.0, False), (False, 100.0, True), (True, 0.0, True)],
)
def test_a_history_is_complete_if_it_reaches_back_beyond_the_longest_stream(
    has_earlier, seconds_up, is_complete
):
    """Guards against a router that has just started and takes what it sees for all there was."""
    history = VersionHistory(memory_s=100.0)
    assert not history.is_complete(0.0)
    history.record([Target("t", "p", "10.0.0.1:1", "a", 4, version="v1")], 0.0)
    history.has_earlier = has_earlier
    assert history.is_complete(seconds_up) == is_complete


def test_an_earlier_version_counts_from_the_time_at_which_it_was_read():
    history = VersionHistory(memory_s=100.0)
    history.record([Target("t", "p", "10.0.0.1:1", "a", 4, version="v2")], 50.0)
    history.record_earlier([PoolVersion("p", "v1")], 60.0)
    assert history.mixed_pools(60.0) == {"p"}
    history.record([], 160.0)
    assert history.current(160.0) == set()
