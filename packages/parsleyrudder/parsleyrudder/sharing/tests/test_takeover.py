"""Tests that windows of servers hold when routers or coordinators are lost and return."""

import parsleyrudder as pr
import pytest

RULES = pr.PoolRules(max_call_s=30.0)


def report(sender, seq, held, used=0, grant=0, epoch=1, incarnation=1):
    slots = (pr.Holding("s", held, used, used),) if held or used else ()
    return pr.Report(
        pool="p",
        sender=sender,
        incarnation=incarnation,
        seq=seq,
        epoch=epoch,
        applied_grant=grant,
        answered_seq=0,
        table_up=True,
        finished=0,
        finished_cost=0.0,
        slots=slots,
        granted_epoch=1,
    )


def coordinator(expected=(), clean=False):
    result = pr.Coordinator("a", "p", 1, RULES, 0.0, set(expected), clean)
    result.set_servers({"s": 6})
    return result


@pytest.mark.parametrize(
    ("expected", "clean", "free"),
    [("ab", False, 0), ("ab", True, 3), ("abc", True, 0), ("", False, 3)],
)
def test_successor_counts_unknown_slots_as_used(expected, clean, free):
    """A router that failed with the old coordinator may have left calls at the servers."""
    new = coordinator(expected, clean)
    for seq, now in enumerate((1.0, 7.0), 1):
        new.on_report(report("a", seq, 1), now)
        new.on_report(report("b", seq, 2), now)
    assert new.slots.limit_by_name["s"] == 3 + free
    new.on_server_load("s", 1, 10.0)
    new.tick(11.0)
    assert new.slots.limit_by_name["s"] >= 5, "the load report shows all but one slot free"


@pytest.mark.parametrize(
    ("used", "limit"),
    [
        ({0.0: 2, 1.0: 2, 10.4: 2}, 6),
        # Both running calls may be those of a lost router, as those of router a may have ended.
        ({0.0: 2, 1.0: 2, 10.4: 0}, 4),
        ({0.0: 0, 1.0: 0, 9.8: 2, 10.4: 2}, 4),
        # The calls of a router that has stopped reporting may have ended.
        ({0.0: 2, 1.0: 2, 9.8: 2}, 4),
    ],
)
def test_load_report_deducts_only_calls_that_ran_throughout(used, limit):
    new = coordinator("ab")
    new.on_report(report("b", 1, 2), 0.0)
    for seq, (now, count) in enumerate(used.items(), 1):
        new.on_report(report("a", seq, 2, used=count), now)
        new.on_report(report("b", seq + 1, 2), now)
    new.on_server_load("s", 2, 10.0)
    new.tick(10.6)
    assert new.slots.limit_by_name["s"] == limit


def test_returning_router_gets_higher_grant_numbers_and_its_lost_slots():
    """Guards against a lower number, which the router would ignore as that of an old grant."""
    pool = coordinator()
    numbers = [pool.on_report(report("b", seq, 0), seq * 0.1)[0][1].number for seq in (1, 2, 3)]
    pool.tick(10.0)
    grant = pool.on_report(report("b", 4, 0, grant=numbers[-1]), 10.0)[0][1]
    assert grant.number > numbers[-1]
    assert not pool.has_lost_slots()


def test_ended_lease_reports_no_idle_portions():
    """Guards against a returning router that claims slots granted to others meanwhile."""
    scheduler = pr.PoolScheduler("b", 1, "p", pr.SchedulerRules(), pr.CostEstimator(1.0))
    scheduler.slots.apply({"s": 3})
    scheduler.slots.renew(5.0)
    assert scheduler.report(4.9, True).slots
    assert not scheduler.report(5.1, True).slots
