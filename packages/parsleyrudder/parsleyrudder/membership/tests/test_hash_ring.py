"""Which names the keys of a hash ring are assigned to."""

from collections import Counter

import pytest
from parsleyrudder import HashRing

KEYS = [f"key-{number}".encode() for number in range(2000)]


def names(count):
    return [f"router-{number}" for number in range(count)]


@pytest.mark.parametrize(
    ("name_count", "wanted", "expected"), [(1, 2, 1), (2, 2, 2), (7, 8, 7), (1200, 8, 8)]
)
def test_successors_are_distinct_and_do_not_depend_on_the_order_of_names(
    name_count, wanted, expected
):
    ring = HashRing(names(name_count))
    reversed_ring = HashRing(reversed(names(name_count)))
    for key in KEYS[:100]:
        successors = ring.successors(key, wanted)
        assert len(set(successors)) == len(successors) == expected
        assert reversed_ring.successors(key, wanted) == successors


@pytest.mark.parametrize("name_count", [4, 7, 60, 1200])
def test_only_the_keys_of_a_removed_name_move(name_count):
    """Guards against a failed router that makes all others ask the wrong ones."""
    before, after = HashRing(names(name_count)), HashRing(names(name_count)[1:])
    for key in KEYS:
        remaining = [name for name in before.successors(key, 3) if name != "router-0"]
        assert after.successors(key, 3)[:2] == remaining[:2]


@pytest.mark.parametrize(("name_count", "max_ratio"), [(7, 2.5), (60, 3.0)])
def test_no_name_has_many_times_its_part_of_the_keys(name_count, max_ratio):
    ring = HashRing(names(name_count))
    counts = Counter(name for key in KEYS for name in ring.successors(key, 2))
    assert max(counts.values()) <= max_ratio * 2 * len(KEYS) / name_count
