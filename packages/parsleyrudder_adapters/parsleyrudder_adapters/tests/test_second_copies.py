"""Servers that send a second copy of a response, late, over real sockets."""

import time

import pytest
from parsleyrudder_adapters.http_client import HttpRequest, ResponseMatch

from .test_http_client import Listener, ScriptedServer

PIECE_PAUSE_S = 0.05


def response(id, body, framing):
    head = b"HTTP/1.1 200 OK\r\n" + (b"X-Id: %b\r\n" % id if id else b"")
    if framing == "chunked":
        return head + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (
            len(body),
            body,
        )
    return head + b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


def match(id):
    def match_response(headers):
        ids = [value for name, value in headers if name == "x-id"]
        if not ids:
            return ResponseMatch.UNKNOWN
        return ResponseMatch.OWN if ids[0] == id else ResponseMatch.OTHER

    return match_response


def call(loop, client, server, id):
    listener = Listener()
    request = HttpRequest("GET", "/", reuse=True, match_response=match(id))
    loop.call(lambda: client.send(server.address, request, listener))
    loop.wait_until(lambda: listener.done)
    return listener


@pytest.mark.parametrize("framing", ["length", "chunked"])
@pytest.mark.parametrize("split_at", [0, 10, 40, -1])
@pytest.mark.parametrize("copy_id", [b"a", b""], ids=["named", "unnamed"])
def test_a_second_copy_never_reaches_the_next_caller(loop, client, framing, split_at, copy_id):
    """A copy that named no request was taken for the response to the next one."""

    def serve(server, connection):
        server.receive(connection)
        connection.sendall(response(b"a", b"first", framing))
        server.receive(connection)
        copy = response(copy_id, b"first", framing)
        connection.sendall(copy[:split_at])
        time.sleep(PIECE_PAUSE_S)
        connection.sendall(copy[split_at:] + response(b"b", b"second", framing))
        server.receive(connection)

    server = ScriptedServer(serve)
    assert call(loop, client, server, "a").body == b"first"
    listener = call(loop, client, server, "b")
    if copy_id:
        assert (listener.body, listener.failures) == (b"second", [])
    else:
        assert listener.body == b""
        assert listener.failures[0][0]
    server.close()


def test_each_response_that_names_no_request_is_accepted_on_a_new_connection(loop, client):
    """The second request used the connection of the first, where its response was not accepted."""

    def serve(server, connection):
        for _ in range(2):
            server.receive(connection)
            connection.sendall(response(b"", b"own", "length"))

    server = ScriptedServer(serve, serve)
    assert [call(loop, client, server, id).body for id in ("a", "b")] == [b"own", b"own"]
    server.close()


def test_a_connection_is_not_used_again_after_a_second_copy(loop, client):
    """Each further copy, once it named no request, broke off the request of another caller."""

    def serve(server, connection):
        server.receive(connection)
        connection.sendall(response(b"a", b"first", "length"))
        server.receive(connection)
        connection.sendall(response(b"a", b"first", "length"))
        connection.sendall(response(b"b", b"second", "length"))
        server.receive(connection)

    def serve_anew(server, connection):
        server.receive(connection)
        connection.sendall(response(b"c", b"third", "length"))

    server = ScriptedServer(serve, serve_anew)
    bodies = [call(loop, client, server, id).body for id in ("a", "b", "c")]
    assert bodies == [b"first", b"second", b"third"]
    server.close()
