"""Detection of requests on which targets crash, from the reports of all routers.

Designed for requests that crash each target that runs them ("queries of death"): one request that
comes again and again, or all requests with one part in their prompts. They arrive at any router, so
each router sees only a few of the crashes, and every crash also interrupts sound requests, which
may share most of their parts with the ones that cause it.

A suspect that has crashed several targets without having been found sound in between is
quarantined: requests with it are rejected, except for a rare trial by a single router, which ends
a quarantine without a cause.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from ..messages import SuspectCrashes, SuspectKind
from .crash_evidence import Crash, CrashEvidence, Suspect
from .suspicion import CrashRules, Suspicion, latest

__all__ = ["CrashSuspects", "Quarantine"]

_MAX_CLEARED_PER_KIND = 4096
_MAX_SUSPICIONS = 1024
# Most requests come only once, so that no other router can have found one sound.
_REQUEST_SETTLE_S = 0.0


@dataclass(slots=True, frozen=True)
class Quarantine:
    """Why a request is rejected.

    :ivar retry_after_s: time until the suspect is tried again.
    """

    suspect: Suspect
    crashes: int
    retry_after_s: float


@dataclass(slots=True)
class CrashSuspects:
    """What is suspected to crash targets, as known to one router.

    :ivar trial_rank: returns the position of this router in the order in which the routers may try
        the suspect with a given id; all routers have to agree on the order.
    """

    rules_by_kind: dict[SuspectKind, CrashRules] = field(
        default_factory=lambda: {
            SuspectKind.PART: CrashRules(),
            SuspectKind.REQUEST: CrashRules(settle_s=_REQUEST_SETTLE_S),
        }
    )
    trial_rank: Callable[[str], int] = lambda id: 0
    _evidence: CrashEvidence = field(default_factory=CrashEvidence)
    _responded_at_by_pool: dict[str, float] = field(default_factory=dict)
    _cleared_at_by_kind: dict[SuspectKind, OrderedDict[Suspect, float]] = field(
        default_factory=lambda: {kind: OrderedDict() for kind in SuspectKind}
    )
    _suspicion_by_suspect: OrderedDict[Suspect, Suspicion] = field(default_factory=OrderedDict)

    def record_sent(
        self, lifetime: str, request: str, suspects: tuple[Suspect, ...], now: float
    ) -> None:
        """Record that a request is sent to a target."""
        self._evidence.record_sent(lifetime, request, suspects, now)

    def record_response(self, lifetime: str, request: str, now: float) -> None:
        """Record that the response to a request has begun, which clears the parts of its prompt."""
        self._clear(self._evidence.record_response(lifetime, request), now)

    def record_complete(self, lifetime: str, request: str, now: float) -> None:
        """Record that the response to a request is complete, which clears the request."""
        self._clear(self._evidence.record_complete(lifetime, request), now)

    def record_broken(self, lifetime: str, request: str, now: float) -> None:
        """Record that the connection failed after the request was sent."""
        self._evidence.record_broken(lifetime, request, now)

    def record_cancelled(self, lifetime: str, request: str) -> None:
        """Record an end of a send that says nothing about the request."""
        self._evidence.record_cancelled(lifetime, request)

    def retain(self, lifetimes: set[str]) -> None:
        """Forget the sends to lifetimes that are not among the given ones and have none open."""
        self._evidence.retain(lifetimes)

    def confirm(self, now: float) -> list[Crash]:
        """Return the crashes that are now certain, after adding them to the suspicions."""
        crashes = self._evidence.confirm(now)
        if crashes:
            self._forget_old(now)
        for crash in crashes:
            for suspect in crash.suspects:
                suspicion = self._suspicion(suspect)
                suspicion.add_crash(crash.lifetime, crash.at)
                self._report_change(suspect, suspicion)
        return crashes

    def has_crashed(self, suspects: Iterable[Suspect]) -> bool:
        """Whether a target has crashed on the request itself since it was last found sound.

        A request that breaks off once more had better not be sent to a further target at once.
        """
        for suspect in suspects:
            suspicion = self._suspicion_by_suspect.get(suspect)
            if suspicion is not None and suspect.kind is SuspectKind.REQUEST:
                return bool(suspicion.crash_times())
        return False

    def quarantine(self, suspects: Iterable[Suspect], now: float) -> Quarantine | None:
        """Return why a request with the given suspects is to be rejected, or None.

        A request that is due as a trial is not rejected; see :meth:`record_trial`.
        """
        if not self._suspicion_by_suspect:
            return None
        for suspect in suspects:
            suspicion = self._suspicion_by_suspect.get(suspect)
            if suspicion is None or not self._is_quarantined(suspect, suspicion, now):
                continue
            rules = self.rules_by_kind[suspect.kind]
            due_at = suspicion.trial_due_at(rules)
            rank_delay_s = rules.rank_delay_s
            if now < due_at or now < due_at + rank_delay_s * self.trial_rank(suspect.id):
                crashes = len(suspicion.crashed_at_by_lifetime)
                return Quarantine(suspect, crashes, max(due_at - now, rank_delay_s))
        return None

    def record_trial(self, suspects: Iterable[Suspect], now: float) -> bool:
        """Record a request that is sent although one of its suspects is quarantined.

        :returns: whether any of them is quarantined.
        """
        is_trial = False
        for suspect in suspects:
            suspicion = self._suspicion_by_suspect.get(suspect)
            if suspicion is not None and self._is_quarantined(suspect, suspicion, now):
                is_trial = True
                suspicion.own_trial_at = now
                self._report_change(suspect, suspicion)
        return is_trial

    def quarantined(self, now: float) -> set[Suspect]:
        """Return all suspects that are quarantined."""
        return {
            suspect
            for suspect, suspicion in self._suspicion_by_suspect.items()
            if self._is_quarantined(suspect, suspicion, now)
        }

    def describe(self, suspect: Suspect, now: float) -> SuspectCrashes:
        """Return what this router knows of a suspect."""
        return _encode(suspect, self._suspicion(suspect), now)

    def take_report(self, now: float) -> tuple[SuspectCrashes, ...]:
        """Return what to report to other routers: recent changes, and all quarantined suspects.

        Each change is part of the next few reports, in case some routers miss one.
        """
        due = []
        for suspect, suspicion in self._suspicion_by_suspect.items():
            if suspicion.reports_left > 0:
                suspicion.reports_left -= 1
            elif not self._is_quarantined(suspect, suspicion, now):
                continue
            due.append(_encode(suspect, suspicion, now))
        return tuple(due)

    def record_report(self, report: SuspectCrashes, now: float) -> None:
        """Merge the report of another router; the order and number of reports do not matter."""
        suspect = Suspect(report.pool, report.kind, report.id)
        suspicion = self._suspicion(suspect)
        for lifetime, age_ms in report.crash_age_ms_by_lifetime.items():
            suspicion.add_crash(lifetime, now - age_ms / 1000)
        if report.cleared_age_ms is not None:
            cleared_at = now - report.cleared_age_ms / 1000
            suspicion.reported_cleared_at = latest(suspicion.reported_cleared_at, cleared_at)
        if report.trial_age_ms is not None:
            trial_at = now - report.trial_age_ms / 1000
            suspicion.reported_trial_at = latest(suspicion.reported_trial_at, trial_at)
        if self._should_announce_clearance(suspicion, report, now):
            self._report_change(suspect, suspicion)

    def _report_change(self, suspect: Suspect, suspicion: Suspicion) -> None:
        suspicion.reports_left = self.rules_by_kind[suspect.kind].report_count

    def _should_announce_clearance(
        self, suspicion: Suspicion, report: SuspectCrashes, now: float
    ) -> bool:
        """Whether this router has cleared the suspect and the reporting router does not know it."""
        if suspicion.own_cleared_at is None:
            return False
        if report.cleared_age_ms is None:
            return True
        last_crash_at = max(suspicion.crashed_at_by_lifetime.values(), default=float("-inf"))
        return now - report.cleared_age_ms / 1000 < last_crash_at < suspicion.own_cleared_at

    def _forget_old(self, now: float) -> None:
        for suspect, suspicion in self._suspicion_by_suspect.items():
            suspicion.forget_until(now - self.rules_by_kind[suspect.kind].memory_s)
        self._suspicion_by_suspect = OrderedDict(
            (suspect, suspicion)
            for suspect, suspicion in self._suspicion_by_suspect.items()
            if suspicion.crashed_at_by_lifetime or suspicion.cleared_at is not None
        )

    def _suspicion(self, suspect: Suspect) -> Suspicion:
        suspicion = self._suspicion_by_suspect.get(suspect)
        if suspicion is None:
            if len(self._suspicion_by_suspect) >= _MAX_SUSPICIONS:
                self._evict()
            suspicion = self._suspicion_by_suspect[suspect] = Suspicion(
                own_cleared_at=self._cleared_at_by_kind[suspect.kind].get(suspect)
            )
        self._suspicion_by_suspect.move_to_end(suspect)
        return suspicion

    def _evict(self) -> None:
        """Drop the oldest suspicion, if possible one of a single crash."""
        for suspect, suspicion in self._suspicion_by_suspect.items():
            if len(suspicion.crashed_at_by_lifetime) <= 1:
                del self._suspicion_by_suspect[suspect]
                return
        self._suspicion_by_suspect.popitem(last=False)

    def _clear(self, suspects: Iterable[Suspect], now: float) -> None:
        """Record that suspects were found sound."""
        for suspect in suspects:
            self._responded_at_by_pool[suspect.pool] = now
            cleared_at_by_suspect = self._cleared_at_by_kind[suspect.kind]
            cleared_at_by_suspect[suspect] = now
            cleared_at_by_suspect.move_to_end(suspect)
            if len(cleared_at_by_suspect) > _MAX_CLEARED_PER_KIND:
                cleared_at_by_suspect.popitem(last=False)
            suspicion = self._suspicion_by_suspect.get(suspect)
            if suspicion is None:
                continue
            if suspicion.crash_times():
                self._report_change(suspect, suspicion)
            suspicion.own_cleared_at = now

    def _is_quarantined(self, suspect: Suspect, suspicion: Suspicion, now: float) -> bool:
        responded_at = self._responded_at_by_pool.get(suspect.pool, float("-inf"))
        return suspicion.is_quarantined(self.rules_by_kind[suspect.kind], responded_at, now)


def _encode(suspect: Suspect, suspicion: Suspicion, now: float) -> SuspectCrashes:
    return SuspectCrashes(
        suspect.pool,
        suspect.kind,
        suspect.id,
        {lifetime: _age_ms(at, now) for lifetime, at in suspicion.crashed_at_by_lifetime.items()},
        None if suspicion.own_cleared_at is None else _age_ms(suspicion.own_cleared_at, now),
        None if suspicion.own_trial_at is None else _age_ms(suspicion.own_trial_at, now),
    )


def _age_ms(at: float, now: float) -> int:
    return max(0, round(1000 * (now - at)))
