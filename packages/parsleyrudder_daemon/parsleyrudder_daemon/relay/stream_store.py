"""Keeps the starts of recent streams in the store, for callers that resume them after all routers
have restarted.

A few routers, the recorders, write what all of them report, in batches, so that the number of
writes does not grow with the number of streams. The rows of a recorder are overwritten in turn.
"""

import logging
import time
from collections.abc import Callable, Iterable

import msgspec
from parsleyrudder import (
    STREAM_KEY_BYTES,
    DocumentError,
    FeedPage,
    FeedService,
    StreamStart,
    TableError,
    decode_document,
)
from parsleyrudder_adapters.logs import log_event
from parsleyrudder_adapters.timers import Timers

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
# A record that is read too early would miss a stream for this time.
_REREAD_AFTER_S = 2.0
_REMOVED_PER_CALL = 100


class _StreamRow(msgspec.Struct, array_like=True, frozen=True):
    """Streams that have begun within one interval.

    :ivar keys_by_version: their keys, joined, by version and pool.
    """

    keys_by_version_by_pool: dict[str, dict[str, bytes]]


_DECODER = msgspec.msgpack.Decoder(_StreamRow)
FindCallback = Callable[[StreamStart | None], None]


class StreamStore:
    """Writes the streams that this router records for the fleet, and finds those of all recorders.

    :param name: name of this router.
    :param table: table of the store for the rows.
    """

    def __init__(self, feed: FeedService, timers: Timers, name: str, table: str) -> None:
        self._feed = feed
        self._timers = timers
        self._name = name
        self._table = table
        self._pending: list[StreamStart] = []
        self._is_writing = False
        self._row_number = 0
        self._rows: list[_StreamRow] = []
        self._read_at = float("-inf")
        self._is_reading = False
        self._waiting: list[tuple[bytes, FindCallback]] = []
        self._ignored_rows = IgnoredRows("streams_row_ignored")

    def add(self, starts: Iterable[StreamStart]) -> None:
        """Record streams that have begun."""
        self._pending += starts
        del self._pending[:-_MAX_PENDING]
        self._write()

    def find(self, key: bytes, done: FindCallback) -> None:
        """Find a stream that any recorder has written.

        :param done: called once, with None if the stream is not recorded or the store can't be
            read.
        """
        start = self._search(key)
        if start is not None or now() - self._read_at < _REREAD_AFTER_S:
            done(start)
            return
        self._waiting.append((key, done))
        if not self._is_reading:
            self._is_reading = True
            sent_at = now()
            self._feed.read(self._table, lambda page: self._on_read(page, sent_at))

    def clear(self) -> None:
        """Remove the rows of all recorders, which no caller needs any more."""

        def on_rows(page: FeedPage | TableError) -> None:
            keys = [] if isinstance(page, TableError) else [row.key for row in page.rows]
            for first in range(0, len(keys), _REMOVED_PER_CALL):
                removed = keys[first : first + _REMOVED_PER_CALL]
                self._feed.remove_all(self._table, removed, lambda result: None)

        self._feed.read(self._table, on_rows)

    def _write(self) -> None:
        if self._is_writing or not self._pending:
            return
        self._is_writing = True
        written = self._pending[:_MAX_STARTS_PER_ROW]
        del self._pending[: len(written)]

        def done(result: bool | TableError) -> None:
            if isinstance(result, TableError):
                log_event(
                    _LOGGER,
                    "streams_not_stored",
                    logging.WARNING,
                    count=len(written),
                    reason=result,
                )
                self._pending[:0] = written
            self._timers.after(_WRITE_INTERVAL_S, self._on_interval)

        self._feed.put(self._table, self._row_key(), _encode(written), done)

    def _on_interval(self) -> None:
        self._is_writing = False
        self._write()

    def _row_key(self) -> str:
        # By the clock, so that a recorder that starts again does not overwrite its newest rows.
        by_clock = int(time.time() / _WRITE_INTERVAL_S)
        self._row_number = max(self._row_number + 1, by_clock)
        return f"{self._name}/{self._row_number % _ROWS_PER_RECORDER:03d}"

    def _on_read(self, page: FeedPage | TableError, sent_at: float) -> None:
        self._is_reading = False
        waiting, self._waiting = self._waiting, []
        if isinstance(page, TableError):
            log_event(_LOGGER, "streams_not_read", logging.WARNING, reason=page)
        else:
            self._read_at = sent_at
            self._rows = self._decode_rows(page)
        for key, done in waiting:
            done(self._search(key))

    def _decode_rows(self, page: FeedPage) -> list[_StreamRow]:
        rows = []
        for row in page.rows:
            try:
                rows.append(decode_document(_DECODER, row.value, f"row {row.key!r}"))
            except DocumentError as error:
                self._ignored_rows.record(row.key, error)
        return rows

    def _search(self, key: bytes) -> StreamStart | None:
        for row in self._rows:
            for pool, keys_by_version in row.keys_by_version_by_pool.items():
                for version, keys in keys_by_version.items():
                    if _contains(keys, key):
                        return StreamStart(key, pool, version)
        return None


def _encode(starts: Iterable[StreamStart]) -> bytes:
    keys_by_version_by_pool: dict[str, dict[str, bytes]] = {}
    for start in starts:
        keys_by_version = keys_by_version_by_pool.setdefault(start.pool, {})
        keys_by_version[start.version] = keys_by_version.get(start.version, b"") + start.key
    return msgspec.msgpack.encode(_StreamRow(keys_by_version_by_pool))


def _contains(keys: bytes, key: bytes) -> bool:
    """Whether a key is among joined keys.

    >>> _contains(b"12345678abcdefgh", b"abcdefgh"), _contains(b"12345678abcdefgh", b"5678abcd")
    (True, False)
    """
    at = keys.find(key) if len(key) == STREAM_KEY_BYTES else -1
    while at % STREAM_KEY_BYTES and at >= 0:
        at = keys.find(key, at + 1)
    return at >= 0
