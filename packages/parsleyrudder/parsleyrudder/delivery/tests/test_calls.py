"""Guards outcomes of calls, the retry budget, and streams that go on at another engine."""

import pytest
from parsleyrudder import AttemptEnd, Call, EventStream, Retry, RetryBudget, failure

NOT_SENT, REFUSED, BROKEN = AttemptEnd.NOT_SENT, AttemptEnd.REFUSED, AttemptEnd.BROKEN
FAILED, SILENT, TIMED_OUT = AttemptEnd.FAILED, AttemptEnd.SILENT, AttemptEnd.TIMED_OUT
TOO_LARGE = AttemptEnd.TOO_LARGE


def run(idempotent, ends, now=0.0, budget_level=10.0, **fields):
    """Let the attempts of a call end so; return "retry" or the outcome after each."""
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
        # A call that may run once is sent again only if no byte can have reached a server.
        (False, [NOT_SENT, NOT_SENT], {}, ["retry", "retry"]),
        (False, [NOT_SENT, BROKEN], {}, ["retry", "unknown"]),
        (False, [REFUSED], {}, ["not_run"]),
        (False, [BROKEN], {}, ["unknown"]),
        (False, [SILENT], {}, ["unknown"]),
        (False, [TIMED_OUT], {}, ["unknown"]),
        (False, [NOT_SENT], {"now": 10.0}, ["not_run"]),
        (False, [NOT_SENT], {"budget_level": 0.0}, ["not_run"]),
        # One attempt that may have run makes the call unknown, whatever the last one says.
        (True, [BROKEN, REFUSED], {"budget_level": 1.0}, ["retry", "unknown"]),
        (True, [FAILED, NOT_SENT], {"budget_level": 1.0}, ["retry", "unknown"]),
        (True, [REFUSED, NOT_SENT], {"budget_level": 1.0}, ["retry", "not_run"]),
        (True, [SILENT], {"budget_level": 0.0}, ["unknown"]),
        (True, [TIMED_OUT], {}, ["unknown"]),
        (True, [TOO_LARGE], {}, ["unknown"]),
        # An answer that has begun goes on elsewhere only if it can be resumed.
        (True, [BROKEN], {"head_relayed": True}, ["unknown"]),
        (True, [BROKEN], {"head_relayed": True, "resumable": True}, ["retry"]),
        (True, [BROKEN], {"abandoned": True}, ["unknown"]),
    ],
)
def test_outcome_follows_what_can_have_reached_a_server(idempotent, ends, options, expected):
    assert run(idempotent, ends, **options) == expected


@pytest.mark.parametrize(("ends", "outcome"), [([], "not_run"), ([BROKEN], "unknown")])
def test_refusal_in_the_queue_after_an_attempt_is_not_told_as_not_run(ends, outcome):
    budget = RetryBudget()
    call = Call("c", True, False, 10.0)
    for end in ends:
        call.start_attempt(budget)
        call.on_failed(end, budget, 0.0)
    assert call.refused(failure("queue_timeout", "", 1.0)).outcome == outcome


@pytest.mark.parametrize("saved", [0.0, 1.0, 10.0])
@pytest.mark.parametrize("first_attempts", [100, 5000])
def test_total_outage_multiplies_load_by_at_most_1_1(saved, first_attempts):
    """The savings are a tenth of the first attempts before the outage, 100 at most."""
    budget = RetryBudget(level=saved)
    attempts = 0
    for _ in range(first_attempts):
        call = Call("c", True, False, 10.0)
        while True:
            call.start_attempt(budget)
            attempts += 1
            if not isinstance(call.on_failed(BROKEN, budget, 0.0), Retry):
                break
    assert attempts <= 1.1 * first_attempts + saved + 1e-6
    assert attempts > 1.09 * first_attempts - 1


def chunk(index, id="r1"):
    """Return the event of one token."""
    return b'data: {"id":"%s","choices":[{"delta":{"content":"w%d"}}]}\n\n' % (id.encode(), index)


DONE = b"data: [DONE]\n\n"


@pytest.mark.parametrize("step", [1, 7, 10_000])
@pytest.mark.parametrize(
    ("relayed", "resumed_from", "first", "expected"),
    [
        (0, None, 0, [0, 1, 2, 3, 4]),
        (2, "2", 2, [2, 3, 4]),
        (2, None, 0, [2, 3, 4]),
        (2, "1", 1, [2, 3, 4]),
        (5, None, 0, []),
    ],
)
def test_resumed_stream_repeats_and_misses_no_token(relayed, resumed_from, first, expected, step):
    data = b"".join(chunk(index) for index in range(first, 5)) + DONE
    stream = EventStream("r1", relayed)
    stream.begin(resumed_from)
    parts = [stream.feed(data[at : at + step]) for at in range(0, len(data), step)]
    assert [text for part in parts for text in part.texts] == [f"w{i}" for i in expected]
    assert b"".join(part.events for part in parts) == b"".join(map(chunk, expected))
    assert (stream.done, stream.fault) == (True, "")


@pytest.mark.parametrize(
    ("relayed", "resumed_from", "data"),
    [
        (2, "3", b""),
        (0, None, chunk(0, "other")),
        (0, None, b"data: {broken\n\n"),
        (0, None, b'data: {"error": {"message": "out of memory"}}\n\n' + DONE),
        (1, None, b'data: {"choices":[{"delta":{"content":"a"}},{"delta":{"content":"b"}}]}\n\n'),
        (0, None, b"x" * (2 << 20)),
    ],
)
def test_stream_that_cannot_be_trusted_is_never_complete(relayed, resumed_from, data):
    stream = EventStream("r1", relayed)
    stream.begin(resumed_from)
    assert not stream.feed(data).texts
    assert stream.fault
    assert not stream.done


def test_end_mark_inside_a_token_does_not_end_the_stream():
    stream = EventStream("r1")
    stream.begin(None)
    part = stream.feed(b'data: {"choices":[{"delta":{"content":"data: [DONE]"}}]}\n\n' + chunk(1))
    assert part.texts == ["data: [DONE]", "w1"]
    assert not stream.done
