"""Follows one table of the store: a full read, then changes, and a full read after each gap.

A few routers of the fleet, the readers, long-poll the store and send the changes to the others,
which call the store themselves only if these messages do not arrive in time.
"""

import contextlib
import logging
from collections.abc import Callable, Iterator
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
_MAX_RETRY_S = 0.5
# A timer may fire slightly early, before the copy has reached its maximum age; this minimum keeps
# the next timer from firing at once.
_MIN_DELAY_S = 0.01
# Routers that are informed by readers need not retry an unreachable store as often as these.
_MAX_FOLLOWER_RETRY_S = 2.0
# Larger changes are not sent to other routers, so that the links between routers stay free; each
# router reads them from the store itself.
_MAX_NEWS_BYTES = 4096


@dataclass(slots=True, frozen=True)
class WatchRules:
    """Time limits of a watch.

    :ivar long_poll_s: time for which the store holds a call while there is no change.
    :ivar coalesce_s: delay of the next call after a change, so that it returns further changes
        together.
    :ivar response_timeout_s: time after ``long_poll_s`` at which a response counts as lost.
    :ivar max_age_s: age of a router's copy at which it calls the store even though it is no reader.
    """

    long_poll_s: float
    coalesce_s: float
    response_timeout_s: float
    max_age_s: float

    @classmethod
    def within(cls, bound_s: float) -> "WatchRules":
        """Return rules by which a change is detected in time even if one response is lost.

        :param bound_s: time within which a change has to be active.
        """
        return cls(
            long_poll_s=0.45 * bound_s,
            coalesce_s=0.1 * bound_s,
            response_timeout_s=0.25 * bound_s,
            max_age_s=0.55 * bound_s,
        )

    @property
    def max_detection_s(self) -> float:
        """Longest time until a change is read if the first response that contains it is lost."""
        reader_delay_s = self.coalesce_s + self.long_poll_s
        return max(reader_delay_s, self.max_age_s) + self.response_timeout_s + _FIRST_RETRY_S


class WatchPeers(Protocol):
    """Access of a watch to the other routers."""

    def is_reader(self) -> bool:
        """Whether this router currently reads the table for the others."""
        ...

    def publish(self, news: TableNews) -> None:
        """Send the changes that this router has read to all others."""
        ...


class TableWatch:
    """Task that follows one table.

    :param on_read: called with each full read, and whether the store was unreachable before it.
    :param on_change: called with each page of changes.
    :param on_confirmed: called with a time at which the router's copy was known to be up to date.
    :param on_restored: called before the first full read since the store came back from an older
        copy is applied; the copy may lack what this fleet had written.
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
        on_restored: Callable[[], None] = lambda: None,
    ) -> None:
        self._feed = feed
        self._timers = timers
        self._rules = rules
        self._peers = peers
        self._table = table
        self._on_read = on_read
        self._on_change = on_change
        self._on_confirmed = on_confirmed
        self._on_restored = on_restored
        self._copy = FeedCopy()
        self._is_store_down = False
        self._retry_s = _FIRST_RETRY_S
        self._is_call_in_flight = False
        self._next_call: Timer | None = None
        self._read_sent_at = float("-inf")

    @property
    def confirmed_at(self) -> float:
        """Local time at which this router's copy was known to be up to date."""
        return self._copy.confirmed_at

    @property
    def is_store_down(self) -> bool:
        """Whether the store has not answered the last call."""
        return self._is_store_down

    def start(self) -> None:
        """Start to follow the table."""
        self._call_store()

    def confirm(self, done: Callable[[bool], None]) -> None:
        """Bring the copy up to date now, beside the call that may wait for the next change.

        :param done: called once, with whether the copy is up to date as of this call.
        """
        sent_at = now()
        after = self._copy.revision

        def on_read(page: FeedPage | TableError) -> None:
            is_confirmed = False
            try:
                is_confirmed = isinstance(page, FeedPage) and self._apply_read(page, sent_at)
            finally:
                done(is_confirmed)

        def on_changes(page: FeedPage | TableError) -> None:
            is_new_era = isinstance(page, FeedPage) and page.era > self._copy.era
            if is_new_era or isinstance(page, FeedGapError):
                self._feed.read(self._table, on_read)
                return
            assert after is not None
            is_confirmed = False
            try:
                is_confirmed = isinstance(page, FeedPage) and self._confirm_by(page, after, sent_at)
            finally:
                done(is_confirmed)

        if after is None or self._is_store_down:
            self._feed.read(self._table, on_read)
        else:
            self._feed.changes(self._table, after, 0.0, on_changes)

    def _confirm_by(self, page: FeedPage, after: int, sent_at: float) -> bool:
        """Apply the changes since a revision; return whether the copy is up to date then."""
        revision = self._copy.revision
        if revision is None or self._is_store_down:
            # The store was lost since then: only a full read tells lapsed entries from removals.
            return False
        self._apply_changes(page, sent_at)
        if self._peers.is_reader() and not page.is_empty:
            # The next call for changes does not return these again.
            self._publish(page, after)
        return (page.era, page.revision) >= (self._copy.era, revision)

    def on_news(self, news: TableNews) -> None:
        """Handle changes that another router has read."""
        if self._is_store_down or self._copy.revision is None:
            # Another router reaches the store, so this one may reach it too.
            self._call_store()
            return
        page = self._copy.apply_news(news, now())
        if page is None:
            self._call_store()
            return
        if not page.is_empty:
            self._on_change(page)
        self._on_confirmed(self._copy.confirmed_at)

    def _call_store(self) -> None:
        if self._is_call_in_flight:
            return
        self._is_call_in_flight = True
        if self._next_call is not None:
            self._next_call.cancel()
        sent_at = now()
        after = self._copy.revision
        if after is None or self._is_store_down:
            # Entries may have lapsed in the outage, which only a full read can tell from removals.
            self._feed.read(self._table, lambda page: self._on_read_done(page, sent_at))
            return
        long_poll_s = self._rules.long_poll_s if self._peers.is_reader() else 0.0
        self._feed.changes(
            self._table,
            after,
            long_poll_s,
            lambda page: self._on_changes_done(page, after, sent_at),
        )

    def _on_read_done(self, page: FeedPage | TableError, sent_at: float) -> None:
        self._is_call_in_flight = False
        if isinstance(page, TableError):
            self._on_error(page)
            return
        with self._following():
            self._apply_read(page, sent_at)
        self._schedule_call(0.0)

    def _apply_read(self, page: FeedPage, sent_at: float) -> bool:
        """Apply a full read unless the copy is newer; return whether it was applied."""
        was_down = self._is_store_down
        self._record_answer()
        is_first = self._read_sent_at == float("-inf")
        is_older = self._copy.is_newer_than(page) and not was_down
        if sent_at < self._read_sent_at or page.era < self._copy.era or is_older:
            return False
        self._read_sent_at = sent_at
        is_restored = page.era > self._copy.era and not is_first
        if was_down or is_restored:
            log_event(
                _LOGGER, "store_back", table=self._table, revision=page.revision, era=page.era
            )
        self._copy.apply_read(page, sent_at)
        if is_restored:
            self._on_restored()
        # An older copy may lack entries that are about to be written again, as after an outage.
        self._on_read(page, was_down or is_restored)
        self._on_confirmed(self._copy.confirmed_at)
        return True

    def _on_changes_done(self, page: FeedPage | TableError, after: int, sent_at: float) -> None:
        self._is_call_in_flight = False
        if isinstance(page, TableError):
            self._on_error(page)
            return
        with self._following():
            has_followed = self._apply_changes(page, sent_at)
        if not has_followed:
            self._call_store()
            return
        self._schedule_call(0.0 if page.is_empty else self._rules.coalesce_s)
        if self._peers.is_reader():
            self._publish(page, after)

    @contextlib.contextmanager
    def _following(self) -> Iterator[None]:
        """Go on after an error in the handler of rows, which the copy is not confirmed by."""
        confirmed_at = self._copy.confirmed_at
        try:
            yield
        except Exception:
            self._copy.confirmed_at = confirmed_at
            self._next_call = self._timers.after(_MAX_RETRY_S, self._call_store)
            raise

    def _apply_changes(self, page: FeedPage, sent_at: float) -> bool:
        """Apply changes; return False if the whole table has to be read in their place."""
        self._record_answer()
        new = self._copy.apply_changes(page, sent_at)
        if new is None:
            log_event(_LOGGER, "store_era_changed", table=self._table, era=page.era)
            return False
        if not new.is_empty:
            self._on_change(new)
        self._on_confirmed(self._copy.confirmed_at)
        return True

    def _record_answer(self) -> None:
        self._is_store_down = False
        self._retry_s = _FIRST_RETRY_S

    def _publish(self, page: FeedPage, after: int) -> None:
        rows = tuple(ChangedRow(row.key, row.value, row.revision) for row in page.rows)
        is_whole = sum(len(row.value) for row in rows) <= _MAX_NEWS_BYTES
        self._peers.publish(
            TableNews(
                self._table,
                after,
                page.revision,
                page.store_time_s,
                is_whole,
                rows if is_whole else (),
                page.removed if is_whole else {},
                page.era,
            )
        )

    def _schedule_call(self, delay_s: float) -> None:
        """Schedule the next call: for a reader after the delay, else when the copy is too old."""
        if not self._peers.is_reader():
            age_s = now() - self._copy.confirmed_at
            delay_s = max(delay_s, self._rules.max_age_s - age_s, _MIN_DELAY_S)
        self._next_call = self._timers.after(delay_s, self._on_timer)

    def _on_timer(self) -> None:
        age_s = now() - self._copy.confirmed_at
        if self._peers.is_reader() or age_s >= self._rules.max_age_s:
            self._call_store()
        else:
            self._schedule_call(0.0)

    def _on_error(self, error: TableError) -> None:
        if isinstance(error, FeedGapError):
            log_event(_LOGGER, "feed_gap", table=self._table, after=self._copy.revision)
            self._copy.revision = None
            self._call_store()
            return
        if not self._is_store_down:
            log_event(_LOGGER, "store_lost", logging.WARNING, table=self._table, reason=error)
        self._is_store_down = True
        self._next_call = self._timers.after(self._retry_s, self._call_store)
        is_reader = self._peers.is_reader()
        max_retry_s = _MAX_RETRY_S if is_reader else _MAX_FOLLOWER_RETRY_S
        self._retry_s = min(max_retry_s, 2 * self._retry_s)
