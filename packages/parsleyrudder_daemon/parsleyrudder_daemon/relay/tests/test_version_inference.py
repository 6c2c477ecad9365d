"""Routers that infer the version of a stream, out of step with others and with the store."""

import random
from typing import Any

import pytest

from .origin_fleet import MIXED, Network, run_until_stored


def make_fleet(monkeypatch):
    """Return routers that have all seen one version only."""
    network = Network(monkeypatch, 8, ("v1",))
    for name in network.names:
        network[name]
    run_until_stored(network)
    return network


def join_while_out_of_step(monkeypatch, count, is_noticed):
    """Let some routers miss a version; return routers, these, and the streams that began there."""
    network = make_fleet(monkeypatch)
    [recorder] = network["r0"]._recorders
    out_of_step = set([name for name in network.names if name != recorder][:count])
    network.cut_off = out_of_step
    if is_noticed:
        network.seen_by_name = {
            name: {n for n in network.names if (n in out_of_step) == (name in out_of_step)}
            for name in network.names
        }
    network.versions = MIXED
    for name in set(network.names) - out_of_step:
        network.learn_versions(name)
    streams = [f"s{number}" for number in range(20)]
    for stream in streams:
        network[recorder].record_began(stream, "p", "v2")
    network.advance(1.0)
    return network, sorted(out_of_step), streams


@pytest.mark.parametrize("is_noticed", [False, True], ids=["unnoticed", "noticed"])
@pytest.mark.parametrize("reaches_store", [False, True], ids=["no-store", "store"])
@pytest.mark.parametrize("count", [1, 2, 5])
def test_a_router_out_of_step_does_not_take_the_version_it_knows_for_the_only_one(
    monkeypatch, count, reaches_store, is_noticed
):
    network, out_of_step, streams = join_while_out_of_step(monkeypatch, count, is_noticed)
    if not reaches_store:
        network.cut_off_from_store = network.known_outage = set(out_of_step)
    expected = "v2" if reaches_store else None
    assert [network.find(out_of_step[0], stream) for stream in streams] == [expected] * 20


@pytest.mark.parametrize("delay_s", [0.0, 0.4])
def test_a_stream_of_a_version_that_only_one_router_has_read_is_not_mixed(monkeypatch, delay_s):
    """The router that began it was cut off from the others, all of which replied."""
    network = make_fleet(monkeypatch)
    network.versions = MIXED
    network.learn_versions("r0")
    network.cut_off = {"r0"}
    network["r0"].record_began("s", "p", "v2")
    network.seen_by_name = {"r1": set(network.names) - {"r0"}}
    network.advance(delay_s)
    assert network.find("r1", "s") in (None, "v2")


@pytest.mark.parametrize(
    ("store", "longest_s"), [("there", 0.0), ("known-away", 0.0), ("silent", 0.65)]
)
def test_a_stream_goes_on_in_a_fleet_of_one_version(monkeypatch, store, longest_s):
    """Guards against refusals of all resumed streams while the store is away."""
    network = make_fleet(monkeypatch)
    network["r0"].record_began("s", "p", "v1")
    network.restart("r0")
    network["r0"]
    if store != "there":
        network.cut_off_from_store = set(network.names)
    if store == "known-away":
        network.known_outage = set(network.names)
    began_at = network.now
    assert network.find("r1", "s") == "v1"
    assert network.now - began_at <= longest_s


def test_callers_that_name_no_stream_do_not_share_what_was_read_before_they_came(monkeypatch):
    """A version joined after the first of them, and the stream of the second began there."""
    network = make_fleet(monkeypatch)
    network.answer_delay_s = 0.3
    found: list[Any] = []
    network["r1"].find(None, "p", found.append)
    network.advance(0.1)
    network.versions = MIXED
    network.advance(0.1)
    network["r1"].find(None, "p", found.append)
    network.advance(1.0)
    assert [start and start.version for start in found] == ["v1", None]


def test_a_version_that_came_and_went_while_a_router_was_out_of_step_is_known(monkeypatch):
    """No target of it is left in the store, but its row among the versions is."""
    network, [name], streams = join_while_out_of_step(monkeypatch, 1, is_noticed=False)
    for _ in range(3):
        network.advance(0.5)
        for other in set(network.names) - {name}:
            network[other].refresh()
    network.versions = ("v1",)
    assert [network.find(name, stream) for stream in streams] == ["v2"] * 20


class RandomHistory:
    """A random course of streams, versions and faults of routers and of the store."""

    def __init__(self, network, rng):
        self.network = network
        self.rng = rng
        self.version_by_stream: dict[str, str] = {}

    def begin(self):
        stream = f"s{len(self.version_by_stream)}"
        task = self.network[self.live()]
        known = sorted(target.version for target in task._context.targets.by_id.values())
        version = self.version_by_stream[stream] = self.rng.choice(known)
        task.record_began(stream, "p", version)

    def live(self):
        names = [name for name in self.network.names if name not in self.network.dead]
        return self.rng.choice(names)

    def wait(self):
        self.network.advance(self.rng.choice([0.05, 0.3, 1.5, 40.0]))
        self.network.refresh()

    def release(self):
        """Replace the versions, or add or remove one; most routers read it from the store."""
        number = len(self.version_by_stream) + self.rng.randrange(1000)
        kept = self.network.versions[-self.rng.randrange(2) :]
        self.network.versions = self.rng.choice([kept, (*kept, f"v{number}"), (f"v{number}",)])
        # A version that no recorder has seen before it has gone again is not covered.
        recorders = {task._recorders[0] for task in self.network.task_by_name.values()}
        for name in list(self.network.task_by_name):
            if name in recorders or self.rng.random() < 0.7:
                self.network.learn_versions(name)
        self.network.refresh()

    def kill(self):
        self.network.restart_all()
        for name in self.network.names:
            self.network[name]

    def restart(self):
        name = self.live()
        if name in self.network.task_by_name:
            self.network.restart(name)

    def part(self):
        count = min(self.rng.randrange(3), len(self.network.names) - 1)
        self.network.dead = set(self.rng.sample(self.network.names, count))

    def cut(self):
        """Cut some routers off from the others, or from the store, or heal all cuts."""
        network = self.network
        count = self.rng.randrange(len(network.names) + 1)
        cut_off = set(self.rng.sample(network.names, count))
        network.cut_off = self.rng.choice([set(), cut_off])
        network.cut_off_from_store = self.rng.choice([set(), cut_off, set(network.names)])
        network.known_outage = self.rng.choice([set(), network.cut_off_from_store])
        network.seen_by_name = {
            name: {n for n in network.names if n not in network.dead | network.cut_off} | {name}
            for name in self.rng.choice([[], network.names])
        }

    def fail_store(self):
        self.network.stream_feed.failures = self.rng.randrange(4)


@pytest.mark.parametrize("seed", range(60))
def test_no_history_lets_a_stream_go_on_at_another_version(monkeypatch, seed):
    """Whatever fails, a version is the right one or unknown."""
    rng = random.Random(seed)
    network = Network(monkeypatch, rng.choice([1, 3, 5]), ("v1",))
    history = RandomHistory(network, rng)
    run_until_stored(network)
    known = 0
    for _ in range(120):
        faults = [history.kill, history.restart, history.part, history.cut]
        rare = rng.choice([history.release, *faults])
        rng.choice([history.begin, history.begin, history.wait, rare, history.fail_store])()
        if history.version_by_stream:
            stream = rng.choice(list(history.version_by_stream))
            found = network.find(history.live(), stream)
            assert found in (None, history.version_by_stream[stream])
            known += found is not None
    assert known
