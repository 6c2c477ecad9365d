"""When the next event of a stream is due that a caller resumes, without a network."""

import random
from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import pytest
from parsleyrudder import LoadShedder, RequestSize, Route, RouteKind, StreamStart
from parsleyrudder_daemon.metrics import Metrics
from parsleyrudder_daemon.relay import api as relay_api
from parsleyrudder_daemon.relay.api import RelayApi
from parsleyrudder_daemon.relay.dialect import DecodedRequest
from parsleyrudder_daemon.relay.silence import RESUMPTION_WAIT_S

NOW = 100.0
START = StreamStart(b"key", "p", "v1")
ROUTE = Route(
    "r",
    "h",
    "/",
    RouteKind.STREAM,
    15.0,
    {"p": 1.0},
    target_latency_s=0.8,
    target_event_interval_s=0.4,
    is_public=True,
    is_resumable=True,
)


def relayed(monkeypatch, requests):
    """Return what is submitted for admission, in order."""
    submitted: list[Any] = []

    class Call:
        def __init__(self, *args):
            self.waiting_request = args[6]
            self.id = self.waiting_request.id

        def begin(self):
            submitted.append(self.waiting_request)

    monkeypatch.setattr(relay_api, "RelayCall", Call)
    monkeypatch.setattr(relay_api, "now", lambda: NOW)
    route_by_host = {"h": ROUTE, "shortened": replace(ROUTE, timeout_s=10.0)}
    config = SimpleNamespace(find_route=lambda host, path: route_by_host[host], requires_keys=False)
    context: Any = SimpleNamespace(
        is_stopping=False,
        dialect=SimpleNamespace(decode_request=lambda request: request.decoded),
        active_config=SimpleNamespace(config=config),
        load_shedder=LoadShedder(),
        metrics=Metrics(),
    )
    origins: Any = SimpleNamespace(
        find=lambda resumes, pool, callback: callback(START), knows=lambda resumes: resumes == "a"
    )
    api = RelayApi(context, origins, random.Random(1), lambda: None)
    monkeypatch.setattr(api.pools, "get", lambda name: SimpleNamespace(name=name))
    for decoded in requests:
        received = SimpleNamespace(decoded=decoded, method="POST", target="/", body=b"")
        exchange: Any = SimpleNamespace(request=received, is_gone=lambda: False)
        api.on_request(exchange)
    return submitted


@pytest.mark.parametrize(
    ("last_event_id", "due_in_s", "wait_s", "version"),
    [
        pytest.param(None, 0.8 - 3.0, None, None, id="a-retry-is-due-since-the-first-attempt"),
        pytest.param(7, 0.4, RESUMPTION_WAIT_S, "v1", id="a-resumption-is-due-within-a-pause"),
    ],
)
def test_a_resumed_stream_is_not_overdue_from_the_start(
    monkeypatch, last_event_id, due_in_s, wait_s, version
):
    """It was refused at once unless a target was free, as its first event had been due long ago."""
    first = DecodedRequest("a", "h", "/", "", 15.0, RequestSize())
    again = DecodedRequest("b", "h", "/", "", 12.0, RequestSize(), last_event_id, "a")
    _, submitted = relayed(monkeypatch, [first, again])
    assert submitted.response_due_at == pytest.approx(NOW + due_in_s)
    assert submitted.resume_by == (NOW + wait_s if wait_s else None)
    assert submitted.was_admitted == (version is not None)
    assert submitted.required_version == version


@pytest.mark.parametrize(
    ("timeout_s", "host"), [(16.0, "h"), (1e9, "h"), (15.0, "shortened"), (1e9, "shortened")]
)
def test_a_caller_with_a_very_long_timeout_does_not_make_later_requests_overdue(
    monkeypatch, timeout_s, host
):
    """All later requests of the route counted as retries of a caller that had waited for long."""
    patient = DecodedRequest("a", "h", "/", "", timeout_s, RequestSize())
    other = DecodedRequest("b", host, "/", "", 15.0, RequestSize())
    _, submitted = relayed(monkeypatch, [patient, other])
    assert submitted.response_due_at == pytest.approx(NOW + 0.8)


def test_a_stream_that_no_router_knows_does_not_count_as_admitted(monkeypatch):
    """Any request could claim the place of a stream that was admitted, by an invented id."""
    invented = DecodedRequest("b", "h", "/", "", 12.0, RequestSize(), 7, "invented")
    [submitted] = relayed(monkeypatch, [invented])
    assert submitted.resumes_stream
    assert not submitted.was_admitted
