"""Responses that are relayed as streams, without a network."""

from types import SimpleNamespace
from typing import Any, cast

import pytest
from parsleyrudder_daemon.relay.attempt import Attempt
from parsleyrudder_daemon.relay.dialect import ResponseHead
from parsleyrudder_daemon.relay.response import StreamedResponse


def make_head(server):
    return ResponseHead(200, False, True, [("Server", server)])


def test_a_target_that_goes_on_with_a_stream_waits_for_a_slow_caller():
    """Its events were buffered without a limit, as only the first target was told to wait."""
    told = []
    exchange: Any = SimpleNamespace(
        start_stream=lambda status, headers: None,
        write=lambda data: None,
        buffered_bytes=lambda: 1 << 20,
    )
    timers: Any = SimpleNamespace(after=lambda delay_s, callback: None)
    first, second = (
        SimpleNamespace(exchange=SimpleNamespace(pause=lambda name=name: told.append(name)))
        for name in ("first", "second")
    )
    response = StreamedResponse(exchange, make_head("a"), cast(Attempt, first))
    response.write(b"id: 0\n\n", timers)
    response.go_on_from(make_head("b"), cast(Attempt, second))
    assert told == ["first", "second"]


@pytest.mark.parametrize(
    ("events_before", "expected"),
    [
        pytest.param([], "second", id="the-first-target-sent-a-head-alone"),
        pytest.param([b"id: 0\n\n"], "first", id="the-first-target-sent-an-event"),
    ],
)
def test_the_head_is_that_of_the_target_that_sent_the_first_event(events_before, expected):
    """The head of a target of another version stood before events that it had not sent."""
    heads = []
    exchange: Any = SimpleNamespace(
        start_stream=lambda status, headers: heads.append(headers[0][1]),
        write=lambda data: None,
        buffered_bytes=lambda: 0,
    )
    timers: Any = SimpleNamespace()
    response = StreamedResponse(exchange, make_head("first"), None)
    for events in events_before:
        response.write(events, timers)
    response.go_on_from(make_head("second"), None)
    response.write(b"id: 1\n\n", timers)
    assert heads == [expected]
