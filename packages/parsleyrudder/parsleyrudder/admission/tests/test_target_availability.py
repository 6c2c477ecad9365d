"""What a target gets after it has stated that it leaves, or that it wants a pause."""

import pytest
from parsleyrudder import (
    Placed,
    Refused,
    RequestSize,
    Target,
    TargetAvailability,
    TargetNotices,
    TargetSignals,
)

from .test_pool_admission import make, request, submit

LEAVING = TargetSignals(is_leaving=True)
STEP_S = 0.025


def pause(seconds):
    return TargetSignals(pause_s=seconds)


def make_pool(targets=2, slots=10):
    """Return a pool whose requests are those to a plain service, and its notices."""
    pool = make(targets, slots)
    return pool, pool.availability.notices


def lifetime(number):
    return f"t{number}/0"


def place(pool, count, at=0.0, **fields):
    """Return the ids of the targets of several requests; None for one that is not placed."""
    decisions = [submit(pool, id=f"{at}-{n}", size=RequestSize(), at=at) for n in range(count)]
    return {d.target.id if isinstance(d, Placed) else None for d in decisions}


@pytest.mark.parametrize("is_own", [True, False], ids=["own-response", "report"])
def test_a_leaving_target_gets_no_new_request_while_there_is_another(is_own):
    """The entry in the store showed it up to seconds later, or not at all."""
    pool, notices = make_pool()
    if is_own:
        assert notices.record_response(lifetime(0), LEAVING, 0.0)
        assert not notices.record_response(lifetime(0), TargetSignals(), 0.1)
    else:
        notices.record_report([lifetime(0)])
    assert place(pool, 8, at=0.2) == {"t1"}


def test_leaving_targets_get_what_arrives_within_the_drain_time_and_the_rest_is_refused():
    """With all targets leaving, what can no longer be served is refused at once."""
    pool, notices = make_pool()
    for number in range(2):
        notices.record_response(lifetime(number), LEAVING, 1.0)
    assert place(pool, 4, at=2.9) == {"t0", "t1"}
    decision = submit(pool, id="late", size=RequestSize(), at=3.1)
    assert isinstance(decision, Refused)
    waiting = request(id="waiting", size=RequestSize(), at=2.9)
    assert isinstance(pool.resubmit(waiting, 3.1), Placed)


def test_a_target_leaves_until_its_next_lifetime():
    """Guards against an entry that says ready, or is away for a while, and is believed."""
    notices = TargetNotices(drain_s=2.0)
    notices.record_response("t/1", LEAVING, 0.0)
    notices.record_report(["u/1"])
    notices.retain(set())
    assert notices.is_leaving("t/1")
    assert not notices.is_leaving("t/2")
    assert not notices.is_leaving("u/1")
    assert notices.report(1.0) == ("t/1",)
    assert notices.report(60.0) == ()


def test_a_paused_target_gets_nothing_and_then_a_rising_number_of_requests():
    pool, notices = make_pool(targets=1, slots=20)
    notices.record_response(lifetime(0), pause(2.0), 0.0)
    target, sent_at = pool.targets[0], []
    for step in range(round(4.0 / STEP_S)):
        now = step * STEP_S
        if pool.availability.wait_s(target, now) <= 0.0:
            pool.availability.record_sent(target, now)
            sent_at.append(now)
    assert sent_at[0] >= 2.0
    assert sum(at < 2.1 for at in sent_at) <= 3
    assert len(sent_at) >= 0.8 * 2.0 / STEP_S / 2
    assert notices.paused_count(4.0) == 0


def test_a_pause_is_one_routers_own_and_no_failure():
    pool, notices = make_pool()
    notices.record_response(lifetime(0), pause(2.0), 0.0)
    assert place(pool, 4, at=0.1) == {"t1"}
    assert notices.report(0.1) == ()
    assert not notices.is_leaving(lifetime(0))


@pytest.mark.parametrize(
    ("pause_s", "is_queued"), [(0.2, True), (1.0, False), (3.0, False), (30.0, False)]
)
def test_a_request_waits_for_a_pause_only_if_it_can_still_be_on_time(pause_s, is_queued):
    """All targets are paused; a request that can't be in time is told at once when to return."""
    pool, notices = make_pool()
    for number in range(2):
        notices.record_response(lifetime(number), pause(pause_s), 0.0)
    decision = submit(pool, size=RequestSize(), target_latency_s=0.4)
    if is_queued:
        assert decision is None
        assert [type(d) for d in pool.poll(0.3)] == [Placed]
    else:
        assert isinstance(decision, Refused)
        assert pause_s <= decision.retry_after_s <= pause_s + 1.0


def test_callers_of_paused_targets_return_spread():
    """All were told the same moment, and would have returned as a herd."""
    pool, notices = make_pool()
    for number in range(2):
        notices.record_response(lifetime(number), pause(5.0), 0.0)
    times = sorted(submit(pool, id=str(n), size=RequestSize()).retry_after_s for n in range(20))
    assert max(b - a for a, b in zip(times, times[1:])) < 0.2
    assert times[-1] - times[0] > 0.7


def test_a_later_response_neither_shortens_nor_ends_a_pause():
    notices = TargetNotices()
    target = Target("t", "p", "10.0.0.1:1", "a", 4)
    notices.record_response(target.lifetime, pause(5.0), 0.0)
    for signals in (pause(0.1), TargetSignals()):
        notices.record_response(target.lifetime, signals, 0.1)
    assert notices.pause_s(target, 0.1) == pytest.approx(4.9)


def test_a_request_on_its_way_is_withheld_from_a_target_that_has_asked_for_a_pause():
    availability = TargetAvailability()
    target = Target("t", "p", "10.0.0.1:1", "a", 4)
    waiting = request()
    assert availability.may_send(target, waiting, 0.0)
    availability.notices.record_response(target.lifetime, pause(1.0), 0.0)
    assert not availability.may_send(target, waiting, 0.5)
    availability.record_sent(target, 1.0)
    assert availability.may_send(target, waiting, 1.0)


@pytest.mark.parametrize(("asked_s", "paused_s"), [(120.0, 120.0), (1e9, 600.0)])
def test_a_long_pause_is_kept_up_to_a_bound(asked_s, paused_s):
    """Sixty seconds were the bound, after which a target was sent requests within its pause."""
    notices = TargetNotices()
    notices.record_response("t/0", pause(asked_s), 0.0)
    assert notices.is_paused("t/0", paused_s - 1.0)
    assert not notices.is_paused("t/0", paused_s)
