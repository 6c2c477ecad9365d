"""Keeps quarantines in the store, so that they outlast a restart of all routers."""

import logging
import time
from collections.abc import Callable
from typing import Annotated

import msgspec
from parsleyrudder import (
    DocumentError,
    FeedPage,
    FeedService,
    Suspect,
    SuspectCrashes,
    SuspectKind,
    TableError,
    decode_document,
)
from parsleyrudder_adapters.logs import log_event
from parsleyrudder_adapters.timers import Timers

from .ignored_rows import IgnoredRows
from .row_keys import row_key
from .row_removal import remove_row

__all__ = ["QuarantineRow", "QuarantineStore"]

_LOGGER = logging.getLogger(__name__)
_RETRY_DELAY_S = 1.0
# Bounded, so that ages in milliseconds fit into messages.
_UnixTimeS = Annotated[float, msgspec.Meta(ge=0.0, le=1e12)]


class QuarantineRow(msgspec.Struct, array_like=True, frozen=True):
    """A quarantined suspect as stored.

    :ivar crashed_at_by_lifetime: Unix times of the crashes in seconds, by the target's lifetime.
    """

    pool: str
    kind: SuspectKind
    id: str
    crashed_at_by_lifetime: dict[str, _UnixTimeS]


_DECODER = msgspec.msgpack.Decoder(QuarantineRow)


class QuarantineStore:
    """Writes quarantines when they begin or change, and reads all of them at the start.

    Of all routers, only the one that may try a suspect first writes its row.

    :param table: table of the store for the rows.
    """

    def __init__(self, feed: FeedService, timers: Timers, table: str) -> None:
        self._feed = feed
        self._timers = timers
        self._table = table
        self._crash_count_by_suspect: dict[Suspect, int] = {}
        self._is_writing: set[Suspect] = set()
        self._is_read = False
        self._ignored_rows = IgnoredRows("quarantine_row_ignored")

    def start(self, on_read: Callable[[list[SuspectCrashes]], None]) -> None:
        """Read the rows; a failed read is repeated.

        :param on_read: called once, with the quarantines that are stored.
        """

        def done(page: FeedPage | TableError) -> None:
            if isinstance(page, TableError):
                self._timers.after(_RETRY_DELAY_S, lambda: self.start(on_read))
            else:
                self._is_read = True
                on_read(self._decode_rows(page))

        self._feed.read(self._table, done)

    def save(self, suspect: Suspect, crashes: SuspectCrashes) -> None:
        """Write the row of a quarantined suspect, unless it is stored with as many crashes.

        A failed write may be repeated after a delay.
        """
        count = len(crashes.crash_age_ms_by_lifetime)
        is_stored = self._crash_count_by_suspect.get(suspect) == count
        if not self._is_read or is_stored or suspect in self._is_writing:
            return
        self._is_writing.add(suspect)

        def done(result: bool | TableError) -> None:
            if isinstance(result, TableError):
                log_event(_LOGGER, "quarantine_not_stored", logging.WARNING, reason=result)
                self._timers.after(_RETRY_DELAY_S, lambda: self._is_writing.discard(suspect))
            else:
                self._is_writing.discard(suspect)
                self._crash_count_by_suspect[suspect] = count

        self._feed.put(self._table, _row_key(suspect), _encode(crashes), done)

    def write_again(self) -> None:
        """Write the rows again at the next call of :meth:`save`, as the store may lack them."""
        self._crash_count_by_suspect.clear()

    def remove(self, suspect: Suspect) -> None:
        """Remove the row of a suspect whose quarantine has ended."""
        self._crash_count_by_suspect.pop(suspect, None)
        remove_row(self._feed, self._table, _row_key(suspect))

    def _decode_rows(self, page: FeedPage) -> list[SuspectCrashes]:
        stored = []
        for row in page.rows:
            try:
                decoded = decode_document(_DECODER, row.value, f"row {row.key!r}")
            except DocumentError as error:
                self._ignored_rows.record(row.key, error)
                continue
            suspect = Suspect(decoded.pool, decoded.kind, decoded.id)
            self._crash_count_by_suspect[suspect] = len(decoded.crashed_at_by_lifetime)
            stored.append(_decode(decoded))
        return stored


def _row_key(suspect: Suspect) -> str:
    return row_key(suspect.kind, suspect.id, suspect.pool)


def _encode(crashes: SuspectCrashes) -> bytes:
    now = time.time()
    crashed_at_by_lifetime = {
        lifetime: now - age_ms / 1000
        for lifetime, age_ms in crashes.crash_age_ms_by_lifetime.items()
    }
    row = QuarantineRow(crashes.pool, crashes.kind, crashes.id, crashed_at_by_lifetime)
    return msgspec.msgpack.encode(row)


def _decode(row: QuarantineRow) -> SuspectCrashes:
    now = time.time()
    # A crash in the future, by a clock that was set back, has the age 0.
    age_ms_by_lifetime = {
        lifetime: max(0, round(1000 * (now - at)))
        for lifetime, at in row.crashed_at_by_lifetime.items()
    }
    return SuspectCrashes(row.pool, row.kind, row.id, age_ms_by_lifetime)
