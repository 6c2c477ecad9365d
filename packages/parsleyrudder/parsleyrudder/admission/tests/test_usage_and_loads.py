"""Shares over the fleet, learned speed, cached parts, the lane's size."""

import pytest
from parsleyrudder import (
    CacheMap,
    LongLane,
    OrganisationUsage,
    PromptPart,
    ReadingMix,
    TargetLoads,
    UsageLedger,
    Work,
)


@pytest.mark.parametrize(
    ("asked", "got", "position"),
    [
        # Three ask for more than there is: each is owed a third of 300.
        ({"a": 900, "b": 900, "c": 900}, 50, 0.5),
        # Two ask for little, so the third is owed what they leave.
        ({"a": 900, "b": 50, "c": 50}, 200, 1.0),
        # All are owed what they ask; nothing is above its share.
        ({"a": 90, "b": 50, "c": 50}, 45, 0.5),
    ],
)
def test_position_against_the_max_min_share(asked, got, position):
    ledger = UsageLedger(decay_s=3.0, capacity_per_s=100.0)
    for name, cost in asked.items():
        ledger.asked(name, cost, 0.0)
    ledger.got("a", got, 0.0)
    ledger.refresh(0.0)
    assert ledger.position("a") == pytest.approx(position)


def test_what_is_spare_is_divided_by_what_others_got():
    """Two ask for more than the declared capacity gives, and one has got three times as much."""
    ledger = UsageLedger(decay_s=3.0, capacity_per_s=30.0)
    for name, got in {"a": 300.0, "b": 100.0}.items():
        ledger.asked(name, 900.0, 0.0)
        ledger.got(name, got, 0.0)
    ledger.refresh(0.0)
    assert ledger.position("b") > 1.0
    assert ledger.spare_position("a") == pytest.approx(1.5)
    assert ledger.spare_position("b") == pytest.approx(0.5)


def test_reports_of_other_routers_add_up_and_decay():
    ledger = UsageLedger(decay_s=3.0, capacity_per_s=100.0)
    for router in ("r1", "r2"):
        ledger.take_report(router, {"a": OrganisationUsage(1000.0, 150.0)}, 0.0)
    ledger.asked("b", 1000, 0.0)
    ledger.refresh(0.0)
    assert ledger.position("a") == pytest.approx(2.0)
    ledger.refresh(3.0)
    assert ledger.position("a") < 1.0


def test_a_newer_report_replaces_the_older_one_of_its_router():
    ledger = UsageLedger(capacity_per_s=100.0)
    for _ in range(5):
        ledger.take_report("r1", {"a": OrganisationUsage(300.0, 300.0)}, 0.0)
    ledger.refresh(0.0)
    assert ledger.position("a") == pytest.approx(1.0)


def test_the_speed_of_a_target_is_learned_within_bounds():
    loads = TargetLoads(prior_tokens_per_s=50_000.0)
    now = 0.0
    for index in range(200):
        loads.sent("slow", str(index), 5000, now)
        now += 0.5
        loads.began("slow", str(index), now)
        loads.ended("slow", str(index))
    assert loads.tokens_per_s("slow") == pytest.approx(10_000.0, rel=0.05)
    assert loads.tokens_per_s("other") == 50_000.0
    assert loads.own_report() == {}


def test_an_end_before_the_first_event_takes_the_unread_tokens_back():
    loads = TargetLoads()
    loads.sent("t", "r", 5000, 0.0)
    loads.ended("t", "r")
    loads.ended("t", "r")
    assert (loads.running("t"), loads.unread_tokens("t")) == (0, 0)


def test_the_least_recently_used_parts_yield():
    cache = CacheMap(capacity_tokens=2000)
    for name in ("a", "b", "a", "c"):
        cache.sent("t/1", Work((PromptPart(name, 500), PromptPart("own", 1)), 501, 1))
    kept = {
        n
        for n in "abc"
        if cache.of("t/1").uncached_tokens(Work((PromptPart(n, 500), PromptPart("own", 1)), 501, 1))
        == 1
    }
    assert kept == {"a", "c"}


def test_news_of_sent_parts_are_given_once_and_heard_parts_are_no_news():
    cache = CacheMap(capacity_tokens=2000)
    parts = (PromptPart("a", 500),)
    cache.sent("t/1", Work((*parts, PromptPart("own", 1)), 501, 1))
    cache.heard("t/1", (PromptPart("b", 500),))
    assert cache.take_news() == [("t/1", parts)]
    assert cache.take_news() == []


@pytest.mark.parametrize(
    ("long", "total", "count"), [(0, 100, 0), (1, 100, 1), (20, 100, 2), (90, 100, 5)]
)
def test_the_lane_grows_with_the_work_of_long_prompts(long, total, count):
    lane = LongLane(long_tokens=10)
    lane.take_report("router", ReadingMix(long, total), 0.0)
    lane.refresh(0.5)
    assert len(lane.targets([f"t{i}" for i in range(10)], 1.0)) == count


def test_routers_with_the_same_sums_choose_the_same_lane():
    ids = [f"t{i}" for i in range(10)]
    lanes = [LongLane(long_tokens=10) for _ in range(2)]
    for lane in lanes:
        lane.take_report("router", ReadingMix(30, 100), 0.0)
    assert lanes[0].targets(ids, 0.0) == lanes[1].targets(ids[::-1], 0.0)
