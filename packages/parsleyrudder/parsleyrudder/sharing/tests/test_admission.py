"""Tests of admission at routers: rates, deadlines, times before retries, reserve, releases."""

import pytest
from parsleyrudder import (
    CostEstimator,
    DurationEstimator,
    Grant,
    PoolScheduler,
    SchedulerRules,
    WaitingCall,
)

from .driver import SimulatedFleet, config_of

WINDOWS = {"s0": 50, "s1": 50}


def flood(
    fleet: SimulatedFleet, routers: list[str], gap_s: float, cost: float = 1.0
) -> dict[str, int]:
    """Submit a call of member a at each router every ``gap_s``; return the counts by result."""
    counts = {"admitted": 0, "refused": 0}

    def submit_all() -> None:
        for router in routers:
            refused = fleet.submit(router, "a", cost)
            counts["refused" if refused else "admitted"] += 1
        fleet.schedule(fleet.now + gap_s, submit_all)

    fleet.schedule(fleet.now + 0.5, submit_all)
    return counts


@pytest.mark.parametrize("loss", [0.0, 0.1])
@pytest.mark.parametrize("rate", [8.0, 40.0])
def test_request_rate_overshoot_is_bounded_and_compensated(rate, loss):
    """Guards against routers that each spend the whole burst, and against double counting.

    The bound is routers x rate x age of reports, but at least one call per router. Lost messages
    increase the age of reports.
    """
    fleet = SimulatedFleet(8, WINDOWS, {"a": 1}, requests_per_s=rate, loss=loss)
    counts = flood(fleet, list(fleet.routers), 0.005)
    age_s = 0.11 if not loss else 1.0
    for end_s in (1.0, 3.0, 12.0):
        fleet.run(0.5 + end_s)
        assert counts["admitted"] <= rate * (1 + end_s) + 8 * max(1.0, rate * age_s)
    assert counts["admitted"] >= 0.9 * rate * 12


def test_full_rate_is_usable_at_one_router():
    """Guards against a router counting its own calls twice once the totals include them."""
    fleet = SimulatedFleet(8, WINDOWS, {"a": 1}, requests_per_s=40)
    counts = flood(fleet, ["r2"], 1 / 38)
    fleet.run(10)
    assert counts["refused"] <= 1


def test_burst_is_shared_with_routers_that_a_member_moves_to():
    """Guards against a full bucket at each router to which a flooding member moves."""
    fleet = SimulatedFleet(8, WINDOWS, {"a": 1}, requests_per_s=40)
    flood(fleet, ["r1"], 0.005)
    fleet.run(5)
    counts = flood(fleet, [f"r{i}" for i in range(2, 9)], 0.005)
    fleet.run(7.5)
    assert counts["admitted"] <= 40 * (2 + 1) + 8 * 40 * 0.11


def test_takeover_does_not_drain_rates_by_old_totals():
    """Guards against counting the first totals of a new coordinator as new use."""
    fleet = SimulatedFleet(4, WINDOWS, {"a": 1}, requests_per_s=40)
    counts = flood(fleet, list(fleet.routers), 4 / 36)
    fleet.schedule(6, lambda: fleet.replace_coordinator(tuple(fleet.routers)))
    fleet.run(12)
    assert counts["refused"] <= 4


def test_cost_rate_holds_in_the_long_run():
    """Guards against a cost rate of all routers above the plan's rate in the long run."""
    fleet = SimulatedFleet(8, WINDOWS, {"a": 1}, cost_per_s=200)
    flood(fleet, list(fleet.routers), 0.05, cost=20)
    fleet.run(30.5)
    assert 0.8 * 200 * 30 <= fleet.served["a"] <= 200 * 31 + 8 * 200 * 0.5


class Router:
    """One scheduler with a fixed number of slots, at times set by the test."""

    def __init__(self, slots: int, reserve: float = 0.0, **limits: float) -> None:
        rules = SchedulerRules(interactive_reserve=reserve)
        self.scheduler = PoolScheduler("r1", 1, "pool", rules, CostEstimator(10.0))
        self.scheduler.set_config(config_of({"a": 1, "b": 1}, **limits))
        self.count = 0
        self.grant(0.0, slots)

    def grant(self, now: float, slots: int, number: int = 1, **fields) -> bool:
        answers = self.scheduler.report(now, True).seq
        values = {"target_slots": slots, "contended": False, "floor": 0.0, "quantum": 10.0} | fields
        concurrency = (("a", 50), ("b", 50))
        grant = Grant(
            "pool", "c", 1, number, answers, 1, 1e9, slots=(("s", slots),), totals=(),
            concurrency=concurrency, **values,
        )  # fmt: skip
        return self.scheduler.on_grant(grant, now)

    def submit(self, now: float, member: str = "a", interactive: bool = True, within: float = 1e6):
        self.count += 1
        call = WaitingCall(
            f"{self.count}", member, "k", interactive, 10.0, now + 1e6, deadline=now + within
        )
        return self.scheduler.submit(call, now)

    def dispatch(self, now: float) -> list[WaitingCall]:
        return self.scheduler.dispatch(now, lambda call, idle: "s")

    def serve(self, now: float, calls: int) -> float:
        """Run calls of 1 s each in sequence; return the time afterwards."""
        for _ in range(calls):
            [call] = self.dispatch(now)
            now += 1.0
            self.scheduler.finish(call, now)
        return now


def test_unreachable_deadline_is_refused_at_submit():
    """Guards against calls that wait only to be refused, and against permanent refusal."""
    router = Router(slots=1)
    for _ in range(10):
        assert router.submit(0.0) is None
    now = router.serve(0.0, 6)
    assert router.submit(now, within=4.5).kind.code == "deadline_unreachable"
    assert router.submit(now, within=6.5) is None
    assert router.submit(now, member="b", within=0.5) is None  # no duration is known for b
    now = router.serve(now, 5)
    assert router.submit(now, within=0.5).kind.code == "deadline_unreachable"
    assert router.submit(now + 60, within=0.5) is None


@pytest.mark.parametrize("step_s", [0.5, 2.0])
def test_retry_after_follows_the_drain_rate(step_s):
    """Guards against retry times that do not depend on the drain rate of the queue."""
    router = Router(slots=1, queue_length=8)
    for _ in range(8):
        router.submit(0.0)
    now = 0.0
    for _ in range(12):
        [call] = router.dispatch(now)
        router.submit(now)
        now += step_s
        router.scheduler.finish(call, now)
    refused = router.submit(now)
    assert refused.kind.code == "queue_full"
    assert refused.retry_after_s == pytest.approx(8 * step_s, rel=0.2)


@pytest.mark.parametrize(("slots", "reserve", "most"), [(10, 0.2, 8), (10, 0.0, 10), (1, 0.9, 1)])
def test_reserve_limits_batch_calls_only(slots, reserve, most):
    """Guards against batch calls that use the reserve, and against starving batch calls."""
    router = Router(slots, reserve)
    for _ in range(20):
        router.submit(0.0, interactive=False)
    assert most - 1 <= len(router.dispatch(0.0)) <= most
    running = router.scheduler.running_total()
    assert running >= 1
    for _ in range(20):
        router.submit(0.1, member="b")
    assert len(router.dispatch(0.1)) == slots - running


def test_slots_above_the_target_are_released_before_they_are_used_again():
    """Guards against a backlogged router that never releases a slot."""
    router = Router(slots=2)
    for _ in range(9):
        router.submit(0.0)
    first, _ = router.dispatch(0.0)
    router.grant(0.1, 2, target_slots=1)
    router.scheduler.finish(first, 0.2)
    assert router.dispatch(0.2) == []
    assert [h.held for h in router.scheduler.slots.holdings()] == [1]


@pytest.mark.parametrize(("silence_s", "kept"), [(0.1, 0), (1.0, 3)])
def test_idle_slots_are_kept_while_no_coordinator_answers(silence_s, kept):
    """Guards against routers that release slots while no coordinator can grant them again."""
    router = Router(slots=3)
    for _ in range(3):
        router.submit(0.0)
    calls = router.dispatch(0.0)
    router.grant(0.0, 3, contended=True)
    for call in calls:
        router.scheduler.finish(call, silence_s)
    router.dispatch(silence_s)
    assert router.scheduler.slots.total_held() == kept


def test_late_repeat_of_a_grant_does_not_undo_a_release():
    """Guards against using slots that the coordinator may have granted to another router."""
    router = Router(slots=4)
    router.grant(0.1, 4, target_slots=1)
    assert router.scheduler.slots.total_held() == 1
    assert router.grant(0.2, 4, number=1, target_slots=4)
    assert router.scheduler.slots.total_held() == 1
    assert router.grant(0.3, 4, number=2, target_slots=4)
    assert not router.grant(0.4, 9, number=1)
    assert router.scheduler.slots.total_held() == 4


@pytest.mark.parametrize("noticed_first", [True, False])
@pytest.mark.parametrize(("pause_s", "expected_s"), [(0.5, 0.6), (5.0, 0.1)])
def test_pause_of_the_process_does_not_affect_expected_durations(
    pause_s, expected_s, noticed_first
):
    """Guards against refusals after a pause, because a call that ran meanwhile seems long.

    The end of that call may be the first event after the pause.
    """
    durations = DurationEstimator()
    durations.learn("a", "chat", 0.1, 0.0)
    for now in (0.5, 1.0, 1.0 + pause_s) if noticed_first else (0.5, 1.0):
        durations.record_heartbeat(now)
    durations.learn("a", "chat", 0.1 + pause_s, 1.05 + pause_s)
    learned = durations.expected_s("a", "chat", 1.1 + pause_s)
    assert learned == pytest.approx(0.1 + 0.2 * (expected_s - 0.1))


@pytest.mark.parametrize(("busy", "expected_s"), [(False, 0.3), (True, 0.0)])
def test_idle_router_has_no_report_due_before_its_next_interval(busy, expected_s):
    """Guards against a timer that fires again immediately while no report is due."""
    scheduler = PoolScheduler("r1", 1, "pool", SchedulerRules(), CostEstimator(1.0))
    scheduler.set_config(config_of({"a": 1.0}))
    scheduler.report(1.0, True)
    if busy:
        scheduler.submit(WaitingCall("c", "a", "chat", True, 1.0, 30.0), 1.1)
    assert scheduler.next_report_in(1.2) == pytest.approx(expected_s, abs=1e-9)
    assert scheduler.report_due(1.2) == busy
