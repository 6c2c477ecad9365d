"""Reports between routers on what crashes targets, and the log lines on them."""

import logging
from collections import Counter
from collections.abc import Iterable

from parsleyrudder import Suspect, SuspectCrashes, SuspectKind
from parsleyrudder_adapters.logs import log_event

from .context import RelayContext, now
from .quarantine_store import QuarantineStore

__all__ = ["CrashReports"]

_LOGGER = logging.getLogger(__name__)


class CrashReports:
    """Exchanges suspicions with other routers; see :class:`CrashSuspects`."""

    def __init__(self, context: RelayContext, store: QuarantineStore) -> None:
        self._context = context
        self._store = store
        self._quarantined: set[Suspect] = set()

    def start(self) -> None:
        """Read the quarantines from before this start."""
        self._store.start(lambda reports: self.receive(reports, now()))

    def on_store_restored(self) -> None:
        """Store the quarantines again, as the store has come back from an older copy."""
        self._store.write_again()

    def prepare(self, at: float) -> tuple[SuspectCrashes, ...]:
        """Return the report for the other routers, after confirming this router's own crashes."""
        suspects = self._context.crash_suspects
        for crash in suspects.confirm(at):
            for suspect in crash.suspects:
                self._log("crash_suspected", suspect, lifetime=crash.lifetime)
                self._context.metrics.count(
                    "crashes_suspected", kind=suspect.kind, pool=suspect.pool
                )
        self._log_changes(at)
        return suspects.take_report(at)

    def receive(self, reports: Iterable[SuspectCrashes], at: float) -> None:
        """Merge the reports of another router."""
        for report in reports:
            self._context.crash_suspects.record_report(report, at)

    def _log_changes(self, at: float) -> None:
        quarantined = self._context.crash_suspects.quarantined(at)
        for suspect in sorted(quarantined - self._quarantined):
            self._log("quarantine_began", suspect, level=logging.WARNING)
        for suspect in sorted(self._quarantined - quarantined):
            self._log("quarantine_ended", suspect)
            if self._is_responsible(suspect):
                self._store.remove(suspect)
        for suspect in quarantined:
            if self._is_responsible(suspect):
                self._store.save(suspect, self._context.crash_suspects.describe(suspect, at))
        self._quarantined = quarantined
        count_by_kind = Counter(suspect.kind for suspect in quarantined)
        for kind in SuspectKind:
            self._context.metrics.set_gauge(f"{kind}s_quarantined", count_by_kind[kind])

    def _is_responsible(self, suspect: Suspect) -> bool:
        """Whether this router is the one that keeps a quarantine in the store."""
        return self._context.crash_suspects.trial_rank(suspect.id) == 0

    def _log(
        self,
        event: str,
        suspect: Suspect,
        lifetime: str | None = None,
        level: int = logging.INFO,
    ) -> None:
        log_event(
            _LOGGER,
            event,
            level,
            kind=suspect.kind,
            suspect=suspect.id,
            pool=suspect.pool,
            lifetime=lifetime,
        )
