"""Decides for each request of one pool: place it on a target, let it wait, or refuse it.

An engine admits requests as they arrive and reads their prompts in turn, so a prompt that is sent
to a busy engine delays all that follow. Requests are therefore held back here while the targets
are busy, the organisations that have got least go first, and a request is refused as soon as no
target can begin it in time.
"""

import heapq
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from ..membership import rendezvous
from ..targets import Target
from .cached_parts import CacheMap
from .lanes import LongLane
from .loads import TargetLoads
from .usage import UsageLedger
from .work import WaitingRequest, Work

__all__ = ["AdmissionRules", "Decision", "Placed", "PoolAdmission", "Refused"]

_NOT_IN_TIME = "no target can begin the request in time"
# Targets that are looked at in one poll, over all requests that are tried for a place.
_MOST_LOOKS_PER_POLL = 256
_LEAST_TRIES_PER_POLL = 2
_SHORTEST_RETRY_S = 0.3
_LONGEST_RETRY_S = 4.0
# Reading a shared part again also takes memory from parts that others need.
_UNREAD_WEIGHT = 3.0
# Targets that are looked at closely, the best first.
_TARGETS_TRIED = 6
# Preference, in seconds of waiting, for targets of the request's own kind of prompts.
_OTHER_LANE_S = 0.2
# Seconds that a request waits for a target that keeps its parts, per second of reading saved
# (delay scheduling: M. Zaharia et al., EuroSys 2010).
_DELAY_PER_SAVED_S = 4.0
_MOST_DELAY_PART = 0.5
# A request that can't be on time goes only to a target that has less to read than this part of
# what it may have.
_LATE_WAIT_PART = 0.5
_IDLE_WAIT_PART = 0.25
# A long prompt leaves its lane only for a target that runs few streams.
_FEW_STREAMS_PART = 0.25


@dataclass(slots=True, frozen=True)
class AdmissionRules:
    """Bounds of what is sent to a target.

    :ivar slots_part: part of a target's slots that may be taken.
    :ivar wait_s: time for which a target may have prompts to read before the one that is sent.
    :ivar on_time_part: part of the time left to a request in which its answer has to begin.
    :ivar spare_slots_part: part of the slots that an organisation above its share may take.
    :ivar spare_factor: factor on the allowed wait for an organisation above its share.
    :ivar excess_slots_part: as ``spare_slots_part``, above a fair part of what all have got.
    :ivar excess_factor: as ``spare_factor``, at a fair part of what all have got; less above it.
    """

    slots_part: float = 0.9
    wait_s: float = 0.2
    on_time_part: float = 0.8
    spare_slots_part: float = 0.7
    spare_factor: float = 0.5
    excess_slots_part: float = 0.5
    excess_factor: float = 0.25


@dataclass(slots=True, frozen=True)
class Placed:
    """The request is to be sent to a target now.

    :ivar expected_s: time until its answer is expected to begin.
    :ivar unread_tokens: tokens of its prompt that the target has to read.
    :ivar position: what its organisation has got, as a multiple of its share.
    """

    request: WaitingRequest
    target: Target
    expected_s: float = 0.0
    unread_tokens: int = 0
    position: float = 0.0


@dataclass(slots=True, frozen=True)
class Refused:
    """The request is given up before it was sent.

    :ivar retry_after_s: time after which a place can be expected.
    """

    request: WaitingRequest
    reason: str
    retry_after_s: float


Decision = Placed | Refused


@dataclass(slots=True)
class PoolAdmission:
    """The requests of one pool at one router.

    :ivar spared: returns the targets that get no request now, by what they did to earlier ones.
    """

    rules: AdmissionRules
    loads: TargetLoads
    usage: UsageLedger
    cache: CacheMap
    lane: LongLane
    spared: Callable[[float], set[str]] = lambda now: set()
    failure_domain: str = ""
    targets: list[Target] = field(default_factory=list)
    _waiting_by_id: dict[str, WaitingRequest] = field(default_factory=dict)
    _ids: list[str] = field(default_factory=list)
    _lifetimes: list[str] = field(default_factory=list)

    @property
    def waiting(self) -> int:
        """Number of requests that wait."""
        return len(self._waiting_by_id)

    def set_targets(self, targets: Iterable[Target]) -> None:
        """Replace the targets that may get requests."""
        self.targets = list(targets)
        self._ids = [target.id for target in self.targets]
        self._lifetimes = [target.lifetime for target in self.targets]

    def offer(self, request: WaitingRequest, now: float) -> Decision | None:
        """Take a new request; return its decision, or None if it waits."""
        self.usage.asked(request.organisation, request.work.cost, now)
        self.lane.asked(request.work.tokens_in, now)
        return self.offer_again(request, now)

    def offer_again(self, request: WaitingRequest, now: float) -> Decision | None:
        """Take a request that has failed at a target; see :meth:`offer`."""
        decision = self._decide(request, now)
        if decision is None:
            self._waiting_by_id[request.id] = request
        return decision

    def withdraw(self, id: str) -> None:
        """Forget a waiting request whose caller has left."""
        self._waiting_by_id.pop(id, None)

    def poll(self, now: float) -> list[Decision]:
        """Return the decisions that are due for waiting requests.

        Only the first few are tried for a place, so that a long queue does not keep the router
        from relaying.
        """
        if not self._waiting_by_id:
            return []
        decisions: list[Decision] = []
        tries = 0
        most_tries = max(_LEAST_TRIES_PER_POLL, _MOST_LOOKS_PER_POLL // max(1, len(self.targets)))
        for request in sorted(self._waiting_by_id.values(), key=self._rank):
            decision: Decision | None = None
            if tries < most_tries:
                decision = self._decide(request, now)
                tries += decision is None
            elif now >= request.on_time_until:
                decision = self._refuse(request, _NOT_IN_TIME)
            if decision is not None:
                del self._waiting_by_id[request.id]
                decisions.append(decision)
        return decisions

    def sent(self, placed: Placed, now: float) -> None:
        """Count a request that is sent, before anything else is decided."""
        request, target = placed.request, placed.target
        self.loads.sent(target.id, request.id, placed.unread_tokens, now)
        self.cache.sent(target.lifetime, request.work)
        self.usage.got(request.organisation, request.work.cost, now)

    def not_run(self, request: WaitingRequest, now: float) -> None:
        """Take back the cost of a request that its target has not run."""
        self.usage.got(request.organisation, -request.work.cost, now)

    def retry_after_s(self) -> float:
        """Return a time after which a new request can expect a place."""
        if not self.targets:
            return 1.0
        wait_s = min(self.loads.wait_s(target.id) for target in self.targets)
        return min(_LONGEST_RETRY_S, max(_SHORTEST_RETRY_S, 2 * wait_s))

    def _decide(self, request: WaitingRequest, now: float) -> Decision | None:
        if now >= request.deadline:
            return self._refuse(request, "the deadline has passed")
        unread_by_id = self._unread_by_id(request.work)
        target = self._choose(request, unread_by_id, now)
        if target is not None:
            placed = self._placed(request, target, unread_by_id[target.id])
            self.sent(placed, now)
            return placed
        if now >= self._give_up_at(request, unread_by_id):
            return self._refuse(request, _NOT_IN_TIME)
        return None

    def _unread_by_id(self, work: Work) -> dict[str, int]:
        """Return the tokens that each target would have to read."""
        if not work.tokens_in:
            return dict.fromkeys(self._ids, 0)
        return dict(zip(self._ids, self.cache.unread_tokens(work, self._lifetimes)))

    def _give_up_at(self, request: WaitingRequest, unread_by_id: dict[str, int]) -> float:
        """Return until when a request may wait for a place.

        One that is too long to be on time anywhere waits as long as the others of its route:
        otherwise long prompts would find a place only where a target happens to be idle.
        """
        read_s = 0.0
        if request.work.tokens_in and unread_by_id:
            id = min(unread_by_id, key=unread_by_id.__getitem__)
            read_s = unread_by_id[id] / self.loads.tokens_per_s(id)
        if self._is_too_long(request, read_s):
            return request.on_time_until
        return request.on_time_until - read_s

    def _is_too_long(self, request: WaitingRequest, read_s: float) -> bool:
        """Whether a prompt takes so long to read that the answer can't begin on time."""
        aim_s = request.on_time_until - request.arrived_at
        return read_s > self.rules.on_time_part * max(aim_s, 0.0)

    def _placed(self, request: WaitingRequest, target: Target, unread: int) -> Placed:
        expected_s = self.loads.wait_s(target.id) + unread / self.loads.tokens_per_s(target.id)
        return Placed(
            request, target, expected_s, unread, self.usage.position(request.organisation)
        )

    def _refuse(self, request: WaitingRequest, reason: str) -> Refused:
        return Refused(request, reason, self.retry_after_s())

    def _choose(
        self, request: WaitingRequest, unread_by_id: dict[str, int], now: float
    ) -> Target | None:
        usable = self._usable(request, now)
        part, factor = self._room(request)
        running = self.loads.running_by_target
        open_targets = [t for t in usable if running.get(t.id, 0) < max(1.0, part * t.slots)]
        if not open_targets:
            return None
        if not request.work.tokens_in:
            return min(open_targets, key=self._rank_service)
        lane_ids = self.lane.targets([target.id for target in usable], now)
        least_unread = min(unread_by_id[target.id] for target in usable)
        for target in self._by_preference(request.work, open_targets, unread_by_id, lane_ids):
            unread = unread_by_id[target.id]
            if (
                self._fits_lane(unread, target, lane_ids)
                and not self._awaits_kept_parts(request, target, unread - least_unread, now)
                and self._begins_in_time(request, target, unread, factor, now)
            ):
                return target
        return None

    def _usable(self, request: WaitingRequest, now: float) -> list[Target]:
        """Return the targets that may get a request; all if none is known to work.

        Where none is known to work, a request is the only way to find out.
        """
        left = self.targets
        if request.excluded:
            left = [target for target in left if target.id not in request.excluded]
        spared = self.spared(now)
        if not spared:
            return left
        return [target for target in left if target.id not in spared] or left

    def _room(self, request: WaitingRequest) -> tuple[float, float]:
        """Return the part of the slots and of the allowed wait that a request may use.

        What an organisation is owed goes first. What is left goes to those that have got less of
        it than others, and only places that are free anyway go beyond that. Where nobody else
        wants more, no place is kept free.
        """
        rules = self.rules
        if not request.work.tokens_in or self.usage.position(request.organisation) < 1.0:
            return rules.slots_part, 1.0
        if not self.usage.others_want(request.organisation):
            return rules.slots_part, 1.0
        excess = self.usage.spare_position(request.organisation)
        if excess < 1.0:
            return rules.spare_slots_part, rules.spare_factor
        return rules.excess_slots_part, rules.excess_factor / excess**2

    def _awaits_kept_parts(
        self, request: WaitingRequest, target: Target, more: int, now: float
    ) -> bool:
        """Whether the request still waits for a target that has to read less than this one.

        :param more: tokens that this target has to read, and the other one not.
        """
        again_s = more / self.loads.tokens_per_s(target.id)
        most_s = _MOST_DELAY_PART * (request.on_time_until - now)
        return now - request.arrived_at < min(_DELAY_PER_SAVED_S * again_s, most_s)

    def _begins_in_time(
        self, request: WaitingRequest, target: Target, unread: int, factor: float, now: float
    ) -> bool:
        """Whether a target can begin the request soon enough, without delaying others too much."""
        wait_s = self.loads.wait_s(target.id)
        allowed_s = factor * self.rules.wait_s
        rate = self.loads.tokens_per_s(target.id)
        saved_s = (request.work.tokens_in - unread) / rate
        if wait_s > allowed_s + factor * saved_s:
            return False
        left_s = request.on_time_until - now
        if left_s <= 0.0:
            return wait_s <= _LATE_WAIT_PART * allowed_s
        read_s = unread / rate
        if wait_s + read_s <= self.rules.on_time_part * left_s:
            return True
        if self._is_too_long(request, read_s):
            return True
        return wait_s <= _IDLE_WAIT_PART * allowed_s

    def _by_preference(
        self,
        work: Work,
        targets: list[Target],
        unread_by_id: dict[str, int],
        lane_ids: frozenset[str],
    ) -> list[Target]:
        """Return the few targets that can begin soonest and read least again, the best first.

        Where this makes no difference the rendezvous hash decides, so that all routers send the
        prompts of a session that is new to the same target.
        """
        is_long = self.lane.is_long(work.tokens_in)
        cost_by_id = {}
        for target in targets:
            rate = self.loads.tokens_per_s(target.id)
            cost_s = self.loads.wait_s(target.id) + _UNREAD_WEIGHT * unread_by_id[target.id] / rate
            if (target.id in lane_ids) != is_long:
                cost_s += _OTHER_LANE_S
            cost_by_id[target.id] = round(cost_s, 2)
        best = heapq.nsmallest(_TARGETS_TRIED, targets, key=lambda t: cost_by_id[t.id])
        least = cost_by_id[best[0].id]
        ties = {target.id: target for target in targets if cost_by_id[target.id] == least}
        if len(ties) > 1:
            session = work.shared_parts[-1].id if work.shared_parts else ""
            first = ties[rendezvous(session, ties)[0]]
            best = [first, *(target for target in best if target is not first)]
        return best

    def _fits_lane(self, unread_tokens: int, target: Target, lane_ids: frozenset[str]) -> bool:
        """Whether a prompt would not slow the streams at a target more than they can bear."""
        if target.id in lane_ids or not self.lane.is_long(unread_tokens):
            return True
        return self.loads.running(target.id) <= _FEW_STREAMS_PART * target.slots

    def _rank(self, request: WaitingRequest) -> tuple[float, bool, float]:
        position = round(self.usage.position(request.organisation), 1)
        is_late = request.on_time_until <= request.arrived_at
        return position, is_late, request.on_time_until

    def _rank_service(self, target: Target) -> tuple[float, bool, str]:
        local = target.failure_domain == self.failure_domain
        return self.loads.running(target.id) / max(1, target.slots), not local, target.id
