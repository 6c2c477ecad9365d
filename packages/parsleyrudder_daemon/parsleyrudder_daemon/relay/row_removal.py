"""Removal of this fleet's own rows from the store."""

import logging

from parsleyrudder import FeedService, TableError
from parsleyrudder_adapters.logs import log_event

__all__ = ["log_failed_removal", "remove_row"]

_LOGGER = logging.getLogger(__name__)


def remove_row(feed: FeedService, table: str, key: str) -> None:
    """Remove a row, whatever its revision; a failure is only logged."""
    feed.remove_all(table, [key], log_failed_removal)


def log_failed_removal(result: bool | TableError) -> None:
    """Log a failed removal; it is not retried, because rows that are left over do no harm."""
    if isinstance(result, TableError):
        log_event(_LOGGER, "row_not_removed", reason=result)
