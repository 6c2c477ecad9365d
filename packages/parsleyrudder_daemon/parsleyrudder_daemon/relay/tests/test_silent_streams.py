"""Streams whose target falls silent, without a network: when another target gets them."""

from types import SimpleNamespace
from typing import Any

import pytest
from parsleyrudder import (
    AdmissionRules,
    CrashSuspects,
    FleetRetryBudget,
    FleetRetryLimits,
    LongPromptTargets,
    PoolAdmission,
    PromptCacheIndex,
    PromptPart,
    RequestSize,
    Route,
    RouteKind,
    Target,
    TargetDirectory,
    TargetLoads,
    UsageLedger,
    WaitingRequest,
)
from parsleyrudder_daemon.metrics import Metrics
from parsleyrudder_daemon.relay import ResponseHead, relay_call
from parsleyrudder_daemon.relay.relay_call import RelayCall
from parsleyrudder_daemon.relay.send_listeners import LoadListener

TOKENS_PER_S = 10_000.0
# Its prefill takes 0.5 s, longer than the pause that the route allows between two events.
SIZE = RequestSize((PromptPart("p1", 5_000),), 5_000, 100)
ROUTE = Route(
    "r", "h", "/", RouteKind.STREAM, 20.0, {"p": 1.0}, 1.0, 0.4, max_attempts=3, is_resumable=True
)
SILENT, OTHER = (Target(f"t{n}", "p", f"10.0.0.{n}:1", "a", 8, version="v1") for n in (1, 2))


class Caller:
    """Records whether its response was cut."""

    def __init__(self):
        self.request = SimpleNamespace(method="POST", target="/", body=b"", headers={})
        self.on_gone = None
        self.is_cut = False

    def is_gone(self):
        return False

    def start_stream(self, status, headers):
        pass

    def write(self, data):
        pass

    def buffered_bytes(self):
        return 0

    def abort(self):
        self.is_cut = True


class Client:
    """Records the addresses of the sends and their listeners."""

    def __init__(self):
        self.addresses = []
        self.attempts = []

    def send(self, address, request, attempt):
        self.addresses.append(address)
        self.attempts.append(attempt)
        return SimpleNamespace(sent=True, cancel=lambda: None)


class Timers:
    """Calls the callbacks that are due."""

    def __init__(self, clock):
        self.clock = clock
        self.entries: list[Any] = []

    def after(self, delay_s, callback):
        entry = SimpleNamespace(at=self.clock.now + delay_s, call=callback, is_pending=True)
        self.entries.append(entry)
        return SimpleNamespace(cancel=lambda: setattr(entry, "is_pending", False))

    def run_until(self, at):
        while due := [e for e in self.entries if e.is_pending and e.at <= at]:
            entry = min(due, key=lambda entry: entry.at)
            entry.is_pending = False
            self.clock.now = max(self.clock.now, entry.at)
            entry.call()
        self.clock.now = at


class Scene:
    """A stream that has begun at the first of two targets, which then falls silent.

    :param pending_tokens: tokens that the other target has to prefill for other requests.
    """

    def __init__(self, monkeypatch, pending_tokens):
        self.now = 100.0
        monkeypatch.setattr(relay_call, "now", lambda: self.now)
        self.client, self.timers, self.caller = Client(), Timers(self), Caller()
        self.loads = TargetLoads(prior_prefill_tokens_per_s=TOKENS_PER_S)
        self.loads.record_sent(OTHER.id, "before", 4_000, self.now)
        self.begin_stream()
        self.loads.record_end(OTHER.id, "before")
        self.loads.record_sent(OTHER.id, "beside", pending_tokens, self.now)

    def begin(self, **fields):
        """Begin a request at the first target."""
        waiting = WaitingRequest(
            "1", "org", SIZE, self.now, self.now + 1.0, self.now + 20.0, **fields
        )
        request: Any = SimpleNamespace(id="q", last_event_id=None, resumes=None)
        pools: Any = SimpleNamespace(ensure_polling=lambda: None)
        caller: Any = self.caller
        RelayCall(
            self.context(), pools, self.pool(), caller, request, ROUTE, waiting, lambda call: None
        ).begin()
        return waiting

    def begin_stream(self):
        self.begin()
        [attempt] = self.client.attempts
        attempt.on_head(200, [])
        attempt.on_data(b"id: 0\ndata: x\n\n")

    def context(self) -> Any:
        targets = TargetDirectory()
        for target in (SILENT, OTHER):
            targets.put(target)
        head = ResponseHead(200, False, True, [])
        return SimpleNamespace(
            client=self.client,
            timers=self.timers,
            targets=targets,
            crash_suspects=CrashSuspects(),
            metrics=Metrics(),
            router_count=lambda: 1,
            dialect=SimpleNamespace(
                headers_for_target=lambda caller, attempt: [],
                decode_response=lambda status, headers: head,
            ),
        )

    def pool(self) -> Any:
        admission = PoolAdmission(
            AdmissionRules(max_prefill_wait_s=0.7),
            self.loads,
            UsageLedger(),
            PromptCacheIndex(),
            LongPromptTargets(),
        )
        admission.set_targets([SILENT, OTHER])
        return SimpleNamespace(
            name="p",
            admission=admission,
            retry_budget=FleetRetryBudget(FleetRetryLimits(1.0, 10.0, 1000.0), 0.0),
            send_listeners=(LoadListener(self.loads),),
        )


@pytest.mark.parametrize(
    ("pending_tokens", "addresses"),
    [
        pytest.param(0, [SILENT.address, OTHER.address], id="the other target is free"),
        pytest.param(
            3_000, [SILENT.address, OTHER.address], id="the other target is busy for 0.3 s"
        ),
        pytest.param(
            6_000, [SILENT.address, OTHER.address], id="the other target is busy for 0.6 s"
        ),
        pytest.param(20_000, [SILENT.address], id="the other target is busy for 2 s"),
    ],
)
def test_a_stream_is_not_taken_from_a_silent_target_if_no_other_would_get_it(
    monkeypatch, pending_tokens, addresses
):
    """Another target had room for an overdue request, but none for one due at the next event."""
    scene = Scene(monkeypatch, pending_tokens)
    scene.timers.run_until(scene.now + 2.5)
    assert not scene.caller.is_cut
    assert scene.client.addresses == addresses


def test_a_resumption_whose_target_breaks_off_before_an_event_waits_anew(monkeypatch):
    """The time until which it could wait had passed while its target was at work."""
    scene = Scene(monkeypatch, 0)
    waiting = scene.begin(resume_by=scene.now + 1.5, required_version="v1")
    scene.now += 1.6
    scene.client.attempts[-1].on_failed(True, "reset")
    assert waiting.resume_by == pytest.approx(scene.now + 1.5)
