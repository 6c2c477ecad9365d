"""Tests of placing, queueing and refusing requests under different kinds of load."""

import pytest
from parsleyrudder import (
    AdmissionRules,
    LoadReport,
    LongPromptTargets,
    OrganisationUsage,
    Placed,
    PoolAdmission,
    PromptCacheIndex,
    PromptPart,
    Refused,
    RequestSize,
    Target,
    TargetCounts,
    TargetLoads,
    UsageLedger,
    WaitingRequest,
)

RATE = 50_000.0


def make(targets=2, slots=10, **rules):
    loads = TargetLoads(prior_prefill_tokens_per_s=RATE)
    pool = PoolAdmission(
        AdmissionRules(**rules),
        loads,
        UsageLedger(capacity_per_s=100_000.0),
        PromptCacheIndex(capacity_tokens=500_000),
        LongPromptTargets(min_long_prompt_tokens=15_000),
    )
    pool.set_targets([Target(f"t{i}", "p", f"10.0.0.{i}:1", "a", slots) for i in range(targets)])
    return pool


def prompt(tokens=1000, shared=(), output_tokens=10):
    parts = tuple(PromptPart(id, part_tokens) for id, part_tokens in shared)
    return RequestSize(
        (*parts, PromptPart("own", tokens)),
        tokens + sum(part_tokens for _, part_tokens in shared),
        output_tokens,
    )


def request(id="r", organisation="org", size=None, at=0.0, target_latency_s=0.4, timeout_s=10.0):
    return WaitingRequest(
        id, organisation, size or prompt(), at, at + target_latency_s, at + timeout_s
    )


def submit(pool, **fields):
    now = fields.get("at", 0.0)
    return pool.submit(request(**fields), now)


def test_an_idle_pool_places_a_request_at_once():
    assert isinstance(submit(make()), Placed)


def test_a_pool_without_targets_refuses_with_a_retry_time():
    decision = submit(make(targets=0), target_latency_s=0.0)
    assert isinstance(decision, Refused)
    assert decision.retry_after_s > 0


def test_a_request_is_queued_at_full_targets_until_its_response_is_due():
    """While all slots are occupied, the refusal comes at the due time, not at the deadline."""
    pool = make(targets=1, slots=1)
    assert isinstance(submit(pool, id="a"), Placed)
    assert submit(pool, id="b") is None
    assert pool.poll(0.3) == []
    decisions = pool.poll(0.4)
    assert [type(d) for d in decisions] == [Refused]
    assert pool.waiting == 0


def test_a_freed_slot_goes_to_the_organisation_with_the_least_usage():
    """One organisation sends ten times as many requests as another."""
    pool = make(targets=1, slots=1)
    for index in range(10):
        submit(pool, id=f"many{index}", organisation="many", size=prompt(5000))
    submit(pool, id="few", organisation="few")
    pool.usage.refresh(0.1)
    pool.loads.record_end("t0", "many0")
    placed = [d for d in pool.poll(0.1) if isinstance(d, Placed)]
    assert [d.request.id for d in placed] == ["few"]


@pytest.mark.parametrize(("used", "placed"), [(0.0, 9), (2_000_000.0, 5)])
def test_an_organisation_above_its_share_gets_only_spare_slots(used, placed):
    """An organisation far above its share keeps sending while another has unmet demand."""
    pool = make(targets=1, slots=10)
    usage = {"org": OrganisationUsage(2 * used, used), "other": OrganisationUsage(1e6, 1e5)}
    pool.usage.record_report("router", usage, 0.0)
    pool.usage.refresh(0.0)
    decisions = [submit(pool, id=str(i), size=prompt(10)) for i in range(20)]
    assert sum(isinstance(d, Placed) for d in decisions) == placed


@pytest.mark.parametrize(
    "others",
    [
        pytest.param({}, id="alone"),
        pytest.param({"other": OrganisationUsage(1e6, 1e6)}, id="others-satisfied"),
    ],
)
def test_no_slot_is_reserved_while_no_other_organisation_has_unmet_demand(others):
    """One organisation is far above its share, and the demand of any others is met."""
    pool = make(targets=1, slots=10)
    usage = {"org": OrganisationUsage(2e6, 1e6), **others}
    pool.usage.record_report("router", usage, 0.0)
    pool.usage.refresh(0.0)
    decisions = [submit(pool, id=str(i), size=prompt(10)) for i in range(20)]
    assert sum(isinstance(d, Placed) for d in decisions) == 9


def test_load_that_other_routers_report_counts():
    """Another router has filled a target; this one must not send more requests to it."""
    pool = make(targets=2)
    pool.loads.record_report("router", {"t0": LoadReport(9, 40_000)}, 0.0)
    assert {submit(pool, id=str(i)).target.id for i in range(3)} == {"t1"}


def test_the_report_of_a_silent_router_is_dropped():
    pool = make(targets=1)
    pool.loads.record_report("router", {"t0": LoadReport(10, 0)}, 0.0)
    assert submit(pool, id="a") is None
    pool.loads.expire_reports(2.0)
    assert isinstance(submit(pool, id="b", at=2.0), Placed)


def test_requests_of_a_session_go_to_the_target_that_has_its_parts_cached():
    """Sessions alternate; prefilling their parts again elsewhere would be the main cost."""
    pool = make(targets=4)
    target_by_session: dict[int, str] = {}
    for turn in range(5):
        for session in range(6):
            now = turn + session / 10
            size = prompt(200, [(f"s{session}", 5000)])
            id = f"{turn}/{session}"
            placed = submit(pool, id=id, size=size, at=now)
            assert target_by_session.setdefault(session, placed.target.id) == placed.target.id
            pool.loads.record_end(placed.target.id, id)
    assert len(set(target_by_session.values())) > 1


def test_two_routers_send_a_new_session_to_the_same_target():
    size = prompt(200, [("session", 5000)])
    assert submit(make(targets=5), size=size).target == submit(make(targets=5), size=size).target


def test_the_wait_for_a_target_with_cached_parts_is_bounded_by_the_prefill_time_saved():
    """The target that has the session's parts cached stays full while another one is free."""
    pool = make(targets=2, slots=1)
    size = prompt(200, [("session", 5000)])
    caching_target = submit(pool, id="first", size=size).target.id
    assert submit(pool, id="second", size=size, target_latency_s=0.8) is None
    assert pool.poll(0.26) == []
    placed = pool.poll(0.27)
    assert [d.request.id for d in placed] == ["second"]
    assert placed[0].target.id != caching_target


def test_long_prompts_share_few_targets_and_short_ones_avoid_these():
    """A few very long prompts arrive among many short ones whose streams must not slow down."""
    pool = make(targets=5, slots=10)
    long_targets: set[str] = set()
    short_targets: set[str] = set()
    now = 0.0
    for index in range(40):
        now += 0.5
        is_long = index % 8 == 0
        size = prompt(20_000 if is_long else 2_000)
        decision = submit(pool, id=str(index), size=size, at=now, target_latency_s=0.8)
        assert isinstance(decision, Placed)
        (long_targets if is_long else short_targets).add(decision.target.id)
        pool.loads.record_first_event(
            decision.target.id, str(index), now + size.prompt_tokens / RATE
        )
        pool.loads.record_end(decision.target.id, str(index))
    assert len(long_targets) <= 3
    assert not long_targets & short_targets


@pytest.mark.parametrize(
    ("not_ejected", "expected"),
    [({"t1"}, {"t1"}), (set(), {"t0", "t1"}), ({"t0", "t1"}, {"t0", "t1"})],
)
def test_ejected_targets_get_no_requests_unless_all_are_ejected(not_ejected, expected):
    pool = make(targets=2)
    pool.availability.ejected_targets = lambda now: {"t0", "t1"} - not_ejected
    size = RequestSize()
    assert {submit(pool, id=str(i), size=size).target.id for i in range(4)} == expected


def test_a_target_that_failed_a_request_does_not_get_it_again():
    pool = make(targets=2)
    retry = request()
    retry.excluded_target_ids = {"t0"}
    assert pool.resubmit(retry, 0.0).target.id == "t1"


def test_a_withdrawn_request_is_no_longer_queued():
    pool = make(targets=1, slots=1)
    submit(pool, id="a")
    assert submit(pool, id="b") is None
    pool.withdraw("b")
    assert pool.poll(0.4) == []


def test_an_overdue_request_goes_only_to_a_target_with_little_pending_prefill():
    """Callers retry after a refusal, when the target latency has already passed."""
    pool = make(targets=1)
    assert isinstance(submit(pool, id="late", target_latency_s=-0.5), Placed)
    pool.loads.record_report("router", {"t0": LoadReport(1, 9_000)}, 0.0)
    assert isinstance(submit(pool, id="later", target_latency_s=-0.5), Refused)


def test_a_new_lifetime_of_a_target_has_an_empty_cache():
    pool = make(targets=1)
    size = prompt(200, [("session", 5000)])
    assert submit(pool, id="a", size=size).uncached_tokens == 5200
    assert submit(pool, id="b", size=size).uncached_tokens == 200
    pool.set_targets([Target("t0", "p", "10.0.0.1:1", "a", 10, started_ms=2)])
    assert submit(pool, id="c", size=size).uncached_tokens == 5200


def test_a_request_that_was_not_run_is_refunded_to_its_organisation():
    pool = make(targets=1)
    placed = submit(pool)
    before = pool.usage.local_report(0.0)["org"].usage
    pool.refund(placed.request, 0.0)
    assert before > 0
    assert pool.usage.local_report(0.0)["org"].usage == 0.0


def test_a_request_too_long_to_be_on_time_is_queued_like_others():
    """The prefill alone takes longer than the target latency, and the targets are busy.

    Such requests were once refused unless a target happened to be idle, so the largest were served
    half as often.
    """
    pool = make(targets=1)
    pool.loads.record_report("router", {"t0": LoadReport(1, 15_000)}, 0.0)
    assert submit(pool, id="long", size=prompt(40_000), target_latency_s=0.4) is None
    pool.loads.record_report("router", {"t0": LoadReport(1, 5_000)}, 0.2)
    assert [type(decision) for decision in pool.poll(0.2)] == [Placed]


@pytest.mark.parametrize(
    ("versions", "failed", "full", "expected"),
    [
        pytest.param(["v2", "v1"], [], [], "t1", id="the-only-one"),
        pytest.param(["v2", "v1", "v1"], ["t1"], [], "t2", id="another-has-failed"),
        pytest.param(["v2", "v1"], [], ["t1"], None, id="full-so-it-waits"),
        pytest.param(["v2", "v2"], [], [], "version_unavailable", id="none-left"),
        pytest.param(["v2", "v1"], ["t1"], [], "version_unavailable", id="the-only-one-failed"),
    ],
)
def test_a_stream_goes_on_at_its_version_or_is_refused_at_once(versions, failed, full, expected):
    pool = make(targets=0)
    pool.set_targets(
        Target(f"t{n}", "p", f"10.0.0.{n}:1", "a", 4, version=version)
        for n, version in enumerate(versions)
    )
    pool.loads.record_report("other", {id: LoadReport(4, 0) for id in full}, 0.0)
    resumed_request = request()
    resumed_request.required_version = "v1"
    resumed_request.excluded_target_ids.update(failed)
    decision = pool.submit(resumed_request, 0.0)
    if isinstance(decision, Placed):
        assert decision.target.id == expected
    elif isinstance(decision, Refused):
        assert decision.code == expected
        assert decision.retry_after_s > 0.0
    else:
        assert expected is None


@pytest.mark.parametrize(
    ("loads", "expected"),
    [
        pytest.param({"t0": (10, 0), "t1": (10, 0)}, TargetCounts(2, 0, 0), id="all-full"),
        pytest.param({"t0": (10, 0), "t1": (1, 20_000)}, TargetCounts(2, 1, 0), id="all-waiting"),
        pytest.param({"t0": (3, 0), "t1": (10, 0)}, TargetCounts(2, 1, 1), id="prompt-too-long"),
    ],
)
def test_a_refusal_tells_which_limit_kept_the_targets(loads, expected):
    pool = make(targets=2)
    reports = {id: LoadReport(running, pending) for id, (running, pending) in loads.items()}
    pool.loads.record_report("router", reports, 0.0)
    decision = submit(pool, size=prompt(20_000), target_latency_s=-1.0)
    assert isinstance(decision, Refused)
    assert decision.targets == expected
