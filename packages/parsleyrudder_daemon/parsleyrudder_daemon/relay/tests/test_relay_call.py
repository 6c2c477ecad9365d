"""Relays of one request without a network: which failed attempts count against a target."""

from types import SimpleNamespace
from typing import Any

import pytest
from parsleyrudder import (
    CrashSuspects,
    FleetRetryBudget,
    FleetRetryLimits,
    Placed,
    RequestSize,
    Route,
    RouteKind,
    Target,
    TargetAvailability,
    TargetDirectory,
    TargetLoads,
    TargetRateLimits,
    WaitingRequest,
)
from parsleyrudder_daemon.metrics import Metrics
from parsleyrudder_daemon.relay import relay_call
from parsleyrudder_daemon.relay.relay_call import RelayCall
from parsleyrudder_daemon.relay.send_listeners import HealthListener

NOW = 100.0
TARGET = Target("t0", "p", "10.0.0.1:1", "a", 4)


class Exchange:
    """A caller that has left once ``is_gone`` was called the given number of times."""

    def __init__(self, checks_before_leaving):
        self.checks_before_leaving = checks_before_leaving
        self.request = SimpleNamespace(method="POST", target="/", body=b"")
        self.on_gone = None

    def is_gone(self):
        self.checks_before_leaving -= 1
        return self.checks_before_leaving < 0


class Client:
    """Reports each request as not sent, after it asked ``may_send`` if ``reason`` is "asked"."""

    def __init__(self, reason):
        self.reason = reason
        self.sends = 0

    def send(self, address, request, attempt):
        self.sends += 1
        if self.reason == "asked" and request.may_send():
            raise AssertionError("the request was sent")
        attempt.on_failed(False, "not sent")
        return SimpleNamespace(sent=False, cancel=lambda: None)


def begin(monkeypatch, checks_before_leaving, reason):
    """Relay one request.

    Returns the number of sends, the ``failed`` values recorded for the target, and whether the
    request is finished.
    """
    monkeypatch.setattr(relay_call, "now", lambda: NOW)
    timer = SimpleNamespace(cancel=lambda: None)
    targets = TargetDirectory()
    targets.put(TARGET)
    client = Client(reason)
    refused: list[Any] = []
    recorded_failures: list[Any] = []
    context: Any = SimpleNamespace(
        client=client,
        targets=targets,
        loads=TargetLoads(),
        crash_suspects=CrashSuspects(),
        rate_limits=TargetRateLimits(),
        metrics=Metrics(),
        router_count=lambda: 1,
        timers=SimpleNamespace(after=lambda delay_s, callback: timer),
        dialect=SimpleNamespace(
            headers_for_target=lambda caller, attempt: [],
            refuse=lambda exchange, reason: refused.append(reason),
        ),
    )
    waiting_request = WaitingRequest("1", "org", RequestSize(), NOW, NOW + 1.0, NOW + 5.0)
    health: Any = SimpleNamespace(
        record_call_start=lambda id: None,
        record_call_end=lambda id, failed, at: recorded_failures.append(failed),
    )
    admission: Any = SimpleNamespace(
        submit=lambda request, at: Placed(request, TARGET),
        resubmit=lambda request, at: None,
        refund=lambda request, at: None,
        withdraw=lambda id: None,
        availability=TargetAvailability(),
        retry_after_s=lambda at: 1.0,
    )
    pool: Any = SimpleNamespace(
        name="p",
        admission=admission,
        retry_budget=FleetRetryBudget(FleetRetryLimits(), NOW),
        send_listeners=(HealthListener(health),),
    )
    pools: Any = SimpleNamespace(ensure_polling=lambda: None)
    route = Route("r", "h", "/", RouteKind.UNSAFE, 5.0, {"p": 1.0})
    exchange: Any = Exchange(checks_before_leaving)
    request: Any = SimpleNamespace(id="q", last_event_id=None, resumes=None)
    done: list[Any] = []
    RelayCall(context, pools, pool, exchange, request, route, waiting_request, done.append).begin()
    return client.sends, recorded_failures, bool(done)


@pytest.mark.parametrize(
    ("checks_before_leaving", "reason", "sends", "recorded_failures", "is_done"),
    [
        pytest.param(0, "asked", 0, [], True, id="left-before-it-was-placed"),
        pytest.param(1, "asked", 1, [None], True, id="left-while-connecting"),
        pytest.param(9, "unreachable", 1, [True], False, id="target-unreachable"),
    ],
)
def test_no_failure_is_recorded_for_a_caller_that_left(
    monkeypatch, checks_before_leaving, reason, sends, recorded_failures, is_done
):
    """Guards against the ejection of targets when many callers leave a slow router."""
    assert begin(monkeypatch, checks_before_leaving, reason) == (sends, recorded_failures, is_done)
