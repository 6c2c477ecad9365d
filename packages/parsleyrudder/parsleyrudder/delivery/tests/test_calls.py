"""Outcomes of calls, the retry budget, and streams that continue on another engine."""

import pytest
from parsleyrudder import AttemptEnd, Call, CompletionStream, Retry, RetryBudget, failure

NOT_SENT, REFUSED, BROKEN = AttemptEnd.NOT_SENT, AttemptEnd.REFUSED, AttemptEnd.BROKEN
FAILED, SILENT, TIMED_OUT = AttemptEnd.FAILED, AttemptEnd.SILENT, AttemptEnd.TIMED_OUT
TOO_LARGE = AttemptEnd.TOO_LARGE


def run(idempotent, ends, now=0.0, budget_level=10.0, **fields):
    """Let the attempts of a call fail as given; return "retry" or the outcome after each."""
    budget = RetryBudget(level=budget_level)
    call = Call("c", idempotent, fields.pop("resumable", False), 10.0, **fields)
    seen = []
    for end in ends:
        call.start_attempt(budget)
        decision = call.on_failed(end, budget, now)
        seen.append("retry" if isinstance(decision, Retry) else str(decision.outcome))
    return seen


@pytest.mark.parametrize(
    ("idempotent", "ends", "options", "expected"),
    [
        # A non-idempotent call is retried only if no byte can have reached a server.
        (False, [NOT_SENT, NOT_SENT], {}, ["retry", "retry"]),
        (False, [NOT_SENT, BROKEN], {}, ["retry", "unknown"]),
        (False, [REFUSED], {}, ["not_run"]),
        (False, [BROKEN], {}, ["unknown"]),
        (False, [SILENT], {}, ["unknown"]),
        (False, [TIMED_OUT], {}, ["unknown"]),
        (False, [NOT_SENT], {"now": 10.0}, ["not_run"]),
        (False, [NOT_SENT], {"budget_level": 0.0}, ["not_run"]),
        # One attempt that may have run makes the outcome unknown, however the last attempt ended.
        (True, [BROKEN, REFUSED], {"budget_level": 1.0}, ["retry", "unknown"]),
        (True, [FAILED, NOT_SENT], {"budget_level": 1.0}, ["retry", "unknown"]),
        (True, [REFUSED, NOT_SENT], {"budget_level": 1.0}, ["retry", "not_run"]),
        (True, [SILENT], {"budget_level": 0.0}, ["unknown"]),
        (True, [TIMED_OUT], {}, ["unknown"]),
        (True, [TOO_LARGE], {}, ["unknown"]),
        # A response whose head was relayed continues on another server only if it is resumable.
        (True, [BROKEN], {"head_relayed": True}, ["unknown"]),
        (True, [BROKEN], {"head_relayed": True, "resumable": True}, ["retry"]),
        (True, [BROKEN], {"abandoned": True}, ["unknown"]),
    ],
)
def test_retry_and_outcome_depend_on_what_may_have_reached_a_server(
    idempotent, ends, options, expected
):
    assert run(idempotent, ends, **options) == expected


@pytest.mark.parametrize(("ends", "outcome"), [([], "not_run"), ([BROKEN], "unknown")])
def test_refusal_after_a_failed_attempt_is_not_reported_as_not_run(ends, outcome):
    budget = RetryBudget()
    call = Call("c", True, False, 10.0)
    for end in ends:
        call.start_attempt(budget)
        call.on_failed(end, budget, 0.0)
    assert call.refusal(failure("queue_timeout", "", 1.0)).outcome == outcome


@pytest.mark.parametrize("unused", [0.0, 1.0, 10.0])
@pytest.mark.parametrize("first_attempts", [100, 5000])
def test_retries_raise_load_in_a_total_outage_by_at_most_a_tenth(unused, first_attempts):
    """Unused retries add to the limit: a tenth of up to 100 first attempts before the outage."""
    budget = RetryBudget(level=unused)
    attempts = 0
    for _ in range(first_attempts):
        call = Call("c", True, False, 10.0)
        while True:
            call.start_attempt(budget)
            attempts += 1
            if not isinstance(call.on_failed(BROKEN, budget, 0.0), Retry):
                break
    assert attempts <= 1.1 * first_attempts + unused + 1e-6
    assert attempts > 1.09 * first_attempts - 1


def chunk(index, id="r1"):
    """Return the event of one token."""
    return b'data: {"id":"%s","choices":[{"delta":{"content":"w%d"}}]}\n\n' % (id.encode(), index)


DONE = b"data: [DONE]\n\n"


@pytest.mark.parametrize("step", [1, 7, 10_000])
@pytest.mark.parametrize(
    ("relayed_tokens", "resumed_from", "first", "expected"),
    [
        (0, None, 0, [0, 1, 2, 3, 4]),
        (2, "2", 2, [2, 3, 4]),
        (2, None, 0, [2, 3, 4]),
        (2, "1", 1, [2, 3, 4]),
        (5, None, 0, []),
    ],
)
def test_resumed_stream_neither_repeats_nor_misses_a_token(
    relayed_tokens, resumed_from, first, expected, step
):
    data = b"".join(chunk(index) for index in range(first, 5)) + DONE
    stream = CompletionStream("r1", relayed_tokens)
    stream.begin(resumed_from)
    parts = [stream.feed(data[at : at + step]) for at in range(0, len(data), step)]
    assert [text for part in parts for text in part.texts] == [f"w{i}" for i in expected]
    assert b"".join(part.events for part in parts) == b"".join(map(chunk, expected))
    assert (stream.done, stream.error) == (True, "")


@pytest.mark.parametrize(
    ("relayed_tokens", "resumed_from", "data"),
    [
        (2, "3", b""),
        (0, None, chunk(0, "other")),
        (0, None, b"data: {broken\n\n"),
        (0, None, b'data: {"error": {"message": "out of memory"}}\n\n' + DONE),
        (1, None, b'data: {"choices":[{"delta":{"content":"a"}},{"delta":{"content":"b"}}]}\n\n'),
        (0, None, b"x" * (2 << 20)),
    ],
)
def test_invalid_stream_is_never_complete(relayed_tokens, resumed_from, data):
    stream = CompletionStream("r1", relayed_tokens)
    stream.begin(resumed_from)
    assert not stream.feed(data).texts
    assert stream.error
    assert not stream.done


def test_end_marker_inside_a_token_does_not_end_the_stream():
    stream = CompletionStream("r1")
    stream.begin(None)
    part = stream.feed(b'data: {"choices":[{"delta":{"content":"data: [DONE]"}}]}\n\n' + chunk(1))
    assert part.texts == ["data: [DONE]", "w1"]
    assert not stream.done
