"""Failures of servers, over real sockets against a scripted server."""

import contextlib
import os
import socket
import struct
import threading

import pytest
from parsleyrudder_adapters.http_client import HttpClient, HttpRequest

OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class Listener:
    def __init__(self):
        self.status = None
        self.body = b""
        self.ended = 0
        self.failures = []
        self.on_first_data = lambda: None

    def on_head(self, status, headers):
        self.status = status

    def on_data(self, data):
        first = not self.body
        self.body += data
        if first:
            self.on_first_data()

    def on_end(self):
        self.ended += 1

    def on_failed(self, sent, reason):
        self.failures.append((sent, reason))

    @property
    def done(self):
        return self.ended or self.failures


class ScriptedServer:
    """Server that runs one script per accepted connection, in a thread."""

    def __init__(self, *scripts):
        self._sock = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._sock.getsockname()[1]}"
        self.requests = []
        self._thread = threading.Thread(target=self._run, args=(scripts,), daemon=True)
        self._thread.start()

    def _run(self, scripts):
        for script in scripts:
            connection, _ = self._sock.accept()
            connection.settimeout(20)
            with connection:
                script(self, connection)

    def receive(self, connection):
        """Read one request with a short body."""
        data = connection.recv(65536)
        self.requests.append(data)
        return data

    def join(self):
        """Wait until all scripts have run."""
        self._thread.join(20)

    def close(self):
        self._sock.close()


def respond(*parts, reset=False, wait=False):
    """Return a script that reads a request, sends parts and closes the connection.

    :param reset: whether the close resets the connection.
    :param wait: whether to wait before the close until the client closes or sends more.
    """

    def script(server, connection):
        server.receive(connection)
        for part in parts:
            connection.sendall(part)
        if wait:
            with contextlib.suppress(OSError):
                connection.recv(1)
        if reset:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))

    return script


def respond_each(*responses):
    """Return a script that responds to requests on one connection in turn, then closes it."""

    def script(server, connection):
        for data in responses:
            server.receive(connection)
            connection.sendall(data)

    return script


@pytest.fixture
def client(loop):
    client = loop.call(lambda: HttpClient(loop.timers, connect_timeout_s=0.2).register(loop))
    yield client
    loop.call(client.close_idle)
    assert not client._connection_by_sock


def send(loop, client, address, timeout_s=None, listener=None, **fields):
    listener = listener or Listener()
    request = HttpRequest(fields.pop("method", "GET"), fields.pop("target", "/"), **fields)
    exchange = loop.call(lambda: client.send(address, request, listener, timeout_s))
    return exchange, listener


# Each row: script of the server, status or None, body, whether the response is complete, `sent`.
RESPONSES = {
    "complete": (respond(OK), 200, b"ok", True, True),
    "byte by byte": (respond(*(OK[i : i + 1] for i in range(len(OK)))), 200, b"ok", True, True),
    "chunked": (
        respond(CHUNKED + b"1\r\na\r\n2;x=y\r\nbc\r\n0\r\nT: 1\r\n\r\n"),
        200,
        b"abc",
        True,
        True,
    ),
    "chunked in pieces": (
        respond(CHUNKED + b"1\r", b"\na\r\n", b"2\r\nb", b"c\r\n0\r\n", b"\r\n"),
        200,
        b"abc",
        True,
        True,
    ),
    "ended by close": (respond(b"HTTP/1.0 200 OK\r\n\r\nab"), 200, b"ab", True, True),
    "reset instead of the end by close": (
        respond(b"HTTP/1.0 200 OK\r\n\r\nab", reset=True),
        None,
        None,
        False,
        True,
    ),
    "1xx first": (
        respond(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nA: b\r\n\r\n" + OK),
        200,
        b"ok",
        True,
        True,
    ),
    "no body allowed": (respond(b"HTTP/1.1 204 None\r\n\r\n"), 204, b"", True, True),
    "cut before any byte": (respond(), None, b"", False, True),
    "reset before any byte": (respond(reset=True), None, b"", False, True),
    "cut in the head": (respond(HEAD[:20]), None, b"", False, True),
    "cut in the body": (respond(HEAD + b"abc"), 200, b"abc", False, True),
    "reset in the body": (respond(HEAD + b"abc", reset=True), None, None, False, True),
    "cut in a chunk": (respond(CHUNKED + b"5\r\nabc"), 200, b"abc", False, True),
    "no last chunk": (respond(CHUNKED + b"3\r\nabc\r\n"), 200, b"abc", False, True),
    "bad chunk size": (respond(CHUNKED + b"xyz\r\nabc\r\n", wait=True), 200, b"", False, True),
    "negative chunk size": (respond(CHUNKED + b"-3\r\nabc\r\n", wait=True), 200, b"", False, True),
    "bad Content-Length": (
        respond(b"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n", wait=True),
        None,
        b"",
        False,
        True,
    ),
    "two Content-Lengths": (
        respond(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", wait=True),
        None,
        b"",
        False,
        True,
    ),
    "no HTTP": (respond(b"\x16\x03\x01 hello\r\n\r\n", wait=True), None, b"", False, True),
    "endless head": (
        respond(b"HTTP/1.1 200 OK\r\nA: " + b"x" * 70000, wait=True),
        None,
        b"",
        False,
        True,
    ),
}


@pytest.mark.parametrize("name", RESPONSES)
def test_response_is_complete_or_reported_as_failed(loop, client, name):
    """Guards against a truncated response taken as complete, and a failure reported twice."""
    script, status, body, complete, sent = RESPONSES[name]
    server = ScriptedServer(script)
    _, listener = send(loop, client, server.address)
    loop.wait_until(lambda: listener.done)
    assert (listener.ended, len(listener.failures)) == ((1, 0) if complete else (0, 1))
    if listener.failures:
        assert listener.failures[0][0] is sent
    if body is not None:
        assert (listener.status, listener.body) == (status, body)
    server.close()


@pytest.fixture
def full_backlog():
    """An address whose connections stay pending, because the listen backlog is full."""
    with socket.create_server(("127.0.0.1", 0), backlog=0) as server:
        fillers = []
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(server.getsockname())
            fillers.append(filler)
        yield f"127.0.0.1:{server.getsockname()[1]}"
        for filler in fillers:
            filler.close()


def test_failed_connects_are_reported_as_not_sent(loop, client, full_backlog):
    """Guards against requests that may not be repeated although no byte of them was sent."""
    with socket.create_server(("127.0.0.1", 0)) as closed:
        refused = f"127.0.0.1:{closed.getsockname()[1]}"
    bad: list[dict] = [{"target": "/a b"}, {"headers": [("A", "b\r\nC: d")]}]
    addresses = [refused, full_backlog, "localhost:80", "::1:80", "127.0.0.1:x", "127.0.0.1:99999"]
    sent = [send(loop, client, address) for address in addresses]
    sent += [send(loop, client, refused, **fields) for fields in bad]
    for _, listener in sent:
        loop.wait_until(lambda listener=listener: listener.done)
        assert [failure[0] for failure in listener.failures] == [False]
    assert "timed out" in sent[1][1].failures[0][1]


def test_idle_connection_is_reused_only_if_allowed_and_open(loop, client):
    """Guards against a request lost on a connection that the server has closed."""
    server = ScriptedServer(respond_each(OK, OK), respond(OK, wait=True), respond(OK))
    for reuse in (True, True, True, False):
        _, listener = send(loop, client, server.address, reuse=reuse)
        loop.wait_until(lambda listener=listener: listener.done)
        assert listener.ended
        if len(server.requests) == 2:
            loop.wait_until(lambda: not client._connection_by_sock)
        if len(server.requests) == 3:
            assert len(client._connection_by_sock) == 1
            loop.call(client.close_idle)
    assert len(server.requests) == 4
    server.close()


def test_surplus_bytes_are_not_the_response_to_the_next_request(loop, client):
    """Guards against a response that is delivered for another request."""
    server = ScriptedServer(respond(OK + OK.replace(b"ok", b"no"), wait=True), respond(OK))
    for _ in range(2):
        _, listener = send(loop, client, server.address, reuse=True)
        loop.wait_until(lambda listener=listener: listener.done)
        assert listener.body == b"ok"
    server.close()


def test_early_response_to_an_unread_body_is_received(loop, client):
    """Guards against the loss of an X-Not-Run refusal because sending the body fails."""
    not_run = b"HTTP/1.1 503 No\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n"
    server = ScriptedServer(respond(not_run, wait=True), respond(OK))
    _, listener = send(
        loop, client, server.address, method="POST", body=b"x" * 8_000_000, reuse=True
    )
    loop.wait_until(lambda: listener.done)
    assert (listener.status, listener.ended) == (503, 1)
    assert not client._connection_by_sock
    server.close()


@pytest.mark.parametrize("state", ["connecting", "sent", "head", "body", "paused", "ended"])
def test_cancel_in_each_state_closes_without_listener_calls(loop, client, full_backlog, state):
    """Guards against leaked sockets and late calls for a cancelled request."""
    parts = {"head": [HEAD], "body": [HEAD + b"a"], "paused": [HEAD + b"a"], "ended": [OK]}
    server = ScriptedServer(respond(*parts.get(state, []), wait=True))
    address = full_backlog if state == "connecting" else server.address
    exchange, listener = send(loop, client, address, timeout_s=5.0)
    reached = {
        "connecting": lambda: True,
        "sent": lambda: exchange.sent,
        "head": lambda: listener.status,
        "ended": lambda: listener.ended,
    }
    loop.wait_until(reached.get(state, lambda: listener.body))
    if state == "paused":
        loop.call(exchange.pause)
    loop.call(exchange.cancel)
    loop.call(exchange.cancel)
    loop.call(exchange.resume)
    assert listener.failures == []
    assert listener.ended == (state == "ended")
    loop.call(client.close_idle)
    assert not client._connection_by_sock
    server.close()


def test_cancel_during_delivery_stops_the_response(loop, client):
    """Guards against listener calls after a cancel during the same read."""
    server = ScriptedServer(respond(CHUNKED + b"1\r\na\r\n" * 50 + b"0\r\n\r\n", wait=True))
    listener = Listener()
    exchange: list = []
    listener.on_first_data = lambda: exchange[0].cancel()

    def start():
        exchange.append(client.send(server.address, HttpRequest("GET", "/"), listener))

    loop.call(start)
    loop.wait_until(lambda: listener.body and not client._connection_by_sock)
    assert (listener.body, listener.done) == (b"a", [])
    server.close()


def test_pause_applies_backpressure_and_resume_loses_nothing(loop, client):
    """Guards against unbounded buffering for a slow reader, and against bytes lost by a pause."""
    total = 8_000_000
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % total
    written = []

    def script(server, connection):
        server.receive(connection)
        connection.sendall(head)
        view = memoryview(b"x" * total)
        while view:
            count = connection.send(view)
            written.append(count)
            view = view[count:]

    server = ScriptedServer(script)
    listener = Listener()
    exchange: list = []
    listener.on_first_data = lambda: exchange[0].pause()
    loop.call(
        lambda: exchange.append(client.send(server.address, HttpRequest("GET", "/"), listener))
    )
    loop.wait_until(lambda: listener.body)
    received = len(listener.body)
    loop.call(lambda: None)
    assert len(listener.body) == received < 200_000
    loop.call(exchange[0].resume)
    loop.wait_until(lambda: listener.done)
    assert (listener.ended, len(listener.body)) == (1, total)
    server.close()


def test_timeout_fails_an_exchange_once(loop, client):
    """Guards against a server that hangs, and against calls after the time limit."""
    server = ScriptedServer(respond(HEAD, wait=True))
    _, listener = send(loop, client, server.address, timeout_s=0.1)
    loop.wait_until(lambda: listener.done)
    assert listener.failures == [(True, "timeout")]
    assert not client._connection_by_sock
    server.close()


def test_no_descriptor_leaks_after_any_failure(loop, client):
    """Guards against a leak of sockets in a long-running daemon."""
    faults = [row[0] for row in RESPONSES.values()]
    before = len(os.listdir("/proc/self/fd"))
    server = ScriptedServer(*faults)
    for _ in faults:
        _, listener = send(loop, client, server.address)
        loop.wait_until(lambda listener=listener: listener.done)
        loop.call(client.close_idle)
    server.close()
    loop.wait_until(lambda: len(os.listdir("/proc/self/fd")) <= before)
