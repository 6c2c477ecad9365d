"""Decides for each request of one pool whether to place it on a target, queue it or refuse it.

An engine accepts requests as they arrive and prefills their prompts one after another, so a prompt
sent to a busy engine delays all that follow. Requests are therefore queued in the router while the
targets are busy. Requests of the organisations with the least usage go first, and a request is
refused as soon as no target can start it in time.
"""

import heapq
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..membership import rendezvous
from ..messages import SuspectKind
from ..targets import Target
from .admission_rules import AdmissionRules
from .crash_suspects import CrashSuspects
from .decisions import Decision, Placed, Refused, TargetCounts
from .loads import TargetLoads
from .long_prompts import LongPromptTargets
from .prompt_cache import PromptCacheIndex
from .requests import RequestSize, WaitingRequest
from .target_availability import TargetAvailability
from .usage import UsageLedger

__all__ = ["PoolAdmission"]

_NOT_IN_TIME = "no target can begin the request in time"
# Bounds the targets evaluated in one poll, summed over all requests that the poll tries to place.
_MAX_TARGET_CHECKS_PER_POLL = 256
_MIN_ATTEMPTS_PER_POLL = 2
_MIN_RETRY_AFTER_S = 0.3
_MAX_RETRY_AFTER_S = 4.0
# A target that has crashed is often back with its version after a few seconds.
_VERSION_RETRY_AFTER_S = 1.0
# Time after a pause of all targets over which callers are asked to return.
_PAUSE_SPREAD_S = 1.0
# Multiples of this number, modulo 1, are spread evenly over the interval.
_GOLDEN_RATIO = 0.618034
# Weight of prefill time in the ranking of targets. It is above 1 because prefilling a shared part
# again also evicts parts that other requests need.
_PREFILL_WEIGHT = 3.0
# Number of best-ranked targets that are evaluated in detail.
_MAX_CANDIDATES = 6
# Penalty, in seconds of waiting, for a long prompt at a target for short ones and vice versa.
_LENGTH_MISMATCH_PENALTY_S = 0.2
# Seconds that a request waits for a target with its parts in cache, per second of prefill saved
# (delay scheduling: M. Zaharia et al., EuroSys 2010).
_CACHE_DELAY_PER_SAVED_S = 4.0
# Upper bound of this delay, as a fraction of the time left until the response is due.
_MAX_CACHE_DELAY_FRACTION = 0.5
# A request whose response is overdue, or is expected to be late, goes only to a target whose
# prefill wait is within this fraction of the allowed wait.
_OVERDUE_WAIT_FRACTION = 0.5
_EXPECTED_LATE_WAIT_FRACTION = 0.25
# A long prompt may go to a target for short ones only if that runs at most this fraction of its
# slots.
_MAX_BUSY_FRACTION_FOR_LONG = 0.25


@dataclass(slots=True)
class PoolAdmission:
    """Admission of the requests to one pool at one router."""

    rules: AdmissionRules
    loads: TargetLoads
    usage: UsageLedger
    prompt_cache: PromptCacheIndex
    long_prompt_targets: LongPromptTargets
    crash_suspects: CrashSuspects = field(default_factory=CrashSuspects)
    availability: TargetAvailability = field(default_factory=TargetAvailability)
    failure_domain: str = ""
    targets: list[Target] = field(default_factory=list)
    _waiting_by_id: dict[str, WaitingRequest] = field(default_factory=dict)
    _ids: list[str] = field(default_factory=list)
    _lifetimes: list[str] = field(default_factory=list)
    _refused_in_pause: int = 0

    @property
    def waiting(self) -> int:
        """Number of queued requests."""
        return len(self._waiting_by_id)

    def set_targets(self, targets: Iterable[Target]) -> None:
        """Replace the targets that may get requests."""
        self.targets = list(targets)
        self._ids = [target.id for target in self.targets]
        self._lifetimes = [target.lifetime for target in self.targets]

    def submit(self, request: WaitingRequest, now: float) -> Decision | None:
        """Submit a new request; return the decision, or None if the request is queued."""
        rejected = self._reject_quarantined(request, now)
        if rejected is not None:
            return rejected
        self.usage.record_demand(request.organisation, request.size.cost, now)
        self.long_prompt_targets.record_prompt(request.size.prompt_tokens, now)
        return self.resubmit(request, now)

    def resubmit(self, request: WaitingRequest, now: float) -> Decision | None:
        """Submit a request again that has failed at a target; see :meth:`submit`."""
        decision = self._decide(request, now)
        if decision is None:
            self._waiting_by_id[request.id] = request
        return decision

    def has_place(self, request: WaitingRequest, now: float) -> bool:
        """Whether a target would get the request if it were submitted again now."""
        permitted = self.availability.permitted(self.targets, request)
        uncached_by_id = self._uncached_by_id(request.size)
        return (
            self._reject_quarantined(request, now) is None
            and self._select_target(request, permitted, uncached_by_id, now) is not None
        )

    def withdraw(self, id: str) -> None:
        """Remove a request from the queue if it is queued, as when its caller has left."""
        self._waiting_by_id.pop(id, None)

    def poll(self, now: float) -> list[Decision]:
        """Return the decisions that are due for queued requests.

        Only the first few in the queue are tried, so that a long queue does not keep the router
        from relaying. The others are only refused if their responses are overdue.
        """
        if not self._waiting_by_id:
            return []
        decisions: list[Decision] = []
        attempts = 0
        max_attempts = max(
            _MIN_ATTEMPTS_PER_POLL, _MAX_TARGET_CHECKS_PER_POLL // max(1, len(self.targets))
        )
        for request in sorted(self._waiting_by_id.values(), key=self._queue_key):
            decision: Decision | None = None
            if attempts < max_attempts:
                decision = self._decide(request, now)
                attempts += decision is None
            elif now >= request.response_due_at:
                decision = self._refuse(request, _NOT_IN_TIME, now)
            if decision is not None:
                del self._waiting_by_id[request.id]
                decisions.append(decision)
        return decisions

    def record_sent(self, placed: Placed, now: float) -> None:
        """Count a placed request, so that the next decision takes it into account."""
        request, target = placed.request, placed.target
        self.loads.record_sent(target.id, request.id, placed.uncached_tokens, now)
        self.prompt_cache.record_sent(target.lifetime, request.size)
        self.availability.record_sent(target, now)
        self.usage.record_usage(request.organisation, request.size.cost, now)

    def refund(self, request: WaitingRequest, now: float) -> None:
        """Refund the cost of a request that its target has not run."""
        self.usage.record_usage(request.organisation, -request.size.cost, now)

    def retry_after_s(self, now: float) -> float:
        """Return the time after which a new request can be expected to be placed."""
        if not self.targets:
            return 1.0
        wait_s = min(
            max(
                2 * self.loads.prefill_wait_s(target.id),
                self.availability.wait_s(target, now),
            )
            for target in self.targets
        )
        return min(_MAX_RETRY_AFTER_S, max(_MIN_RETRY_AFTER_S, wait_s))

    def _decide(self, request: WaitingRequest, now: float) -> Decision | None:
        if now >= request.deadline:
            return self._refuse(request, "the deadline has passed", now)
        rejected = self._reject_quarantined(request, now)
        if rejected is not None:
            return rejected
        permitted = self.availability.permitted(self.targets, request)
        uncached_by_id = self._uncached_by_id(request.size)
        rejected = self._reject_unavailable(request, permitted, uncached_by_id, now)
        if rejected is not None:
            return rejected
        target = self._select_target(request, permitted, uncached_by_id, now)
        if target is not None:
            placed = self._placed(request, target, uncached_by_id[target.id])
            self.record_sent(placed, now)
            request.is_trial = self.crash_suspects.record_trial(request.suspects, now)
            return placed
        if now >= self._queue_until(request, uncached_by_id):
            counts = self._count_targets(request, permitted, uncached_by_id, now)
            return Refused(request, _NOT_IN_TIME, self.retry_after_s(now), targets=counts)
        return None

    def _reject_quarantined(self, request: WaitingRequest, now: float) -> Refused | None:
        """Reject a request on which, or on a part of whose prompt, targets have crashed."""
        quarantine = self.crash_suspects.quarantine(request.suspects, now)
        if quarantine is None:
            return None
        suspect = quarantine.suspect
        if suspect.kind is SuspectKind.REQUEST:
            reason = f"{quarantine.crashes} targets crashed on this request"
            return Refused(request, reason, quarantine.retry_after_s, "request_quarantined")
        reason = f"{quarantine.crashes} targets crashed on part {suspect.id} of the prompt"
        return Refused(request, reason, quarantine.retry_after_s, "quarantined")

    def _reject_unavailable(
        self,
        request: WaitingRequest,
        permitted: list[Target],
        uncached_by_id: dict[str, int],
        now: float,
    ) -> Refused | None:
        """Reject a request that no target will take in time, because none wants it.

        :param permitted: see :meth:`TargetAvailability.permitted`.
        """
        if not permitted and request.required_version is not None:
            reason = f"no target runs version {request.required_version!r}, which began the stream"
            return Refused(request, reason, _VERSION_RETRY_AFTER_S, "version_unavailable")
        if not permitted and self.availability.are_all_leaving(self.targets):
            return self._refuse(request, "all targets are leaving", now)
        pause_s = self.availability.pause_s(permitted, now)
        if pause_s <= 0.0 or now + pause_s < self._queue_until(request, uncached_by_id):
            return None
        # Spread evenly, so that the callers do not all return at the end of the pause.
        self._refused_in_pause += 1
        spread_s = _PAUSE_SPREAD_S * (self._refused_in_pause * _GOLDEN_RATIO % 1.0)
        return Refused(request, "all targets want a pause", pause_s + spread_s)

    def _uncached_by_id(self, size: RequestSize) -> dict[str, int]:
        """Return the number of tokens that each target would have to prefill, by target id."""
        if not size.prompt_tokens:
            return dict.fromkeys(self._ids, 0)
        return dict(zip(self._ids, self.prompt_cache.uncached_tokens(size, self._lifetimes)))

    def _queue_until(self, request: WaitingRequest, uncached_by_id: dict[str, int]) -> float:
        """Return the time until which a request may stay queued.

        A request whose prompt is too long to be on time at any target stays queued as long as the
        others of its route. Otherwise it would be placed only if a target happened to be idle.
        """
        prefill_s = 0.0
        if request.size.prompt_tokens and uncached_by_id:
            id = min(uncached_by_id, key=uncached_by_id.__getitem__)
            prefill_s = uncached_by_id[id] / self.loads.prefill_tokens_per_s(id)
        if self._is_too_long(request, prefill_s):
            return request.response_due_at
        return request.response_due_at - prefill_s

    def _is_too_long(self, request: WaitingRequest, prefill_s: float) -> bool:
        """Whether the prefill alone takes too long for the response to begin on time."""
        target_latency_s = request.response_due_at - request.arrived_at
        return prefill_s > self.rules.latency_budget_fraction * max(target_latency_s, 0.0)

    def _placed(self, request: WaitingRequest, target: Target, uncached_tokens: int) -> Placed:
        expected_start_s = self.loads.prefill_wait_s(
            target.id
        ) + uncached_tokens / self.loads.prefill_tokens_per_s(target.id)
        return Placed(
            request,
            target,
            expected_start_s,
            uncached_tokens,
            self.usage.share_ratio(request.organisation),
        )

    def _refuse(self, request: WaitingRequest, reason: str, now: float) -> Refused:
        return Refused(request, reason, self.retry_after_s(now))

    def _select_target(
        self,
        request: WaitingRequest,
        permitted: list[Target],
        uncached_by_id: dict[str, int],
        now: float,
    ) -> Target | None:
        usable = self.availability.without_ejected(permitted, now)
        slots_fraction, wait_factor = self._limits(request)
        open_targets = self.availability.open_now(usable, now)
        available = self._with_free_slot(open_targets, slots_fraction)
        if not available:
            return None
        if not request.size.prompt_tokens:
            return min(available, key=self._service_key)
        long_prompt_ids = self.long_prompt_targets.select([target.id for target in usable], now)
        min_uncached = min(uncached_by_id[target.id] for target in open_targets)
        for target in self._candidates(request.size, available, uncached_by_id, long_prompt_ids):
            uncached = uncached_by_id[target.id]
            if (
                self._allows_length(uncached, target, long_prompt_ids)
                and not self._waits_for_cache(request, target, uncached - min_uncached, now)
                and self._can_start_in_time(request, target, uncached, wait_factor, now)
            ):
                return target
        return None

    def _with_free_slot(self, targets: list[Target], slots_fraction: float) -> list[Target]:
        """Return the targets that run less than a fraction of their slots."""
        running = self.loads.running_by_target
        return [
            target
            for target in targets
            if running.get(target.id, 0) < max(1.0, slots_fraction * target.slots)
        ]

    def _count_targets(
        self,
        request: WaitingRequest,
        permitted: list[Target],
        uncached_by_id: dict[str, int],
        now: float,
    ) -> TargetCounts:
        """Count the targets that each limit leaves, to explain a refusal."""
        slots_fraction, wait_factor = self._limits(request)
        usable = self.availability.without_ejected(permitted, now)
        free = self._with_free_slot(self.availability.open_now(usable, now), slots_fraction)
        short_wait = [
            target
            for target in free
            if self._is_wait_allowed(request, target, uncached_by_id[target.id], wait_factor)
        ]
        return TargetCounts(len(permitted), len(free), len(short_wait))

    def _limits(self, request: WaitingRequest) -> tuple[float, float]:
        """Return the fraction of slots and the factor on the allowed wait for a request.

        Organisations within their fair share get the full limits. Above it, capacity that others
        leave goes first to those that have used less of the observed usage than others with the
        same demand; beyond that, requests get only slots that would stay free. If no other
        organisation has unmet demand, no slots are reserved and the full limits apply.
        """
        rules = self.rules
        if not request.size.prompt_tokens or self.usage.share_ratio(request.organisation) < 1.0:
            return rules.slots_fraction, 1.0
        if not self.usage.others_have_unmet_demand(request.organisation):
            return rules.slots_fraction, 1.0
        observed_ratio = self.usage.observed_share_ratio(request.organisation)
        if observed_ratio < 1.0:
            return rules.over_share_slots_fraction, rules.over_share_wait_factor
        return rules.excess_slots_fraction, rules.excess_wait_factor / observed_ratio**2

    def _waits_for_cache(
        self, request: WaitingRequest, target: Target, extra_tokens: int, now: float
    ) -> bool:
        """Whether the request should still wait for a target that has more of its prompt cached.

        :param extra_tokens: number of tokens that this target has to prefill in addition to those
            that the target with the most cached tokens has to prefill.
        """
        extra_s = extra_tokens / self.loads.prefill_tokens_per_s(target.id)
        max_delay_s = _MAX_CACHE_DELAY_FRACTION * (request.response_due_at - now)
        return now - request.arrived_at < min(_CACHE_DELAY_PER_SAVED_S * extra_s, max_delay_s)

    def _can_start_in_time(
        self,
        request: WaitingRequest,
        target: Target,
        uncached_tokens: int,
        wait_factor: float,
        now: float,
    ) -> bool:
        """Whether a target can start the request in time without delaying others too much."""
        if not self._is_wait_allowed(request, target, uncached_tokens, wait_factor):
            return False
        wait_s = self.loads.prefill_wait_s(target.id)
        allowed_s = wait_factor * self.rules.max_prefill_wait_s
        left_s = request.response_due_at - now
        if left_s <= 0.0:
            return wait_s <= _OVERDUE_WAIT_FRACTION * allowed_s
        prefill_s = uncached_tokens / self.loads.prefill_tokens_per_s(target.id)
        if wait_s + prefill_s <= self.rules.latency_budget_fraction * left_s:
            return True
        if self._is_too_long(request, prefill_s):
            return True
        return wait_s <= _EXPECTED_LATE_WAIT_FRACTION * allowed_s

    def _is_wait_allowed(
        self, request: WaitingRequest, target: Target, uncached_tokens: int, wait_factor: float
    ) -> bool:
        """Whether the prefills that are pending at a target leave room for that of a request.

        The prefill time that cached parts save may be spent on waiting.
        """
        rate = self.loads.prefill_tokens_per_s(target.id)
        saved_s = (request.size.prompt_tokens - uncached_tokens) / rate
        allowed_s = self.rules.max_prefill_wait_s + saved_s
        return self.loads.prefill_wait_s(target.id) <= wait_factor * allowed_s

    def _candidates(
        self,
        size: RequestSize,
        targets: list[Target],
        uncached_by_id: dict[str, int],
        long_prompt_ids: frozenset[str],
    ) -> list[Target]:
        """Return the few targets with the least waiting and prefill time, the best first.

        Ties are broken by rendezvous hashing of the session, so that all routers send the prompts
        of a new session to the same target.
        """
        is_long = self.long_prompt_targets.is_long(size.prompt_tokens)
        cost_by_id = {}
        for target in targets:
            rate = self.loads.prefill_tokens_per_s(target.id)
            cost_s = (
                self.loads.prefill_wait_s(target.id)
                + _PREFILL_WEIGHT * uncached_by_id[target.id] / rate
            )
            if (target.id in long_prompt_ids) != is_long:
                cost_s += _LENGTH_MISMATCH_PENALTY_S
            cost_by_id[target.id] = round(cost_s, 2)
        best = heapq.nsmallest(_MAX_CANDIDATES, targets, key=lambda t: cost_by_id[t.id])
        min_cost = cost_by_id[best[0].id]
        ties = {target.id: target for target in targets if cost_by_id[target.id] == min_cost}
        if len(ties) > 1:
            session = size.shared_parts[-1].id if size.shared_parts else ""
            first = ties[rendezvous(session, ties)[0]]
            best = [first, *(target for target in best if target is not first)]
        return best

    def _allows_length(
        self, uncached_tokens: int, target: Target, long_prompt_ids: frozenset[str]
    ) -> bool:
        """Whether the prefill of a prompt would not slow too many streams at a target."""
        if target.id in long_prompt_ids or not self.long_prompt_targets.is_long(uncached_tokens):
            return True
        return self.loads.running(target.id) <= _MAX_BUSY_FRACTION_FOR_LONG * target.slots

    def _queue_key(self, request: WaitingRequest) -> tuple[float, bool, float]:
        share_ratio = round(self.usage.share_ratio(request.organisation), 1)
        is_overdue = request.response_due_at <= request.arrived_at
        return share_ratio, is_overdue, request.response_due_at

    def _service_key(self, target: Target) -> tuple[float, bool, str]:
        is_local = target.failure_domain == self.failure_domain
        return self.loads.running(target.id) / max(1, target.slots), not is_local, target.id
