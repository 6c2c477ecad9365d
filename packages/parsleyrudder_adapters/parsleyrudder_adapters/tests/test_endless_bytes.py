"""Servers that send bytes without end that are no response, over real sockets."""

import contextlib
import threading
from collections import Counter

import pytest
from parsleyrudder_adapters.http_client import HttpRequest, ResponseMatch

from .test_http_client import CHUNKED, Listener, ScriptedServer, respond

FOREIGN = b"HTTP/1.1 200 OK\r\nX-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n"
# Each row: bytes sent once, and bytes repeated until the client closes the connection.
ENDLESS = {
    "no status line": (b"", b"\x00garbage" * 100),
    "no line at all": (b"", b"x" * 1000),
    "status line": (b"HTTP/1.1 200 ", b"OK" * 500),
    "header lines": (b"HTTP/1.1 200 OK\r\n", b"X-A: 1\r\n" * 100),
    "header value": (b"HTTP/1.1 200 OK\r\nX-A: ", b"1" * 1000),
    "informational responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 40),
    "body of another response": (FOREIGN, b"3e8\r\n%b\r\n" % (b"x" * 1000)),
    "responses to others": (b"", FOREIGN + b"3\r\nabc\r\n0\r\n\r\n"),
    "chunk sizes": (CHUNKED, b"1" * 1000),
    "trailers": (CHUNKED + b"0\r\n", b"X-A: 1\r\n" * 100),
}


def match_by_id(headers):
    return ResponseMatch.OTHER if ("x-id", "other") in headers else ResponseMatch.OWN


@pytest.mark.parametrize("name", ENDLESS)
def test_endless_bytes_that_are_no_response_end_the_exchange(loop, client, name):
    """Guards against a server in trouble that occupies the event loop until the deadline."""
    once, repeated = ENDLESS[name]
    is_closed = threading.Event()

    def send_until_closed(server, connection):
        server.receive(connection)
        with contextlib.suppress(OSError):
            connection.sendall(once)
            while True:
                connection.sendall(repeated)
        is_closed.set()

    server = ScriptedServer(send_until_closed)
    listener = Listener()
    request = HttpRequest(
        "GET",
        "/",
        [],
        b"",
        match_response=match_by_id,
    )
    loop.call(lambda: client.send(server.address, request, listener))
    assert is_closed.wait(5.0)
    loop.wait_until(lambda: listener.failures)
    assert listener.failures[0][0]
    assert not listener.body
    server.close()


class TurnCounter:
    """Counts calls by the turn of the event loop that they belong to."""

    def __init__(self, loop):
        self.by_turn: Counter[int] = Counter()
        self._turn = 0
        loop.call(lambda: setattr(loop.poller, "on_turn", self._on_turn))

    def _on_turn(self, turn_s, now):
        self._turn += 1

    def record(self, *args):
        self.by_turn[self._turn] += 1


# Each row: bytes sent once, and bytes repeated, of which a read holds some thousand.
SMALL_PARTS = {
    "responses to others": (b"", FOREIGN + b"1\r\nx\r\n0\r\n\r\n"),
    "chunks of one byte": (CHUNKED, b"1\r\nx\r\n"),
    "chunks of one byte with extensions": (CHUNKED, b"1;a=b\r\nx\r\n"),
}


@pytest.mark.parametrize("name", SMALL_PARTS)
def test_small_parts_without_end_do_not_keep_other_connections_waiting(loop, client, name):
    """One read of such bytes kept the event loop from the requests of other callers."""
    once, repeated = SMALL_PARTS[name]
    counter = TurnCounter(loop)

    def send_until_closed(server, connection):
        server.receive(connection)
        with contextlib.suppress(OSError):
            connection.sendall(once)
            while True:
                connection.sendall(repeated * 2000)

    def match(headers):
        counter.record()
        return match_by_id(headers)

    server = ScriptedServer(send_until_closed)
    listener = Listener()
    listener.on_data = counter.record  # type: ignore[method-assign]
    request = HttpRequest("GET", "/", match_response=match)
    loop.call(lambda: client.send(server.address, request, listener))
    loop.wait_until(lambda: listener.failures)
    assert max(counter.by_turn.values()) <= 256
    server.close()


def test_interim_responses_without_end_end_the_exchange_early(loop, client):
    """Each costs as much as a response, and 10,000 of them were handled in one exchange."""
    server = ScriptedServer(respond(b"HTTP/1.1 100 Continue\r\n\r\n" * 500, wait=True))
    listener = Listener()
    loop.call(lambda: client.send(server.address, HttpRequest("GET", "/"), listener))
    loop.wait_until(lambda: listener.failures)
    assert listener.failures == [(True, "too many interim responses")]
    server.close()


@pytest.mark.parametrize("is_paused", [False, True], ids=["read", "paused"])
@pytest.mark.parametrize("end", [b"0\r\n\r\n", b""], ids=["whole", "cut"])
def test_a_response_in_many_small_chunks_keeps_its_order_and_its_end(loop, client, end, is_paused):
    """What is left for later turns arrives before what is received after it."""
    body = b"%05d" * 4000 % tuple(range(4000))
    chunks = b"".join(b"5\r\n%b\r\n" % body[n : n + 5] for n in range(0, len(body), 5))
    server = ScriptedServer(respond(CHUNKED + chunks + end))
    listener = Listener()
    exchanges: list = []
    if is_paused:
        listener.on_first_data = lambda: exchanges[0].pause()
    loop.call(
        lambda: exchanges.append(client.send(server.address, HttpRequest("GET", "/"), listener))
    )
    loop.wait_until(lambda: listener.body)
    loop.call(exchanges[0].resume)
    loop.wait_until(lambda: listener.done)
    assert (listener.body, bool(listener.ended)) == (body, bool(end))
    server.close()
