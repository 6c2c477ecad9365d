"""Watches of one table by several routers without a network: calls and detected changes."""

import contextlib
from typing import Any

import pytest
from parsleyrudder import FeedPage, Row, TableError
from parsleyrudder_daemon.relay import table_watch
from parsleyrudder_daemon.relay.table_watch import TableWatch, WatchRules

RULES = WatchRules.within(2.0)
LATENCY_S = 0.01


class Clock:
    """Simulated time and timers."""

    def __init__(self):
        self.now = 100.0
        self.due = []

    def after(self, delay_s, callback):
        timer = Timer(self.now + max(0.0, delay_s), callback)
        self.due.append(timer)
        return timer

    def run_until(self, end):
        while True:
            self.due = [timer for timer in self.due if timer.callback]
            timer = min(self.due, key=lambda timer: timer.at, default=None)
            if timer is None or timer.at > end:
                self.now = end
                return
            self.due.remove(timer)
            self.now = max(self.now, timer.at)
            timer.callback()


class Timer:
    def __init__(self, at, callback):
        self.at = at
        self.callback = callback

    def cancel(self):
        self.callback = None


class Store:
    """Holds calls for changes as the real store does; loses all responses unless ``is_up``."""

    def __init__(self, clock):
        self.clock = clock
        self.rows = {}
        self.revision = 0
        self.is_up = True
        self.calls = 0
        self.held = []

    def put(self, key):
        self.revision += 1
        self.rows[key] = Row(key, b"", self.revision)
        held, self.held = self.held, []
        for respond in held:
            respond()

    def read(self, table, done):
        self._call(0, 0.0, done)

    def changes(self, table, after, wait_s, done):
        self._call(after, wait_s, done)

    def _call(self, after, wait_s, done):
        self.calls += 1
        if not self.is_up:
            error = TableError("no response", "wait")
            self.clock.after(wait_s + RULES.response_timeout_s, lambda: done(error))
            return
        is_done = False

        def respond():
            nonlocal is_done
            if not is_done:
                is_done = True
                rows = [row for row in self.rows.values() if row.revision > after]
                page = FeedPage(rows, {}, self.revision, self.clock.now - 50.0)
                self.clock.after(LATENCY_S, lambda: done(page))

        if wait_s and self.revision == after:
            self.held.append(respond)
            self.clock.after(wait_s, respond)
        else:
            self.clock.after(LATENCY_S, respond)


class Fleet:
    """Watches of several routers, of which the first ones are readers."""

    def __init__(self, monkeypatch, routers, readers):
        self.clock: Any = Clock()
        monkeypatch.setattr(table_watch, "now", lambda: self.clock.now)
        self.store: Any = Store(self.clock)
        self.readers = {f"r{n}" for n in range(readers)}
        self.silent = set()
        self.failing_key = ""
        self.seen_at: dict[str, dict[str, float]] = {f"r{n}": {} for n in range(routers)}
        self.confirmed_at = {}
        self.watch_by_name = {name: self._watch(name) for name in self.seen_at}
        for watch in self.watch_by_name.values():
            watch.start()

    def _watch(self, name):
        def on_page(page, away=False):
            for row in page.rows:
                if row.key == self.failing_key:
                    raise RuntimeError("the handler failed")
                self.seen_at[name].setdefault(row.key, self.clock.now)

        return TableWatch(
            self.store,
            self.clock,
            RULES,
            Peers(self, name),
            "t",
            on_page,
            on_page,
            lambda at: self.confirmed_at.__setitem__(name, at),
        )

    def put(self, key):
        """Change a row; return the longest time until a router has the change."""
        changed_at = self.clock.now
        self.store.put(key)
        self.clock.run_until(changed_at + 4.0)
        return max(seen[key] for seen in self.seen_at.values()) - changed_at


class Peers:
    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name

    def is_reader(self):
        return self.name in self.fleet.readers

    def publish(self, news):
        if self.name in self.fleet.silent:
            return
        for name, watch in self.fleet.watch_by_name.items():
            if name != self.name:
                self.fleet.clock.after(LATENCY_S, lambda watch=watch: watch.on_news(news))


def test_store_calls_do_not_grow_with_the_fleet(monkeypatch):
    fleet = Fleet(monkeypatch, routers=60, readers=2)
    fleet.clock.run_until(102.0)
    before = fleet.store.calls
    fleet.clock.run_until(122.0)
    assert fleet.store.calls - before <= 2 * (20 / RULES.long_poll_s + 1)


@pytest.mark.parametrize("silent", [(), ("r0",), ("r0", "r1")], ids=["none", "one", "all"])
def test_changes_are_detected_in_time_if_readers_send_nothing(monkeypatch, silent):
    fleet = Fleet(monkeypatch, routers=6, readers=2)
    fleet.clock.run_until(103.0)
    fleet.silent = set(silent)
    assert max(fleet.put(f"k{n}") for n in range(5)) < 2.0


def test_copies_are_confirmed_often_enough(monkeypatch):
    """Keys are accepted only as long as the configuration was confirmed recently."""
    fleet = Fleet(monkeypatch, routers=6, readers=2)
    for end in range(104, 120):
        fleet.clock.run_until(float(end))
        oldest = min(fleet.confirmed_at.values())
        assert fleet.clock.now - oldest < RULES.max_age_s + 2 * LATENCY_S


def test_all_routers_recover_from_an_outage(monkeypatch):
    fleet = Fleet(monkeypatch, routers=6, readers=2)
    fleet.clock.run_until(103.0)
    fleet.store.is_up = False
    fleet.clock.run_until(113.0)
    fleet.store.is_up = True
    fleet.clock.run_until(114.5)
    assert fleet.put("k") < 2.0
    assert fleet.clock.now - min(fleet.confirmed_at.values()) < RULES.max_age_s + 2 * LATENCY_S


@pytest.mark.parametrize("bound_s", [1.0, 2.0, 3.0, 15.0])
def test_a_change_is_detected_in_time_if_a_response_is_lost(bound_s):
    """Guards against late detection of a change after a lost response.

    A target got a request 2.25 s after it had announced that it leaves; the bound was 2 s.
    """
    assert WatchRules.within(bound_s).max_detection_s < 0.95 * bound_s


@pytest.mark.parametrize("is_reader", [True, False])
@pytest.mark.parametrize("failing", ["a", "b"], ids=["read", "change"])
def test_an_error_in_a_handler_of_rows_does_not_end_a_watch(monkeypatch, is_reader, failing):
    """The watch scheduled its next call after the handler, and so never again."""
    fleet = Fleet(monkeypatch, routers=1, readers=int(is_reader))
    fleet.failing_key = failing
    for key in ("a", "b"):
        fleet.store.put(key)
        with contextlib.suppress(RuntimeError):
            fleet.clock.run_until(fleet.clock.now + 2.0)
    assert fleet.put("c") < 2.0
