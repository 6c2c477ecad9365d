"""Keeps the software versions of each pool in the store, so that they outlast all routers."""

import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import msgspec
from parsleyrudder import (
    DocumentError,
    FeedPage,
    FeedService,
    PoolVersion,
    TableError,
    decode_document,
)
from parsleyrudder_adapters.logs import log_event
from parsleyrudder_adapters.timers import Timers

from .coalesced_read import CoalescedRead
from .context import now
from .ignored_rows import IgnoredRows
from .row_keys import row_key

__all__ = ["StoredVersions", "VersionStore"]

_LOGGER = logging.getLogger(__name__)
_RETRY_DELAY_S = 1.0
# Key of the row that is written once the table lists all versions; no version has this key.
_COMPLETE_KEY = "complete"
_REMOVED_PER_CALL = 100
# Shortest time between two reads for streams whose version has to be inferred.
_READ_INTERVAL_S = 0.2
_DECODER = msgspec.msgpack.Decoder(PoolVersion)


@dataclass(slots=True, frozen=True)
class StoredVersions:
    """What the store knows of the versions at the start of a router.

    :ivar is_complete: whether the table lists the versions of all streams that may still be open.
    """

    versions: frozenset[PoolVersion]
    is_complete: bool
    is_empty: bool


class VersionStore:
    """One row per version of a pool, from its first target until long after its last one.

    :param table: table of the store for the rows.
    :ivar reads: reads of the rows after the one at the start.
    """

    def __init__(self, feed: FeedService, timers: Timers, table: str) -> None:
        self._feed = feed
        self._timers = timers
        self._table = table
        self._stored_keys: set[str] = set()
        self._damaged_keys: set[str] = set()
        self._keys_in_flight: set[str] = set()
        self._is_read = False
        self._is_removing = False
        self._on_versions: Callable[[StoredVersions], None] = lambda stored: None
        self.reads = CoalescedRead(timers, self._read_again, _READ_INTERVAL_S)
        self._ignored_rows = IgnoredRows("versions_row_ignored")

    def start(self, on_read: Callable[[StoredVersions], None]) -> None:
        """Read the rows; a failed read is repeated.

        :param on_read: called once, with the rows.
        """

        def done(page: FeedPage | TableError) -> None:
            if isinstance(page, TableError):
                self._timers.after(_RETRY_DELAY_S, lambda: self.start(on_read))
            else:
                self._is_read = True
                on_read(self._decode(page))

        self._feed.read(self._table, done)

    def follow(self, on_versions: Callable[[StoredVersions], None]) -> None:
        """Set the function that is called with the rows of each later read."""
        self._on_versions = on_versions

    def _read_again(self, done: Callable[[bool], None]) -> None:
        def on_page(page: FeedPage | TableError) -> None:
            if isinstance(page, TableError):
                log_event(_LOGGER, "versions_not_read", logging.WARNING, reason=page)
            else:
                self._on_versions(self._decode(page))
            done(isinstance(page, FeedPage))

        self._feed.read(self._table, on_page)

    def write_again(self) -> None:
        """Write the rows again at the next call of :meth:`save`, as the store may lack them."""
        self._stored_keys.clear()
        self.reads.request(now())

    def save(self, versions: Iterable[PoolVersion], is_complete: bool) -> None:
        """Write the rows of versions that are not stored; a failed write may be repeated later.

        :param is_complete: whether these are the versions of all streams that may still be open.
        """
        if not self._is_read:
            return
        for version in sorted(versions):
            self._put(_row_key(version), msgspec.msgpack.encode(version))
        if is_complete and not self._keys_in_flight:
            self._put(_COMPLETE_KEY, b"")

    def remove_others(self, versions: Iterable[PoolVersion]) -> None:
        """Remove the rows of all versions but the given ones, damaged rows included."""
        kept = {_COMPLETE_KEY, *map(_row_key, versions)}
        removed = sorted((self._stored_keys | self._damaged_keys) - kept)[:_REMOVED_PER_CALL]
        if not removed or self._is_removing:
            return
        self._is_removing = True

        def done(result: bool | TableError) -> None:
            self._is_removing = False
            if not isinstance(result, TableError):
                self._stored_keys.difference_update(removed)
                self._damaged_keys.difference_update(removed)

        self._feed.remove_all(self._table, removed, done)

    def _put(self, key: str, value: bytes) -> None:
        if key in self._stored_keys or key in self._keys_in_flight:
            return
        self._keys_in_flight.add(key)

        def done(result: bool | TableError) -> None:
            if isinstance(result, TableError):
                log_event(_LOGGER, "version_not_stored", logging.WARNING, key=key, reason=result)
                self._timers.after(_RETRY_DELAY_S, lambda: self._keys_in_flight.discard(key))
            else:
                self._keys_in_flight.discard(key)
                self._stored_keys.add(key)
                self._damaged_keys.discard(key)

        self._feed.put(self._table, key, value, done)

    def _decode(self, page: FeedPage) -> StoredVersions:
        versions = set()
        for row in page.rows:
            try:
                if row.key != _COMPLETE_KEY:
                    versions.add(decode_document(_DECODER, row.value, f"row {row.key!r}"))
                self._stored_keys.add(row.key)
            except DocumentError as error:
                self._damaged_keys.add(row.key)
                self._ignored_rows.record(row.key, error)
        is_complete = _COMPLETE_KEY in self._stored_keys and not self._damaged_keys
        return StoredVersions(frozenset(versions), is_complete, is_empty=not page.rows)


def _row_key(version: PoolVersion) -> str:
    return row_key(version.pool, version.version)
