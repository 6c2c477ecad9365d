"""Queueing, refusing and placing: each test says which load it plays."""

import pytest
from parsleyrudder import (
    AdmissionRules,
    CacheMap,
    LoadReport,
    LongLane,
    OrganisationUsage,
    Placed,
    PoolAdmission,
    PromptPart,
    Refused,
    Target,
    TargetLoads,
    UsageLedger,
    WaitingRequest,
    Work,
)

RATE = 50_000.0


def make(targets=2, slots=10, **rules):
    loads = TargetLoads(prior_tokens_per_s=RATE)
    pool = PoolAdmission(
        AdmissionRules(**rules),
        loads,
        UsageLedger(capacity_per_s=100_000.0),
        CacheMap(capacity_tokens=500_000),
        LongLane(long_tokens=15_000),
    )
    pool.set_targets([Target(f"t{i}", "p", f"10.0.0.{i}:1", "a", slots) for i in range(targets)])
    return pool


def prompt(tokens=1000, shared=(), out=10):
    parts = tuple(PromptPart(id, size) for id, size in shared)
    return Work((*parts, PromptPart("own", tokens)), tokens + sum(s for _, s in shared), out)


def request(id="r", organisation="org", work=None, at=0.0, aim_s=0.4, limit_s=10.0):
    return WaitingRequest(id, organisation, work or prompt(), at, at + aim_s, at + limit_s)


def offer(pool, **fields):
    now = fields.get("at", 0.0)
    return pool.offer(request(**fields), now)


def test_an_idle_pool_takes_a_request_at_once():
    assert isinstance(offer(make()), Placed)


def test_a_pool_without_targets_refuses_with_a_time_to_return():
    decision = offer(make(targets=0), aim_s=0.0)
    assert isinstance(decision, Refused)
    assert decision.retry_after_s > 0


def test_full_targets_make_a_request_wait_until_it_could_not_be_on_time():
    """Load: all slots are taken for seconds. The answer is a refusal at once, not at the limit."""
    pool = make(targets=1, slots=1)
    assert isinstance(offer(pool, id="a"), Placed)
    assert offer(pool, id="b") is None
    assert pool.poll(0.3) == []
    decisions = pool.poll(0.4)
    assert [type(d) for d in decisions] == [Refused]
    assert pool.waiting == 0


def test_a_place_that_becomes_free_goes_to_the_organisation_that_got_least():
    """Load: one organisation sends ten times what another sends."""
    pool = make(targets=1, slots=1)
    for index in range(10):
        offer(pool, id=f"many{index}", organisation="many", work=prompt(5000))
    offer(pool, id="few", organisation="few")
    pool.usage.refresh(0.1)
    pool.loads.ended("t0", "many0")
    placed = [d for d in pool.poll(0.1) if isinstance(d, Placed)]
    assert [d.request.id for d in placed] == ["few"]


@pytest.mark.parametrize(("got", "taken"), [(0.0, 9), (2_000_000.0, 5)])
def test_an_organisation_above_its_share_gets_only_spare_places(got, taken):
    """Load: an organisation that has got far more than its share keeps asking."""
    pool = make(targets=1, slots=10)
    usage = {"org": OrganisationUsage(2 * got, got), "other": OrganisationUsage(1e6, 1e5)}
    pool.usage.take_report("router", usage, 0.0)
    pool.usage.refresh(0.0)
    decisions = [offer(pool, id=str(i), work=prompt(10)) for i in range(20)]
    assert sum(isinstance(d, Placed) for d in decisions) == taken


@pytest.mark.parametrize(
    "others",
    [
        pytest.param({}, id="alone"),
        pytest.param({"other": OrganisationUsage(1e6, 1e6)}, id="others-content"),
    ],
)
def test_no_place_is_kept_free_while_nobody_else_wants_one(others):
    """Load: one organisation far above its share, and others that got all they asked for."""
    pool = make(targets=1, slots=10)
    usage = {"org": OrganisationUsage(2e6, 1e6), **others}
    pool.usage.take_report("router", usage, 0.0)
    pool.usage.refresh(0.0)
    decisions = [offer(pool, id=str(i), work=prompt(10)) for i in range(20)]
    assert sum(isinstance(d, Placed) for d in decisions) == 9


def test_work_that_other_routers_report_counts():
    """Load: another router has filled a target; this one must not fill it again."""
    pool = make(targets=2)
    pool.loads.take_report("router", {"t0": LoadReport(9, 40_000)}, 0.0)
    assert {offer(pool, id=str(i)).target.id for i in range(3)} == {"t1"}


def test_the_report_of_a_silent_router_is_dropped():
    pool = make(targets=1)
    pool.loads.take_report("router", {"t0": LoadReport(10, 0)}, 0.0)
    assert offer(pool, id="a") is None
    pool.loads.expire(2.0)
    assert isinstance(offer(pool, id="b", at=2.0), Placed)


def test_requests_of_a_session_go_where_its_parts_are_kept():
    """Load: many sessions in turn; reading a session's parts again is the dearest thing."""
    pool = make(targets=4)
    target_by_session: dict[int, str] = {}
    for turn in range(5):
        for session in range(6):
            now = turn + session / 10
            work = prompt(200, [(f"s{session}", 5000)])
            id = f"{turn}/{session}"
            placed = offer(pool, id=id, work=work, at=now)
            assert target_by_session.setdefault(session, placed.target.id) == placed.target.id
            pool.loads.ended(placed.target.id, id)
    assert len(set(target_by_session.values())) > 1


def test_two_routers_send_a_new_session_to_the_same_target():
    work = prompt(200, [("session", 5000)])
    assert offer(make(targets=5), work=work).target == offer(make(targets=5), work=work).target


def test_a_request_waits_for_kept_parts_only_as_long_as_they_save():
    """Load: the target that keeps a session's parts is full for long, another one is free."""
    pool = make(targets=2, slots=1)
    work = prompt(200, [("session", 5000)])
    keeper = offer(pool, id="first", work=work).target.id
    assert offer(pool, id="second", work=work, aim_s=0.8) is None
    assert pool.poll(0.26) == []
    placed = pool.poll(0.27)
    assert [d.request.id for d in placed] == ["second"]
    assert placed[0].target.id != keeper


def test_long_prompts_share_few_targets_and_short_ones_avoid_these():
    """Load: a few very long prompts among many short ones with streams that must keep pace."""
    pool = make(targets=5, slots=10)
    long_targets: set[str] = set()
    short_targets: set[str] = set()
    now = 0.0
    for index in range(40):
        now += 0.5
        is_long = index % 8 == 0
        work = prompt(20_000 if is_long else 2_000)
        decision = offer(pool, id=str(index), work=work, at=now, aim_s=0.8)
        assert isinstance(decision, Placed)
        (long_targets if is_long else short_targets).add(decision.target.id)
        pool.loads.began(decision.target.id, str(index), now + work.tokens_in / RATE)
        pool.loads.ended(decision.target.id, str(index))
    assert len(long_targets) <= 3
    assert not long_targets & short_targets


@pytest.mark.parametrize(
    ("healthy", "expected"), [({"t1"}, {"t1"}), (set(), {"t0", "t1"}), ({"t0", "t1"}, {"t0", "t1"})]
)
def test_unhealthy_targets_are_spared_unless_none_is_healthy(healthy, expected):
    pool = make(targets=2)
    pool.spared = lambda now: {"t0", "t1"} - healthy
    work = Work()
    assert {offer(pool, id=str(i), work=work).target.id for i in range(4)} == expected


def test_a_target_that_failed_a_request_does_not_get_it_again():
    pool = make(targets=2)
    again = request()
    again.excluded = {"t0"}
    assert pool.offer_again(again, 0.0).target.id == "t1"


def test_a_caller_that_left_does_not_wait_on():
    pool = make(targets=1, slots=1)
    offer(pool, id="a")
    assert offer(pool, id="b") is None
    pool.withdraw("b")
    assert pool.poll(0.4) == []


def test_a_late_request_goes_only_where_there_is_little_to_read():
    """Load: callers come back after a refusal, too late for their target latency."""
    pool = make(targets=1)
    assert isinstance(offer(pool, id="late", aim_s=-0.5), Placed)
    pool.loads.take_report("router", {"t0": LoadReport(1, 9_000)}, 0.0)
    assert isinstance(offer(pool, id="later", aim_s=-0.5), Refused)


def test_a_new_lifetime_of_a_target_keeps_nothing():
    pool = make(targets=1)
    work = prompt(200, [("session", 5000)])
    assert offer(pool, id="a", work=work).unread_tokens == 5200
    assert offer(pool, id="b", work=work).unread_tokens == 200
    pool.set_targets([Target("t0", "p", "10.0.0.1:1", "a", 10, started_ms=2)])
    assert offer(pool, id="c", work=work).unread_tokens == 5200


def test_a_target_that_did_not_run_a_request_does_not_cost_its_organisation():
    pool = make(targets=1)
    placed = offer(pool)
    before = pool.usage.own_report(0.0)["org"].got
    pool.not_run(placed.request, 0.0)
    assert before > 0
    assert pool.usage.own_report(0.0)["org"].got == 0.0


def test_a_prompt_too_long_to_be_on_time_waits_for_a_place_like_others():
    """Load: prompts that take longer to read than the target latency, at targets that are busy.

    They were refused unless a target happened to be idle, so the largest were served half as often.
    """
    pool = make(targets=1)
    pool.loads.take_report("router", {"t0": LoadReport(1, 15_000)}, 0.0)
    assert offer(pool, id="long", work=prompt(40_000), aim_s=0.4) is None
    pool.loads.take_report("router", {"t0": LoadReport(1, 5_000)}, 0.2)
    assert [type(decision) for decision in pool.poll(0.2)] == [Placed]
