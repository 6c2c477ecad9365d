"""Follows one table of the store: a whole read, then changes, and a whole read after each gap.

A few routers of the fleet watch the table and pass on what they read; the others call the store
only if that does not reach them in time.
"""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from parsleyrudder import (
    ChangedRow,
    FeedCopy,
    FeedGapError,
    FeedPage,
    FeedService,
    TableError,
    TableNews,
)
from parsleyrudder_adapters.logs import log_event
from parsleyrudder_adapters.timers import Timer, Timers

from .context import now

__all__ = ["TableWatch", "WatchPeers", "WatchRules"]

_LOGGER = logging.getLogger(__name__)
_FIRST_RETRY_S = 0.1
_LONGEST_RETRY_S = 0.5
# A timer may fire a moment too early for what it was set for.
_SHORTEST_PAUSE_S = 0.01
# A router that hears of the store from others need not ask a lost store as often as they do.
_LONGEST_FOLLOWER_RETRY_S = 2.0
# Larger changes are not passed on: each router reads them itself, so that links stay free.
_MOST_NEWS_BYTES = 4096


@dataclass(slots=True, frozen=True)
class WatchRules:
    """Times of a watch.

    :ivar wait_s: time for which the store holds a call until something changes.
    :ivar pause_s: time after a change in which further ones are left to the next call.
    :ivar answer_s: time after ``wait_s`` at which an answer is taken as lost.
    :ivar quiet_s: age of a router's knowledge at which it asks although others watch.
    """

    wait_s: float
    pause_s: float
    answer_s: float
    quiet_s: float

    @classmethod
    def within(cls, bound_s: float) -> "WatchRules":
        """Return rules by which a change is noticed in time although one answer is lost.

        :param bound_s: time within which a change has to be in force.
        """
        return cls(
            wait_s=0.45 * bound_s,
            pause_s=0.1 * bound_s,
            answer_s=0.25 * bound_s,
            quiet_s=0.55 * bound_s,
        )

    @property
    def notice_s(self) -> float:
        """Longest time until a change is read if the first answer that holds it is lost."""
        watching_s = self.pause_s + self.wait_s
        return max(watching_s, self.quiet_s) + self.answer_s + _FIRST_RETRY_S


class WatchPeers(Protocol):
    """The other routers, as a watch sees them."""

    def is_reader(self) -> bool:
        """Whether this router watches for the others now."""
        ...

    def publish(self, news: TableNews) -> None:
        """Tell all other routers what this one has read."""
        ...


class TableWatch:
    """Task that follows one table.

    :param on_read: called with each whole read, and whether the store was away before it.
    :param on_change: called with each page of changes.
    :param on_confirmed: called with a time at which nothing newer existed.
    """

    def __init__(
        self,
        feed: FeedService,
        timers: Timers,
        rules: WatchRules,
        peers: WatchPeers,
        table: str,
        on_read: Callable[[FeedPage, bool], None],
        on_change: Callable[[FeedPage], None],
        on_confirmed: Callable[[float], None] = lambda at: None,
    ) -> None:
        self._feed = feed
        self._timers = timers
        self._rules = rules
        self._peers = peers
        self._table = table
        self._on_read = on_read
        self._on_change = on_change
        self._on_confirmed = on_confirmed
        self._copy = FeedCopy()
        self._was_away = False
        self._retry_s = _FIRST_RETRY_S
        self._is_calling = False
        self._next: Timer | None = None

    def start(self) -> None:
        """Begin to follow the table."""
        self._call()

    def on_news(self, news: TableNews) -> None:
        """Take what another router has read."""
        if self._was_away or self._copy.revision is None:
            # The store is back for another router, so it may be for this one.
            self._call()
            return
        page = self._copy.apply_news(news, now())
        if page is None:
            self._call()
            return
        if not page.is_empty:
            self._on_change(page)
        self._on_confirmed(self._copy.confirmed_at)

    def _call(self) -> None:
        if self._is_calling:
            return
        self._is_calling = True
        if self._next is not None:
            self._next.cancel()
        sent_at = now()
        after = self._copy.revision
        if after is None or self._was_away:
            # After an outage entries may have lapsed, which only a whole read tells from removals.
            self._feed.read(self._table, lambda page: self._take_read(page, sent_at))
            return
        wait_s = self._rules.wait_s if self._peers.is_reader() else 0.0
        self._feed.changes(
            self._table, after, wait_s, lambda page: self._take_changes(page, after, sent_at)
        )

    def _take_read(self, page: FeedPage | TableError, sent_at: float) -> None:
        self._is_calling = False
        if isinstance(page, TableError):
            self._failed(page)
            return
        if self._was_away:
            log_event(_LOGGER, "store_back", table=self._table, revision=page.revision)
        self._copy.apply_read(page, sent_at)
        self._on_read(page, self._was_away)
        self._succeeded(0.0)

    def _take_changes(self, page: FeedPage | TableError, after: int, sent_at: float) -> None:
        self._is_calling = False
        if isinstance(page, TableError):
            self._failed(page)
            return
        new = self._copy.apply_changes(page, sent_at)
        if not new.is_empty:
            self._on_change(new)
        if self._peers.is_reader():
            self._publish(page, after)
        self._succeeded(0.0 if page.is_empty else self._rules.pause_s)

    def _publish(self, page: FeedPage, after: int) -> None:
        rows = tuple(ChangedRow(row.key, row.value, row.revision) for row in page.rows)
        is_whole = sum(len(row.value) for row in rows) <= _MOST_NEWS_BYTES
        self._peers.publish(
            TableNews(
                self._table,
                after,
                page.revision,
                page.store_time_s,
                is_whole,
                rows if is_whole else (),
                page.removed if is_whole else {},
            )
        )

    def _succeeded(self, pause_s: float) -> None:
        self._was_away = False
        self._retry_s = _FIRST_RETRY_S
        self._on_confirmed(self._copy.confirmed_at)
        self._later(pause_s)

    def _later(self, pause_s: float) -> None:
        """Plan the next call: soon as a reader, else when what is known has become too old."""
        if not self._peers.is_reader():
            age_s = now() - self._copy.confirmed_at
            pause_s = max(pause_s, self._rules.quiet_s - age_s, _SHORTEST_PAUSE_S)
        self._next = self._timers.after(pause_s, self._check)

    def _check(self) -> None:
        age_s = now() - self._copy.confirmed_at
        if self._peers.is_reader() or age_s >= self._rules.quiet_s:
            self._call()
        else:
            self._later(0.0)

    def _failed(self, error: TableError) -> None:
        if isinstance(error, FeedGapError):
            log_event(_LOGGER, "feed_gap", table=self._table, after=self._copy.revision)
            self._copy.revision = None
            self._call()
            return
        if not self._was_away:
            log_event(_LOGGER, "store_lost", logging.WARNING, table=self._table, reason=error)
        self._was_away = True
        self._next = self._timers.after(self._retry_s, self._call)
        is_reader = self._peers.is_reader()
        longest_s = _LONGEST_RETRY_S if is_reader else _LONGEST_FOLLOWER_RETRY_S
        self._retry_s = min(longest_s, 2 * self._retry_s)
