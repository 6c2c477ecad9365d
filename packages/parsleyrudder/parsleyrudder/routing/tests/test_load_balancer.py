"""Tests of server selection by affinity, load, failure domain, health and cache hints."""

import pytest
from parsleyrudder import (
    CacheEvent,
    CacheEvents,
    CacheHints,
    LoadBalancer,
    ServerInfo,
    prefix_digest,
    rendezvous,
)

IDS = ["s1", "s2", "s3", "s4"]
PROMPT = "user:how many cylinders are in stock"
FIRST, SECOND, *_ = rendezvous(PROMPT, IDS)
ALL = dict.fromkeys(IDS, 4)


def balancer_of(running=None, reported=None, leaving=()):
    """Return a load balancer of four servers, two of them in the router's failure domain."""
    balancer = LoadBalancer("recife")
    domains = ["salvador", "salvador", "recife", "recife"]
    infos = [ServerInfo(id, "p", "", domain, 8) for id, domain in zip(IDS, domains)]
    balancer.set_servers(infos, leaving)
    for id, count in (running or {}).items():
        for _ in range(count):
            balancer.record_call_start(id)
    for id, count in (reported or {}).items():
        balancer.on_load(id, count)
    return balancer


@pytest.mark.parametrize(
    ("prompt", "state", "candidates", "expected"),
    [
        (PROMPT, {}, ALL, FIRST),
        (PROMPT + "?" * 300, {}, ALL, rendezvous((PROMPT + "?" * 300)[:256], IDS)[0]),
        # Affinity holds up to a load of 1.25 times the mean plus one call.
        (PROMPT, {"running": {FIRST: 1}}, ALL, FIRST),
        (PROMPT, {"running": {FIRST: 3}}, ALL, SECOND),
        (PROMPT, {"running": dict.fromkeys(IDS, 3)}, ALL, FIRST),
        # If the first server has no idle slot or is leaving, the second one gets its prompts.
        (PROMPT, {}, {id: 1 for id in IDS if id != FIRST}, SECOND),
        (PROMPT, {"leaving": [FIRST]}, ALL, SECOND),
        # Own calls in flight come before load reports, which lag; then the failure domain.
        ("", {"running": {"s1": 1, "s3": 1, "s4": 1}, "reported": {"s2": 8}}, ALL, "s2"),
        ("", {"reported": {"s1": 0, "s2": 1, "s3": 1, "s4": 1}}, ALL, "s1"),
        ("", {}, ALL, "s3"),
        ("", {"leaving": IDS}, ALL, None),
        ("", {}, {}, None),
    ],
)
def test_selection_by_affinity_then_load_then_failure_domain(prompt, state, candidates, expected):
    assert balancer_of(**state).choose(prompt, candidates, 0.0) == expected


def fail(balancer, id, count, now):
    """Start calls and let them fail; return whether exactly one of them ejected the server."""
    for _ in range(count):
        balancer.record_call_start(id)
    return [balancer.record_call_end(id, True, now) for _ in range(count)].count(True) == 1


def test_ejection_time_doubles_until_a_probe_succeeds():
    balancer = balancer_of()
    assert not fail(balancer, "s1", 2, 0.0)
    assert fail(balancer, "s1", 1, 0.0)
    now, expected = 0.0, 1.0
    for _ in range(7):
        assert not balancer.is_usable("s1", now + expected - 0.01)
        now += expected
        assert balancer.is_usable("s1", now)
        balancer.record_call_start("s1")
        assert not balancer.is_usable("s1", now), "a second call during the probe"
        assert balancer.record_call_end("s1", True, now), "a failed probe ejects at once"
        expected = min(30.0, expected * 2)
    now += 30.0
    balancer.record_call_start("s1")
    balancer.record_call_end("s1", False, now)
    assert balancer.is_usable("s1", now)
    assert not fail(balancer, "s1", 2, now), "the failure count was reset"


def test_calls_started_before_an_ejection_neither_extend_nor_end_it():
    balancer = balancer_of()
    for _ in range(9):
        balancer.record_call_start("s1")
    assert [balancer.record_call_end("s1", True, 0.0) for _ in range(8)].count(True) == 1
    balancer.record_call_end("s1", False, 0.5)
    assert not balancer.is_usable("s1", 0.99)
    assert balancer.is_usable("s1", 1.0)


def test_probe_with_unknown_outcome_is_repeated():
    balancer = balancer_of()
    fail(balancer, "s1", 3, 0.0)
    balancer.record_call_start("s1")
    balancer.record_call_end("s1", None, 1.0)
    assert balancer.is_usable("s1", 1.0)
    balancer.record_call_start("s1")
    assert not balancer.is_usable("s1", 1.0), "the next call is a probe again"


def test_ejection_moves_only_the_prompts_of_the_ejected_server():
    balancer = balancer_of()
    prompts = [f"prompt {n}" for n in range(200)]
    before = [balancer.choose(prompt, ALL, 0.0) for prompt in prompts]
    fail(balancer, "s2", 3, 0.0)
    during = [balancer.choose(prompt, ALL, 0.5) for prompt in prompts]
    assert all(b == d for b, d in zip(before, during) if b != "s2")
    assert [balancer.choose(prompt, ALL, 1.0) for prompt in prompts] == before


@pytest.mark.parametrize(
    ("responses", "holders"),
    [
        ([("e", [(1, "p", True)])], {"s4"}),
        ([("e", [(1, "p", True)]), ("e", [(2, "p", False)])], set()),
        # Late or repeated events change nothing; a gap or a restart may hide an eviction.
        ([("e", [(1, "p", True), (2, "p", False)]), ("e", [(1, "p", True)])], set()),
        ([("e", [(1, "p", True)]), ("e", [(3, "q", True)])], set()),
        ([("e", [(1, "p", True)]), ("f", [(1, "q", True)])], set()),
        ([("e", [(5, "p", True), (4, "p", False)])], {"s4"}),
    ],
)
def test_cache_hints_after_repeated_events_gaps_and_restarts(responses, holders):
    hints = CacheHints()
    for epoch, events in responses:
        hints.on_events("s4", CacheEvents(tuple(CacheEvent(*event) for event in events), epoch))
    assert hints.servers_with("p") == holders


@pytest.mark.parametrize(("running", "expected"), [({}, "hinted"), ({"hinted": 3}, FIRST)])
def test_cache_hint_takes_precedence_over_hash_but_not_over_load(running, expected):
    hinted = next(id for id in reversed(rendezvous(PROMPT, IDS)) if id != FIRST)
    balancer = balancer_of({hinted if id == "hinted" else id: n for id, n in running.items()})
    balancer.hints.on_events(hinted, CacheEvents((CacheEvent(1, prefix_digest(PROMPT), True),)))
    assert balancer.choose(PROMPT, ALL, 0.0) == (hinted if expected == "hinted" else expected)
