"""Tests of fair shares, prefill rates, prompt caches and the selection for long prompts."""

import pytest
from parsleyrudder import (
    LongPromptTargets,
    OrganisationUsage,
    PromptCacheIndex,
    PromptPart,
    PromptVolume,
    RequestSize,
    TargetLoads,
    UsageLedger,
)


@pytest.mark.parametrize(
    ("demands", "usage", "share_ratio"),
    [
        # All three demand more than a third of the capacity of 300: each share is 100.
        ({"a": 900, "b": 900, "c": 900}, 50, 0.5),
        # Two demand little, so the share of the third is the remaining 200.
        ({"a": 900, "b": 50, "c": 50}, 200, 1.0),
        # The capacity covers all demand, so nobody can exceed the largest share of 90.
        ({"a": 90, "b": 50, "c": 50}, 45, 0.5),
    ],
)
def test_share_ratio_relates_usage_to_the_max_min_share(demands, usage, share_ratio):
    ledger = UsageLedger(decay_s=3.0, capacity_per_s=100.0)
    for name, cost in demands.items():
        ledger.record_demand(name, cost, 0.0)
    ledger.record_usage("a", usage, 0.0)
    ledger.refresh(0.0)
    assert ledger.share_ratio("a") == pytest.approx(share_ratio)


def test_capacity_beyond_the_declared_one_is_divided_by_observed_usage():
    """Two organisations demand more than the declared capacity; one used three times as much."""
    ledger = UsageLedger(decay_s=3.0, capacity_per_s=30.0)
    for name, usage in {"a": 300.0, "b": 100.0}.items():
        ledger.record_demand(name, 900.0, 0.0)
        ledger.record_usage(name, usage, 0.0)
    ledger.refresh(0.0)
    assert ledger.share_ratio("b") > 1.0
    assert ledger.observed_share_ratio("a") == pytest.approx(1.5)
    assert ledger.observed_share_ratio("b") == pytest.approx(0.5)


def test_reports_of_other_routers_add_up_and_decay():
    ledger = UsageLedger(decay_s=3.0, capacity_per_s=100.0)
    for router in ("r1", "r2"):
        ledger.record_report(router, {"a": OrganisationUsage(1000.0, 150.0)}, 0.0)
    ledger.record_demand("b", 1000, 0.0)
    ledger.refresh(0.0)
    assert ledger.share_ratio("a") == pytest.approx(2.0)
    ledger.refresh(3.0)
    assert ledger.share_ratio("a") < 1.0


def test_a_newer_report_replaces_the_older_one_of_its_router():
    ledger = UsageLedger(capacity_per_s=100.0)
    for _ in range(5):
        ledger.record_report("r1", {"a": OrganisationUsage(300.0, 300.0)}, 0.0)
    ledger.refresh(0.0)
    assert ledger.share_ratio("a") == pytest.approx(1.0)


def test_the_prefill_rate_of_a_target_is_learned_within_bounds():
    loads = TargetLoads(prior_prefill_tokens_per_s=50_000.0)
    now = 0.0
    for index in range(200):
        loads.record_sent("slow", str(index), 5000, now)
        now += 0.5
        loads.record_first_event("slow", str(index), now)
        loads.record_end("slow", str(index))
    assert loads.prefill_tokens_per_s("slow") == pytest.approx(10_000.0, rel=0.05)
    assert loads.prefill_tokens_per_s("other") == 50_000.0
    assert loads.local_report() == {}


def test_an_end_before_the_first_event_subtracts_the_pending_tokens():
    loads = TargetLoads()
    loads.record_sent("t", "r", 5000, 0.0)
    loads.record_end("t", "r")
    loads.record_end("t", "r")
    assert (loads.running("t"), loads.pending_prefill_tokens("t")) == (0, 0)


def test_the_least_recently_used_parts_are_evicted():
    cache = PromptCacheIndex(capacity_tokens=2000)
    for name in ("a", "b", "a", "c"):
        cache.record_sent("t/1", RequestSize((PromptPart(name, 500), PromptPart("own", 1)), 501, 1))
    cached = {
        n
        for n in "abc"
        if cache.for_target("t/1").uncached_tokens(
            RequestSize((PromptPart(n, 500), PromptPart("own", 1)), 501, 1)
        )
        == 1
    }
    assert cached == {"a", "c"}


def test_sent_parts_are_reported_once_and_reported_parts_are_not_passed_on():
    cache = PromptCacheIndex(capacity_tokens=2000)
    parts = (PromptPart("a", 500),)
    cache.record_sent("t/1", RequestSize((*parts, PromptPart("own", 1)), 501, 1))
    cache.record_reported("t/1", (PromptPart("b", 500),))
    assert cache.take_unreported() == [("t/1", parts)]
    assert cache.take_unreported() == []


@pytest.mark.parametrize(
    ("long", "total", "count"), [(0, 100, 0), (1, 100, 1), (20, 100, 2), (90, 100, 5)]
)
def test_the_number_of_long_prompt_targets_grows_with_the_tokens_of_long_prompts(
    long, total, count
):
    selection = LongPromptTargets(min_long_prompt_tokens=10)
    selection.record_report("router", PromptVolume(long, total), 0.0)
    selection.refresh(0.5)
    assert len(selection.select([f"t{i}" for i in range(10)], 1.0)) == count


def test_routers_with_the_same_sums_select_the_same_targets():
    ids = [f"t{i}" for i in range(10)]
    selections = [LongPromptTargets(min_long_prompt_tokens=10) for _ in range(2)]
    for selection in selections:
        selection.record_report("router", PromptVolume(30, 100), 0.0)
    assert selections[0].select(ids, 0.0) == selections[1].select(ids[::-1], 0.0)


def test_entitled_demand_counts_an_organisation_up_to_its_share():
    """The large organisation is at both routers, the small one at one; usage is half of demand."""
    ledger = UsageLedger()
    ledger.record_demand("large", 300.0, 0.0)
    ledger.record_demand("small", 100.0, 0.0)
    ledger.record_usage("large", 100.0, 0.0)
    ledger.record_usage("small", 100.0, 0.0)
    ledger.record_report("other", {"large": OrganisationUsage(300.0, 200.0)}, 0.0)
    ledger.refresh(0.0)
    entitled = ledger.entitled_by_router("own")
    assert entitled == pytest.approx({"own": 100.0 + 150.0, "other": 150.0})
