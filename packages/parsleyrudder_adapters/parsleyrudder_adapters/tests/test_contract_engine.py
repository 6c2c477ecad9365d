"""Contract of model engines, checked on the stand-in through the adapter."""

import json
import time

import pytest
from parsleyrudder import BackendError, CompletionStream, EngineRequest, ModelSpec, Order
from parsleyrudder_adapters.engines import HttpEngines
from parsleyrudder_standins.engine import EngineStandIn


class Listener:
    """Parses a stream as a router does, and records its end."""

    def __init__(self, id="call-1", relayed=0):
        self.stream = CompletionStream(id, relayed)
        self.status = 0
        self.headers = {}
        self.tokens = []
        self.events = b""
        self.done = []

    def on_head(self, status, headers):
        self.status, self.headers = status, dict(headers)
        self.stream.begin(self.headers.get("x-resumed-from"))

    def on_data(self, data):
        if self.status == 200:
            part = self.stream.feed(data)
            self.events += part.events
            self.tokens += part.texts

    def on_end(self):
        if self.status == 200:
            self.done.append("whole" if self.stream.done else self.stream.error or "no end mark")
        else:
            self.done.append((self.status, self.headers.get("x-not-run")))

    def on_failed(self, sent, reason):
        self.done.append("broken" if sent else "not sent")


@pytest.fixture
def engine(start_server, client):
    """Return a function that starts an engine and returns its server, stand-in and adapter."""

    def start(window=4, token_s=0.001, fenced=True, load_s=0.0):
        standin = EngineStandIn(window, token_s, fenced, load_s)
        return start_server(standin.handle, standin.report_load()), standin, HttpEngines(client)

    return start


def request(tokens, id="call-1", resume_from=0):
    message = {"role": "user", "content": "hello"}
    body = {"model": "m", "stream": True, "messages": [message]}
    body |= {"max_tokens": tokens, "exact_tokens": True}
    return EngineRequest(id, 1, json.dumps(body).encode(), resume_from)


# Each row: fault, tokens requested, index resumed from, tokens received, end of the stream.
STREAMS: dict[str, tuple] = {
    "whole": (None, 20, 0, range(20), "whole"),
    "resumed": (None, 20, 7, range(7, 20), "whole"),
    "resumed at the end": (None, 20, 20, range(0), "whole"),
    "resume ignored": ({"mode": "up", "ignore_resume": True}, 20, 7, range(7, 20), "whole"),
    "cut at once": ({"mode": "cut", "after": 0}, 20, 0, range(0), "broken"),
    "cut later": ({"mode": "cut", "after": 5}, 20, 0, range(5), "broken"),
    "cut after a resume": ({"mode": "cut", "after": 5}, 20, 7, range(7, 12), "broken"),
    "no end mark": ({"mode": "end", "after": 5}, 20, 0, range(5), "no end mark"),
    "no JSON": (
        {"mode": "garbage"},
        20,
        0,
        range(0),
        "an event is not a valid chat completion chunk",
    ),
    "failed": ({"mode": "fail"}, 20, 0, range(0), (500, None)),
    "refused as not run": ({"mode": "refuse"}, 20, 0, range(0), (503, "true")),
    "no listener": ("stopped", 20, 0, range(0), "not sent"),
}


@pytest.mark.parametrize("name", STREAMS)
def test_stream(loop, engine, name):
    """Guards against lost or repeated tokens, and against misreporting how a stream ended."""
    fault, tokens, resume_from, expected, end = STREAMS[name]
    server, standin, engines = engine()
    if fault == "stopped":
        server.stop_listening()
    elif fault:
        server.set_fault(**fault)
    listener = Listener("c", resume_from)
    loop.call(lambda: engines.complete(server.address, request(tokens, "c", resume_from), listener))
    loop.wait_until(lambda: listener.done)
    assert listener.done == [end]
    assert "".join(listener.tokens) == "".join(f"w{i} " for i in expected)
    assert b"[DONE]" not in listener.events
    assert listener.events.endswith(b"\n\n") or not listener.events
    ran = isinstance(end, str) and end != "not sent"
    assert standin.executions == ({"c": 1} if ran else {})


@pytest.mark.parametrize("mode", ["up", "hang"])
def test_disconnect_cancels_at_the_engine(loop, engine, mode):
    """Guards against work that continues, or events that arrive, after an attempt is cancelled."""
    server, standin, engines = engine(token_s=0.005)
    server.set_fault(mode)
    listener = Listener()
    attempt = loop.call(lambda: engines.complete(server.address, request(100000), listener))
    loop.wait_until(lambda: listener.tokens if mode == "up" else attempt.sent)
    loop.call(attempt.cancel)
    received = len(listener.tokens)
    loop.wait_until(lambda: standin.running == 0)
    assert (len(listener.tokens), listener.done) == (received, [])


def read_load(loop, engines, address):
    results: list = []
    loop.call(lambda: engines.load(address, results.append))
    loop.wait_until(lambda: results)
    return results[0]


def test_load_counts_waiting_requests_and_is_delayed(loop, engine):
    """Guards against treating a load report as current, and against mixing up its fields."""
    server, standin, engines = engine(window=2, token_s=0.01)
    listeners = [Listener(str(i)) for i in range(5)]
    attempts = [
        loop.call(
            lambda i=i, each=each: engines.complete(server.address, request(9999, str(i)), each)
        )
        for i, each in enumerate(listeners)
    ]
    loop.wait_until(lambda: (standin.running, standin.waiting) == (2, 3))
    seen = []

    def settled():
        time.sleep(0.02)
        load = read_load(loop, engines, server.address)
        seen.append((load.running, load.waiting, load.window))
        return seen[-1] == (2, 3, 2)

    loop.wait_until(settled)
    for attempt in attempts:
        loop.call(attempt.cancel)
    loop.wait_until(lambda: standin.running == 0)
    assert read_load(loop, engines, server.address).running == 2
    assert set(seen) <= {(0, 0, 2), (2, 3, 2)}


@pytest.mark.parametrize(("fenced", "accepted"), [(True, [True, True, False]), (False, [True] * 3)])
def test_order_with_an_old_fencing_number(loop, engine, fenced, accepted):
    """Guards against orders of an old coordinator taking effect at engines that check fences."""
    server, standin, engines = engine(fenced=fenced)
    results: list = []
    for fence in (5, 5, 4):
        order = Order("e1", fence, ModelSpec(f"m-{len(results)}"))
        count = len(results) + 1
        loop.call(lambda order=order: engines.order(server.address, order, results.append))
        loop.wait_until(lambda count=count: len(results) == count)
    assert results == accepted
    assert [order["wanted"]["model"] for order in standin.orders] == [
        f"m-{i}" for i, was_accepted in enumerate(accepted) if was_accepted
    ]


def test_state_reports_loading_and_loaded_model(loop, engine):
    """Guards against treating an order as complete while the engine is still loading."""
    server, _, engines = engine(load_s=0.2)
    seen: list = []

    def settled():
        count = len(seen)
        loop.call(lambda: engines.state(server.address, seen.append))
        loop.wait_until(lambda: len(seen) > count)
        return seen[-1].loaded == ModelSpec("m", "2")

    assert not settled()
    loop.call(
        lambda: engines.order(server.address, Order("e", 1, ModelSpec("m", "2")), lambda _: None)
    )
    loop.wait_until(settled)
    assert any(state.loading == ModelSpec("m", "2") for state in seen)
    assert all(state.loaded is None for state in seen[:-1])


def test_cache_events_are_delayed_and_report_what_was_cached(loop, engine):
    """Guards against reading events twice, or reading events of prefixes that were not cached."""
    server, _, engines = engine()
    listener = Listener("c")
    loop.call(lambda: engines.complete(server.address, request(2, "c"), listener))
    loop.wait_until(lambda: listener.done)
    seen: list = []

    def published():
        count = len(seen)
        loop.call(lambda: engines.cache_events(server.address, 0, seen.append))
        loop.wait_until(lambda: len(seen) > count)
        return bool(seen[-1].events)

    loop.wait_until(published)
    count, newest = len(seen), seen[-1].events[-1]
    assert newest.stored
    loop.call(lambda: engines.cache_events(server.address, newest.seq, seen.append))
    loop.wait_until(lambda: len(seen) > count)
    assert not seen[-1].events


def test_load_and_order_without_an_engine_are_errors(loop, engine):
    """Guards against a failed read that raises in the event loop or reports an idle engine."""
    server, _, engines = engine()
    server.stop_listening()
    results: list = []
    loop.call(lambda: engines.load(server.address, results.append))
    loop.call(lambda: engines.order(server.address, Order("e1", 1, ModelSpec("x")), results.append))
    loop.wait_until(lambda: len(results) == 2)
    assert all(isinstance(result, BackendError) and result.remedy for result in results)
