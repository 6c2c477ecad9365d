"""Connections on which a server has gone silent while they were idle, over real sockets."""

import asyncio
import time

import pytest
from parsleyrudder_adapters.http_client import HttpRequest


class SilentAfterFirst:
    """Server that responds to the first request on each connection, and to no other one."""

    def __init__(self):
        self.writers = set()

    async def handle(self, request, reply):
        if reply._writer in self.writers:
            await asyncio.sleep(3600)
        self.writers.add(reply._writer)
        await reply.send(200, b"ok")


class Listener:
    """Records whether a response is complete."""

    is_answered = False

    def on_head(self, status, headers):
        pass

    def on_data(self, data):
        pass

    def on_end(self):
        self.is_answered = True

    def on_failed(self, sent, reason):
        raise AssertionError(reason)


def send(loop, client, address, **fields):
    listener = Listener()
    request = HttpRequest("GET", "/", **fields)
    return loop.call(lambda: client.send(address, request, listener)), listener


def is_answered(loop, client, address, wait_s, **fields):
    exchange, listener = send(loop, client, address, reuse=True, **fields)
    deadline = time.monotonic() + wait_s
    while not listener.is_answered and time.monotonic() < deadline:
        time.sleep(0.01)
    loop.call(exchange.cancel)
    return listener.is_answered


@pytest.mark.parametrize(("max_idle_s", "answered"), [(0.05, True), (20.0, False)])
def test_a_connection_that_has_been_idle_for_long_is_not_reused(
    loop, client, start_server, max_idle_s, answered
):
    """Its server may have gone silent on it since, and the request may run only once."""
    address = start_server(SilentAfterFirst().handle).address
    assert is_answered(loop, client, address, 2.0)
    time.sleep(0.1)
    assert is_answered(loop, client, address, 0.3, max_idle_s=max_idle_s) == answered


def test_idle_connections_are_not_reused_after_one_of_them_was_silent(loop, client, start_server):
    """One request after the other waited on a connection that had gone silent with the first."""
    address = start_server(SilentAfterFirst().handle).address
    sent = [send(loop, client, address) for _ in range(4)]
    for _, listener in sent:
        loop.wait_until(lambda listener=listener: listener.is_answered)
    assert not is_answered(loop, client, address, 1.1)
    assert is_answered(loop, client, address, 2.0)
