"""Keeps the starts of recent streams in the store, for callers that resume them after all routers
have restarted.

A few routers, the recorders, write what all of them report, in batches, so that the number of
writes does not grow with the number of streams. The rows of a recorder are overwritten in turn.
"""

import logging
import time
from collections import deque
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass

import msgspec
from parsleyrudder import (
    STREAM_KEY_BYTES,
    DocumentError,
    FeedGapError,
    FeedPage,
    FeedService,
    Row,
    StreamStart,
    TableError,
    decode_document,
)
from parsleyrudder_adapters.logs import log_event
from parsleyrudder_adapters.timers import Timers

from .coalesced_read import CoalescedRead
from .context import now
from .ignored_rows import IgnoredRows

__all__ = ["StreamStore"]

_LOGGER = logging.getLogger(__name__)
_WRITE_INTERVAL_S = 0.25
# Together the rows of a recorder cover the longest time for which a caller resumes a stream.
_ROWS_PER_RECORDER = 256
# Keeps a row within the 64 KiB that the store allows.
_MAX_STARTS_PER_ROW = 6000
# Limit of what is kept for later while the store can't be written to.
_MAX_PENDING = 20_000
# Shortest time between two reads.
_READ_INTERVAL_S = 0.2
# Age of the last read up to which the changes since then are less than the whole table.
_MAX_CHANGES_AGE_S = 20.0
_REMOVED_PER_CALL = 100
# Age of the oldest state that the store may come back from.
_MAX_COPY_AGE_S = 30.0
# Writes in the longest time for which the response to one is waited for.
_MAX_WRITES_IN_FLIGHT = 16


class _StreamRow(msgspec.Struct, array_like=True, frozen=True):
    """Streams that have begun within one interval.

    :ivar keys_by_version: their keys, joined, by version and pool.
    """

    keys_by_version_by_pool: dict[str, dict[str, bytes]]


_DECODER = msgspec.msgpack.Decoder(_StreamRow)


@dataclass(slots=True, frozen=True)
class _KnownRow:
    revision: int
    row: _StreamRow


class StreamStore:
    """Writes the streams that this router records for the fleet, and finds those of all recorders.

    :param name: name of this router.
    :param table: table of the store for the rows.
    :ivar reads: reads of the rows of all recorders.
    """

    def __init__(self, feed: FeedService, timers: Timers, name: str, table: str) -> None:
        self._feed = feed
        self._timers = timers
        self._name = name
        self._table = table
        self._pending: list[StreamStart] = []
        self._is_paused = False
        self._writes_in_flight: list[list[StreamStart]] = []
        self._row_number = 0
        self._row_by_key: dict[str, _KnownRow] = {}
        self._revision: int | None = None
        self._era = 0
        # What was written lately, with the times of the writes.
        self._written: deque[tuple[float, list[StreamStart]]] = deque()
        self._ignored_rows = IgnoredRows("streams_row_ignored")
        self.reads = CoalescedRead(timers, self._read, _READ_INTERVAL_S)

    def add(self, starts: Iterable[StreamStart]) -> None:
        """Record streams that have begun."""
        self._pending += starts
        del self._pending[:-_MAX_PENDING]
        self._write()

    def write_again(self) -> None:
        """Write again what was written lately, as the store may have lost it."""
        self._forget_old_writes()
        written = [start for _, starts in self._written for start in starts]
        self._written.clear()
        self.add(written)

    def unwritten(self) -> list[StreamStart]:
        """Return the streams whose write has not been confirmed."""
        in_flight = (start for written in self._writes_in_flight for start in written)
        return [*in_flight, *self._pending]

    def find(self, keys: Collection[bytes]) -> list[StreamStart]:
        """Return those of the streams that any recorder had written at the last read."""
        return [
            StreamStart(key, pool, version)
            for known in self._row_by_key.values()
            for pool, keys_by_version in known.row.keys_by_version_by_pool.items()
            for version, joined in keys_by_version.items()
            for key in keys
            if _contains(joined, key)
        ]

    def clear(self) -> None:
        """Remove the rows of all recorders, which no caller needs any more."""

        def on_rows(page: FeedPage | TableError) -> None:
            keys = [] if isinstance(page, TableError) else [row.key for row in page.rows]
            for first in range(0, len(keys), _REMOVED_PER_CALL):
                removed = keys[first : first + _REMOVED_PER_CALL]
                self._feed.remove_all(self._table, removed, lambda result: None)

        self._feed.read(self._table, on_rows)

    def _write(self) -> None:
        """Write what is pending to a row of its own, beside the writes that have no answer yet."""
        is_full = len(self._writes_in_flight) >= _MAX_WRITES_IN_FLIGHT
        if self._is_paused or not self._pending or is_full:
            return
        self._is_paused = True
        self._timers.after(_WRITE_INTERVAL_S, self._on_interval)
        written = self._pending[:_MAX_STARTS_PER_ROW]
        del self._pending[: len(written)]
        self._writes_in_flight.append(written)
        self._feed.put(
            self._table,
            self._row_key(),
            _encode(written),
            lambda result: self._on_written(written, result),
        )

    def _on_written(self, written: list[StreamStart], result: bool | TableError) -> None:
        self._writes_in_flight = [w for w in self._writes_in_flight if w is not written]
        if isinstance(result, TableError):
            log_event(
                _LOGGER, "streams_not_stored", logging.WARNING, count=len(written), reason=result
            )
            self._pending[:0] = written
            del self._pending[:-_MAX_PENDING]
        else:
            self._written.append((now(), written))
            self._forget_old_writes()
        self._write()

    def _forget_old_writes(self) -> None:
        while self._written and now() - self._written[0][0] >= _MAX_COPY_AGE_S:
            self._written.popleft()

    def _on_interval(self) -> None:
        self._is_paused = False
        self._write()

    def _row_key(self) -> str:
        # By the clock, so that a recorder that starts again does not overwrite its newest rows.
        by_clock = int(time.time() / _WRITE_INTERVAL_S)
        self._row_number = max(self._row_number + 1, by_clock)
        return f"{self._name}/{self._row_number % _ROWS_PER_RECORDER:03d}"

    def _read(self, done: Callable[[bool], None]) -> None:
        """Read the rows, or what has changed since the last read."""
        after = self._revision
        if after is None or now() - self.reads.read_at >= _MAX_CHANGES_AGE_S:
            self._read_all(done)
            return

        def on_changes(page: FeedPage | TableError) -> None:
            if isinstance(page, FeedGapError):
                self._read_all(done)
            else:
                self._on_page(page, False, done)

        self._feed.changes(self._table, after, 0.0, on_changes)

    def _read_all(self, done: Callable[[bool], None]) -> None:
        self._feed.read(self._table, lambda page: self._on_page(page, True, done))

    def _on_page(
        self, page: FeedPage | TableError, is_whole: bool, done: Callable[[bool], None]
    ) -> None:
        if isinstance(page, TableError):
            log_event(_LOGGER, "streams_not_read", logging.WARNING, reason=page)
            done(False)
            return
        if page.era > self._era and not is_whole:
            # The changes before this page were made in an older copy.
            self._read_all(done)
            return
        if page.era < self._era:
            done(False)
            return
        if page.era > self._era:
            self._era = page.era
            self._row_by_key = {}
            self._revision = None
        kept_after = page.revision if is_whole else -1
        self._row_by_key = {
            key: known
            for key, known in self._row_by_key.items()
            if known.revision > max(kept_after, page.removed.get(key, -1))
        }
        for row in page.rows:
            self._apply(row)
        # Responses may arrive in another order than that of the reads.
        self._revision = max(self._revision or 0, page.revision)
        done(True)

    def _apply(self, row: Row) -> None:
        known = self._row_by_key.get(row.key)
        if known is not None and known.revision >= row.revision:
            return
        try:
            decoded = decode_document(_DECODER, row.value, f"row {row.key!r}")
        except DocumentError as error:
            self._ignored_rows.record(row.key, error)
            return
        self._row_by_key[row.key] = _KnownRow(row.revision, decoded)


def _encode(starts: Iterable[StreamStart]) -> bytes:
    keys_by_version_by_pool: dict[str, dict[str, bytes]] = {}
    for start in starts:
        keys_by_version = keys_by_version_by_pool.setdefault(start.pool, {})
        keys_by_version[start.version] = keys_by_version.get(start.version, b"") + start.key
    return msgspec.msgpack.encode(_StreamRow(keys_by_version_by_pool))


def _contains(joined: bytes, key: bytes) -> bool:
    """Whether a key is among joined keys.

    The search of ``bytes`` is many times faster than a comparison of each key.

    >>> _contains(b"12345678abcdefgh", b"abcdefgh"), _contains(b"12345678abcdefgh", b"5678abcd")
    (True, False)
    """
    at = joined.find(key) if len(key) == STREAM_KEY_BYTES else -1
    while at % STREAM_KEY_BYTES and at >= 0:
        at = joined.find(key, at + 1)
    return at >= 0
