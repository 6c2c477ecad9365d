"""Load plays: callers resume streams while more new requests arrive than the targets can begin."""

import heapq
import itertools
import random

import pytest
from parsleyrudder import (
    AdmissionRules,
    LoadReport,
    LongPromptTargets,
    Placed,
    PoolAdmission,
    PromptCacheIndex,
    PromptPart,
    Refused,
    RequestSize,
    Target,
    TargetLoads,
    UsageLedger,
    WaitingRequest,
)

RATE = 50_000.0
PROMPT_TOKENS = 8_000
TARGET_LATENCY_S = 0.8
EVENT_INTERVAL_S = 0.3
RESUMPTION_WAIT_S = 1.5
GENERATION_S = 1.0
SLOTS = 32
POLL_INTERVAL_S = 0.025
LENGTH_S = 8.0
BROKEN_AT_S = 4.0


def new_request(id, at, version=None):
    size = RequestSize((PromptPart(id, PROMPT_TOKENS),), PROMPT_TOKENS, 100)
    due_s = EVENT_INTERVAL_S if version else TARGET_LATENCY_S
    return WaitingRequest(
        id,
        f"org-{len(id) % 3}",
        size,
        at,
        at + due_s,
        at + 15.0,
        required_version=version,
        resume_by=at + RESUMPTION_WAIT_S if version else None,
        was_admitted=version is not None,
    )


class Play:
    """One router before targets that prefill prompts one after another, then generate."""

    def __init__(self, versions):
        self.loads = TargetLoads(prior_prefill_tokens_per_s=RATE)
        self.pool = PoolAdmission(
            AdmissionRules(max_prefill_wait_s=0.2),
            self.loads,
            UsageLedger(capacity_per_s=RATE * len(versions)),
            PromptCacheIndex(capacity_tokens=0),
            LongPromptTargets(min_long_prompt_tokens=15_000),
        )
        self.pool.set_targets(
            Target(f"t{n}", "p", f"10.0.0.{n}:1", "a", SLOTS, version=version)
            for n, version in enumerate(versions)
        )
        self.begun: set[str] = set()
        self._busy_until: dict[str, float] = {}
        self._events: list = []
        self._order = itertools.count()

    def run(self, arrivals):
        """Play the arrivals, pairs of a time and a request."""
        for at, request in arrivals:
            self._at(at, lambda at, r=request: self._apply(self.pool.submit(r, at), at))
        for n in range(int((LENGTH_S + 2.0) / POLL_INTERVAL_S)):
            self._at(n * POLL_INTERVAL_S, self._poll)
        while self._events:
            at, _, action = heapq.heappop(self._events)
            action(at)

    def _at(self, at, action):
        heapq.heappush(self._events, (at, next(self._order), action))

    def _poll(self, now):
        self.pool.usage.refresh(now)
        for decision in self.pool.poll(now):
            self._apply(decision, now)

    def _apply(self, decision, now):
        if not isinstance(decision, Placed):
            return
        id, target = decision.request.id, decision.target.id
        first_event_at = max(now, self._busy_until.get(target, 0.0)) + PROMPT_TOKENS / RATE
        self._busy_until[target] = first_event_at
        self.begun.add(id)
        self._at(first_event_at, lambda at: self.loads.record_first_event(target, id, at))
        self._at(first_event_at + GENERATION_S, lambda at: self.loads.record_end(target, id))


@pytest.mark.parametrize(
    ("versions", "overload", "broken"),
    [
        pytest.param(["v1"] * 4 + ["v2"] * 4, 1.5, 20, id="half-of-the-targets"),
        pytest.param(["v1"] * 2 + ["v2"] * 6, 1.5, 12, id="two-targets-left"),
        pytest.param(["v1"] * 4 + ["v2"] * 4, 3.0, 20, id="three-times-the-load"),
    ],
)
def test_resumed_streams_go_on_as_often_as_new_ones_begin(versions, overload, broken):
    """They were refused after one event interval, while new requests kept the targets busy."""
    rng = random.Random(1)
    interval_s = PROMPT_TOKENS / (RATE * len(versions)) / overload
    count = int(LENGTH_S / interval_s)
    new = [(n * interval_s, new_request(f"new{n}", n * interval_s)) for n in range(count)]
    resumed_at = [BROKEN_AT_S + rng.uniform(0.0, 0.3) for _ in range(broken)]
    resumed = [(at, new_request(f"resumed{n}", at, "v1")) for n, at in enumerate(resumed_at)]
    play = Play(versions)
    play.run(new + resumed)
    new_share = sum(request.id in play.begun for _, request in new) / len(new)
    resumed_share = sum(request.id in play.begun for _, request in resumed) / broken
    assert resumed_share >= new_share


def test_new_requests_are_placed_while_streams_wait_for_a_full_version():
    """A queue of streams for one version must not keep requests from idle targets of another."""
    play = Play(["v1", "v2"])
    for n in range(2 * SLOTS):
        play.loads.record_sent("t0", f"running{n}", 0, 0.0)
    streams = [new_request(f"s{n}", 0.0, "v1") for n in range(200)]
    assert all(play.pool.submit(stream, 0.0) is None for stream in streams)
    queued = new_request("new", 0.0)
    queued.excluded_target_ids.add("t1")
    assert play.pool.submit(queued, 0.0) is None
    queued.excluded_target_ids.clear()
    placed = [d for d in play.pool.poll(0.1) if isinstance(d, Placed)]
    assert [(d.request.id, d.target.id) for d in placed] == [("new", "t1")]


def test_a_stream_does_not_wait_behind_those_of_another_version():
    """All streams shared one number of attempts per poll, which those of a full version used up."""
    play = Play(["v1", "v2"])
    for target in ("t0", "t1"):
        for n in range(2 * SLOTS):
            play.loads.record_sent(target, f"running{n}", 0, 0.0)
    streams = [new_request(f"s{n}", 0.0, "v1") for n in range(200)]
    streams.append(new_request("other", 0.1, "v2"))
    assert all(play.pool.submit(stream, 0.0) is None for stream in streams)
    for n in range(2 * SLOTS):
        play.loads.record_end("t1", f"running{n}")
    placed = [d for d in play.pool.poll(0.2) if isinstance(d, Placed)]
    assert [(d.request.id, d.target.id) for d in placed] == [("other", "t1")]


def test_streams_that_the_fleet_does_not_know_get_no_more_than_new_requests():
    """One organisation's callers named streams that never began, and another's were refused."""
    interval_s = PROMPT_TOKENS / (RATE * 4) / 3.0
    requests = []
    for n in range(int(LENGTH_S / interval_s)):
        claimed = new_request(f"claimed{n}", n * interval_s, "v1")
        claimed.organisation, claimed.was_admitted = "large", False
        requests.append((n * interval_s, claimed))
        if n % 6 == 0:
            small = new_request(f"small{n}", n * interval_s)
            small.organisation = "small"
            requests.append((n * interval_s, small))
    play = Play(["v1"] * 4)
    play.run(requests)
    small_ids = {request.id for _, request in requests if request.organisation == "small"}
    assert len(small_ids & play.begun) >= 0.9 * len(small_ids)


@pytest.mark.parametrize(("at", "decided"), [(1.4, 0), (1.5, 1)])
def test_a_stream_waits_for_its_version_until_its_caller_would_leave(at, decided):
    play = Play(["v1"])
    for n in range(2 * SLOTS):
        play.loads.record_sent("t0", f"running{n}", 0, 0.0)
    play.pool.submit(new_request("s", 0.0, "v1"), 0.0)
    assert [type(d) for d in play.pool.poll(at)] == [Refused] * decided


def test_a_refused_stream_may_return_when_its_version_can_take_it():
    """The time was that of an idle target of another version."""
    play = Play(["v1", "v2"])
    play.loads.record_sent("t0", "running", 100_000, 0.0)
    play.pool.submit(new_request("s", 0.0, "v1"), 0.0)
    [refused] = play.pool.poll(RESUMPTION_WAIT_S)
    assert isinstance(refused, Refused)
    assert refused.retry_after_s >= play.loads.prefill_wait_s("t0")


def test_a_stream_does_not_wait_for_the_slot_of_its_own_run_at_a_dead_router():
    """The last report of a router that was killed made the targets of its streams look full."""
    play = Play(["v1"])
    play.loads.record_report("killed", {"t0": LoadReport(SLOTS, 0)}, 0.0)
    play.pool.submit(new_request("new", 0.0), 0.0)
    assert isinstance(play.pool.submit(new_request("s", 0.0, "v1"), 0.0), Placed)
    assert play.pool.waiting == 1
