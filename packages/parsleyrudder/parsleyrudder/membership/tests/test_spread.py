"""Guards how fast news spreads by gossip, and what it costs, in virtual time."""

import heapq
import random

import parsleyrudder as pr
import pytest

DELAY_S = 0.001


class Net:
    """Routers that gossip; ``blocked`` holds directed links that carry nothing."""

    def __init__(self, count, interval_s, blocked=()):
        self.now, self.count, self.bytes = 0.0, 0, 0
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
                view.introduce(info, False, 0.0)
        for name in self.views:
            self.after(interval_s * self.rng.random(), lambda name=name: self.round(name))

    def after(self, delay_s, action):
        self.count += 1
        heapq.heappush(self.events, (self.now + delay_s, self.count, action))

    def run(self, until, done=lambda: False):
        while self.events and self.events[0][0] <= until and not done():
            self.now, _, action = heapq.heappop(self.events)
            action()
        return self.now

    def round(self, name, again=True):
        for info in self.views[name].pick_peers(2, self.rng):
            self.gossip(name, info.name, True)
        if again:
            self.after(self.rules.gossip_interval_s, lambda: self.round(name))

    def gossip(self, name, peer, reply, full=False):
        version = self.states[name].config.version
        self.send(name, peer, self.views[name].gossip(version, True, reply, self.now, full))

    def send(self, name, peer, message):
        if (name, peer) not in self.blocked:
            self.bytes += len(pr.encode_message(message))
            self.after(DELAY_S, lambda: self.arrive(peer, message))

    def arrive(self, name, message):
        view, state = self.views[name], self.states[name]
        if isinstance(message, pr.ConfigRequest):
            self.send(name, message.sender, state.on_request(message))
        elif isinstance(message, pr.ConfigReply):
            if state.on_reply(message, self.now):
                self.round(name, again=False)
        else:
            known = len(view.leaving_servers(self.now))
            view.on_gossip(message, self.now)
            request = state.on_peer_version(message.version, self.now)
            if request is not None:
                self.send(name, message.sender, request)
            if len(view.leaving_servers(self.now)) > known:
                self.round(name, again=False)
            if message.reply:
                self.gossip(name, message.sender, False, message.wants_info)


@pytest.mark.parametrize(
    ("count", "interval_s", "config_s", "leaving_s"), [(8, 0.5, 5.0, 3.0), (1200, 2.0, 15.0, 3.0)]
)
def test_news_spreads_in_time(count, interval_s, config_s, leaving_s):
    net = Net(count, interval_s)
    net.run(interval_s)
    first = next(iter(net.views))
    begun = net.now
    net.states[first].adopt(pr.Config(1), net.now)
    net.views[first].note_leaving_servers(["s1"], net.now)
    net.round(first, again=False)

    def all_know_server():
        return all("s1" in view.leaving_servers(net.now) for view in net.views.values())

    def all_have_version():
        return all(state.config.version for state in net.states.values())

    net.run(begun + leaving_s)
    assert all_know_server()
    net.run(begun + config_s, all_have_version)
    assert all_have_version()


def test_gossip_of_1200_routers_fits_the_budget():
    net = Net(1200, 2.0)
    net.run(10.0)
    net.bytes, begun = 0, net.now
    net.run(begun + 4.0)
    sent_and_received = 2 * net.bytes / (net.now - begun) / 1200
    assert sent_and_received <= 3000


def test_routers_stay_live_when_one_hears_another_only_through_third_ones():
    """Guards against a router that is taken for dead because of one broken direction."""
    names = [f"recife-r{n:04d}" for n in range(4)]
    net = Net(4, 0.5, {(names[0], names[1]), (names[0], names[2])})
    net.run(30.0)
    assert all(view.live(net.now) == names for view in net.views.values())


def test_dead_router_leaves_the_view_and_a_stale_peer_does_not_bring_it_back():
    net = Net(4, 0.5)
    net.run(5.0)
    names = list(net.views)
    stale = net.views[names[1]].gossip(0, True, False, net.now, True)
    net.blocked |= {(names[3], name) for name in names} | {(name, names[3]) for name in names}
    net.run(15.0)
    assert net.views[names[0]].live(net.now) == names[:3]
    net.views[names[0]].on_gossip(stale, net.now)
    assert net.views[names[0]].live(net.now) == names[:3]
