"""Requests at a router whose event loop is overloaded, without a network."""

import random
from types import SimpleNamespace
from typing import Any

import pytest
from parsleyrudder import LoadShedder, Organisation, RequestSize, Route, RouteKind
from parsleyrudder_daemon.metrics import Metrics
from parsleyrudder_daemon.relay import api as relay_api
from parsleyrudder_daemon.relay.api import RelayApi
from parsleyrudder_daemon.relay.dialect import DecodedRequest

ROUTE = Route("r", "h", "/", RouteKind.SAFE, 1.0, {"p": 1.0})
ORGANISATION_BY_KEY = {f"key-{name}": Organisation(name, ()) for name in ("large", "small")}


class Dialect:
    """Decodes a request by its key, and records the keys of the refused ones."""

    def __init__(self):
        self.refusals = []

    def decode_request(self, request):
        return DecodedRequest("id", "h", "/", request.key, None, RequestSize(), None)

    def refuse(self, exchange, refusal):
        self.refusals.append((exchange.request.key, refusal))


def make_api(monkeypatch, shedder):
    config = SimpleNamespace(
        version=1,
        find_route=lambda host, path: ROUTE,
        requires_keys=True,
        organisation_by_key=ORGANISATION_BY_KEY,
    )
    active_config = SimpleNamespace(
        config=config, may_use_keys=lambda now: True, age_s=lambda now: 0.0
    )
    dialect = Dialect()
    context: Any = SimpleNamespace(
        is_stopping=False,
        dialect=dialect,
        active_config=active_config,
        load_shedder=shedder,
        metrics=Metrics(),
    )
    origins: Any = SimpleNamespace()
    begun: list[str] = []

    class Call:
        def __init__(self, *args):
            self.id = str(len(begun))

        def begin(self):
            begun.append(self.id)

    monkeypatch.setattr(relay_api, "RelayCall", Call)
    api = RelayApi(context, origins, random.Random(1), lambda: None)
    monkeypatch.setattr(api.pools, "get", lambda name: SimpleNamespace(name=name))
    return api, dialect, begun


@pytest.mark.parametrize(("turn_s", "refused"), [(0.001, set()), (0.3, {"key-large"})])
def test_overloaded_router_refuses_the_largest_organisation_at_once(monkeypatch, turn_s, refused):
    """Guards against requests that wait at an overloaded router until their callers leave."""
    shedder = LoadShedder()
    api, dialect, begun = make_api(monkeypatch, shedder)
    for turn in range(20):
        for key in ["key-large"] * 100 + ["key-small"]:
            request = SimpleNamespace(key=key, method="GET", target="/", body=b"")
            api.on_request(SimpleNamespace(request=request))
        shedder.record_turn(turn_s, 0.3 * (turn + 1))
    assert {key for key, _ in dialect.refusals} == refused
    assert len(begun) + len(dialect.refusals) == 20 * 101
    for _, refusal in dialect.refusals:
        assert refusal.kind.code == "overloaded"
        assert 0.5 <= refusal.retry_after_s <= 1.5
