"""Tests that each sharing policy orders calls and divides slots as documented."""

import pytest
from parsleyrudder import (
    POLICY_BY_NAME,
    Config,
    CostEstimator,
    Member,
    MemberReport,
    Plan,
    PoolRules,
    Report,
    SchedulerRules,
    WaitingCall,
)

PLAN = Plan("p", ("pool",), 40, 1e6, 1e9, 1e6, 100, 30.0)
CONFIG = Config(1, {n: Member(n, "p", s, "") for n, s in (("a", 1.0), ("b", 3.0))}, {"p": PLAN})


def scheduler_with_slots(policy, slots):
    rules = SchedulerRules()
    scheduler = POLICY_BY_NAME[policy].scheduler("r1", 1, "pool", rules, CostEstimator(10.0))
    scheduler.set_config(CONFIG)
    scheduler.slots.apply({"s": slots})
    scheduler.slots.renew(100.0)
    scheduler.concurrency.apply({"a": 40, "b": 40})
    scheduler.concurrency.renew(100.0)
    return scheduler


@pytest.mark.parametrize(
    ("policy", "slots", "first"),
    [
        ("fifo", 4, ["a", "a", "a", "a"]),
        ("fair", 4, ["a", "b", "b", "b"]),
        ("local-fair", 4, ["a", "b", "b", "b"]),
        ("static", 4, ["a", "b", "b", "b"]),
        # With a single slot, each member may use it; otherwise it would never be served.
        ("static", 1, ["a"]),
    ],
)
def test_order_of_calls(policy, slots, first):
    scheduler = scheduler_with_slots(policy, slots)
    for index in range(12):
        member = "a" if index < 6 else "b"
        call = WaitingCall(f"c{index}", member, "chat", True, 10.0, 30.0)
        assert scheduler.submit(call, 0.0) is None
    started = scheduler.dispatch(0.0, lambda call, idle: next(iter(idle)))
    assert sorted(call.member for call in started) == first


def test_static_leaves_slots_of_absent_members_idle():
    scheduler = scheduler_with_slots("static", 8)
    for index in range(12):
        scheduler.submit(WaitingCall(f"c{index}", "a", "chat", True, 10.0, 30.0), 0.0)
    assert len(scheduler.dispatch(0.0, lambda call, idle: next(iter(idle)))) == 2


@pytest.mark.parametrize(
    ("policy", "targets"),
    [("fifo", {"r1": 7, "r2": 1}), ("local-fair", {"r1": 4, "r2": 4}), ("static", {"r1": 4})],
)
def test_division_of_slots_between_routers(policy, targets):
    coordinator = POLICY_BY_NAME[policy].coordinator("r1", "pool", 1, PoolRules(), 0.0)
    coordinator.set_servers({"s": 8})
    coordinator.set_members({"a": 0.5, "b": 1.5}, {"a": 40, "b": 40})
    waiting_by_router = {"r1": 14, "r2": 2}
    target_by_router = {}
    for seq in (1, 2):
        for router, waiting in waiting_by_router.items():
            member = MemberReport("a", 0.0, waiting, 0, waiting, 0.0)
            report = Report("pool", router, 1, seq, 1, 0, 0, True, 0, 0.0, (member,))
            for name, grant in coordinator.on_report(report, 0.1 * seq):
                target_by_router[name] = grant.target_slots
    assert targets.items() <= target_by_router.items()
