"""The store's time in local time, and copies of tables kept by other routers' news."""

import pytest
from parsleyrudder import FeedCopy, FeedPage, NewsRow, Row, StoreClock, TableNews


@pytest.mark.parametrize(
    ("samples", "expected"),
    [
        ([(100.0, 7.0)], [100.0]),
        ([(100.0, 7.0), (101.0, 9.5)], [100.0, 102.5]),
        ([(100.0, 7.0), (110.0, 16.9)], [100.0, 110.0]),
        # The store started anew: what was learned of its clock is void.
        ([(100.0, 7.0), (110.0, 1.0)], [100.0, 110.0]),
    ],
)
def test_local_time_of_answers(samples, expected):
    clock = StoreClock()
    assert [clock.local_time(*sample) for sample in samples] == pytest.approx(expected)


def page(revision, *rows, removed=(), at=7.0):
    """Return a page whose rows are given as pairs of key and revision."""
    kept = [Row(key, b"", number) for key, number in rows]
    return FeedPage(kept, dict(removed), revision, at)


def news(after, revision, *rows, removed=(), at=7.0, is_whole=True):
    kept = tuple(NewsRow(key, b"", number) for key, number in rows)
    return TableNews("t", after, revision, at, is_whole, kept, dict(removed))


def copy_at(revision):
    copy = FeedCopy()
    copy.take_read(page(revision), sent_at=100.0)
    return copy


@pytest.mark.parametrize(
    ("told", "expected", "revision"),
    [
        pytest.param(news(5, 7, ("a", 6)), {"a"}, 7, id="next"),
        pytest.param(news(3, 7, ("a", 4), ("b", 6)), {"b"}, 7, id="overlap"),
        pytest.param(news(3, 7, removed={"a": 4, "b": 6}), {"b"}, 7, id="old-removal"),
        pytest.param(news(6, 7, ("a", 7)), None, 5, id="gap"),
        pytest.param(news(5, 7, is_whole=False), None, 5, id="too-large"),
        pytest.param(news(4, 5, is_whole=False), set(), 5, id="large-but-known"),
        pytest.param(news(2, 4, ("a", 4)), set(), 5, id="older"),
        pytest.param(news(5, 5), set(), 5, id="nothing-new"),
    ],
)
def test_news_never_revert_a_copy_or_leave_a_gap_in_it(told, expected, revision):
    copy = copy_at(5)
    new = copy.take_news(told, now=200.0)
    if expected is None:
        assert new is None
    else:
        assert {row.key for row in new.rows} | new.removed.keys() == expected
    assert copy.revision == revision


def test_an_answer_that_was_overtaken_by_news_reverts_nothing():
    """The answer holds a row's first state; the news have brought its second one and another."""
    copy = copy_at(5)
    copy.take_news(news(5, 9, ("a", 8), ("b", 9)), now=101.0)
    assert copy.take_changes(page(6, ("a", 6)), sent_at=100.5).is_empty
    assert copy.revision == 9
    late = copy.take_changes(page(10, ("a", 8), ("c", 10)), sent_at=100.5)
    assert [row.key for row in late.rows] == ["c"]


@pytest.mark.parametrize(
    ("told_at", "came_at", "confirmed_at"),
    [
        pytest.param(9.0, 103.0, 102.0, id="in-time"),
        # A router that was suspended reads old news: they confirm an old time.
        pytest.param(7.5, 150.0, 100.5, id="late"),
        pytest.param(6.0, 103.0, 100.0, id="older-than-own-call"),
        # The time is that of the store before it started anew.
        pytest.param(900.0, 103.0, 103.0, id="other-clock"),
    ],
)
def test_news_confirm_the_time_at_which_the_store_answered(told_at, came_at, confirmed_at):
    copy = copy_at(5)
    copy.take_news(news(5, 5, at=told_at), now=came_at)
    assert copy.confirmed_at == pytest.approx(confirmed_at)


def test_news_complete_no_copy_that_was_never_read():
    assert FeedCopy().take_news(news(0, 7, ("a", 6)), now=100.0) is None
