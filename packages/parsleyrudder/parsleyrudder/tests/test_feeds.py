"""Conversion of the store's time to local time, and table copies updated by other routers."""

import dataclasses

import msgspec
import pytest
from parsleyrudder import ChangedRow, FeedCopy, FeedPage, Row, StoreClock, TableNews


@pytest.mark.parametrize(
    ("samples", "expected"),
    [
        ([(100.0, 7.0)], [100.0]),
        ([(100.0, 7.0), (101.0, 9.5)], [100.0, 102.5]),
        ([(100.0, 7.0), (110.0, 16.9)], [100.0, 110.0]),
        # The store has restarted: the previous clock offset is invalid.
        ([(100.0, 7.0), (110.0, 1.0)], [100.0, 110.0]),
    ],
)
def test_local_time_of_responses(samples, expected):
    clock = StoreClock()
    assert [clock.observe_response(*sample) for sample in samples] == pytest.approx(expected)


def page(revision, *rows, removed=(), at=7.0):
    """Return a page whose rows are given as pairs of key and revision."""
    kept = [Row(key, b"", number) for key, number in rows]
    return FeedPage(kept, dict(removed), revision, at)


def news(after, revision, *rows, removed=(), at=7.0, includes_changes=True):
    kept = tuple(ChangedRow(key, b"", number) for key, number in rows)
    return TableNews("t", after, revision, at, includes_changes, kept, dict(removed))


def copy_at(revision):
    copy = FeedCopy()
    copy.apply_read(page(revision), sent_at=100.0)
    return copy


@pytest.mark.parametrize(
    ("update", "expected", "revision"),
    [
        pytest.param(news(5, 7, ("a", 6)), {"a"}, 7, id="next"),
        pytest.param(news(3, 7, ("a", 4), ("b", 6)), {"b"}, 7, id="overlap"),
        pytest.param(news(3, 7, removed={"a": 4, "b": 6}), {"b"}, 7, id="old-removal"),
        pytest.param(news(6, 7, ("a", 7)), None, 5, id="gap"),
        pytest.param(news(5, 7, includes_changes=False), None, 5, id="too-large"),
        pytest.param(news(4, 5, includes_changes=False), set(), 5, id="large-but-known"),
        pytest.param(news(2, 4, ("a", 4)), set(), 5, id="older"),
        pytest.param(news(5, 5), set(), 5, id="nothing-new"),
    ],
)
def test_news_never_reverts_a_copy_or_leaves_a_gap(update, expected, revision):
    copy = copy_at(5)
    new = copy.apply_news(update, now=200.0)
    if expected is None:
        assert new is None
    else:
        assert {row.key for row in new.rows} | new.removed.keys() == expected
    assert copy.revision == revision


def test_response_that_is_older_than_news_reverts_nothing():
    """The response contains the first value of a row; news has brought its second and a new row."""
    copy = copy_at(5)
    copy.apply_news(news(5, 9, ("a", 8), ("b", 9)), now=101.0)
    assert copy.apply_changes(page(6, ("a", 6)), sent_at=100.5).is_empty
    assert copy.revision == 9
    late = copy.apply_changes(page(10, ("a", 8), ("c", 10)), sent_at=100.5)
    assert [row.key for row in late.rows] == ["c"]


@pytest.mark.parametrize(
    ("store_time_s", "received_at", "confirmed_at"),
    [
        pytest.param(9.0, 103.0, 102.0, id="in-time"),
        # A suspended router reads old news, which confirms the copy only for an old time.
        pytest.param(7.5, 150.0, 100.5, id="late"),
        pytest.param(6.0, 103.0, 100.0, id="older-than-own-call"),
        # The time comes from the clock of the store before a restart.
        pytest.param(900.0, 103.0, 103.0, id="other-clock"),
    ],
)
def test_news_confirms_the_time_at_which_the_store_responded(
    store_time_s, received_at, confirmed_at
):
    copy = copy_at(5)
    copy.apply_news(news(5, 5, at=store_time_s), now=received_at)
    assert copy.confirmed_at == pytest.approx(confirmed_at)


def test_news_does_not_complete_a_copy_that_was_never_read():
    assert FeedCopy().apply_news(news(0, 7, ("a", 6)), now=100.0) is None


def in_era(era, update):
    """Return a page or news as if it were of another era."""
    if isinstance(update, TableNews):
        return msgspec.structs.replace(update, era=era)
    return dataclasses.replace(update, era=era)


@pytest.mark.parametrize(
    ("apply", "update"),
    [
        pytest.param("apply_changes", page(5), id="same-revision"),
        pytest.param("apply_changes", page(8, ("a", 7)), id="later-changes"),
        pytest.param("apply_news", news(5, 5), id="news-of-the-same-revision"),
        pytest.param("apply_news", news(5, 7, ("a", 6)), id="next-news"),
        pytest.param("apply_news", news(2, 3, ("a", 3)), id="news-of-a-lower-revision"),
    ],
)
def test_a_copy_of_an_earlier_era_has_to_be_read_again(apply, update):
    """Revisions that the store gave out twice hid a configuration from routers for good."""
    copy = copy_at(5)
    confirmed_at = copy.confirmed_at
    assert getattr(copy, apply)(in_era(1, update), 150.0) is None
    assert copy.revision is None
    assert copy.confirmed_at == confirmed_at
    copy.apply_read(in_era(1, page(6)), sent_at=160.0)
    assert (copy.era, copy.revision, copy.confirmed_at) == (1, 6, 160.0)


@pytest.mark.parametrize(
    ("apply", "update"),
    [("apply_changes", page(9, ("a", 9))), ("apply_news", news(5, 9, ("a", 9)))],
    ids=["changes", "news"],
)
def test_what_was_read_before_the_store_came_back_from_a_copy_changes_nothing(apply, update):
    """A late message brought back rows that the store no longer holds."""
    copy = FeedCopy()
    copy.apply_read(in_era(2, page(5)), sent_at=100.0)
    assert getattr(copy, apply)(in_era(1, update), 150.0).is_empty
    assert (copy.revision, copy.confirmed_at) == (5, 100.0)
    assert copy.is_newer_than(in_era(1, page(9)))
    assert not copy.is_newer_than(in_era(3, page(1)))
