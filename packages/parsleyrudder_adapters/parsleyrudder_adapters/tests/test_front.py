"""Hazards of what callers send, over real sockets against a front with a trivial handler."""

import contextlib
import json
import socket
import struct
import time

import h11
import msgspec
import pytest
from parsleyrudder import FAILURE_KIND_BY_CODE, failure
from parsleyrudder_adapters.front import CallerFront
from parsleyrudder_adapters.guard import GuardLimits

LIMITS = GuardLimits(
    header_bytes=2048, target_bytes=512, body_bytes=4096, connections=8, request_s=0.3, idle_s=5.0
)
GET = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
BIG = b"x" * 4_000_000


class Handler:
    """Echoes what arrived; a few paths answer in other ways."""

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
            exchange.answer(299, b"ok", [*headers, ("Transfer-Encoding", "chunked")])
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
            exchange.answer(200, BIG)
        elif request.target == "/empty":
            exchange.answer(204, b"not allowed")
        else:
            seen = {"method": request.method, "target": request.target, "body": len(request.body)}
            exchange.answer_json(200, json.dumps(seen).encode())


@pytest.fixture
def handler():
    return Handler()


@pytest.fixture
def front(loop, handler):
    def start():
        front = CallerFront(loop.timers, ("127.0.0.1", 0), LIMITS, handler)
        return front.register(loop)

    return loop.call(start)


def connect(front):
    sock = socket.create_connection(("127.0.0.1", front.port))
    sock.settimeout(20)
    return sock


def read_answers(sock, methods):
    """Return status, headers and body of each answer; a body that was cut is None."""
    answers: list = []
    rest = b""
    for method in methods:
        parser = h11.Connection(h11.CLIENT)
        parser.send(h11.Request(method=method, target="/", headers=[("Host", "h")]))
        parser.send(h11.EndOfMessage())
        parser.receive_data(rest) if rest else None
        head, body, cut = None, b"", False
        while not cut:
            try:
                event = parser.next_event()
            except h11.RemoteProtocolError:
                cut = True
                continue
            if event is h11.NEED_DATA:
                try:
                    parser.receive_data(sock.recv(65536))
                except ConnectionResetError:
                    cut = True
            elif isinstance(event, h11.Response):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                break
            elif isinstance(event, h11.ConnectionClosed):
                return answers
        headers = {k.decode(): v.decode() for k, v in head.headers} if head else {}
        answers.append((head.status_code if head else 0, headers, None if cut else body))
        rest = parser.trailing_data[0]
    return answers


def is_closed(sock):
    try:
        return sock.recv(1) == b""
    except ConnectionResetError:
        return True


def post(headers, body=b"", target=b"/a", version=b"1.1"):
    return b"POST %b HTTP/%b\r\nHost: h\r\n%b\r\n\r\n%b" % (target, version, headers, body)


CHUNKED = b"Transfer-Encoding: chunked"
# Each row: what is sent, and per answer "method status code-or-None".
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
    "two keys of callers": (post(b"Authorization: a\r\nAuthorization: b"), "bad_request"),
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
    "no last chunk": (post(CHUNKED, b"1\r\nx\r\n"), "request_timeout"),
}


@pytest.mark.parametrize("name", REFUSED)
def test_invalid_input_gets_the_documented_error_and_a_close(front, handler, name):
    """Guards against smuggling, tracebacks, unbounded input and waiting for ever."""
    sent, code = REFUSED[name]
    with connect(front) as sock:
        sock.sendall(sent)
        ((status, headers, body),) = read_answers(sock, ["GET"])
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
def patient_front(loop, handler):
    """A front whose time limit no test can reach that sends byte by byte on a busy machine."""
    limits = msgspec.structs.replace(LIMITS, request_s=60.0)

    def start():
        front = CallerFront(loop.timers, ("127.0.0.1", 0), limits, handler)
        return front.register(loop)

    return loop.call(start)


@pytest.mark.parametrize("step", [0, 1, 7])
@pytest.mark.parametrize("name", ACCEPTED)
def test_valid_input_is_answered_in_order_and_unchanged(patient_front, handler, name, step):
    """Guards against redirects, lost pipelined requests and framing that depends on packets."""
    sent, targets = ACCEPTED[name]
    targets = targets or ["/a", "/b", *["/a"] * 40]
    with connect(patient_front) as sock:
        for at in range(0, len(sent), step or len(sent)):
            sock.sendall(sent[at : at + (step or len(sent))])
            # Lets the front read the first bytes one by one; later ones may come joined.
            time.sleep(0.01 if step and at < 8 else 0.0)
        answers = read_answers(sock, ["GET"] * len(targets))
    assert handler.targets == targets
    echoed = [json.loads(body)["target"] for _, _, body in answers if body[:1] == b"{"]
    assert echoed == [target for target in targets if target not in ("/stream", "/empty")]
    assert all(status in (200, 204) for status, _, _ in answers)


def test_many_pipelined_requests_beyond_all_buffers_are_answered(front):
    """Guards against recursion, and against refusing what is only sent early."""
    count = 3000
    with connect(front) as sock:
        answers, view = b"", memoryview(GET * count)
        sock.setblocking(False)
        until = time.monotonic() + 20
        while answers.count(b"HTTP/1.1 200") < count and time.monotonic() < until:
            if view:
                with contextlib.suppress(BlockingIOError):
                    view = view[sock.send(view) :]
            try:
                answers += sock.recv(1 << 20)
            except BlockingIOError:
                time.sleep(0.001)
        assert answers.count(b"HTTP/1.1 200") == count


def test_expect_continue_is_answered_once_and_before_the_body(front):
    """Guards against a caller that waits for ever, and against a second 100 within the answer."""
    with connect(front) as sock:
        sock.sendall(post(b"Content-Length: 4\r\nExpect: 100-continue"))
        assert sock.recv(100) == b"HTTP/1.1 100 Continue\r\n\r\n"
        sock.sendall(b"ab")
        time.sleep(0.02)
        sock.sendall(b"cd")
        assert sock.recv(12) == b"HTTP/1.1 200"


def test_head_has_no_body_and_http_1_0_is_closed(front):
    """Guards against a body that a HEAD caller takes for the next answer, and against hanging."""
    with connect(front) as sock:
        sock.sendall(b"HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n" + GET)
        (_, headers, body), (status, _, _) = read_answers(sock, ["HEAD", "GET"])
        assert (body, status) == (b"", 200)
        assert int(headers["content-length"]) > 0
    with connect(front) as sock:
        sock.sendall(b"GET /stream HTTP/1.0\r\n\r\n")
        ((status, headers, body),) = read_answers(sock, ["GET"])
        assert (status, body) == (200, b"data: 1\n\n")
        assert "transfer-encoding" not in headers


def test_error_of_the_handler_keeps_the_connection_and_shows_no_traceback(front, handler):
    """Guards against a traceback that reaches a caller, and a connection that is stuck after."""
    with connect(front) as sock:
        sock.sendall(GET + GET.replace(b"/a", b"/raise") + GET)
        answers = read_answers(sock, ["GET"] * 3)
    assert [status for status, _, _ in answers] == [200, 500, 200]
    error = json.loads(answers[1][2])["error"]
    assert (error["code"], error["outcome"]) == ("internal_error", "unknown")
    assert b"secret" not in answers[1][2]
    assert b"Traceback" not in answers[1][2]


def test_headers_of_a_server_cannot_inject_or_reframe(front):
    """Guards against response splitting, and against an unknown status that breaks the answer."""
    with connect(front) as sock:
        sock.sendall(GET.replace(b"/a", b"/inject") + GET)
        (status, headers, body), (second, _, _) = read_answers(sock, ["GET"] * 2)
    assert (status, body, second) == (299, b"ok", 200)
    assert headers["x-good"] == "1"
    assert not {"x-evil", "x-bad", "x-u", "transfer-encoding"} & headers.keys()


@pytest.mark.parametrize("version", [b"1.0", b"1.1"])
@pytest.mark.parametrize("path", [b"/abort", b"/fail"])
def test_caller_can_tell_an_aborted_answer_from_a_whole_one(front, path, version):
    """Guards against a cut stream that looks complete."""
    with connect(front) as sock:
        sock.sendall(b"GET %b HTTP/%b\r\nHost: h\r\n\r\n" % (path, version))
        answers = read_answers(sock, ["GET"])
    assert answers == [] or answers[0][2] is None


@pytest.mark.parametrize("path", [b"/hold", b"/endless"])
@pytest.mark.parametrize("how", ["close", "half-close", "reset"])
def test_disconnect_is_noticed_once_while_an_answer_is_made(loop, front, handler, path, how):
    """Guards against calls that go on for nobody, and a loop that spins on a half-closed socket."""
    sock = connect(front)
    sock.sendall(b"GET %b HTTP/1.1\r\nHost: h\r\n\r\n" % path)
    loop.until(lambda: handler.open)
    if how == "half-close":
        sock.shutdown(socket.SHUT_WR)
    else:
        if how == "reset":
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        sock.close()
    loop.until(lambda: handler.gone)
    loop.call(lambda: handler.open[0].write(b"late"))
    loop.call(lambda: handler.open[0].finish_stream())
    assert handler.gone == [path.decode()]
    assert (front.open_exchanges, front.guard.connections) == (0, 0)
    sock.close()


def test_half_closed_caller_gets_the_rest_of_an_answer_that_is_complete(front):
    """Guards against dropping what is buffered when the caller has finished sending."""
    with connect(front) as sock:
        sock.sendall(GET.replace(b"/a", b"/big"))
        assert sock.recv(1)
        sock.shutdown(socket.SHUT_WR)
        received = 1
        while data := sock.recv(1 << 20):
            received += len(data)
    assert received > len(BIG)


def test_connections_over_the_limit_are_refused_and_make_room_again(loop, front):
    """Guards against unbounded connections, and against a limit that counts closed ones."""
    socks = [connect(front) for _ in range(LIMITS.connections)]
    with connect(front) as sock:
        ((status, _, body),) = read_answers(sock, ["GET"])
        assert (status, json.loads(body)["error"]["code"]) == (503, "too_many_connections")
    for sock in socks:
        sock.close()
    loop.until(lambda: front.guard.connections == 0)
    with connect(front) as sock:
        sock.sendall(GET)
        assert read_answers(sock, ["GET"])[0][0] == 200


def test_error_survives_a_body_that_is_still_being_sent(front):
    """Guards against a reset that deletes the error answer before the caller has read it."""
    with connect(front) as sock:
        sock.sendall(post(b"Content-Length: 900000"))
        sock.sendall(b"x" * 900000)
        assert read_answers(sock, ["POST"])[0][0] == 413


@pytest.mark.parametrize("part", [b"", b"GET / HT", b"POST /a HTTP/1.1\r\nContent-Length: 3\r\n"])
def test_time_limits_hold_after_earlier_requests_and_slow_answers(loop, front, handler, part):
    """Guards against a limit that counts from an earlier request, or that is lost after one."""
    with connect(front) as sock:
        for _ in range(3):
            sock.sendall(GET)
            assert read_answers(sock, ["GET"])[0][0] == 200
        sock.sendall(GET.replace(b"/a", b"/hold"))
        loop.until(lambda: handler.open)
        time.sleep(2 * LIMITS.request_s)
        loop.call(lambda: handler.open[0].answer(200, b"held"))
        assert read_answers(sock, ["GET"])[0][2] == b"held"
        sock.sendall(part)
        if part:
            assert read_answers(sock, ["GET"])[0][0] == 408
        else:
            sock.sendall(GET)
            assert read_answers(sock, ["GET"])[0][0] == 200


def test_idle_connection_is_closed_without_an_answer(loop, handler):
    """Guards against connections that stay open for ever, and an answer that nobody asked for."""
    limits = GuardLimits(request_s=5.0, idle_s=0.2)

    def start():
        return CallerFront(loop.timers, ("127.0.0.1", 0), limits, handler).register(loop)

    front = loop.call(start)
    with connect(front) as sock:
        sock.sendall(GET)
        assert read_answers(sock, ["GET"])[0][0] == 200
        assert is_closed(sock)
