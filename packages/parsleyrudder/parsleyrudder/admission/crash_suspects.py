"""Detection of prompt parts on which targets crash, from the reports of all routers.

Designed for requests of one kind that crash each target as it begins to respond ("queries of
death"). They arrive at any router, so each router sees only a few of the crashes, and every crash
also interrupts sound requests that share most of their parts with the ones that cause it.

A part is suspected if it belongs to a request whose response had not begun when its target crashed.
A response that begins clears all parts of its prompt. A part that has crashed several targets
without a response in between is quarantined: requests with it are rejected, except for a rare trial
by a single router, which ends a quarantine without a cause.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from ..messages import PartCrashes

__all__ = ["CrashRules", "CrashSuspects", "PartKey", "Quarantine"]

_MAX_CLEARED_PARTS = 4096
_MAX_SUSPECTED_PARTS = 256
_MAX_CRASHES_PER_PART = 64


class PartKey(NamedTuple):
    """A part of a prompt, in the pool whose targets it may crash."""

    pool: str
    part: str


@dataclass(slots=True, frozen=True)
class CrashRules:
    """When a part is quarantined, and how often it is tried again.

    :ivar confirm_s: time after a broken response in which other responses of the same target show
        that the target has not crashed.
    :ivar wave_s: crashes that follow each other within this time form one wave, as they may have
        another cause in common, such as a loss of power; also the time in which other routers can
        report that a part is sound.
    :ivar waves: number of waves after which a part is quarantined that no response has cleared yet.
    :ivar crashes: as ``waves``, but in crashes, even if they form a single wave.
    :ivar waves_if_cleared: as ``waves``, for a part that an earlier response has cleared; other
        responses of the pool must have begun meanwhile, else the pool is at fault and not the part.
    :ivar first_trial_s: time without a crash after which a quarantined part is tried.
    :ivar trial_factor: factor on this time for each further wave.
    :ivar max_trial_s: upper limit of this time.
    :ivar rank_delay_s: delay of a trial by the next router, in case the one before gets no request
        with the part; longer than a report takes.
    :ivar repeat_s: time for which a change is reported to other routers.
    :ivar memory_s: time after which a crash no longer counts; longer than ``max_trial_s``.
    """

    confirm_s: float = 0.25
    wave_s: float = 1.5
    waves: int = 2
    crashes: int = 3
    waves_if_cleared: int = 3
    first_trial_s: float = 10.0
    trial_factor: float = 4.0
    max_trial_s: float = 3600.0
    rank_delay_s: float = 1.5
    repeat_s: float = 1.0
    memory_s: float = 21600.0


@dataclass(slots=True, frozen=True)
class Quarantine:
    """Why a request is rejected.

    :ivar retry_after_s: time until the part is tried again.
    """

    key: PartKey
    crashes: int
    retry_after_s: float


@dataclass(slots=True)
class _OpenSend:
    keys: tuple[PartKey, ...]
    sent_at: float
    is_responding: bool = False


@dataclass(slots=True)
class _TargetSends:
    """Sends of this router to one lifetime of a target.

    :ivar newest_responding_at: time of the newest send to which a response has begun.
    """

    open_by_request: dict[str, _OpenSend] = field(default_factory=dict)
    newest_responding_at: float = float("-inf")

    def is_alive_after(self, at: float) -> bool:
        """Whether a response shows that the target is alive after a given time."""
        return self.newest_responding_at > at or any(
            send.is_responding for send in self.open_by_request.values()
        )


@dataclass(slots=True, frozen=True)
class _Break:
    """A send that broke off before its response began; not yet known to be a crash."""

    lifetime: str
    keys: tuple[PartKey, ...]
    at: float


@dataclass(slots=True)
class _Suspicion:
    """What is known of one suspected part; times are local.

    :ivar own_cleared_at: time of the last response that cleared the part at this router.
    :ivar reported_cleared_at: the same for all other routers.
    :ivar own_trial_at: time of this router's last trial.
    """

    crashed_at_by_lifetime: dict[str, float] = field(default_factory=dict)
    own_cleared_at: float | None = None
    reported_cleared_at: float | None = None
    own_trial_at: float | None = None
    reported_trial_at: float | None = None
    report_until: float = float("-inf")

    @property
    def cleared_at(self) -> float | None:
        """Time of the last response that cleared the part at any router."""
        return _latest(self.own_cleared_at, self.reported_cleared_at)

    def crash_times(self) -> list[float]:
        """Return the times of the crashes since the part was last cleared, in order."""
        self.forget_until(self.cleared_at)
        return sorted(self.crashed_at_by_lifetime.values())

    def forget_until(self, at: float | None) -> None:
        """Forget the crashes up to a time, and all but the newest ones."""
        newest = sorted(self.crashed_at_by_lifetime.items(), key=lambda item: item[1])
        self.crashed_at_by_lifetime = {
            lifetime: crashed_at
            for lifetime, crashed_at in newest[-_MAX_CRASHES_PER_PART:]
            if at is None or crashed_at > at
        }


@dataclass(slots=True)
class CrashSuspects:
    """The parts that are suspected to crash targets, as known to one router.

    :ivar trial_rank: returns the position of this router in the order in which the routers may try
        a part; all routers have to agree on the order.
    """

    rules: CrashRules = field(default_factory=CrashRules)
    trial_rank: Callable[[str], int] = lambda part: 0
    _sends_by_lifetime: dict[str, _TargetSends] = field(default_factory=dict)
    _breaks: list[_Break] = field(default_factory=list)
    _responded_at_by_pool: dict[str, float] = field(default_factory=dict)
    _cleared_at_by_key: OrderedDict[PartKey, float] = field(default_factory=OrderedDict)
    _suspicion_by_key: OrderedDict[PartKey, _Suspicion] = field(default_factory=OrderedDict)

    def record_sent(
        self, lifetime: str, request: str, keys: tuple[PartKey, ...], now: float
    ) -> None:
        """Record that a request is sent to a target.

        :param keys: parts of the prompt that other requests may share.
        """
        sends = self._sends_by_lifetime.setdefault(lifetime, _TargetSends())
        sends.open_by_request[request] = _OpenSend(keys, now)

    def record_response(self, lifetime: str, request: str, now: float) -> None:
        """Record that the response to a request has begun, which clears the parts of its prompt."""
        sends = self._sends_by_lifetime.get(lifetime)
        send = sends.open_by_request.get(request) if sends else None
        if sends is None or send is None:
            return
        send.is_responding = True
        sends.newest_responding_at = max(sends.newest_responding_at, send.sent_at)
        for key in send.keys:
            self._responded_at_by_pool[key.pool] = now
            self._clear(key, now)

    def record_end(self, lifetime: str, request: str, is_broken: bool, now: float) -> None:
        """Record the end of a send; does nothing if it has already ended.

        :param is_broken: whether the connection failed after the request was sent.
        """
        sends = self._sends_by_lifetime.get(lifetime)
        send = sends.open_by_request.pop(request, None) if sends else None
        if send is not None and is_broken and not send.is_responding and send.keys:
            self._breaks.append(_Break(lifetime, send.keys, now))

    def retain(self, lifetimes: set[str]) -> None:
        """Forget the sends to lifetimes that are not among the given ones and have none open."""
        self._sends_by_lifetime = {
            lifetime: sends
            for lifetime, sends in self._sends_by_lifetime.items()
            if lifetime in lifetimes or sends.open_by_request
        }

    def confirm(self, now: float) -> list[tuple[str, PartKey]]:
        """Return the crashes that are now certain, as lifetimes with the parts that they suspect.

        A broken response of a target that goes on to respond to other requests was no crash.
        """
        due = [broken for broken in self._breaks if now - broken.at >= self.rules.confirm_s]
        if not due:
            return []
        self._forget_old(now)
        self._breaks = [broken for broken in self._breaks if broken not in due]
        confirmed = []
        for broken in due:
            sends = self._sends_by_lifetime.get(broken.lifetime)
            if sends is not None and sends.is_alive_after(broken.at):
                continue
            for key in broken.keys:
                self._add_crash(key, broken.lifetime, broken.at, now)
                confirmed.append((broken.lifetime, key))
        return confirmed

    def quarantine(self, keys: Iterable[PartKey], now: float) -> Quarantine | None:
        """Return why a request with the given parts is to be rejected, or None.

        A request that is due as a trial is not rejected; see :meth:`record_trial`.
        """
        if not self._suspicion_by_key:
            return None
        for key in keys:
            suspicion = self._suspicion_by_key.get(key)
            if suspicion is None or not self._is_quarantined(key, suspicion, now):
                continue
            due_at = self._trial_due_at(suspicion)
            if now < due_at or now < due_at + self.rules.rank_delay_s * self.trial_rank(key.part):
                crashes = len(suspicion.crash_times())
                retry_after_s = max(due_at - now, self.rules.rank_delay_s)
                return Quarantine(key, crashes, retry_after_s)
        return None

    def record_trial(self, keys: Iterable[PartKey], now: float) -> bool:
        """Record a request that is sent although a part is quarantined.

        :returns: whether any of the parts is quarantined.
        """
        is_trial = False
        for key in keys:
            suspicion = self._suspicion_by_key.get(key)
            if suspicion is not None and self._is_quarantined(key, suspicion, now):
                is_trial = True
                suspicion.own_trial_at = now
                suspicion.report_until = now + self.rules.repeat_s
        return is_trial

    def quarantined_parts(self, now: float) -> set[PartKey]:
        """Return the parts that are quarantined."""
        return {
            key
            for key, suspicion in self._suspicion_by_key.items()
            if self._is_quarantined(key, suspicion, now)
        }

    def report(self, now: float) -> tuple[PartCrashes, ...]:
        """Return what other routers should know: recent changes, and all quarantined parts."""
        return tuple(
            PartCrashes(
                key.pool,
                key.part,
                {
                    lifetime: _age_ms(at, now)
                    for lifetime, at in suspicion.crashed_at_by_lifetime.items()
                },
                (
                    None
                    if suspicion.own_cleared_at is None
                    else _age_ms(suspicion.own_cleared_at, now)
                ),
                None if suspicion.own_trial_at is None else _age_ms(suspicion.own_trial_at, now),
            )
            for key, suspicion in self._suspicion_by_key.items()
            if now < suspicion.report_until or self._is_quarantined(key, suspicion, now)
        )

    def record_report(self, report: PartCrashes, now: float) -> None:
        """Merge the report of another router; the order and number of reports do not matter."""
        key = PartKey(report.pool, report.part)
        suspicion = self._suspicion(key)
        for lifetime, age_ms in report.crash_age_ms_by_lifetime.items():
            at = now - age_ms / 1000
            known_at = suspicion.crashed_at_by_lifetime.get(lifetime, at)
            suspicion.crashed_at_by_lifetime[lifetime] = min(at, known_at)
        if report.cleared_age_ms is not None:
            cleared_at = now - report.cleared_age_ms / 1000
            suspicion.reported_cleared_at = _latest(suspicion.reported_cleared_at, cleared_at)
        if report.trial_age_ms is not None:
            trial_at = now - report.trial_age_ms / 1000
            suspicion.reported_trial_at = _latest(suspicion.reported_trial_at, trial_at)
        if self._should_announce_clearance(suspicion, report, now):
            suspicion.report_until = now + self.rules.repeat_s

    def _should_announce_clearance(
        self, suspicion: _Suspicion, report: PartCrashes, now: float
    ) -> bool:
        """Whether this router has cleared the part and the reporting router does not know it."""
        if suspicion.own_cleared_at is None:
            return False
        if report.cleared_age_ms is None:
            return True
        last_crash_at = max(suspicion.crashed_at_by_lifetime.values(), default=float("-inf"))
        return now - report.cleared_age_ms / 1000 < last_crash_at < suspicion.own_cleared_at

    def _forget_old(self, now: float) -> None:
        for suspicion in self._suspicion_by_key.values():
            suspicion.forget_until(now - self.rules.memory_s)
        self._suspicion_by_key = OrderedDict(
            (key, suspicion)
            for key, suspicion in self._suspicion_by_key.items()
            if suspicion.crashed_at_by_lifetime or suspicion.cleared_at is not None
        )

    def _suspicion(self, key: PartKey) -> _Suspicion:
        suspicion = self._suspicion_by_key.get(key)
        if suspicion is None:
            suspicion = self._suspicion_by_key[key] = _Suspicion(
                own_cleared_at=self._cleared_at_by_key.get(key)
            )
            if len(self._suspicion_by_key) > _MAX_SUSPECTED_PARTS:
                self._suspicion_by_key.popitem(last=False)
        self._suspicion_by_key.move_to_end(key)
        return suspicion

    def _add_crash(self, key: PartKey, lifetime: str, at: float, now: float) -> None:
        suspicion = self._suspicion(key)
        suspicion.crashed_at_by_lifetime.setdefault(lifetime, at)
        suspicion.report_until = now + self.rules.repeat_s

    def _clear(self, key: PartKey, now: float) -> None:
        self._cleared_at_by_key[key] = now
        self._cleared_at_by_key.move_to_end(key)
        if len(self._cleared_at_by_key) > _MAX_CLEARED_PARTS:
            self._cleared_at_by_key.popitem(last=False)
        suspicion = self._suspicion_by_key.get(key)
        if suspicion is None:
            return
        if suspicion.crash_times():
            suspicion.report_until = now + self.rules.repeat_s
        suspicion.own_cleared_at = now

    def _is_quarantined(self, key: PartKey, suspicion: _Suspicion, now: float) -> bool:
        if not suspicion.crashed_at_by_lifetime:
            return False
        times = suspicion.crash_times()
        if not times:
            return False
        waves = self._wave_count(times)
        if suspicion.cleared_at is not None:
            has_contrast = self._responded_at_by_pool.get(key.pool, float("-inf")) > times[0]
            return has_contrast and waves >= self.rules.waves_if_cleared
        is_settled = now - times[0] >= self.rules.wave_s
        return waves >= self.rules.waves or (is_settled and len(times) >= self.rules.crashes)

    def _wave_count(self, times: list[float]) -> int:
        return 1 + sum(b - a > self.rules.wave_s for a, b in zip(times, times[1:]))

    def _trial_due_at(self, suspicion: _Suspicion) -> float:
        times = suspicion.crash_times()
        further_waves = max(0, self._wave_count(times) - self.rules.waves)
        wait_s = self.rules.first_trial_s * self.rules.trial_factor**further_waves
        last_trial_at = _latest(suspicion.own_trial_at, suspicion.reported_trial_at)
        last_at = times[-1] if last_trial_at is None else max(times[-1], last_trial_at)
        return last_at + min(self.rules.max_trial_s, wait_s)


def _latest(a: float | None, b: float | None) -> float | None:
    if a is None or b is None:
        return b if a is None else a
    return max(a, b)


def _age_ms(at: float, now: float) -> int:
    return max(0, round(1000 * (now - at)))
