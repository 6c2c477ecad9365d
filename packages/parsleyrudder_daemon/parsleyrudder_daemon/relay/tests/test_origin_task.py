"""Routers that tell each other where streams began, and ask each other for it."""

import random
from typing import Any

import pytest
from parsleyrudder import StreamStart, Target, stream_key

from .origin_fleet import MIXED, Network, run_until_stored


@pytest.mark.parametrize("router_count", [2, 7, 70, 1200])
def test_a_stream_is_known_at_every_router_at_a_cost_that_does_not_grow(monkeypatch, router_count):
    network = Network(monkeypatch, router_count, MIXED)
    rng = random.Random(1)
    for number in range(5):
        network["r0"].record_began(f"s{number}", "p", MIXED[number % 2])
    told = [size for name, size in network.sent if name == "StreamStarts"]
    assert len(told) <= 3 * 5
    assert max(told) <= 40
    network.sent.clear()
    for number in range(5):
        name = rng.choice(network.names[1:])
        assert network.find(name, f"s{number}") == MIXED[number % 2]
    assert len(network.sent) <= 2 * 8 * 5


@pytest.mark.parametrize(("router_count", "dead_count"), [(4, 1), (7, 1), (7, 2), (70, 1), (70, 5)])
def test_a_stream_is_known_after_the_router_that_began_it_is_gone(
    monkeypatch, router_count, dead_count
):
    """Its other holders may be among the dead; then, and only then, the version is unknown."""
    network = Network(monkeypatch, router_count, MIXED)
    for number in range(40):
        network["r0"].record_began(f"s{number}", "p", MIXED[number % 2])
    network.dead = {f"r{number}" for number in range(dead_count)}
    network.refresh()
    found = [network.find(f"r{dead_count + number % 2}", f"s{number}") for number in range(40)]
    wrong = [f for n, f in enumerate(found) if f not in (MIXED[n % 2], None)]
    assert wrong == []
    assert found.count(None) <= (0 if dead_count == 1 else 6)


def test_a_holder_that_stops_hands_over_what_it_knows(monkeypatch):
    """Guards against the loss of all records in a series of restarts."""
    network = Network(monkeypatch, 7, MIXED)
    for number in range(20):
        network["r0"].record_began(f"s{number}", "p", "v1")
    for name in network.names:
        network[name].hand_over()
        network.restart(name)
    assert [network.find("r3", f"s{number}") for number in range(20)] == ["v1"] * 20


def test_nothing_is_told_while_one_version_serves_and_all_once_there_are_two(monkeypatch):
    network = Network(monkeypatch, 7, ("v1",))
    for number in range(20):
        network["r0"].record_began(f"s{number}", "p", "v1")
    assert network.sent == []
    assert network.find("r1", "s0") == "v1"
    network.sent.clear()
    for context in (task._context for task in network.task_by_name.values()):
        context.targets.by_id["v2"] = Target("v2", "p", "10.0.0.1:1", "a", 4, version="v2")
    network.refresh()
    assert 0 < len(network.sent) <= 9
    network.dead = {"r0"}
    network.refresh()
    assert [network.find("r2", f"s{number}") for number in range(20)] == ["v1"] * 20


def test_two_callers_that_resume_one_stream_at_once_are_both_served(monkeypatch):
    network = Network(monkeypatch, 4, MIXED)
    network["r0"].record_began("s", "p", "v1")
    network.dead = {"r0", "r1", "r2"}
    found: list[Any] = []
    network["r3"].find("unknown", "p", found.append)
    network["r3"].find("unknown", "p", found.append)
    assert found == []
    network.advance(1.1)
    assert found == [None, None]


@pytest.mark.parametrize("router_count", [1, 7, 195])
@pytest.mark.parametrize("gone", [None, "v1"])
def test_versions_are_known_after_a_restart_of_all_routers(monkeypatch, router_count, gone):
    """Each router took the only version that it saw for that of all streams."""
    network = Network(monkeypatch, router_count, MIXED)
    run_until_stored(network)
    for number in range(40):
        network["r0"].record_began(f"s{number}", "p", MIXED[number % 2])
    run_until_stored(network)
    network.restart_all()
    network.versions = tuple(version for version in MIXED if version != gone)
    last = network.names[-1]
    assert [network.find(last, f"s{n}") for n in range(40)] == [MIXED[n % 2] for n in range(40)]
    assert network.find(last, "unknown") is None


@pytest.mark.parametrize(
    ("versions_then", "failures", "expected"),
    [(("v1",), 0, "v1"), (("v2",), 0, None), (("v1",), 99, None)],
    ids=["same", "other", "store-away"],
)
def test_one_version_is_inferred_only_from_a_history(
    monkeypatch, versions_then, failures, expected
):
    network = Network(monkeypatch, 3, ("v1",))
    run_until_stored(network)
    network.restart_all()
    network.versions = versions_then
    network.version_feed.failures = failures
    assert network.find("r1", "s1") == expected


def test_store_calls_do_not_grow_with_the_streams_or_the_routers(monkeypatch):
    network = Network(monkeypatch, 70, MIXED)
    run_until_stored(network)
    assert network.version_feed.puts <= 3
    for number in range(1000):
        network[f"r{number % 7}"].record_began(f"s{number}", "p", MIXED[number % 2])
        if number % 100 == 99:
            network.advance(0.25)
    assert network.stream_feed.puts <= 11


def restart_all_mixed(monkeypatch):
    """Return routers that have all been killed and started again, and streams that had begun."""
    network = Network(monkeypatch, 7, MIXED)
    run_until_stored(network)
    version_by_stream = {f"s{number}": MIXED[number % 2] for number in range(6)}
    for stream, version in version_by_stream.items():
        network["r0"].record_began(stream, "p", version)
    run_until_stored(network)
    network.restart_all()
    for name in network.names:
        network[name]
    return network, version_by_stream


def test_a_stream_that_is_recorded_after_a_read_is_found(monkeypatch):
    """A write was performed late; then every stream was unknown for 2 s after a read."""
    network, version_by_stream = restart_all_mixed(monkeypatch)
    rows, network.stream_feed.rows = network.stream_feed.rows, {}
    assert network.find("r1", "s0") is None
    for key, row in rows.items():
        network.stream_feed.put("streams", key, row.value, lambda result: None)
    network.advance(0.1)
    assert {s: network.find("r1", s) for s in version_by_stream} == version_by_stream


@pytest.mark.parametrize("failures", [1, 2])
def test_a_read_that_fails_is_repeated_while_the_caller_waits(monkeypatch, failures):
    network, version_by_stream = restart_all_mixed(monkeypatch)
    network.stream_feed.failures = failures
    assert {s: network.find("r1", s) for s in version_by_stream} == version_by_stream


def test_routers_that_do_not_reply_at_once_are_asked_again(monkeypatch):
    """The first messages after a cut are lost until the connections are there again."""
    network = Network(monkeypatch, 4, MIXED)
    run_until_stored(network)
    network.stream_feed.failures = 10**6
    network["r0"].record_began("s", "p", "v1")
    network.cut_off = {"r3"}
    network._after(0.5, network.cut_off.clear)
    assert network.find("r3", "s") == "v1"


@pytest.mark.parametrize("router_count", [2, 30])
def test_the_router_that_is_to_record_a_stream_is_asked_for_it(monkeypatch, router_count):
    """The others that knew it are gone, and its row has not been written yet."""
    network = Network(monkeypatch, router_count, MIXED)
    for name in network.names:
        network[name]
    network.stream_feed.failures = 10**6
    [recorder] = network["r0"]._recorders
    other = next(name for name in network.names if name != recorder)
    network[recorder]._origins.record_reported([StreamStart(stream_key("s"), "p", "v1")], 0.0)
    assert network.find(other, "s") == "v1"


@pytest.mark.parametrize("is_known_at", ["before", "after"])
def test_streams_are_recorded_while_their_recorder_does_not_reach_the_store(
    monkeypatch, is_known_at
):
    """All streams of the fleet were lost in a restart of all routers during such an outage."""
    network = Network(monkeypatch, 7, MIXED)
    run_until_stored(network)
    [recorder] = network["r0"]._recorders
    beginner = next(name for name in network.names if name != recorder)
    network.cut_off_from_store = {recorder}
    if is_known_at == "before":
        network.known_outage = {recorder}
        network.refresh()
    version_by_stream = {f"s{number}": MIXED[number % 2] for number in range(6)}
    for stream, version in version_by_stream.items():
        network[beginner].record_began(stream, "p", version)
    network.known_outage = {recorder}
    run_until_stored(network)
    network.cut_off_from_store = network.known_outage = set()
    network.restart_all()
    assert {s: network.find("r1", s) for s in version_by_stream} == version_by_stream
    assert network.stream_feed.puts <= 12


def test_what_is_certainly_unknown_is_reported_at_once(monkeypatch):
    network, _ = restart_all_mixed(monkeypatch)
    found: list[Any] = []
    network["r1"].find("unknown", "p", found.append)
    assert found == [None]


def test_an_inquiry_ends_although_nothing_answers(monkeypatch):
    """The caller has to have its answer before it gives up."""
    network, _ = restart_all_mixed(monkeypatch)
    network.cut_off_from_store = network.cut_off = {"r1"}
    found: list[Any] = []
    network["r1"].find("s0", "p", found.append)
    network.advance(0.9)
    assert found == []
    network.advance(0.15)
    assert found == [None]
