"""Decides for each request of one pool whether to place it on a target, queue it or refuse it.

An engine accepts requests as they arrive and prefills their prompts one after another, so a prompt
sent to a busy engine delays all that follow. Requests are therefore queued in the router while the
targets are busy. Requests of the organisations with the least usage go first, and a request is
refused as soon as no target can start it in time.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import InitVar, dataclass, field

from ..messages import SuspectKind
from ..targets import Target
from .admission_rules import AdmissionRules
from .crash_suspects import CrashSuspects
from .decisions import Decision, Placed, Refused
from .loads import TargetLoads
from .long_prompts import LongPromptTargets
from .prompt_cache import PromptCacheIndex
from .requests import RequestSize, WaitingRequest
from .target_availability import TargetAvailability
from .target_selection import TargetSelection
from .usage import UsageLedger

__all__ = ["PoolAdmission"]

_NOT_IN_TIME = "no target can begin the request in time"
# Bounds the targets evaluated in one poll, summed over all requests that the poll tries to place.
_MAX_TARGET_CHECKS_PER_POLL = 256
_MIN_ATTEMPTS_PER_POLL = 2
_MIN_RETRY_AFTER_S = 0.3
_NO_TARGET_RETRY_AFTER_S = 1.0
_MAX_RETRY_AFTER_S = 4.0
# A target that has crashed is often back with its version after a few seconds.
_VERSION_RETRY_AFTER_S = 1.0
# Time after a pause of all targets over which callers are asked to return.
_PAUSE_SPREAD_S = 1.0
# Multiples of this number, modulo 1, are spread evenly over the interval.
_GOLDEN_RATIO = 0.618034


@dataclass(slots=True)
class PoolAdmission:
    """Admission of the requests to one pool at one router.

    :param rules: initial limits on what is sent to a target.
    :param failure_domain: failure domain of this router.
    :ivar selection: selects the target for each request; its rules may be replaced.
    """

    rules: InitVar[AdmissionRules]
    loads: TargetLoads
    usage: UsageLedger
    prompt_cache: PromptCacheIndex
    long_prompt_targets: LongPromptTargets
    crash_suspects: CrashSuspects = field(default_factory=CrashSuspects)
    availability: TargetAvailability = field(default_factory=TargetAvailability)
    failure_domain: InitVar[str] = ""
    selection: TargetSelection = field(init=False)
    targets: list[Target] = field(default_factory=list)
    _waiting_by_id: dict[str, WaitingRequest] = field(default_factory=dict)
    _ids: list[str] = field(default_factory=list)
    _lifetimes: list[str] = field(default_factory=list)
    _refused_in_pause: int = 0

    def __post_init__(self, rules: AdmissionRules, failure_domain: str) -> None:
        self.selection = TargetSelection(
            rules,
            self.loads,
            self.usage,
            self.long_prompt_targets,
            self.availability,
            failure_domain,
        )

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
            and self.selection.select(request, permitted, uncached_by_id, now) is not None
        )

    def withdraw(self, id: str) -> None:
        """Remove a request from the queue if it is queued, as when its caller has left."""
        self._waiting_by_id.pop(id, None)

    def poll(self, now: float) -> list[Decision]:
        """Return the decisions that are due for queued requests.

        Only the first few in the queue are tried, so that a long queue does not keep the router
        from relaying. Streams to go on with are counted apart, by version, as they may wait for its
        targets only. The rest are only refused if it is too late for them.
        """
        if not self._waiting_by_id:
            return []
        decisions: list[Decision] = []
        attempts_by_version: Counter[str | None] = Counter()
        max_attempts = max(
            _MIN_ATTEMPTS_PER_POLL, _MAX_TARGET_CHECKS_PER_POLL // max(1, len(self.targets))
        )
        for request in sorted(self._waiting_by_id.values(), key=self._queue_key):
            decision: Decision | None = None
            version = request.required_version
            if attempts_by_version[version] < max_attempts:
                decision = self._decide(request, now)
                attempts_by_version[version] += decision is None
            elif now >= (request.resume_by or request.response_due_at):
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
        return self._retry_after_s(self.targets, now)

    def _retry_after_s(self, targets: list[Target], now: float) -> float:
        """Return the time after which one of the targets can be expected to take a request."""
        if not targets:
            return _NO_TARGET_RETRY_AFTER_S
        wait_s = min(
            max(
                2 * self.loads.prefill_wait_s(target.id),
                self.availability.wait_s(target, now),
            )
            for target in targets
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
        target = self.selection.select(request, permitted, uncached_by_id, now)
        if target is not None:
            placed = self._placed(request, target, uncached_by_id[target.id])
            self.record_sent(placed, now)
            request.is_trial = self.crash_suspects.record_trial(request.suspects, now)
            return placed
        if now >= self._queue_until(request, uncached_by_id):
            counts = self.selection.count(request, permitted, uncached_by_id, now)
            retry_after_s = self._retry_after_s(permitted, now)
            return Refused(request, _NOT_IN_TIME, retry_after_s, targets=counts)
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

        A request that goes on with a stream has a time of its own.

        A request whose prompt is too long to be on time at any target stays queued as long as the
        others of its route. Otherwise it would be placed only if a target happened to be idle.
        """
        if request.resume_by is not None:
            return request.resume_by
        prefill_s = 0.0
        if request.size.prompt_tokens and uncached_by_id:
            id = min(uncached_by_id, key=uncached_by_id.__getitem__)
            prefill_s = uncached_by_id[id] / self.loads.prefill_tokens_per_s(id)
        if self.selection.is_too_long(request, prefill_s):
            return request.response_due_at
        return request.response_due_at - prefill_s

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
        permitted = self.availability.permitted(self.targets, request)
        return Refused(request, reason, self._retry_after_s(permitted, now))

    def _queue_key(self, request: WaitingRequest) -> tuple[bool, float, bool, float]:
        """Return the key of the queue's order: the rest of admitted streams first."""
        share_ratio = round(self.usage.share_ratio(request.organisation), 1)
        is_overdue = request.response_due_at <= request.arrived_at
        return not request.was_admitted, share_ratio, is_overdue, request.response_due_at
