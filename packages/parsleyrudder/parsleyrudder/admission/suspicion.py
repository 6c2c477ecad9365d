"""What is known of one suspect, and when it is quarantined and tried again."""

from dataclasses import dataclass, field

__all__ = ["CrashRules", "Suspicion", "latest"]

_MAX_CRASHES_PER_SUSPECT = 64


@dataclass(slots=True, frozen=True)
class CrashRules:
    """When a suspect is quarantined, and how often it is tried again.

    :ivar wave_s: crashes that follow each other within this time form one wave, as they may have
        another cause in common, such as a loss of power.
    :ivar waves: number of waves after which a suspect is quarantined that was never shown sound.
    :ivar crashes: as ``waves``, but in crashes, even if they form a single wave.
    :ivar settle_s: time after the first crash of a single wave in which other routers can report
        that the suspect is sound.
    :ivar waves_if_cleared: as ``waves``, for a suspect that was shown sound earlier; other
        responses of the pool must have begun meanwhile, else the pool is at fault and not the
        suspect.
    :ivar first_trial_s: time without a crash after which a quarantined suspect is tried.
    :ivar trial_factor: factor on this time for each further wave.
    :ivar max_trial_s: upper limit of this time.
    :ivar rank_delay_s: delay of a trial by the next router, in case the one before gets no such
        request; longer than a report takes.
    :ivar report_count: number of reports to other routers that contain a change.
    :ivar memory_s: time after which a crash no longer counts; longer than ``max_trial_s``.
    """

    wave_s: float = 1.5
    waves: int = 2
    crashes: int = 3
    settle_s: float = 1.5
    waves_if_cleared: int = 3
    first_trial_s: float = 10.0
    trial_factor: float = 4.0
    max_trial_s: float = 3600.0
    rank_delay_s: float = 1.5
    report_count: int = 3
    memory_s: float = 21600.0


@dataclass(slots=True)
class Suspicion:
    """What is known of one suspect; times are local, in seconds.

    :ivar own_cleared_at: time at which this router last found the suspect sound.
    :ivar reported_cleared_at: the same for all other routers.
    :ivar own_trial_at: time of this router's last trial.
    :ivar reports_left: number of reports that still have to contain the suspicion.
    """

    crashed_at_by_lifetime: dict[str, float] = field(default_factory=dict)
    own_cleared_at: float | None = None
    reported_cleared_at: float | None = None
    own_trial_at: float | None = None
    reported_trial_at: float | None = None
    reports_left: int = 0

    @property
    def cleared_at(self) -> float | None:
        """Time at which any router last found the suspect sound."""
        return latest(self.own_cleared_at, self.reported_cleared_at)

    def add_crash(self, lifetime: str, at: float) -> None:
        """Add a crash; of several reports on one lifetime, the earliest time counts."""
        known_at = self.crashed_at_by_lifetime.get(lifetime, at)
        self.crashed_at_by_lifetime[lifetime] = min(at, known_at)

    def crash_times(self) -> list[float]:
        """Return the times of the crashes since the suspect was last sound, in order."""
        self.forget_until(self.cleared_at)
        return sorted(self.crashed_at_by_lifetime.values())

    def forget_until(self, at: float | None) -> None:
        """Forget the crashes up to a time, and all but the newest ones."""
        newest = sorted(self.crashed_at_by_lifetime.items(), key=lambda item: item[1])
        self.crashed_at_by_lifetime = {
            lifetime: crashed_at
            for lifetime, crashed_at in newest[-_MAX_CRASHES_PER_SUSPECT:]
            if at is None or crashed_at > at
        }

    def is_quarantined(self, rules: CrashRules, responded_at: float, now: float) -> bool:
        """Whether requests with the suspect are rejected, but for trials.

        :param responded_at: time at which a response of the same pool last showed something sound.
        """
        if len(self.crashed_at_by_lifetime) < min(rules.waves, rules.crashes):
            return False
        times = self.crash_times()
        if not times:
            return False
        waves = _wave_count(times, rules)
        if self.cleared_at is not None:
            return responded_at > times[0] and waves >= rules.waves_if_cleared
        is_settled = now - times[0] >= rules.settle_s
        return waves >= rules.waves or (is_settled and len(times) >= rules.crashes)

    def trial_due_at(self, rules: CrashRules) -> float:
        """Return the time from which the first router may try a quarantined suspect."""
        times = self.crash_times()
        further_waves = max(0, _wave_count(times, rules) - rules.waves)
        wait_s = rules.first_trial_s * rules.trial_factor**further_waves
        last_trial_at = latest(self.own_trial_at, self.reported_trial_at)
        last_at = times[-1] if last_trial_at is None else max(times[-1], last_trial_at)
        return last_at + min(rules.max_trial_s, wait_s)


def latest(a: float | None, b: float | None) -> float | None:
    """Return the later of two times, either of which may be unknown."""
    if a is None or b is None:
        return b if a is None else a
    return max(a, b)


def _wave_count(times: list[float], rules: CrashRules) -> int:
    return 1 + sum(b - a > rules.wave_s for a, b in zip(times, times[1:]))
