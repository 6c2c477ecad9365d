"""Tests that windows and limits hold under lost messages, restarts, pauses, takeovers and changes.

The simulation checks both at each start of a call.
"""

import os
import random
import subprocess
import sys
from functools import partial

import pytest
from parsleyrudder import (
    Carried,
    Coordinator,
    Holding,
    MemberReport,
    PoolRules,
    Portions,
    Report,
)

from .driver import SimulatedFleet
from .test_fairness import ROUTERS, WINDOWS, gap_bound, keep_backlogged


def backlogged_fleet(seed: int, loss: float, **limits: float) -> SimulatedFleet:
    rng = random.Random(seed)
    fleet = SimulatedFleet(8, WINDOWS, {"a": 1, "b": 1, "c": 1}, seed=seed, loss=loss, **limits)
    for member, routers in (("a", ROUTERS), ("b", ["r1"]), ("c", ["r2", "r7"])):
        keep_backlogged(fleet, member, routers, 30, lambda: 300 * rng.random() + 10)
    return fleet


def refill(fleet: SimulatedFleet, router: str) -> None:
    for _ in range(30):
        fleet.submit(router, "a", 100)


def restart_router(fleet: SimulatedFleet) -> None:
    fleet.start_router("r4")
    refill(fleet, "r4")


def pause_router(fleet: SimulatedFleet) -> None:
    fleet.paused.add("r1")
    fleet.schedule(fleet.now + 9, lambda: fleet.resume("r1"))


def isolate_router(fleet: SimulatedFleet) -> None:
    fleet.disconnected.add("r3")
    fleet.schedule(fleet.now + 8, lambda: fleet.disconnected.discard("r3"))


def crash_coordinator(fleet: SimulatedFleet) -> None:
    fleet.coordinator_down = True
    fleet.schedule(fleet.now + 3.75, lambda: fleet.replace_coordinator(tuple(ROUTERS)))


def isolate_router_and_crash_coordinator(fleet: SimulatedFleet) -> None:
    fleet.disconnected.add("r5")
    crash_coordinator(fleet)
    fleet.schedule(fleet.now + 15, lambda: fleet.disconnected.discard("r5"))


def shrink_windows(fleet: SimulatedFleet) -> None:
    smaller = {"s0": 3, "s1": 8, "s2": 8, "s3": 1}  # s4 leaves
    fleet.set_windows(smaller)
    fleet.schedule(fleet.now + 9, lambda: fleet.set_windows(WINDOWS))


@pytest.mark.parametrize(("loss", "limit"), [(0.0, 1000), (0.15, 9)])
@pytest.mark.parametrize(
    "fault",
    [
        restart_router,
        pause_router,
        isolate_router,
        crash_coordinator,
        isolate_router_and_crash_coordinator,
        shrink_windows,
        None,
    ],
)
def test_windows_and_limits_hold_and_service_goes_on(fault, limit, loss):
    """Guards against portions that exceed a window or limit, and against slots lost for good."""
    fleet = backlogged_fleet(3, loss, concurrency=limit)
    if fault:
        fleet.schedule(5.0, lambda: fault(fleet))
    fleet.run(30)
    # All calls at the servers of lost routers have ended, so the slots are in use again.
    usable = min(sum(WINDOWS.values()), 3 * limit)
    assert sum(fleet.running_by_server.values()) >= 0.9 * usable


@pytest.mark.parametrize(("seed", "limit", "loss"), [(2, 1000, 0.0), (94, 1000, 0.3), (7, 5, 0.1)])
def test_windows_and_limits_hold_under_combined_faults(seed, limit, loss):
    """Guards against overlapping faults.

    Seed 2 shrinks windows during a takeover; old calls were not counted when a new call started.
    Seed 94 restarts a router while there is no coordinator; its old calls were not counted.
    """
    rng = random.Random(seed)
    rng.choice("...")
    rng.choice("...")  # the two faults above were found with these draws
    fleet = backlogged_fleet(seed, loss, concurrency=limit)
    faults = [
        restart_router,
        pause_router,
        isolate_router,
        crash_coordinator,
        isolate_router_and_crash_coordinator,
        shrink_windows,
    ]
    for _ in range(6):
        fault = rng.choice(faults)
        fleet.schedule(rng.uniform(2, 40), partial(fault, fleet))
    fleet.run(50)
    assert fleet.started[-1][0] > 48


@pytest.mark.parametrize("fault", [crash_coordinator, isolate_router])
def test_gap_stays_bounded_over_takeover_and_partition(fault):
    """Guards against a new coordinator that counts service again, and against old imbalances."""
    fleet = backlogged_fleet(4, 0.0)
    fleet.schedule(20, lambda: fault(fleet))
    fleet.run(40)
    fleet.samples.clear()
    fleet.run(60)
    assert fleet.fairness_gap(members=("b", "c")) <= gap_bound(310)


def test_no_call_starts_on_an_ended_lease():
    """Guards against a router that is suspended and continues after the end of its lease."""
    fleet = backlogged_fleet(5, 0.0)
    fleet.run(3)
    fleet.paused.add("r1")
    fleet.run(12)
    fleet.disconnected.add("r1")
    count = len(fleet.started)
    fleet.resume("r1")
    fleet.run(14)
    assert "r1" not in {router for _, router, _ in fleet.started[count:]}
    held = fleet.routers["r1"].report(fleet.now, True)
    assert all(holding.held == 0 for holding in held.slots + held.concurrency)


def test_decisions_do_not_depend_on_the_order_of_sets():
    """Guards against runs that a seed does not reproduce, because the order of sets is random."""
    program = (
        f"from {__package__}.test_faults import backlogged_fleet\n"
        "fleet = backlogged_fleet(7, 0.1, concurrency=9)\n"
        "fleet.run(4)\n"
        "print(fleet.started, [r.slots.holdings() for r in fleet.routers.values()])"
    )
    path = os.pathsep.join(sys.path)
    outputs = set()
    for hash_seed in "123":
        env = os.environ | {"PYTHONHASHSEED": hash_seed, "PYTHONPATH": path}
        command = [sys.executable, "-c", program]
        outputs.add(subprocess.run(command, env=env, check=True, capture_output=True).stdout)
    assert len(outputs) == 1


def test_portions_are_not_usable_from_the_end_of_the_lease_on():
    """Checks both lookups, as in the simulation each one masks a fault of the other."""
    portions = Portions()
    portions.apply({"s": 2})
    portions.renew(5.0)
    assert (portions.idle("s", 4.9), portions.idle_by_name(4.9)) == (2, {"s": 2})
    assert (portions.idle("s", 5.0), portions.idle_by_name(5.0)) == (0, {})


def report(seq: int, epoch: int = 1, grant: int = 0, sender: str = "r1", **fields) -> Report:
    return Report("pool", sender, 1, seq, epoch, grant, 0, True, 0, 0.0, granted_epoch=1, **fields)


def coordinator(expected=()) -> Coordinator:
    result = Coordinator(
        "c", "pool", 1, PoolRules(), 0.0, expected_routers=set(expected), previous_clean=True
    )
    result.set_servers({"s": 8})
    result.set_members({"a": 1.0, "b": 1.0}, {"a": 50, "b": 50})
    return result


def test_new_coordinator_renews_what_routers_hold_and_moves_nothing():
    """Guards against a first grant after a takeover that changes portions."""
    new = coordinator(expected={"r1", "r2"})
    member = MemberReport("a", 0.0, 9, 3, 6, 0.0)
    holds: dict = {"slots": (Holding("s", 3, 3),), "concurrency": (Holding("a", 3, 3),)}
    [(_, grant)] = new.on_report(report(1, members=(member,), **holds), 0.1)
    assert (grant.slots, grant.concurrency) == ((("s", 3),), (("a", 3),))
    new.on_report(report(1, sender="r2", slots=(Holding("s", 4, 0),)), 0.2)
    [(_, grant)] = new.on_report(report(2, grant=grant.number, members=(member,), **holds), 0.3)
    assert grant.slots == (("s", 4),)


def test_takeover_adopts_virtual_times_floor_and_counts():
    """Guards against credit for members that the first reports after a takeover do not carry."""
    new = coordinator(expected={"r1", "r2"})
    newcomer = MemberReport("b", 0.0, 1, 0, 1, 0.0)
    new.on_report(report(1, sender="r2", members=(newcomer,)), 0.1)
    member = MemberReport("a", 700.0, 90, 1, 1, 0.0)
    carried = (Carried("a", 5000.0, 650.0, 88),)
    [(_, grant)] = new.on_report(report(1, members=(member,), carried=carried, floor=4900.0), 0.2)[
        :1
    ]
    assert (new.totals.virtual_time("a"), new.totals.virtual_time("b")) == (5050.0, 4900.0)
    assert (grant.totals[0].admitted, grant.totals[0].served) == (2, 50.0)


def test_lead_of_members_is_capped_when_a_router_rejoins():
    """Guards against starving a member after a partition because of its earlier service."""
    old = coordinator()
    waiting = MemberReport("b", 0.0, 1, 0, 1, 0.0)
    for seq, now in ((1, 0.0), (2, 7.0)):
        old.on_report(report(seq, sender="r2", members=(waiting,)), now)
    old.on_report(report(1), 0.0)
    old.tick(7.0)
    late = MemberReport("a", 1e6, 10, 0, 1, 0.0)
    old.on_report(report(2, members=(late,)), 9.0)
    assert (
        old.totals.virtual_time("a") - old.totals.virtual_time("b") <= 2 * PoolRules().largest_cost
    )


def test_grant_numbers_continue_when_a_lost_router_returns():
    """Guards against a router that mistakes new grants for old ones, or old ones for new."""
    one = coordinator()
    [(_, first)] = one.on_report(report(1), 0.0)
    [(_, second)] = one.on_report(report(2, grant=first.number), 0.1)
    assert second.number > first.number
    one.tick(7.0)
    [(_, third)] = one.on_report(report(3, grant=first.number), 9.0)
    assert third.number > second.number


def test_old_and_repeated_reports_change_nothing():
    """Guards against a delayed report that restores a lost router or its portions."""
    one = coordinator()
    first = report(5, slots=(Holding("s", 8, 8),))
    assert one.on_report(first, 0.0)
    assert one.on_report(first, 0.1) == one.on_report(report(4), 0.1) == []
    one.tick(7.0)
    assert one.slots.limit_by_name == {"s": 0}
    assert one.on_report(first, 7.1) == []
    one.on_server_load("s", 2, 8.0)
    one.tick(9.0)
    assert one.slots.limit_by_name == {"s": 0}  # the load may be older than the loss
    one.on_server_load("s", 2, 9.5)
    one.tick(10.0)
    assert one.slots.limit_by_name == {"s": 6}
    one.on_report(report(6, slots=(Holding("s", 0, 1),)), 10.0)
    assert one.slots.limit_by_name == {"s": 8}
