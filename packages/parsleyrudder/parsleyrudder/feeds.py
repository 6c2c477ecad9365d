"""A store whose tables can be watched, as the decision code sees it.

Other than :class:`TableService`, it keeps named tables of rows, reports what changed in one, and
answers with its own steady time.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from .errors import TableError
from .messages import TableNews
from .table import Row

__all__ = ["FeedCopy", "FeedGapError", "FeedPage", "FeedService", "StoreClock"]


class FeedGapError(TableError):
    """The store no longer has the changes after a revision; read the whole table again."""

    code = "feed_gap"


@dataclass(slots=True, frozen=True)
class FeedPage:
    """Rows of one table, or the rows that changed.

    :ivar removed: revisions of the removals, by the key of the removed row.
    :ivar revision: revision that the page is complete up to.
    :ivar store_time_s: steady time of the store when it answered.
    """

    rows: list[Row]
    removed: dict[str, int]
    revision: int
    store_time_s: float

    @property
    def is_empty(self) -> bool:
        """Whether the page holds no change."""
        return not self.rows and not self.removed

    def newer_than(self, revision: int) -> "FeedPage":
        """Return the page without what was known at a revision."""
        return FeedPage(
            [row for row in self.rows if row.revision > revision],
            {key: at for key, at in self.removed.items() if at > revision},
            self.revision,
            self.store_time_s,
        )


PageDone = Callable[[FeedPage | TableError], None]
WriteDone = Callable[[bool | TableError], None]


class FeedService(Protocol):
    """Asynchronous access to the watched tables; ``done`` is called once."""

    def read(self, table: str, done: PageDone) -> None:
        """Read a whole table as of one moment."""
        ...

    def changes(self, table: str, after: int, wait_s: float, done: PageDone) -> None:
        """Read what changed after a revision, waiting until there is something."""
        ...

    def put(self, table: str, key: str, value: bytes, done: WriteDone) -> None:
        """Write a row, whatever it held before."""
        ...

    def remove(self, table: str, key: str, revision: int, done: WriteDone) -> None:
        """Remove a row if it still has a revision; the result tells whether it had."""
        ...


@dataclass(slots=True)
class StoreClock:
    """Translates the store's steady time into the local one, never to a later time than the true.

    Both clocks run at the same speed, so the largest difference between the local time of sending
    and the store's time of answering bounds their offset from below.
    """

    _offset_s: float | None = None
    _newest_s: float = field(default=float("-inf"))

    def local_time(self, sent_at: float, store_time_s: float) -> float:
        """Return a local time at or before the moment at which the store answered.

        :param sent_at: local time at which the request was sent.
        :param store_time_s: time of the store in its answer.

        >>> clock = StoreClock()
        >>> clock.local_time(100.0, 7.0), clock.local_time(101.0, 9.5)
        (100.0, 102.5)
        """
        if store_time_s < self._newest_s:
            # The store has started anew, and its clock with it.
            self._offset_s = None
        self._newest_s = store_time_s
        offset_s = sent_at - store_time_s
        if self._offset_s is None or offset_s > self._offset_s:
            self._offset_s = offset_s
        return store_time_s + self._offset_s

    def known_time(self, store_time_s: float) -> float:
        """Return a local time at or before a time of the store that another router was told.

        Minus infinity if this router has had no answer of the store, or only answers of an
        earlier start of it.
        """
        if self._offset_s is None:
            return float("-inf")
        return store_time_s + self._offset_s


@dataclass(slots=True)
class FeedCopy:
    """What one router knows of a table, from its own calls and from what other routers read.

    Load that it answers: a fleet in which each router watches each table makes as many calls as
    it has routers. So a few routers watch, and tell the others what they read. What they tell
    carries the store's time, so that late or lost news never makes a copy look fresher than it is;
    a router whose copy has become too old asks the store itself.

    :ivar revision: revision that the copy is complete up to; None if it has to be read whole.
    :ivar confirmed_at: local time at which nothing newer existed.
    """

    revision: int | None = None
    confirmed_at: float = float("-inf")
    _clock: StoreClock = field(default_factory=StoreClock)

    def take_read(self, page: FeedPage, sent_at: float) -> None:
        """Take a whole read.

        :param sent_at: local time at which the call was sent.
        """
        self.revision = page.revision
        self.confirmed_at = self._clock.local_time(sent_at, page.store_time_s)

    def take_changes(self, page: FeedPage, sent_at: float) -> FeedPage:
        """Take an answer to a call for changes; return what of it is new.

        The copy may have advanced by news since the call was sent.
        """
        assert self.revision is not None
        new = page.newer_than(self.revision)
        confirmed_at = self._clock.local_time(sent_at, page.store_time_s)
        if page.revision >= self.revision:
            self.revision = page.revision
            self.confirmed_at = max(self.confirmed_at, confirmed_at)
        return new

    def take_news(self, news: TableNews, now: float) -> FeedPage | None:
        """Take what another router has read; return what of it is new.

        :param now: local time at which the news came.
        :returns: None if the copy can't be completed by it, so that the store has to be asked.
        """
        if self.revision is None:
            return None
        if news.revision < self.revision:
            return FeedPage([], {}, self.revision, news.store_time_s)
        if news.revision > self.revision and (news.after > self.revision or not news.is_whole):
            return None
        rows = [Row(row.key, row.value, row.revision) for row in news.rows]
        page = FeedPage(rows, dict(news.removed), news.revision, news.store_time_s)
        new = page.newer_than(self.revision)
        self.revision = news.revision
        # News of an earlier start of the store could else seem to come from the future.
        known_at = min(now, self._clock.known_time(news.store_time_s))
        self.confirmed_at = max(self.confirmed_at, known_at)
        return new
