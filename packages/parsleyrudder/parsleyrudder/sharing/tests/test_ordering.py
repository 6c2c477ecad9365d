"""Tests of the allocation of slots to members and routers."""

import pytest
from parsleyrudder import Claim, allocate, split_between_routers


@pytest.mark.parametrize(
    ("claims", "slots", "expected"),
    [
        ([("a", 0, 1, 9), ("b", 0, 1, 9)], 8, {"a": 4, "b": 4}),
        ([("a", 0, 1, 9), ("b", 0, 3, 9)], 8, {"a": 2, "b": 6}),
        ([("a", 0, 1, 1), ("b", 0, 1, 9)], 8, {"a": 1, "b": 7}),
        ([("a", 30, 1, 9), ("b", 0, 1, 9)], 5, {"a": 1, "b": 4}),
        ([("a", 0, 1, 0), ("b", 0, 1, 2)], 5, {"b": 2}),
        ([], 5, {}),
    ],
)
def test_slots_follow_share_and_lag(claims, slots, expected):
    assert allocate([Claim(*claim) for claim in claims], slots, 10.0) == expected


@pytest.mark.parametrize(
    ("count", "running", "waiting", "expected"),
    [
        (2, {"r1": 4}, {"r2": 4}, {"r1": 1, "r2": 1}),
        (4, {"r1": 4}, {"r1": 90, "r2": 1}, {"r1": 3, "r2": 1}),
        (1, {}, {"r1": 2, "r2": 3}, {"r2": 1}),
        (6, {"r1": 4}, {"r2": 4}, {"r1": 4, "r2": 2}),
        (9, {"r1": 1}, {"r2": 2}, {"r1": 1, "r2": 2}),
        (3, {}, {"r1": 1, "r2": 1, "r3": 1}, {"r1": 1, "r2": 1, "r3": 1}),
    ],
)
def test_running_calls_keep_their_slots_unless_a_router_has_none(count, running, waiting, expected):
    """Guards against starving calls at a router with a short queue."""
    assert split_between_routers(count, running, waiting) == expected
