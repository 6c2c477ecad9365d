"""Retries of relayed requests after a failed send, and the error responses to callers."""

import pytest
from parsleyrudder import (
    FleetRetryBudget,
    FleetRetryLimits,
    RelayedRequest,
    Route,
    RouteKind,
    SendEnd,
)

NOT_SENT, REFUSED, BROKEN = SendEnd.NOT_SENT, SendEnd.REFUSED, SendEnd.BROKEN
SILENT, FAILED = SendEnd.SILENT, SendEnd.FAILED
SAFE, UNSAFE, STREAM = RouteKind.SAFE, RouteKind.UNSAFE, RouteKind.STREAM


def relay(kind, attempts=2, resumable=False):
    route = Route("r", "h", "/", kind, 1.0, {"p": 1}, max_attempts=attempts, is_resumable=resumable)
    return RelayedRequest("id", route, deadline=10.0)


def fail(call, end, now=1.0):
    call.on_send_started("t", "10.0.0.1:1")
    if end is not NOT_SENT:
        call.on_bytes_sent()
    return call.may_retry(end, now)


@pytest.mark.parametrize(
    ("kind", "resumable", "end", "retried", "code"),
    [
        (UNSAFE, False, NOT_SENT, True, "no_server"),
        (UNSAFE, False, REFUSED, True, "no_server"),
        (UNSAFE, False, BROKEN, False, "server_failed"),
        (UNSAFE, False, SILENT, False, "server_failed"),
        (UNSAFE, False, FAILED, False, "server_failed"),
        (SAFE, False, NOT_SENT, True, "no_server"),
        (SAFE, False, REFUSED, True, "no_server"),
        (SAFE, False, BROKEN, True, "server_failed"),
        (SAFE, False, FAILED, True, "server_failed"),
        (STREAM, False, BROKEN, False, "server_failed"),
        (STREAM, True, BROKEN, True, "server_failed"),
        (STREAM, True, SILENT, True, "server_failed"),
    ],
)
def test_retry_depends_on_route_and_failure(kind, resumable, end, retried, code):
    """A non-idempotent request runs at most once; "not run" is reported only if it is certain."""
    call = relay(kind, resumable=resumable)
    assert fail(call, end) is retried
    assert call.final_failure("reason", 1.0).kind.code == code


def test_refusal_after_a_possible_run_is_not_reported_as_not_run():
    call = relay(SAFE, attempts=3)
    assert fail(call, BROKEN)
    assert fail(call, REFUSED)
    assert call.final_failure("reason", 1.0).kind.code == "server_failed"


@pytest.mark.parametrize(("attempts", "retried"), [(1, False), (2, True)])
def test_number_of_sends_that_reach_a_target_is_limited(attempts, retried):
    assert fail(relay(SAFE, attempts=attempts), REFUSED) is retried


def test_send_that_reaches_no_target_does_not_count():
    call = relay(SAFE, attempts=1)
    assert [fail(call, NOT_SENT) for _ in range(3)] == [True] * 3


@pytest.mark.parametrize(
    ("kind", "resumable", "retried"),
    [(STREAM, True, True), (STREAM, False, False), (SAFE, False, False)],
)
def test_started_response_continues_only_on_a_resumable_stream(kind, resumable, retried):
    call = relay(kind, resumable=resumable)
    call.head_relayed = True
    assert fail(call, BROKEN) is retried


def test_no_retry_after_the_deadline():
    assert not fail(relay(SAFE), NOT_SENT, now=10.0)


@pytest.mark.parametrize(
    ("in_flight", "broken", "code"),
    [
        (False, False, "deadline_unreachable"),
        (True, False, "deadline_exceeded"),
        (False, True, "deadline_exceeded"),
    ],
)
def test_error_response_at_the_deadline(in_flight, broken, code):
    call = relay(SAFE)
    if broken:
        fail(call, BROKEN)
    assert call.deadline_failure(in_flight, 1.0).kind.code == code


@pytest.mark.parametrize(
    ("in_flight", "broken", "code"),
    [(False, False, "draining"), (True, False, "server_failed"), (False, True, "server_failed")],
)
def test_a_request_that_may_have_run_is_not_called_not_run_at_the_end_of_a_stop(
    in_flight, broken, code
):
    call = relay(SAFE)
    if broken:
        fail(call, BROKEN)
    assert call.stop_failure(in_flight).kind.code == code


@pytest.mark.parametrize("routers", [1, 3, 7])
def test_fleet_keeps_the_retry_limit_for_any_distribution_of_traffic(routers):
    """One router gets all requests and every router retries; checks several sliding windows."""
    limits = FleetRetryLimits(0.2, 10.0, 54.0)
    budgets = [FleetRetryBudget(limits, 0.0) for _ in range(routers)]
    retries, requests = [], []
    for step in range(4000):
        now = 20.0 + step * 0.01
        budgets[0].on_request(now)
        requests.append(now)
        retries += [now for budget in budgets if budget.take(routers, now)]
    for end in range(30, 60):
        window = [t for t in retries if end - 10 < t <= end]
        recent_requests = [t for t in requests if end - 10 < t <= end]
        assert len(window) <= 0.2 * len(recent_requests) + 54


def test_starting_router_has_no_fixed_allowance():
    """A predecessor that was killed just before may have used up the allowance."""
    budget = FleetRetryBudget(FleetRetryLimits(0.2, 10.0, 54.0), started_at=100.0)
    assert not budget.take(1, 100.1)
    assert budget.take(1, 105.0)
