"""Routers that tell each other where streams began, over a network that delivers at once."""

import heapq
import itertools
from functools import partial
from types import SimpleNamespace
from typing import Any

from parsleyrudder import RouterInfo, Target
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


def run_until_stored(network):
    """Let the routers find each other, write the versions, and write the streams."""
    for name in network.names[:7]:
        network[name]
    for _ in range(4):
        network.advance(0.5)
        network.refresh()
