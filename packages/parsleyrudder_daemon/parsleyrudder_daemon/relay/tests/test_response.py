"""Responses that are relayed as streams, without a network."""

from types import SimpleNamespace
from typing import Any

import pytest
from parsleyrudder_daemon.relay.dialect import ResponseHead
from parsleyrudder_daemon.relay.response import StreamedResponse


def make_head(server):
    return ResponseHead(200, False, True, [("Server", server)])


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
