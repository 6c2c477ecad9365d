"""Load shedding, by a model of an event loop: each request takes a fixed time."""

from collections import Counter

import pytest
from parsleyrudder import LoadShedder

# Accepting and reading take a turn each, and callers give up after 1 s.
MAX_TURN_S = 0.5
COST_S = 0.002
REFUSAL_COST_S = 0.0003


def run(shedder, rate_by_organisation, seconds, started_at=0.0, base_s=0.001):
    """Return per organisation the requests handled and refused, and the longest turn of the end.

    Requests that arrive during a turn are handled or refused in the next one.
    """
    handled: Counter[str] = Counter()
    refused: Counter[str] = Counter()
    now, longest = started_at, 0.0
    arrived_until = dict.fromkeys(rate_by_organisation, started_at)
    while now < started_at + seconds:
        turn_s = base_s
        for organisation, rate in rate_by_organisation.items():
            count = int((now - arrived_until[organisation]) * rate)
            arrived_until[organisation] += count / rate
            for _ in range(count):
                admitted = shedder.admits(organisation)
                (handled if admitted else refused)[organisation] += 1
                turn_s += COST_S if admitted else REFUSAL_COST_S
        now += max(turn_s, 0.001)
        shedder.record_turn(turn_s, now)
        if now > started_at + seconds / 2:
            longest = max(longest, turn_s)
    return handled, refused, longest


@pytest.mark.parametrize(
    ("rates", "limited"),
    [
        ({"large": 100.0, "small": 20.0}, set()),
        ({"large": 1000.0, "small": 20.0}, {"large"}),
        ({"large": 1000.0, "other": 900.0, "small": 20.0}, {"large", "other"}),
    ],
)
def test_overloaded_router_answers_in_time_and_limits_only_the_largest(rates, limited):
    """Guards against turns that grow without bound, and against one caller displacing the rest."""
    shedder = LoadShedder()
    handled, refused, longest = run(shedder, rates, 20.0)
    assert set(refused) == limited
    assert handled["small"] >= 0.95 * 20.0 * 20.0
    assert longest <= MAX_TURN_S
    assert shedder.is_overloaded == bool(limited)


def test_processor_stays_busy_while_load_is_shed():
    """Guards against refusing requests that the router could handle."""
    shedder = LoadShedder()
    handled, _, _ = run(shedder, {"large": 1000.0}, 20.0)
    capacity = (1.0 - 1000.0 * REFUSAL_COST_S) / (COST_S - REFUSAL_COST_S)
    assert handled["large"] >= 0.7 * 20.0 * capacity


def test_limit_ends_soon_after_the_overload():
    """Guards against a router that keeps callers away although it could serve them."""
    shedder = LoadShedder()
    run(shedder, {"large": 1000.0}, 5.0)
    _, refused, _ = run(shedder, {"large": 50.0}, 5.0, started_at=5.0)
    assert not shedder.is_overloaded
    _, refused, _ = run(shedder, {"large": 50.0}, 5.0, started_at=10.0)
    assert not refused


def test_single_long_turn_is_no_overload():
    """Guards against refusals after a suspension or the change of a large configuration."""
    shedder = LoadShedder()
    run(shedder, {"a": 50.0}, 2.0)
    shedder.record_turn(4.0, 6.0)
    _, refused, _ = run(shedder, {"a": 50.0}, 2.0, started_at=6.0)
    assert not refused
