"""Keeps the directory of targets in accordance with their entries in the store."""

from collections.abc import Callable

from parsleyrudder import DocumentError, FeedPage, Row, Target, TargetDirectory

from .context import now
from .dialect import StoreDecoder
from .ignored_rows import IgnoredRows

__all__ = ["TargetEntries"]


class TargetEntries:
    """Applies what is read of the table of targets.

    An entry that is not valid names no target. One of a known target is no exception: it hides
    whether the target is leaving, and a target that is not writes its entry again within seconds.

    :param on_change: called after each change of the directory.
    """

    def __init__(
        self, decoder: StoreDecoder, targets: TargetDirectory, on_change: Callable[[], None]
    ) -> None:
        self._decoder = decoder
        self._targets = targets
        self._on_change = on_change
        self._ignored_rows = IgnoredRows("target_ignored")

    def on_read(self, page: FeedPage, after_outage: bool) -> None:
        """Apply a full read of the table.

        :param after_outage: whether the store was unavailable just before this read.
        """
        target_by_id = {row.key: self._decode(row) for row in page.rows}
        valid = [target for target in target_by_id.values() if target is not None]
        self._targets.replace_all(valid, after_outage, now())
        for id, target in target_by_id.items():
            if target is None:
                # It has not lapsed in the outage, as other entries may have.
                self._targets.remove(id, now())
        self._on_change()

    def on_changes(self, page: FeedPage) -> None:
        """Apply changes of the table."""
        for key in page.removed:
            self._targets.remove(key, now())
        for row in page.rows:
            target = self._decode(row)
            if target is None:
                self._targets.remove(row.key, now())
            else:
                self._targets.put(target)
        self._on_change()

    def _decode(self, row: Row) -> Target | None:
        try:
            return self._decoder.decode_target(row)
        except DocumentError as error:
            self._ignored_rows.record(row.key, error)
            return None
