"""Reports between routers on prompt parts that crash targets, and the log lines on them."""

import logging
from collections.abc import Iterable

from parsleyrudder import PartCrashes, PartKey
from parsleyrudder_adapters.logs import log_event

from .context import RelayContext

__all__ = ["CrashReports"]

_LOGGER = logging.getLogger(__name__)


class CrashReports:
    """Exchanges the suspected parts with other routers; see :class:`CrashSuspects`."""

    def __init__(self, context: RelayContext) -> None:
        self._context = context
        self._quarantined: set[PartKey] = set()

    def prepare(self, at: float) -> tuple[PartCrashes, ...]:
        """Return the report for the other routers, after confirming this router's own crashes."""
        suspects = self._context.crash_suspects
        for lifetime, key in suspects.confirm(at):
            log_event(_LOGGER, "crash_suspected", part=key.part, pool=key.pool, lifetime=lifetime)
            self._context.metrics.count("crashes_suspected", pool=key.pool)
        self._log_changes(at)
        return suspects.report(at)

    def receive(self, reports: Iterable[PartCrashes], at: float) -> None:
        """Merge the reports of another router."""
        for report in reports:
            self._context.crash_suspects.record_report(report, at)

    def _log_changes(self, at: float) -> None:
        quarantined = self._context.crash_suspects.quarantined_parts(at)
        for key in sorted(quarantined - self._quarantined):
            self._log("part_quarantined", key, logging.WARNING)
        for key in sorted(self._quarantined - quarantined):
            self._log("part_released", key, logging.INFO)
        self._quarantined = quarantined
        self._context.metrics.set_gauge("parts_quarantined", len(quarantined))

    def _log(self, event: str, key: PartKey, level: int) -> None:
        log_event(_LOGGER, event, level, part=key.part, pool=key.pool)
