"""Routers that callers are referred to in large fleets, and the schedule of the row reads."""

import random
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest
from parsleyrudder import (
    FeedPage,
    FleetView,
    Gossip,
    RouterInfo,
    RouterState,
    Row,
    TargetLoads,
    UsageLedger,
)
from parsleyrudder.messages import encode_message
from parsleyrudder_daemon.relay import load_reports, peers_task
from parsleyrudder_daemon.relay.load_reports import LoadReports
from parsleyrudder_daemon.relay.peers_task import PeersTask


class Timers:
    def __init__(self):
        self.pending = []

    def after(self, delay_s, callback):
        timer = SimpleNamespace(callback=callback, delay_s=delay_s)
        timer.cancel = lambda: self.pending.remove(timer)
        self.pending.append(timer)
        return timer


class Store:
    def __init__(self):
        self.puts = 0
        self.rows = []

    def read(self, table, done):
        done(FeedPage(self.rows, {}, 1, 0.0))

    def put(self, table, key, value, done):
        self.puts += 1
        done(True)


def make(monkeypatch, routers, now=100.0):
    monkeypatch.setattr(peers_task, "now", lambda: now)
    monkeypatch.setattr(load_reports, "now", lambda: now)
    view = FleetView(RouterInfo("me", 1, "a", "h:1", "h:2"))
    for number in range(routers - 1):
        view.update_router(RouterInfo(f"r{number}", 1, "a", f"h{number}:1", ""), 1, False, 98.0)
    context: Any = SimpleNamespace(
        active_config=SimpleNamespace(config=None),
        view=view,
        timers=Timers(),
        is_stopping=False,
        settings=SimpleNamespace(name="me"),
        loads=TargetLoads(),
        usage=UsageLedger(),
    )
    store: Any = Store()
    crash_reports: Any = SimpleNamespace()
    reports = LoadReports(context, crash_reports)
    reports.accepts_requests = True
    reports._update_role()
    return PeersTask(context, store, "routers", reports, random.Random(1)), context


@pytest.mark.parametrize(
    ("routers", "silence_s", "expected"),
    [(7, 0.9, 7), (7, 1.1, 1), (200, 1.6, 200), (200, 2.0, 1)],
)
def test_silence_limit_follows_the_time_that_reports_take(
    monkeypatch, routers, silence_s, expected
):
    """Few routers report to each other every 0.1 s, many through aggregators every 0.25 s."""
    task, _ = make(monkeypatch, routers, now=98.0 + silence_s)
    assert len(task.routers_for_callers()) == expected


def test_raising_the_incarnation_leaves_one_scheduled_read(monkeypatch):
    """Each registration schedules a read and must replace the read that was scheduled before."""
    task, context = make(monkeypatch, routers=1)
    for incarnation in (5, 9):
        state = RouterState("me", incarnation, 1, False)
        task._raise_incarnation(Gossip("r", 1, True, False, (state,)))
    assert context.view.own_info.incarnation == 10
    assert len(context.timers.pending) == 1


@pytest.mark.parametrize(
    ("incarnations", "puts"), [({}, 2), ({"me": 1}, 1), ({"me": 0}, 2), ({"r0": 1}, 2)]
)
def test_a_router_registers_again_if_its_row_is_gone(monkeypatch, incarnations, puts):
    """Others remove the row of a router that is silent for a minute, which may only be cut off."""
    task, _ = make(monkeypatch, routers=2)
    rows = [router_row(name, incarnation=number) for name, number in incarnations.items()]
    store: Any = task._feed
    store.rows = rows
    task._register()
    task._read_rows()
    assert store.puts == puts


@pytest.mark.parametrize(
    ("sender", "incarnation", "wants_info", "is_full"),
    [
        ("r0", 1, False, False),
        ("r0", 1, True, True),
        ("r0", 2, False, True),
        ("new", 1, False, True),
    ],
    ids=["known", "asks", "started-again", "unknown"],
)
def test_addresses_are_sent_only_to_routers_that_lack_them(
    monkeypatch, sender, incarnation, wants_info, is_full
):
    """They were in each message, and took most of its bytes."""
    task, _ = make(monkeypatch, routers=70)
    sent: list[Any] = []
    link: Any = SimpleNamespace(
        send=lambda address, message: sent.append(message), disconnect=lambda address: None
    )
    task.link = link
    info = RouterInfo(sender, incarnation, "a", "h:1", "h:2")
    state = RouterState(sender, incarnation, 7, False)
    gossip = Gossip(sender, 1, True, True, (state,), (info,), wants_info=wants_info)
    task.on_message(gossip)
    [reply] = sent
    assert (len(reply.infos) > 1) == is_full
    assert len(encode_message(reply)) < (1100 if is_full else 400)


NESTED = b"\x96\xa1x\x01\xa1a\xa1b\xa1c" + b"\x91" * 5000 + b"\xc0"


def router_row(key="x", **changes):
    info = RouterInfo(key, 1, "a", "10.0.0.1:1", "10.0.0.1:2")
    return Row(key, msgspec.msgpack.encode(msgspec.structs.replace(info, **changes)), 1)


@pytest.mark.parametrize(
    "odd",
    [
        pytest.param(Row("x", NESTED, 1), id="nested"),
        pytest.param(Row("x", b"", 1), id="empty"),
        pytest.param(router_row(name="r0"), id="another-name"),
        pytest.param(router_row(peer_address="10.0.0.1:99999"), id="port"),
        pytest.param(router_row(peer_address="resolved.example:80"), id="name-to-be-resolved"),
        pytest.param(router_row(caller_url="10.0.0.1"), id="no-port"),
        pytest.param(router_row(incarnation=2**63), id="incarnation"),
        pytest.param(router_row(incarnation=-1), id="negative-incarnation"),
    ],
)
def test_an_odd_row_of_a_router_hides_no_other_one(monkeypatch, odd):
    """Callers were referred to its address, and messages to it failed."""
    task, context = make(monkeypatch, routers=1)
    store: Any = task._feed
    store.rows = [odd, router_row("y"), router_row("me")]
    task._register()
    task._read_rows()
    assert [info.name for info in context.view.peers(100.0)] == ["y"]
    assert store.puts == 1


def test_a_row_with_a_later_incarnation_does_not_replace_a_running_router(monkeypatch):
    """Others took its later messages for those of an earlier incarnation, and for silence."""
    task, context = make(monkeypatch, routers=1)
    store: Any = task._feed
    store.rows = [router_row("me", incarnation=7000)]
    task._register()
    task._read_rows()
    assert context.view.own_info.incarnation == 7001
    assert store.puts == 2


def test_a_router_registers_again_after_the_store_came_back_from_a_copy(monkeypatch):
    """Its row was gone until the next regular read, which is tens of seconds later."""
    task, context = make(monkeypatch, routers=2)
    store: Any = task._feed
    task._register()
    store.rows = [router_row("me", incarnation=1)]
    task._read_rows()
    [timer] = context.timers.pending
    assert timer.delay_s >= 16.0
    store.rows, store.puts = [], 0
    task.on_store_restored()
    [timer] = context.timers.pending
    assert timer.delay_s <= 1.2
    timer.callback()
    assert store.puts == 1
