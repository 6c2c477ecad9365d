"""Tests of route matching and of the limits on the age of the active configuration."""

import pytest
from parsleyrudder import ActiveTrafficConfig, Route, RouteKind, TrafficConfig


def route(name, host="a.example", prefix="/", **rest):
    return Route(name, host, prefix, rest.pop("kind", RouteKind.SAFE), 1.0, {"pool": 1}, **rest)


CONFIG = TrafficConfig(
    1,
    (
        route("root"),
        route("long", prefix="/x/y/"),
        route("x", prefix="/x/"),
        route("b", "b.example"),
    ),
    {},
)


@pytest.mark.parametrize(
    ("host", "path", "name"),
    [
        ("a.example", "/x/y/z", "long"),
        ("a.example", "/x/y", "x"),
        ("a.example", "/x", "root"),
        ("b.example", "/x/y/z", "b"),
        ("c.example", "/", None),
    ],
)
def test_longest_prefix_of_the_host_matches(host, path, name):
    found = CONFIG.find_route(host, path)
    assert (found.name if found else None) == name


@pytest.mark.parametrize(
    ("kind", "resumable", "idempotent"),
    [
        (RouteKind.SAFE, False, True),
        (RouteKind.UNSAFE, False, False),
        (RouteKind.UNSAFE, True, False),
        (RouteKind.STREAM, False, False),
        (RouteKind.STREAM, True, True),
    ],
)
def test_only_safe_routes_and_resumable_streams_are_idempotent(kind, resumable, idempotent):
    assert route("r", kind=kind, is_resumable=resumable).is_idempotent is idempotent


@pytest.mark.parametrize(
    ("age_s", "keys", "denials"),
    [(0.0, True, True), (1.0, True, False), (3.9, True, False), (4.0, False, False)],
)
def test_keys_and_denials_are_limited_by_config_age(age_s, keys, denials):
    """A router without updates must neither accept a revoked key nor deny a new route or key."""
    active = ActiveTrafficConfig(max_age_for_keys_s=4.0, max_age_for_denials_s=1.0)
    active.activate(CONFIG)
    active.confirm(100.0)
    assert active.may_use_keys(100.0 + age_s) is keys
    assert active.may_deny(100.0 + age_s) is denials


def test_no_key_or_denial_is_allowed_before_the_first_confirmation():
    active = ActiveTrafficConfig(4.0, 1.0)
    assert not active.may_use_keys(0.0)
    assert not active.may_deny(0.0)


def test_out_of_order_confirmation_does_not_replace_a_later_one():
    active = ActiveTrafficConfig(4.0, 1.0)
    active.confirm(10.0)
    active.confirm(5.0)
    assert active.age_s(11.0) == 1.0
