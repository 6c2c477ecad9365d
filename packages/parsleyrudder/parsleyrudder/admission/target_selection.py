"""Selects the target that gets a request, within the limits on what each target may be sent."""

import heapq
from dataclasses import dataclass

from ..membership import rendezvous
from ..targets import Target
from .admission_rules import AdmissionRules
from .decisions import TargetCounts
from .loads import TargetLoads
from .long_prompts import LongPromptTargets
from .requests import RequestSize, WaitingRequest
from .target_availability import TargetAvailability
from .usage import UsageLedger

__all__ = ["TargetSelection"]

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
class TargetSelection:
    """Selection among the targets of one pool at one router.

    :ivar rules: limits on what is sent to a target.
    :ivar failure_domain: failure domain of this router, whose targets are preferred for requests
        without a prompt.
    """

    rules: AdmissionRules
    loads: TargetLoads
    usage: UsageLedger
    long_prompt_targets: LongPromptTargets
    availability: TargetAvailability
    failure_domain: str = ""

    def select(
        self,
        request: WaitingRequest,
        permitted: list[Target],
        uncached_by_id: dict[str, int],
        now: float,
    ) -> Target | None:
        """Return the target that gets a request now, or None if no target may get it now.

        :param permitted: see :meth:`TargetAvailability.permitted`.
        :param uncached_by_id: number of tokens that each target would have to prefill, by its id.
        """
        usable = self.availability.without_ejected(permitted, now)
        slots_fraction, wait_factor = self._limits(request)
        open_targets = self.availability.open_now(usable, now)
        available = self._with_free_slot(open_targets, slots_fraction)
        if not available:
            return None
        if not request.size.prompt_tokens:
            return min(available, key=self._service_key)
        long_prompt_ids = self._long_prompt_ids(request, usable, now)
        min_uncached = min(uncached_by_id[target.id] for target in open_targets)
        for target in self._candidates(request.size, available, uncached_by_id, long_prompt_ids):
            uncached = uncached_by_id[target.id]
            if (
                self._allows_length(request, uncached, target, long_prompt_ids)
                and not self._waits_for_cache(request, target, uncached - min_uncached, now)
                and self._can_start_in_time(request, target, uncached, wait_factor, now)
            ):
                return target
        return None

    def count(
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

    def is_too_long(self, request: WaitingRequest, prefill_s: float) -> bool:
        """Whether the prefill alone takes too long for the response to begin on time."""
        target_latency_s = request.response_due_at - request.arrived_at
        return prefill_s > self.rules.latency_budget_fraction * max(target_latency_s, 0.0)

    def _with_free_slot(self, targets: list[Target], slots_fraction: float) -> list[Target]:
        """Return the targets that run less than a fraction of their slots."""
        running = self.loads.running_by_target
        return [
            target
            for target in targets
            if running.get(target.id, 0) < max(1.0, slots_fraction * target.slots)
        ]

    def _limits(self, request: WaitingRequest) -> tuple[float, float]:
        """Return the fraction of slots and the factor on the allowed wait for a request.

        Organisations within their fair share get the full limits. Above it, capacity that others
        leave goes first to those that have used less of the observed usage than others with the
        same demand; beyond that, requests get only slots that would stay free. If no other
        organisation has unmet demand, no slots are reserved and the full limits apply.

        A stream that was admitted is to be completed, whatever its organisation has used: otherwise
        the work that was done for it is lost, and its caller begins it anew.
        """
        rules = self.rules
        if request.was_admitted:
            return rules.resumption_slots_fraction, rules.resumption_wait_factor
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
        if request.resumes_stream:
            # The rest of a stream is worth more to its caller late than not at all.
            return True
        wait_s = self.loads.prefill_wait_s(target.id)
        allowed_s = wait_factor * self.rules.max_prefill_wait_s
        left_s = request.response_due_at - now
        if left_s <= 0.0:
            return wait_s <= _OVERDUE_WAIT_FRACTION * allowed_s
        prefill_s = uncached_tokens / self.loads.prefill_tokens_per_s(target.id)
        if wait_s + prefill_s <= self.rules.latency_budget_fraction * left_s:
            return True
        if self.is_too_long(request, prefill_s):
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

    def _long_prompt_ids(
        self, request: WaitingRequest, usable: list[Target], now: float
    ) -> frozenset[str]:
        """Return the targets for long prompts; none for admitted streams, which have few."""
        if request.was_admitted:
            return frozenset()
        return self.long_prompt_targets.select([target.id for target in usable], now)

    def _allows_length(
        self,
        request: WaitingRequest,
        uncached_tokens: int,
        target: Target,
        long_prompt_ids: frozenset[str],
    ) -> bool:
        """Whether the prefill of a prompt would not slow too many streams at a target."""
        if (
            request.was_admitted
            or target.id in long_prompt_ids
            or not self.long_prompt_targets.is_long(uncached_tokens)
        ):
            return True
        return self.loads.running(target.id) <= _MAX_BUSY_FRACTION_FOR_LONG * target.slots

    def _service_key(self, target: Target) -> tuple[float, bool, str]:
        is_local = target.failure_domain == self.failure_domain
        return self.loads.running(target.id) / max(1, target.slots), not is_local, target.id
