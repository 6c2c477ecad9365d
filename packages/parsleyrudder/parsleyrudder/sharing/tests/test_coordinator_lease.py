"""Tests of the coordinator lease: no two coordinators of a pool may grant at the same time."""

import msgspec
import parsleyrudder as pr
import pytest


class Table:
    """A table with one lease row; ``apply`` runs a transaction immediately."""

    def __init__(self):
        self.rows = []
        self.revision = 0

    def apply(self, txn):
        current = self.rows[0].revision if self.rows else 0
        held = all(compare.revision == current for compare in txn.compares)
        if held and txn.puts:
            self.revision += 1
            self.rows = [pr.Row(txn.puts[0].key, txn.puts[0].value, self.revision)]
        return pr.TxnResult(held, self.revision, [list(self.rows)])


def step(lease, table, now, view="abc", candidate=True, answered=True):
    txn = lease.next_txn(now, candidate, view)
    result = table.apply(txn)
    if answered:
        lease.on_result(txn, result, now, now)
    return result


def lease_holder_and_successor():
    """Return a holder (view a, b, c) that cannot reach the table, and b, which took its lease."""
    table = Table()
    a, b = (pr.CoordinatorLease("p", name, 1) for name in "ab")
    step(a, table, 0.0, "a")
    assert a.may_grant(0.1)
    step(a, table, 1.0)
    step(b, table, 1.0, candidate=False)
    step(b, table, 9.0)
    assert b.is_holder()
    return a, b


def test_successor_acts_only_when_a_majority_of_the_old_view_follows():
    _, b = lease_holder_and_successor()
    b.on_report("b", b.epoch, 0, True)
    assert not b.may_grant(9.1)
    b.on_report("c", b.epoch - 1, 0, True)
    assert not b.may_grant(9.1), "a report of the old epoch does not count as support"
    b.on_report("c", b.epoch, 0, True)
    assert b.may_grant(9.1)


def test_successor_repeats_the_old_view_until_it_acts():
    """Guards against a third coordinator that needs a majority of the second one's view only."""
    _, b = lease_holder_and_successor()
    assert b.record.view == ("a", "b", "c")


@pytest.mark.parametrize(("until", "may_grant"), [(21.9, True), (22.1, False)])
def test_promise_counts_from_the_sending_of_the_grant(until, may_grant):
    """Guards against a late report that extends the right to grant beyond the promise."""
    a, _ = lease_holder_and_successor()
    for name in "ac":
        a.on_granted(name, 7, 20.0)
        a.on_report(name, a.epoch, 7, False)
    assert a.may_grant(until) is may_grant


def test_promise_binds_its_sender_longer_than_the_holder_relies_on_it():
    sender = pr.CoordinatorLease("p", "c", 1)
    assert sender.follow(1, "a", 20.01)
    sender.promise()
    assert not sender.follow(2, "b", 22.4)
    assert not sender.may_follow(22.4)
    assert sender.follow(2, "b", 22.6)


def test_new_process_follows_nobody_while_an_old_promise_may_bind():
    assert not pr.CoordinatorLease("p", "c", 2, started_at=10.0).may_follow(12.0)


def test_unconfirmed_renewal_needs_both_majorities():
    """Guards against an unconfirmed renewal that left another view in the table."""
    table = Table()
    a = pr.CoordinatorLease("p", "a", 1)
    step(a, table, 0.0, "a")
    assert a.is_acting()
    step(a, table, 1.0, "abc")
    step(a, table, 2.0, "abcde", answered=False)
    assert msgspec.json.decode(table.rows[0].value, type=pr.LeaseRecord).view == tuple("abcde")
    for name in "ab":
        a.on_granted(name, 1, 9.0)
        a.on_report(name, a.epoch, 1, False)
    assert not a.may_grant(9.5)
    assert not a.may_grant_to("d")
    a.on_granted("c", 1, 9.0)
    a.on_report("c", a.epoch, 1, False)
    assert a.may_grant(9.5)
