"""Invalid and unusual input of callers, over real sockets, with a trivial request handler."""

import contextlib
import json
import socket
import struct
import time

import h11
import msgspec
import pytest
from parsleyrudder import FAILURE_KIND_BY_CODE, failure
from parsleyrudder_adapters.http_server import HttpServer
from parsleyrudder_adapters.request_reader import RequestLimits

LIMITS = RequestLimits(
    header_bytes=2048, target_bytes=512, body_bytes=4096, connections=8, request_s=0.3, idle_s=5.0
)
GET = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
BIG = b"x" * 4_000_000


class Handler:
    """Echoes requests; a few paths respond in other ways."""

    def __init__(self):
        self.gone = []
        self.open = []
        self.targets = []

    def on_request(self, exchange):
        request = exchange.request
        self.targets.append(request.target)
        exchange.request_id = "id-1"
        if request.target == "/raise":
            raise RuntimeError("secret detail")
        if request.target == "/inject":
            headers = [
                ("X-Good", "1"),
                ("X-Bad", "a\r\nX-Evil: 1"),
                ("X Bad", "1"),
                ("X-U", "\u20ac"),
            ]
            exchange.respond(299, b"ok", [*headers, ("Transfer-Encoding", "chunked")])
        elif request.target in ("/stream", "/abort", "/fail"):
            exchange.start_stream(200, [("Content-Type", "text/event-stream")])
            exchange.write(b"data: 1\n\n")
            if request.target == "/abort":
                exchange.abort()
            elif request.target == "/fail":
                exchange.fail(failure("server_failed", "test"))
            else:
                exchange.finish_stream()
        elif request.target in ("/hold", "/endless"):
            exchange.on_gone = lambda: self.gone.append(request.target)
            self.open.append(exchange)
            if request.target == "/endless":
                exchange.start_stream(200, [])
        elif request.target == "/big":
            exchange.respond(200, BIG)
        elif request.target == "/empty":
            exchange.respond(204, b"not allowed")
        else:
            echo = {"method": request.method, "target": request.target, "body": len(request.body)}
            exchange.respond_json(200, json.dumps(echo).encode())


@pytest.fixture
def handler():
    return Handler()


@pytest.fixture
def server(loop, handler):
    def start():
        server = HttpServer(loop.timers, ("127.0.0.1", 0), LIMITS, handler)
        return server.register(loop)

    return loop.call(start)


def connect(server):
    sock = socket.create_connection(("127.0.0.1", server.port))
    sock.settimeout(20)
    return sock


def read_responses(sock, methods):
    """Return status, headers and body of each response; the body is None if it was truncated."""
    responses: list = []
    rest = b""
    for method in methods:
        parser = h11.Connection(h11.CLIENT)
        parser.send(h11.Request(method=method, target="/", headers=[("Host", "h")]))
        parser.send(h11.EndOfMessage())
        parser.receive_data(rest) if rest else None
        head, body, truncated = None, b"", False
        while not truncated:
            try:
                event = parser.next_event()
            except h11.RemoteProtocolError:
                truncated = True
                continue
            if event is h11.NEED_DATA:
                try:
                    parser.receive_data(sock.recv(65536))
                except ConnectionResetError:
                    truncated = True
            elif isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed):
                return responses
        headers = {k.decode(): v.decode() for k, v in head.headers} if head else {}
        responses.append((head.status_code if head else 0, headers, None if truncated else body))
        rest = parser.trailing_data[0]
    return responses


def is_closed(sock):
    try:
        return sock.recv(1) == b""
    except ConnectionResetError:
        return True


def post(headers, body=b"", target=b"/a", version=b"1.1"):
    return b"POST %b HTTP/%b\r\nHost: h\r\n%b\r\n\r\n%b" % (target, version, headers, body)


CHUNKED = b"Transfer-Encoding: chunked"
# Each row: the bytes to send, and the code of the expected error response.
REFUSED = {
    "both length headers": (post(b"Content-Length: 3\r\n" + CHUNKED, b"0\r\n\r\n"), "bad_request"),
    "bad Content-Length": (post(b"Content-Length: x1"), "bad_request"),
    "negative Content-Length": (post(b"Content-Length: -1"), "bad_request"),
    "signed Content-Length": (post(b"Content-Length: +1"), "bad_request"),
    "repeated Content-Length": (post(b"Content-Length: 1\r\nContent-Length: 1"), "bad_request"),
    "list of Content-Length": (post(b"Content-Length: 1, 1"), "bad_request"),
    "conflicting Content-Length": (post(b"Content-Length: 1\r\ncontent-length: 2"), "bad_request"),
    "endless Content-Length": (post(b"Content-Length: " + b"9" * 900), "bad_request"),
    "unknown transfer coding": (post(b"Transfer-Encoding: gzip, chunked"), "bad_request"),
    "chunks in HTTP/1.0": (post(CHUNKED, b"0\r\n\r\n", version=b"1.0"), "bad_request"),
    "bad chunk size": (post(CHUNKED, b"-1\r\nx\r\n"), "bad_request"),
    "folded line": (post(b"X-A: 1\r\n b: 2"), "bad_request"),
    "bare CR": (post(b"X-A: 1\rX-B: 2"), "bad_request"),
    "bare LF": (post(b"X-A: 1\nX-B: 2"), "bad_request"),
    "only LF, never CRLF": (b"GET / HTTP/1.1\nHost: h\n\n", "bad_request"),
    "NUL in a header": (post(b"X-A: 1\0"), "bad_request"),
    "NUL in the target": (b"GET /\0 HTTP/1.1\r\nHost: h\r\n\r\n", "bad_request"),
    "space before the colon": (post(b"Content-Length : 1", b"x"), "bad_request"),
    "no Host": (b"GET / HTTP/1.1\r\n\r\n", "bad_request"),
    "two Authorization headers": (post(b"Authorization: a\r\nAuthorization: b"), "bad_request"),
    "TLS hello": (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", "bad_request"),
    "HTTP/2 preface": (b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", "bad_request"),
    "authority as target": (b"CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n", "bad_request"),
    "huge headers": (post(b"X-A: " + b"a" * 3000), "headers_too_large"),
    "endless header": (b"GET / HTTP/1.1\r\nX-A: " + b"a" * 3000, "headers_too_large"),
    "huge target": (b"GET /" + b"a" * 600 + b" HTTP/1.1\r\nHost: h\r\n\r\n", "uri_too_long"),
    "endless target": (b"GET /" + b"a" * 3000, "uri_too_long"),
    "declared body too large": (post(b"Content-Length: 5000", b"x" * 5000), "body_too_large"),
    "chunks too large": (post(CHUNKED, b"1388\r\n%b\r\n" % (b"x" * 5000)), "body_too_large"),
    "short body": (post(b"Content-Length: 5", b"abc"), "request_timeout"),
    "short head": (b"GET / HTTP/1.1\r\nHost: h\r\n", "request_timeout"),
    "chunk declared too large": (post(CHUNKED, b"FFFFFFFFFFFFFFFFF\r\n"), "body_too_large"),
    "later chunk too large": (post(CHUNKED, b"2\r\nxy\r\nfff\r\n"), "body_too_large"),
    "missing last chunk": (post(CHUNKED, b"1\r\nx\r\n"), "request_timeout"),
}


@pytest.mark.parametrize("name", REFUSED)
def test_invalid_input_gets_documented_error_and_close(server, handler, name):
    """Guards against request smuggling, tracebacks in responses, unlimited input and hangs."""
    sent, code = REFUSED[name]
    with connect(server) as sock:
        sock.sendall(sent)
        ((status, headers, body),) = read_responses(sock, ["GET"])
        kind = FAILURE_KIND_BY_CODE[code]
        error = json.loads(body)["error"]
        assert (status, error["code"]) == (kind.status, code)
        assert error["outcome"] == headers["x-rudder-outcome"] == "not_run"
        assert error["remedy"] == kind.remedy
        assert error["message"]
        assert is_closed(sock)
    assert not handler.targets


ACCEPTED = {
    "escapes": (b"GET /a%2Fb%00%zz HTTP/1.1\r\nHost: h\r\n\r\n", ["/a%2Fb%00%zz"]),
    "double slash": (b"GET //a//b HTTP/1.1\r\nHost: h\r\n\r\n", ["//a//b"]),
    "dots": (b"GET /a/../../b/. HTTP/1.1\r\nHost: h\r\n\r\n", ["/a/../../b/."]),
    "absolute target": (b"GET http://h:1/a?b HTTP/1.1\r\nHost: h\r\n\r\n", ["/a?b"]),
    "absolute target, no path": (b"GET http://h?b HTTP/1.1\r\nHost: h\r\n\r\n", ["/?b"]),
    "empty line first": (b"\r\n" + GET, ["/a"]),
    "pipelined": (GET + post(b"Content-Length: 1", b"x", b"/b") + GET * 40, None),
    "chunks and trailers": (post(CHUNKED, b"2;e=1\r\nxy\r\n0\r\nX-T: 1\r\n\r\n") + GET, ["/a"] * 2),
    "pipelined after a stream": (GET.replace(b"/a", b"/stream") + GET, ["/stream", "/a"]),
    "pipelined after 204": (GET.replace(b"/a", b"/empty") + GET, ["/empty", "/a"]),
}


@pytest.fixture
def server_with_long_timeout(loop, handler):
    """A server with a time limit that slow, bytewise sending on a busy machine does not reach."""
    limits = msgspec.structs.replace(LIMITS, request_s=60.0)

    def start():
        server = HttpServer(loop.timers, ("127.0.0.1", 0), limits, handler)
        return server.register(loop)

    return loop.call(start)


@pytest.mark.parametrize("step", [0, 1, 7])
@pytest.mark.parametrize("name", ACCEPTED)
def test_valid_requests_are_answered_in_order_with_unchanged_targets(
    server_with_long_timeout, handler, name, step
):
    """Guards against redirects, lost pipelined requests and framing that depends on read sizes."""
    sent, targets = ACCEPTED[name]
    targets = targets or ["/a", "/b", *["/a"] * 40]
    with connect(server_with_long_timeout) as sock:
        for position in range(0, len(sent), step or len(sent)):
            sock.sendall(sent[position : position + (step or len(sent))])
            # Lets the server read the first parts one by one; later ones may be read together.
            time.sleep(0.01 if step and position < 8 else 0.0)
        responses = read_responses(sock, ["GET"] * len(targets))
    assert handler.targets == targets
    echoed = [json.loads(body)["target"] for _, _, body in responses if body[:1] == b"{"]
    assert echoed == [target for target in targets if target not in ("/stream", "/empty")]
    assert all(status in (200, 204) for status, _, _ in responses)


def test_pipelined_requests_exceeding_all_buffers_are_answered(server):
    """Guards against recursion, and against refusing requests only because they are pipelined."""
    count = 3000
    with connect(server) as sock:
        responses, view = b"", memoryview(GET * count)
        sock.setblocking(False)
        deadline = time.monotonic() + 20
        while responses.count(b"HTTP/1.1 200") < count and time.monotonic() < deadline:
            if view:
                with contextlib.suppress(BlockingIOError):
                    view = view[sock.send(view) :]
            try:
                responses += sock.recv(1 << 20)
            except BlockingIOError:
                time.sleep(0.001)
        assert responses.count(b"HTTP/1.1 200") == count


def test_expect_continue_is_answered_once_and_before_the_body(server):
    """Guards against a caller that waits forever, and against a second 100 within the response."""
    with connect(server) as sock:
        sock.sendall(post(b"Content-Length: 4\r\nExpect: 100-continue"))
        assert sock.recv(100) == b"HTTP/1.1 100 Continue\r\n\r\n"
        sock.sendall(b"ab")
        time.sleep(0.02)
        sock.sendall(b"cd")
        assert sock.recv(12) == b"HTTP/1.1 200"


def test_head_response_has_no_body_and_http_1_0_is_closed(server):
    """Guards against a body taken for the response after a HEAD, and against a hang."""
    with connect(server) as sock:
        sock.sendall(b"HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n" + GET)
        (_, headers, body), (status, _, _) = read_responses(sock, ["HEAD", "GET"])
        assert (body, status) == (b"", 200)
        assert int(headers["content-length"]) > 0
    with connect(server) as sock:
        sock.sendall(b"GET /stream HTTP/1.0\r\n\r\n")
        ((status, headers, body),) = read_responses(sock, ["GET"])
        assert (status, body) == (200, b"data: 1\n\n")
        assert "transfer-encoding" not in headers


def test_handler_exception_keeps_connection_and_hides_traceback(server, handler):
    """Guards against a traceback sent to a caller, and a connection that is stuck afterwards."""
    with connect(server) as sock:
        sock.sendall(GET + GET.replace(b"/a", b"/raise") + GET)
        responses = read_responses(sock, ["GET"] * 3)
    assert [status for status, _, _ in responses] == [200, 500, 200]
    error = json.loads(responses[1][2])["error"]
    assert (error["code"], error["outcome"]) == ("internal_error", "unknown")
    assert b"secret" not in responses[1][2]
    assert b"Traceback" not in responses[1][2]


def test_response_headers_cannot_inject_or_change_framing(server):
    """Guards against response splitting, and against an unknown status that breaks a response."""
    with connect(server) as sock:
        sock.sendall(GET.replace(b"/a", b"/inject") + GET)
        (status, headers, body), (second, _, _) = read_responses(sock, ["GET"] * 2)
    assert (status, body, second) == (299, b"ok", 200)
    assert headers["x-good"] == "1"
    assert not {"x-evil", "x-bad", "x-u", "transfer-encoding"} & headers.keys()


@pytest.mark.parametrize("version", [b"1.0", b"1.1"])
@pytest.mark.parametrize("path", [b"/abort", b"/fail"])
def test_aborted_response_is_distinguishable_from_complete_one(server, path, version):
    """Guards against a truncated stream that looks complete."""
    with connect(server) as sock:
        sock.sendall(b"GET %b HTTP/%b\r\nHost: h\r\n\r\n" % (path, version))
        responses = read_responses(sock, ["GET"])
    assert responses == [] or responses[0][2] is None


@pytest.mark.parametrize("path", [b"/hold", b"/endless"])
@pytest.mark.parametrize("how", ["close", "half-close", "reset"])
def test_disconnect_during_response_is_reported_once(loop, server, handler, path, how):
    """Guards against work for disconnected callers, and a busy loop on half-closed sockets."""
    sock = connect(server)
    sock.sendall(b"GET %b HTTP/1.1\r\nHost: h\r\n\r\n" % path)
    loop.wait_until(lambda: handler.open)
    if how == "half-close":
        sock.shutdown(socket.SHUT_WR)
    else:
        if how == "reset":
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.close()
    loop.wait_until(lambda: handler.gone)
    loop.call(lambda: handler.open[0].write(b"late"))
    loop.call(lambda: handler.open[0].finish_stream())
    assert handler.gone == [path.decode()]
    assert (server.open_exchanges, server.request_reader.connection_count) == (0, 0)
    sock.close()


def test_half_closed_caller_gets_rest_of_complete_response(server):
    """Guards against discarding buffered bytes when the caller has finished sending."""
    with connect(server) as sock:
        sock.sendall(GET.replace(b"/a", b"/big"))
        assert sock.recv(1)
        sock.shutdown(socket.SHUT_WR)
        received = 1
        while data := sock.recv(1 << 20):
            received += len(data)
    assert received > len(BIG)


def test_connections_over_limit_are_refused_until_others_close(loop, server):
    """Guards against unlimited connections, and against a limit that counts closed ones."""
    socks = [connect(server) for _ in range(LIMITS.connections)]
    with connect(server) as sock:
        ((status, headers, body),) = read_responses(sock, ["GET"])
        assert (status, json.loads(body)["error"]["code"]) == (503, "too_many_connections")
        assert headers["retry-after"] == "1"
    for sock in socks:
        sock.close()
    loop.wait_until(lambda: server.request_reader.connection_count == 0)
    with connect(server) as sock:
        sock.sendall(GET)
        assert read_responses(sock, ["GET"])[0][0] == 200


def test_idle_connections_make_room_for_new_ones_the_longest_idle_first(loop, server, handler):
    """Guards against callers refused for the sake of connections that nobody uses."""
    idle = [connect(server) for _ in range(LIMITS.connections - 1)]
    with contextlib.ExitStack() as stack:
        for sock in [*idle, busy := stack.enter_context(connect(server))]:
            sock.sendall(GET)
            assert read_responses(sock, ["GET"])[0][0] == 200
        busy.sendall(GET.replace(b"/a", b"/hold"))
        loop.wait_until(lambda: handler.open)
        new = stack.enter_context(connect(server))
        new.sendall(GET)
        assert read_responses(new, ["GET"])[0][0] == 200
        assert is_closed(idle[0])
        idle[1].sendall(GET)
        assert read_responses(idle[1], ["GET"])[0][0] == 200
        loop.call(lambda: handler.open[0].respond(200, b"held"))
        assert read_responses(busy, ["GET"])[0][2] == b"held"
    for sock in idle:
        sock.close()


def test_error_response_survives_body_still_being_sent(server):
    """Guards against a reset that discards the error response before the caller has read it."""
    with connect(server) as sock:
        sock.sendall(post(b"Content-Length: 900000"))
        sock.sendall(b"x" * 900000)
        assert read_responses(sock, ["POST"])[0][0] == 413


@pytest.mark.parametrize("part", [b"", b"GET / HT", b"POST /a HTTP/1.1\r\nContent-Length: 3\r\n"])
def test_time_limits_hold_after_earlier_requests_and_slow_responses(loop, server, handler, part):
    """Guards against a time limit that starts at an earlier request, or is lost after one."""
    with connect(server) as sock:
        for _ in range(3):
            sock.sendall(GET)
            assert read_responses(sock, ["GET"])[0][0] == 200
        sock.sendall(GET.replace(b"/a", b"/hold"))
        loop.wait_until(lambda: handler.open)
        time.sleep(2 * LIMITS.request_s)
        loop.call(lambda: handler.open[0].respond(200, b"held"))
        assert read_responses(sock, ["GET"])[0][2] == b"held"
        sock.sendall(part)
        if part:
            assert read_responses(sock, ["GET"])[0][0] == 408
        else:
            sock.sendall(GET)
            assert read_responses(sock, ["GET"])[0][0] == 200


def test_idle_connection_is_closed_without_response(loop, handler):
    """Guards against connections that stay open forever, and against unsolicited responses."""
    limits = RequestLimits(request_s=5.0, idle_s=0.2)

    def start():
        return HttpServer(loop.timers, ("127.0.0.1", 0), limits, handler).register(loop)

    server = loop.call(start)
    with connect(server) as sock:
        sock.sendall(GET)
        assert read_responses(sock, ["GET"])[0][0] == 200
        assert is_closed(sock)
