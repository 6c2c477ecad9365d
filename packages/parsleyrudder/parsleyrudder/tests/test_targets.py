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
    directory = TargetDirectory(rewrite_s=2.0)
    directory.put(target(leaving=leaving))
    directory.replace_all([], after_outage, now=0.0)
    directory.expire(at)
    assert bool(directory.by_id) is listed


def test_restored_entry_does_not_expire():
    directory = TargetDirectory(rewrite_s=2.0)
    directory.put(target())
    directory.replace_all([], True, now=0.0)
    directory.put(target())
    directory.expire(5.0)
    assert "t" in directory.by_id


def test_second_read_after_an_outage_does_not_extend_the_retention():
    directory = TargetDirectory(rewrite_s=2.0)
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


@pytest.mark.parametrize(
    ("is_restored", "born", "is_leaving"),
    [(True, 1, True), (True, 2, False), (False, 1, False)],
)
def test_an_older_copy_of_the_store_does_not_bring_back_a_leaving_target(
    is_restored, born, is_leaving
):
    """The copy was made before the target wrote that it leaves; it got new requests again."""
    directory = TargetDirectory()
    directory.put(target(leaving=True))
    if is_restored:
        directory.expect_older_entries(now=0.0)
    directory.replace_all([target(born=born)], True, now=0.0)
    assert directory.by_id["t"].is_leaving is is_leaving


def restored(at=12.0):
    """Return a directory whose target's entry was removed before the store lost this."""
    directory = TargetDirectory(rewrite_s=2.0, removal_memory_s=30.0)
    directory.put(target())
    directory.remove("t", now=10.0)
    directory.expire(at)
    directory.expect_older_entries(at)
    return directory


def test_an_older_copy_of_the_store_does_not_bring_back_a_removed_target():
    """The copy was made before the entry was removed; a target that had left got requests."""
    directory = restored()
    for at in (12.0, 13.0):
        directory.replace_all([target()], True, now=at)
        assert directory.by_id == {}
    # The entry is still there when all targets have written theirs again, so the target lives.
    directory.expire(14.0)
    assert list(directory.by_id) == ["t"]


def test_an_entry_that_was_written_anew_in_an_outage_is_taken_at_once():
    directory = TargetDirectory()
    directory.put(target())
    directory.remove("t", now=10.0)
    directory.replace_all([target()], True, now=12.0)
    assert list(directory.by_id) == ["t"]


@pytest.mark.parametrize(("born", "at"), [(2, 12.0), (1, 40.0)], ids=["restarted", "long-ago"])
def test_an_older_entry_that_was_not_removed_lately_is_taken_at_once(born, at):
    directory = restored(at)
    directory.replace_all([target(born=born)], True, now=at)
    assert list(directory.by_id) == ["t"]


@pytest.mark.parametrize("is_written", [True, False], ids=["written", "removed"])
def test_what_a_target_writes_goes_before_an_older_copy(is_written):
    directory = restored()
    directory.replace_all([target()], True, now=12.0)
    if is_written:
        directory.put(target())
    else:
        directory.remove("t", now=12.5)
    directory.expire(12.5)
    assert list(directory.by_id) == (["t"] if is_written else [])
    directory.expire(20.0)
    assert list(directory.by_id) == (["t"] if is_written else [])


def test_a_withheld_target_that_a_later_read_lacks_is_gone():
    directory = restored()
    directory.replace_all([target()], True, now=12.0)
    directory.replace_all([], False, now=15.0)
    assert directory.by_id == {}
