"""Log lines on rows of the store that hold no valid document."""

import logging

from parsleyrudder import DocumentError
from parsleyrudder_adapters.logs import log_event

from .context import now

__all__ = ["IgnoredRows"]

_LOGGER = logging.getLogger(__name__)
# A row may be written or read again every second, and many may be invalid at once.
_REPEAT_INTERVAL_S = 60.0
_MAX_ROWS_PER_INTERVAL = 100


class IgnoredRows:
    """Logs the invalid rows of one table, each at most once per interval.

    :param event: name of the event to log.
    """

    def __init__(self, event: str) -> None:
        self._event = event
        self._logged_at_by_key: dict[str, float] = {}
        self._unlogged = 0

    def record(self, key: str, error: DocumentError) -> None:
        """Record that a row was read and ignored."""
        at = now()
        logged = self._logged_at_by_key
        for known in [k for k, since in logged.items() if at - since >= _REPEAT_INTERVAL_S]:
            del logged[known]
        if key in logged or len(logged) >= _MAX_ROWS_PER_INTERVAL:
            self._unlogged += 1
            return
        logged[key] = at
        unlogged, self._unlogged = self._unlogged, 0
        log_event(
            _LOGGER, self._event, logging.WARNING, row=key, reason=error, unlogged=unlogged or None
        )
