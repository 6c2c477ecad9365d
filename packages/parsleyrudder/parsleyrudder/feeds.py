"""Interface to a store whose tables can be watched for changes.

Unlike :class:`TableService`, the store has several named tables, reports the changes of a table
after a revision, and includes its own monotonic time in each response.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from .errors import TableError
from .messages import TableNews
from .table import Row

__all__ = ["FeedCopy", "FeedGapError", "FeedPage", "FeedService", "StoreClock"]


class FeedGapError(TableError):
    """The store has discarded the changes after a revision; the whole table must be read again."""

    code = "feed_gap"


@dataclass(slots=True, frozen=True)
class FeedPage:
    """All rows of one table, or the rows that changed.

    :ivar removed: revisions of the removals, by the key of the removed row.
    :ivar revision: revision up to which the page is complete.
    :ivar store_time_s: monotonic time of the store when it responded.
    :ivar era: number that rises each time the store comes back from an older copy and gives out
        revisions again; revisions of different eras are not comparable.
    """

    rows: list[Row]
    removed: dict[str, int]
    revision: int
    store_time_s: float
    era: int = 0

    @property
    def is_empty(self) -> bool:
        """Whether the page contains no rows and no removals."""
        return not self.rows and not self.removed

    def newer_than(self, revision: int) -> "FeedPage":
        """Return the page without the changes up to a revision."""
        return FeedPage(
            [row for row in self.rows if row.revision > revision],
            {key: at for key, at in self.removed.items() if at > revision},
            self.revision,
            self.store_time_s,
            self.era,
        )


PageCallback = Callable[[FeedPage | TableError], None]
WriteCallback = Callable[[bool | TableError], None]


class FeedService(Protocol):
    """Asynchronous access to the watched tables; ``done`` is called once."""

    def read(self, table: str, done: PageCallback) -> None:
        """Read a consistent snapshot of a whole table."""
        ...

    def changes(self, table: str, after: int, wait_s: float, done: PageCallback) -> None:
        """Read the changes after a revision, waiting up to ``wait_s`` until there is one."""
        ...

    def put(self, table: str, key: str, value: bytes, done: WriteCallback) -> None:
        """Write a row unconditionally."""
        ...

    def remove(self, table: str, key: str, revision: int, done: WriteCallback) -> None:
        """Remove a row if it still has a revision; the result is whether it had."""
        ...

    def remove_all(self, table: str, keys: Sequence[str], done: WriteCallback) -> None:
        """Remove at most 100 rows, whatever their revisions, in one transaction."""
        ...


@dataclass(slots=True)
class StoreClock:
    """Converts the store's monotonic time into a lower bound of the local time.

    Both clocks run at the same speed, so the largest difference between the local send time and
    the store's response time is a lower bound of their offset.
    """

    _offset_s: float | None = None
    _latest_store_time_s: float = field(default=float("-inf"))

    def observe_response(self, sent_at: float, store_time_s: float) -> float:
        """Update the offset by a response; return a local time not after that of the response.

        :param sent_at: local time at which the request was sent.
        :param store_time_s: time of the store in its response.

        >>> clock = StoreClock()
        >>> clock.observe_response(100.0, 7.0), clock.observe_response(101.0, 9.5)
        (100.0, 102.5)
        """
        if store_time_s < self._latest_store_time_s:
            # The store has restarted, and its clock with it.
            self._offset_s = None
        self._latest_store_time_s = store_time_s
        offset_s = sent_at - store_time_s
        if self._offset_s is None or offset_s > self._offset_s:
            self._offset_s = offset_s
        return store_time_s + self._offset_s

    def to_local_time(self, store_time_s: float) -> float:
        """Return a local time not after a store time that another router received.

        The result is minus infinity if this router has received no response of the store, or none
        since the store restarted.
        """
        if self._offset_s is None:
            return float("-inf")
        return store_time_s + self._offset_s


@dataclass(slots=True)
class FeedCopy:
    """Revision and age of one router's copy of a table.

    If each router watched each table, the load of the store would grow with the number of routers.
    Instead a few routers watch and forward what they read as :class:`TableNews`. These messages
    carry the store's time, so that a late or lost one never makes a copy look fresher than it is;
    a router whose copy has become too old reads from the store itself.

    :ivar revision: revision up to which the copy is complete; None if a full read is needed.
    :ivar era: era of the store in which the copy was last read as a whole.
    :ivar confirmed_at: local time at which the copy was known to be up to date.
    """

    revision: int | None = None
    confirmed_at: float = float("-inf")
    era: int = 0
    _clock: StoreClock = field(default_factory=StoreClock)

    def is_newer_than(self, page: FeedPage) -> bool:
        """Whether the copy holds a later state of the table than a full read."""
        return self.revision is not None and (page.era, page.revision) < (self.era, self.revision)

    def apply_read(self, page: FeedPage, sent_at: float) -> None:
        """Apply a full read of the table.

        :param sent_at: local time at which the request was sent.
        """
        if page.era != self.era:
            # The store may have another clock in each era.
            self._clock = StoreClock()
        self.era = page.era
        self.revision = page.revision
        self.confirmed_at = self._clock.observe_response(sent_at, page.store_time_s)

    def apply_changes(self, page: FeedPage, sent_at: float) -> FeedPage | None:
        """Apply the response to a request for changes; return the changes that are new.

        News may have advanced the copy since the request was sent.

        :param sent_at: local time at which the request was sent.
        :returns: None if the whole table has to be read, as the store has come back from a copy.
        """
        if not self._may_follow(page.era):
            return None
        assert self.revision is not None
        if page.era < self.era:
            return self._without_changes(page.store_time_s)
        new = page.newer_than(self.revision)
        confirmed_at = self._clock.observe_response(sent_at, page.store_time_s)
        if page.revision >= self.revision:
            self.revision = page.revision
            self.confirmed_at = max(self.confirmed_at, confirmed_at)
        return new

    def apply_news(self, news: TableNews, now: float) -> FeedPage | None:
        """Apply the changes that another router has read; return those that are new.

        :param now: local time at which the news arrived.
        :returns: None if changes are missing, so that they have to be read from the store.
        """
        if not self._may_follow(news.era):
            return None
        assert self.revision is not None
        if (news.era, news.revision) < (self.era, self.revision):
            return self._without_changes(news.store_time_s)
        if news.revision > self.revision and (
            news.after > self.revision or not news.includes_changes
        ):
            return None
        rows = [Row(row.key, row.value, row.revision) for row in news.rows]
        page = FeedPage(rows, dict(news.removed), news.revision, news.store_time_s, news.era)
        new = page.newer_than(self.revision)
        self.revision = news.revision
        # News from before a restart of the store could otherwise map to a time in the future.
        known_at = min(now, self._clock.to_local_time(news.store_time_s))
        self.confirmed_at = max(self.confirmed_at, known_at)
        return new

    def _may_follow(self, era: int) -> bool:
        """Whether changes of an era may follow the copy; if the era is new, they never will."""
        if era > self.era:
            self.revision = None
        return self.revision is not None

    def _without_changes(self, store_time_s: float) -> FeedPage:
        assert self.revision is not None
        return FeedPage([], {}, self.revision, store_time_s, self.era)
