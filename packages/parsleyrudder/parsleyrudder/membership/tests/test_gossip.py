"""Tests of the speed, bandwidth and failure detection of gossip, in simulated time."""

import heapq
import random

import parsleyrudder as pr
import pytest

DELAY_S = 0.001


class SimulatedNetwork:
    """Simulated routers that gossip; messages on the directed links in ``blocked`` are lost."""

    def __init__(self, count, interval_s, blocked=()):
        self.now, self.event_count, self.bytes = 0.0, 0, 0
        self.events, self.blocked = [], set(blocked)
        self.rules = pr.ViewRules(gossip_interval_s=interval_s)
        self.rng = random.Random(7)
        infos = [
            pr.RouterInfo(f"recife-r{n:04d}", 10**12 + n, f"d{n % 19}", "10.0.0.1:7000", "http://x")
            for n in range(count)
        ]
        self.views = {i.name: pr.FleetView(i, self.rules, rng=self.rng) for i in infos}
        self.states = {info.name: pr.ConfigState(info.name) for info in infos}
        for view in self.views.values():
            for info in infos:
                view.add_unconfirmed(info, False, 0.0)
        for name in self.views:
            self.schedule(interval_s * self.rng.random(), lambda name=name: self.gossip_round(name))

    def schedule(self, delay_s, action):
        self.event_count += 1
        heapq.heappush(self.events, (self.now + delay_s, self.event_count, action))

    def run(self, until, done=lambda: False):
        while self.events and self.events[0][0] <= until and not done():
            self.now, _, action = heapq.heappop(self.events)
            action()
        return self.now

    def gossip_round(self, name, repeat=True):
        for info in self.views[name].sample_peers(2, self.rng):
            self.gossip(name, info.name, True)
        if repeat:
            self.schedule(self.rules.gossip_interval_s, lambda: self.gossip_round(name))

    def gossip(self, name, peer, reply, full=False):
        version = self.states[name].config.version
        self.send(name, peer, self.views[name].make_gossip(version, True, reply, self.now, full))

    def send(self, name, peer, message):
        if (name, peer) not in self.blocked:
            self.bytes += len(pr.encode_message(message))
            self.schedule(DELAY_S, lambda: self.deliver(peer, message))

    def deliver(self, name, message):
        view, state = self.views[name], self.states[name]
        if isinstance(message, pr.ConfigRequest):
            self.send(name, message.sender, state.on_request(message))
        elif isinstance(message, pr.ConfigReply):
            if state.on_reply(message, self.now):
                self.gossip_round(name, repeat=False)
        else:
            known = len(view.leaving_servers(self.now))
            view.on_gossip(message, self.now)
            request = state.on_peer_version(message.config_version, self.now)
            if request is not None:
                self.send(name, message.sender, request)
            if len(view.leaving_servers(self.now)) > known:
                self.gossip_round(name, repeat=False)
            if message.wants_reply:
                self.gossip(name, message.sender, False, message.wants_info)


@pytest.mark.parametrize(
    ("count", "interval_s", "config_s", "leaving_s"), [(8, 0.5, 5.0, 3.0), (1200, 2.0, 15.0, 3.0)]
)
def test_gossip_disseminates_changes_in_time(count, interval_s, config_s, leaving_s):
    network = SimulatedNetwork(count, interval_s)
    network.run(interval_s)
    first = next(iter(network.views))
    start = network.now
    network.states[first].activate(pr.Config(1), network.now)
    network.views[first].record_leaving_servers(["s1"], network.now)
    network.gossip_round(first, repeat=False)

    def all_know_leaving_server():
        return all("s1" in view.leaving_servers(network.now) for view in network.views.values())

    def all_have_version():
        return all(state.config.version for state in network.states.values())

    network.run(start + leaving_s)
    assert all_know_leaving_server()
    network.run(start + config_s, all_have_version)
    assert all_have_version()


def test_gossip_of_1200_routers_stays_within_3000_bytes_per_s():
    network = SimulatedNetwork(1200, 2.0)
    network.run(10.0)
    network.bytes, start = 0, network.now
    network.run(start + 4.0)
    sent_and_received = 2 * network.bytes / (network.now - start) / 1200
    assert sent_and_received <= 3000


def test_routers_stay_live_when_links_fail_in_one_direction():
    """A router that another one hears of only through third routers must not count as dead."""
    names = [f"recife-r{n:04d}" for n in range(4)]
    network = SimulatedNetwork(4, 0.5, {(names[0], names[1]), (names[0], names[2])})
    network.run(30.0)
    assert all(view.live_routers(network.now) == names for view in network.views.values())


def test_dead_router_is_removed_and_not_restored_by_outdated_gossip():
    network = SimulatedNetwork(4, 0.5)
    network.run(5.0)
    names = list(network.views)
    outdated = network.views[names[1]].make_gossip(0, True, False, network.now, True)
    network.blocked |= {(names[3], name) for name in names} | {(name, names[3]) for name in names}
    network.run(15.0)
    assert network.views[names[0]].live_routers(network.now) == names[:3]
    network.views[names[0]].on_gossip(outdated, network.now)
    assert network.views[names[0]].live_routers(network.now) == names[:3]
