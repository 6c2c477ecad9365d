"""Guards the choice of a server: affinity, load, failure domain, health, cache hints."""

import pytest
from parsleyrudder import (
    CacheEvent,
    CacheEvents,
    CacheHints,
    ServerInfo,
    ServerTable,
    prefix_digest,
    rendezvous,
)

IDS = ["s1", "s2", "s3", "s4"]
PROMPT = "user:how many cylinders are in stock"
FIRST, SECOND, *_ = rendezvous(PROMPT, IDS)
ALL = dict.fromkeys(IDS, 4)


def table(running=None, reported=None, leaving=()):
    """Return a table of four servers, two of them in the router's failure domain."""
    servers = ServerTable("recife")
    domains = ["salvador", "salvador", "recife", "recife"]
    infos = [ServerInfo(id, "p", "", domain, 8) for id, domain in zip(IDS, domains)]
    servers.set_servers(infos, leaving)
    for id, count in (running or {}).items():
        for _ in range(count):
            servers.started(id)
    for id, count in (reported or {}).items():
        servers.on_load(id, count)
    return servers


@pytest.mark.parametrize(
    ("prompt", "state", "candidates", "expected"),
    [
        (PROMPT, {}, ALL, FIRST),
        (PROMPT + "?" * 300, {}, ALL, rendezvous((PROMPT + "?" * 300)[:256], IDS)[0]),
        # A busier server keeps its prompts up to 1.25 x the mean and one call.
        (PROMPT, {"running": {FIRST: 1}}, ALL, FIRST),
        (PROMPT, {"running": {FIRST: 3}}, ALL, SECOND),
        (PROMPT, {"running": dict.fromkeys(IDS, 3)}, ALL, FIRST),
        # Without a slot there, and for a server that leaves, the next in order takes its prompts.
        (PROMPT, {}, {id: 1 for id in IDS if id != FIRST}, SECOND),
        (PROMPT, {"leaving": [FIRST]}, ALL, SECOND),
        # Own calls in flight count before reports, which lag; then the failure domain decides.
        ("", {"running": {"s1": 1, "s3": 1, "s4": 1}, "reported": {"s2": 8}}, ALL, "s2"),
        ("", {"reported": {"s1": 0, "s2": 1, "s3": 1, "s4": 1}}, ALL, "s1"),
        ("", {}, ALL, "s3"),
        ("", {"leaving": IDS}, ALL, None),
        ("", {}, {}, None),
    ],
)
def test_choice_follows_affinity_then_load_then_domain(prompt, state, candidates, expected):
    assert table(**state).choose(prompt, candidates, 0.0) == expected


def fail(servers, id, count, now):
    """Let calls begin and fail; return whether one of them ejected the server."""
    for _ in range(count):
        servers.started(id)
    return [servers.ended(id, True, now) for _ in range(count)].count(True) == 1


def test_ejection_doubles_and_ends_with_one_good_trial():
    servers = table()
    assert not fail(servers, "s1", 2, 0.0)
    assert fail(servers, "s1", 1, 0.0)
    now, expected = 0.0, 1.0
    for _ in range(7):
        assert not servers.is_usable("s1", now + expected - 0.01)
        now += expected
        assert servers.is_usable("s1", now)
        servers.started("s1")
        assert not servers.is_usable("s1", now), "a second call during the trial"
        assert servers.ended("s1", True, now), "a failed trial ejects at once"
        expected = min(30.0, expected * 2)
    now += 30.0
    servers.started("s1")
    servers.ended("s1", False, now)
    assert servers.is_usable("s1", now)
    assert not fail(servers, "s1", 2, now), "the count starts anew"


def test_calls_from_before_an_ejection_do_not_lengthen_or_end_it():
    servers = table()
    for _ in range(9):
        servers.started("s1")
    assert [servers.ended("s1", True, 0.0) for _ in range(8)].count(True) == 1
    servers.ended("s1", False, 0.5)
    assert not servers.is_usable("s1", 0.99)
    assert servers.is_usable("s1", 1.0)


def test_trial_whose_caller_left_decides_nothing():
    servers = table()
    fail(servers, "s1", 3, 0.0)
    servers.started("s1")
    servers.ended("s1", None, 1.0)
    assert servers.is_usable("s1", 1.0)
    servers.started("s1")
    assert not servers.is_usable("s1", 1.0), "the next call is a trial again"


def test_prompts_of_an_ejected_server_come_back_and_others_stay():
    servers = table()
    prompts = [f"prompt {n}" for n in range(200)]
    before = [servers.choose(prompt, ALL, 0.0) for prompt in prompts]
    fail(servers, "s2", 3, 0.0)
    during = [servers.choose(prompt, ALL, 0.5) for prompt in prompts]
    assert all(b == d for b, d in zip(before, during) if b != "s2")
    assert [servers.choose(prompt, ALL, 1.0) for prompt in prompts] == before


@pytest.mark.parametrize(
    ("answers", "holders"),
    [
        ([("e", [(1, "p", True)])], {"s4"}),
        ([("e", [(1, "p", True)]), ("e", [(2, "p", False)])], set()),
        # Late or repeated events change nothing; a gap may hide an eviction, as may a restart.
        ([("e", [(1, "p", True), (2, "p", False)]), ("e", [(1, "p", True)])], set()),
        ([("e", [(1, "p", True)]), ("e", [(3, "q", True)])], set()),
        ([("e", [(1, "p", True)]), ("f", [(1, "q", True)])], set()),
        ([("e", [(5, "p", True), (4, "p", False)])], {"s4"}),
    ],
)
def test_cache_hints_survive_gaps_and_restarts(answers, holders):
    hints = CacheHints()
    for epoch, events in answers:
        hints.on_events("s4", CacheEvents(tuple(CacheEvent(*event) for event in events), epoch))
    assert hints.servers_of("p") == holders


@pytest.mark.parametrize(("running", "expected"), [({}, "hinted"), ({"hinted": 3}, FIRST)])
def test_cache_hint_comes_before_the_hash_but_not_before_the_load(running, expected):
    hinted = next(id for id in reversed(rendezvous(PROMPT, IDS)) if id != FIRST)
    servers = table({hinted if id == "hinted" else id: n for id, n in running.items()})
    servers.hints.on_events(hinted, CacheEvents((CacheEvent(1, prefix_digest(PROMPT), True),)))
    assert servers.choose(PROMPT, ALL, 0.0) == (hinted if expected == "hinted" else expected)
