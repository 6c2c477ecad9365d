"""Resumed streams whose route has changed its pools since they began, without a network."""

import random
from types import SimpleNamespace
from typing import Any

import pytest
from parsleyrudder import LoadShedder, RequestSize, Route, RouteKind, StreamOrigins, StreamStart
from parsleyrudder_daemon.metrics import Metrics
from parsleyrudder_daemon.relay import api as relay_api
from parsleyrudder_daemon.relay.api import RelayApi
from parsleyrudder_daemon.relay.dialect import DecodedRequest

START = StreamStart(b"key", "began", "v1")


def resumed(monkeypatch, weight_by_pool):
    """Return the pool of a resumed stream and the version that it requires.

    :param weight_by_pool: pools of the route when the stream is resumed.
    """
    relayed: list[Any] = []

    class Call:
        id = "1"

        def __init__(self, *args):
            relayed.append((args[2].name, args[6].required_version))

        def begin(self):
            pass

    monkeypatch.setattr(relay_api, "RelayCall", Call)
    monkeypatch.setattr(relay_api, "now", lambda: 100.0)
    route = Route("r", "h", "/", RouteKind.STREAM, 9.0, weight_by_pool, is_resumable=True)
    config = SimpleNamespace(find_route=lambda host, path: route, requires_keys=False)
    decoded = DecodedRequest("b", "h", "/", "", 9.0, RequestSize(), 7, "a")
    context: Any = SimpleNamespace(
        is_stopping=False,
        dialect=SimpleNamespace(decode_request=lambda request: decoded),
        active_config=SimpleNamespace(config=config),
        load_shedder=LoadShedder(),
        metrics=Metrics(),
    )
    origins: Any = SimpleNamespace(
        find=lambda resumes, pool, callback: callback(START), knows=lambda resumes: True
    )
    api = RelayApi(context, origins, random.Random(1), lambda: None)
    monkeypatch.setattr(api.pools, "get", lambda name: SimpleNamespace(name=name))
    received = SimpleNamespace(method="POST", target="/", body=b"")
    exchange: Any = SimpleNamespace(request=received, is_gone=lambda: False)
    api.on_request(exchange)
    return relayed[0]


@pytest.mark.parametrize(
    ("weight_by_pool", "pool", "version"),
    [
        pytest.param({"began": 1.0}, "began", "v1", id="unchanged"),
        pytest.param({"other": 99.0, "began": 1.0}, "began", "v1", id="split"),
        pytest.param({"other": 1.0}, "other", None, id="moved"),
    ],
)
def test_a_stream_does_not_leave_its_pool_unless_its_route_has(
    monkeypatch, weight_by_pool, pool, version
):
    """Versions of two pools are not comparable, and a split does not move what has begun."""
    assert resumed(monkeypatch, weight_by_pool) == (pool, version)


def test_a_stream_that_has_moved_goes_on_at_the_version_that_took_it_up():
    """With the version of the pool that it left, it could change versions in the new one."""
    origins = StreamOrigins()
    origins.record_own(START, False, 100.0)
    taken_up = StreamStart(b"key", "other", "v2")
    origins.record_own(taken_up, False, 101.0)
    assert origins.find(b"key") == taken_up
