"""Target entries: leaving targets, outages of the store, new lifetimes."""

import pytest
from parsleyrudder import Target, TargetDirectory


def target(id="t", pool="p", leaving=False, born=1):
    return Target(id, pool, "10.0.0.1:80", "a", 4, born, leaving)


@pytest.mark.parametrize(
    ("after_outage", "leaving", "at", "listed"),
    [
        (False, False, 0.0, False),
        (True, False, 1.9, True),
        (True, False, 2.0, False),
        (True, True, 0.0, False),
    ],
)
def test_missing_entry_is_retained_for_a_limited_time_after_an_outage(
    after_outage, leaving, at, listed
):
    """Entries lapse while the store is down; at other times a missing entry means a removal."""
    directory = TargetDirectory(lapsed_retention_s=2.0)
    directory.put(target(leaving=leaving))
    directory.replace_all([], after_outage, now=0.0)
    directory.expire(at)
    assert bool(directory.by_id) is listed


def test_restored_entry_does_not_expire():
    directory = TargetDirectory(lapsed_retention_s=2.0)
    directory.put(target())
    directory.replace_all([], True, now=0.0)
    directory.put(target())
    directory.expire(5.0)
    assert "t" in directory.by_id


def test_second_read_after_an_outage_does_not_extend_the_retention():
    directory = TargetDirectory(lapsed_retention_s=2.0)
    directory.put(target())
    directory.replace_all([], True, now=0.0)
    directory.replace_all([], True, now=1.5)
    directory.expire(2.0)
    assert not directory.by_id


def test_pool_contains_only_its_own_targets_that_are_not_leaving():
    directory = TargetDirectory()
    for each in (target("b"), target("a"), target("c", pool="q"), target("d", leaving=True)):
        directory.put(each)
    assert [t.id for t in directory.in_pool("p")] == ["a", "b"]


def test_restart_under_the_same_id_starts_a_new_lifetime():
    assert target(born=1).lifetime != target(born=2).lifetime
