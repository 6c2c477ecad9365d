"""One request at a router, without a network: which ends of a send are a target's fault."""

from types import SimpleNamespace
from typing import Any

import pytest
from parsleyrudder import (
    FleetRetryBudget,
    FleetRetryLimits,
    Placed,
    RequestSize,
    Route,
    RouteKind,
    Target,
    TargetDirectory,
    TargetLoads,
    WaitingRequest,
)
from parsleyrudder_daemon.metrics import Metrics
from parsleyrudder_daemon.relay import relay_call
from parsleyrudder_daemon.relay.relay_call import RelayCall

NOW = 100.0
TARGET = Target("t0", "p", "10.0.0.1:1", "a", 4)


class Exchange:
    """A caller that leaves after so many questions whether it has left."""

    def __init__(self, questions):
        self.questions = questions
        self.request = SimpleNamespace(method="POST", target="/", body=b"")
        self.on_gone = None

    def is_gone(self):
        self.questions -= 1
        return self.questions < 0


class Client:
    """Connects, asks whether it may send, and reports what came of it."""

    def __init__(self, reason):
        self.reason = reason
        self.sends = 0

    def send(self, address, request, attempt):
        self.sends += 1
        if self.reason == "asked" and request.may_send():
            raise AssertionError("the request was sent")
        attempt.on_failed(False, "not sent")
        return SimpleNamespace(sent=False, cancel=lambda: None)


def begin(monkeypatch, questions, reason):
    """Return the client, the answers to callers, and whom the ends of sends blame."""
    monkeypatch.setattr(relay_call, "now", lambda: NOW)
    timer = SimpleNamespace(cancel=lambda: None)
    targets = TargetDirectory()
    targets.put(TARGET)
    client = Client(reason)
    refused: list[Any] = []
    blamed: list[Any] = []
    context: Any = SimpleNamespace(
        client=client,
        targets=targets,
        loads=TargetLoads(),
        metrics=Metrics(),
        routers=lambda: 1,
        timers=SimpleNamespace(after=lambda delay_s, callback: timer),
        dialect=SimpleNamespace(
            headers_for_target=lambda caller, send: [],
            refuse=lambda exchange, reason: refused.append(reason),
        ),
    )
    waiting = WaitingRequest("1", "org", RequestSize(), NOW, NOW + 1.0, NOW + 5.0)
    admission: Any = SimpleNamespace(
        submit=lambda request, at: Placed(request, TARGET),
        resubmit=lambda request, at: None,
        refund=lambda request, at: None,
        withdraw=lambda id: None,
        retry_after_s=lambda: 1.0,
    )
    pool: Any = SimpleNamespace(
        name="p",
        admission=admission,
        health=SimpleNamespace(record_call_start=lambda id: None),
        budget=FleetRetryBudget(FleetRetryLimits(), NOW),
    )
    pools: Any = SimpleNamespace(
        note_end=lambda pool, target, failed: blamed.append(failed),
        watch_waiting=lambda: None,
    )
    route = Route("r", "h", "/", RouteKind.UNSAFE, 5.0, {"p": 1.0})
    exchange: Any = Exchange(questions)
    request: Any = SimpleNamespace(id="q", last_event_id=None)
    done: list[Any] = []
    RelayCall(context, pools, pool, exchange, request, route, waiting, done.append).begin()
    return client.sends, blamed, bool(done)


@pytest.mark.parametrize(
    ("questions", "reason", "sends", "blamed", "is_done"),
    [
        pytest.param(0, "asked", 0, [], True, id="left-before-it-was-placed"),
        pytest.param(1, "asked", 1, [None], True, id="left-while-connecting"),
        pytest.param(9, "unreachable", 1, [True], False, id="target-unreachable"),
    ],
)
def test_a_target_is_not_blamed_for_a_caller_that_left(
    monkeypatch, questions, reason, sends, blamed, is_done
):
    """Callers that leave a lagging router in numbers must not eject its targets."""
    assert begin(monkeypatch, questions, reason) == (sends, blamed, is_done)
