"""Watches of one table by several routers without a network: calls and detected changes."""

import contextlib
from types import SimpleNamespace
from typing import Any

import pytest
from parsleyrudder import FeedGapError, FeedPage, Row, TableError, TableNews
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
        self.era = 1
        self.is_up = True
        self.calls = 0
        self.reads = 0
        self.held = []

    def put(self, key):
        self.revision += 1
        self.rows[key] = Row(key, b"", self.revision)
        held, self.held = self.held, []
        for respond in held:
            respond()

    def come_back_from_copy(self, revision):
        """Lose what was written after a revision; the calls that are held fail."""
        self.rows = {key: row for key, row in self.rows.items() if row.revision <= revision}
        self.revision = revision
        self.era += 1
        self.held.clear()

    def read(self, table, done):
        self.reads += 1
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
        era = self.era

        def respond():
            nonlocal is_done
            if not is_done:
                is_done = True
                if self.era != era:
                    done(TableError("connection lost", "wait"))
                    return
                if after > self.revision:
                    done(FeedGapError("gap", "read the whole table"))
                    return
                rows = [row for row in self.rows.values() if row.revision > after]
                page = FeedPage(rows, {}, self.revision, self.clock.now - 50.0, self.era)
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
        self.restored: list[str] = []
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
            lambda: self.restored.append(name),
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


@pytest.mark.parametrize("lost", [1, 2, 3])
@pytest.mark.parametrize("silent", [(), ("r0", "r1")], ids=["news", "no-news"])
def test_a_revision_that_is_given_out_twice_hides_no_change(monkeypatch, lost, silent):
    """Routers ran requests with a revoked key for good after the store came back from a copy."""
    fleet = Fleet(monkeypatch, routers=6, readers=2)
    for key in ("a", "b", "c"):
        fleet.put(key)
    fleet.silent = set(silent)
    reads_before = fleet.store.reads
    fleet.store.come_back_from_copy(fleet.store.revision - lost)
    for number in range(lost - 1):
        fleet.store.put(f"other-{number}")
    assert fleet.put("changed") < 2.0
    assert sorted(fleet.restored) == sorted(fleet.watch_by_name)
    assert fleet.store.reads - reads_before == 6


def test_a_store_that_comes_back_from_a_copy_twice_is_followed(monkeypatch):
    fleet = Fleet(monkeypatch, routers=6, readers=2)
    for key in ("a", "b", "c"):
        fleet.put(key)
    for number in range(2):
        fleet.store.come_back_from_copy(2)
        fleet.clock.run_until(fleet.clock.now + 0.3)
        assert fleet.put(f"changed-{number}") < 2.0
    assert len(fleet.restored) == 2 * 6


@pytest.mark.parametrize("name", ["r0", "r5"], ids=["reader", "follower"])
def test_a_copy_is_confirmed_when_it_is_needed(monkeypatch, name):
    """The call that waits for a change was sent too early to show what there is now."""
    fleet = Fleet(monkeypatch, routers=6, readers=2)
    fleet.clock.run_until(103.0)
    fleet.store.held.clear()
    fleet.store.put("k")
    answered: list[bool] = []
    watch = fleet.watch_by_name[name]
    watch.confirm(answered.append)
    fleet.clock.run_until(103.0 + 3 * LATENCY_S)
    assert answered == [True]
    assert watch.confirmed_at >= 103.0
    assert fleet.seen_at[name]["k"] <= fleet.clock.now
    fleet.clock.run_until(103.0 + 6 * LATENCY_S)
    if name in fleet.readers:
        assert all("k" in seen for seen in fleet.seen_at.values())


def test_an_outage_ends_with_the_first_answer_of_the_store(monkeypatch):
    """Guards against the time for which a call without a response delays the next one."""
    fleet = Fleet(monkeypatch, routers=6, readers=2)
    fleet.clock.run_until(103.0)
    watch = fleet.watch_by_name["r5"]
    fleet.store.is_up = False
    fleet.clock.run_until(109.0)
    answered: list[bool] = []
    watch.confirm(answered.append)
    fleet.clock.run_until(110.0)
    assert answered == [False]
    assert watch.is_store_down
    fleet.store.is_up = True
    fleet.store.put("k")
    watch.confirm(answered.append)
    fleet.clock.run_until(110.0 + 3 * LATENCY_S)
    assert answered == [False, True]
    assert "k" in fleet.seen_at["r5"]
    assert not watch.is_store_down


class Calls:
    """A store that answers when a test says so, and the watch of one router."""

    def __init__(self, monkeypatch):
        self.reads: list[Any] = []
        self.changes_calls: list[Any] = []
        self.applied: list[int] = []
        self.confirmed: list[bool] = []
        now_s = iter(range(100, 200))
        monkeypatch.setattr(table_watch, "now", lambda: float(next(now_s)))
        feed: Any = SimpleNamespace(
            read=lambda table, done: self.reads.append(done),
            changes=lambda table, after, wait_s, done: self.changes_calls.append(done),
        )
        timer = SimpleNamespace(cancel=lambda: None)
        timers: Any = SimpleNamespace(after=lambda delay_s, callback: timer)
        peers: Any = SimpleNamespace(is_reader=lambda: False)
        self.watch = TableWatch(
            feed,
            timers,
            RULES,
            peers,
            "t",
            lambda page, away: self.applied.append(page.revision),
            lambda page: None,
        )
        self.watch.start()

    def confirm(self):
        self.watch.confirm(self.confirmed.append)


def page_of(revision, era=0):
    return FeedPage([], {}, revision, float(revision), era)


def test_a_read_that_arrives_late_reverts_nothing(monkeypatch):
    """Two reads were under way at the end of an outage, and the older one came last."""
    calls = Calls(monkeypatch)
    calls.confirm()
    calls.reads[1](page_of(7))
    calls.reads[0](page_of(6))
    assert calls.applied == [7]
    assert calls.confirmed == [True]


def test_a_confirmation_that_the_copy_did_not_get_is_not_reported(monkeypatch):
    """An inquiry waited for it in vain."""
    calls = Calls(monkeypatch)
    calls.reads[0](page_of(5))
    calls.confirm()
    calls.watch.on_news(TableNews("t", 5, 6, 6.0, True, (), {}))
    calls.changes_calls[0](page_of(5))
    assert calls.confirmed == [False]
    calls.confirm()
    calls.changes_calls[1](page_of(6))
    assert calls.confirmed == [False, True]


def test_a_late_confirmation_does_not_end_an_outage(monkeypatch):
    """Entries that had lapsed in the outage were taken for removals, as no full read followed."""
    calls = Calls(monkeypatch)
    calls.reads[0](page_of(5))
    calls.confirm()
    calls.watch._call_store()
    calls.changes_calls[1](TableError("the store is away", "wait"))
    calls.changes_calls[0](page_of(6))
    assert calls.confirmed == [False]
    assert calls.watch.is_store_down


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


def test_rows_whose_handler_failed_do_not_count_as_confirmed(monkeypatch):
    """A version was inferred from targets that had been read but not adopted."""
    fleet = Fleet(monkeypatch, routers=1, readers=1)
    fleet.failing_key = "a"
    fleet.clock.run_until(fleet.clock.now + 1.0)
    [watch] = fleet.watch_by_name.values()
    confirmed_at = watch.confirmed_at
    fleet.store.put("a")
    with pytest.raises(RuntimeError):
        fleet.clock.run_until(fleet.clock.now + 2.0)
    assert watch.confirmed_at == confirmed_at


def test_a_confirmation_after_the_store_came_back_from_a_copy_reads_the_table(monkeypatch):
    """Changes since a revision of the earlier copy do not show what there is now."""
    calls = Calls(monkeypatch)
    calls.reads[0](page_of(5))
    calls.confirm()
    calls.changes_calls[0](page_of(6, era=1))
    calls.reads[1](page_of(6, era=1))
    assert calls.confirmed == [True]
    assert calls.applied == [5, 6]
    calls.confirm()
    calls.changes_calls[1](page_of(9))
    assert calls.confirmed == [True, False]
