"""Routers that tell each other where streams began, over a network that delivers at once."""

import heapq
import itertools
import random
from functools import partial
from types import SimpleNamespace
from typing import Any

import pytest
from parsleyrudder import RouterInfo, StreamStart, Target, stream_key
from parsleyrudder.messages import encode_message
from parsleyrudder_daemon.metrics import Metrics
from parsleyrudder_daemon.relay import (
    coalesced_read,
    origin_inquiries,
    origin_task,
    stream_store,
)
from parsleyrudder_daemon.relay.origin_task import OriginTask
from parsleyrudder_daemon.relay.stream_store import StreamStore
from parsleyrudder_daemon.relay.version_store import VersionStore

from .memory_feed import Feed, RouterFeed

MIXED = ("v1", "v2")


class TargetWatch:
    """A router's watch of the targets, whose calls the store answers, or not at all."""

    def __init__(self, network, name):
        self.network = network
        self.name = name
        self.confirmed_at = network.now

    @property
    def is_store_down(self):
        return self.name in self.network.known_outage

    def confirm(self, done):
        """Read the targets from the store."""
        if self.name in self.network.cut_off_from_store:
            return
        sent_at, targets = self.network.now, self.network.targets()

        def on_answer():
            self.confirmed_at = sent_at
            self.network.set_targets(self.name, targets)
            done(True)

        if self.network.answer_delay_s:
            self.network._after(self.network.answer_delay_s, on_answer)
        else:
            on_answer()


class Network:
    """Routers by name, created when they are needed; messages to dead ones are lost.

    :ivar versions: versions of the targets in the store.
    :ivar cut_off: routers whose messages from and to others are lost.
    :ivar seen_by_name: routers that one takes for active, if not all that are alive.
    :ivar cut_off_from_store: routers that get no answer of the store.
    :ivar known_outage: those of them that know it.
    :ivar answer_delay_s: time after which the store answers a read of the targets.
    """

    def __init__(self, monkeypatch, router_count, versions):
        self.now = 1000.0
        self.versions = versions
        self.names = [f"r{number}" for number in range(router_count)]
        self.dead: set[str] = set()
        self.cut_off: set[str] = set()
        self.seen_by_name: dict[str, set[str]] = {}
        self.cut_off_from_store: set[str] = set()
        self.known_outage: set[str] = set()
        self.answer_delay_s = 0.0
        self.task_by_name: dict[str, OriginTask] = {}
        self.timers: list[Any] = []
        self._timer_number = itertools.count()
        self.sent: list[tuple[str, int]] = []
        self.version_feed: Any = Feed()
        self.stream_feed: Any = Feed()
        self.first_start = True
        for module in (origin_task, origin_inquiries, coalesced_read, stream_store):
            monkeypatch.setattr(module, "now", lambda: self.now)

    def __getitem__(self, name):
        if name not in self.task_by_name:
            context = self._context(name)
            task = self.task_by_name[name] = OriginTask(
                context,
                VersionStore(self._feed(name, self.version_feed), context.timers, "versions"),
                StreamStore(self._feed(name, self.stream_feed), context.timers, name, "streams"),
            )
            task.link = SimpleNamespace(send=partial(self._send, name))  # type: ignore[assignment]
            task.watch_targets(TargetWatch(self, name))
            task.start()
        return self.task_by_name[name]

    def targets(self):
        return {v: Target(v, "p", "10.0.0.1:1", "a", 4, version=v) for v in self.versions}

    def learn_versions(self, name):
        """Let a router know the targets as they are in the store."""
        self.set_targets(name, self.targets())

    def set_targets(self, name, targets):
        self[name]._context.targets.by_id = targets
        self[name].refresh_versions()

    def refresh(self):
        for task in list(self.task_by_name.values()):
            task.refresh()

    def restart_all(self):
        """Kill all routers at once, and start them again."""
        self.task_by_name.clear()
        self.timers.clear()
        self.first_start = False

    def restart(self, name):
        del self.task_by_name[name]

    def advance(self, seconds):
        end = self.now + seconds
        while self.timers and self.timers[0][0] <= end:
            self.now, _, callback = heapq.heappop(self.timers)
            callback()
        self.now = end

    def find(self, name, request):
        """Return the version that a router finds for a stream; None if it finds none."""
        found: list[Any] = []
        self[name].find(request, "p", found.append)
        for _ in range(11):
            if not found:
                self.advance(0.1)
        assert len(found) == 1
        return found[0].version if found[0] else None

    def _send(self, sender, address, message):
        self.sent.append((type(message).__name__, len(encode_message(message))))
        if address not in self.dead and not {sender, address} & self.cut_off:
            self[address].on_message(message)

    def _feed(self, name, feed):
        return RouterFeed(feed, lambda: name in self.cut_off_from_store)

    def _after(self, delay_s, callback):
        if callback.__name__ != "refresh":
            entry = (self.now + delay_s, next(self._timer_number), callback)
            heapq.heappush(self.timers, entry)

    def _seen(self, name):
        alive = [n for n in self.names if n not in self.dead]
        return self.seen_by_name.get(name, alive)

    def _context(self, name) -> Any:
        info_by_name = {n: RouterInfo(n, 1, "a", n, n) for n in self.names}
        view = SimpleNamespace(
            own_info=info_by_name[name],
            active_routers=lambda at: self._seen(name),
            peers=lambda at: [info for info in info_by_name.values() if info.name != name],
            is_leaving=lambda other: False,
            info=info_by_name.get,
        )
        return SimpleNamespace(
            view=view,
            metrics=Metrics(),
            targets=SimpleNamespace(by_id=self.targets()),
            active_config=SimpleNamespace(age_s=lambda at: 0.0),
            settings=SimpleNamespace(
                bounds=SimpleNamespace(apply_s=2.0), first_start=self.first_start
            ),
            timers=SimpleNamespace(after=self._after),
        )


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


def run_until_stored(network):
    """Let the routers find each other, write the versions, and write the streams."""
    for name in network.names[:7]:
        network[name]
    for _ in range(4):
        network.advance(0.5)
        network.refresh()


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
