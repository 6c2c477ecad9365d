"""Servers that write a refusal once more on a kept connection, through the adapters of calls."""

import pytest
from parsleyrudder import EngineRequest, ServiceRequest
from parsleyrudder_adapters.engines import HttpEngines
from parsleyrudder_adapters.services import HttpServices

from .test_http_client import OK, Listener, ScriptedServer

REFUSAL = b"HTTP/1.1 503 No\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n"


def complete(client, address, id, attempt, listener):
    return HttpEngines(client).complete(address, EngineRequest(id, attempt, b"{}"), listener)


def call_service(client, address, id, attempt, listener):
    request = ServiceRequest(id, attempt, "GET", "/", (), b"", idempotent=True)
    return HttpServices(client).call(address, request, listener)


@pytest.mark.parametrize("send", [complete, call_service])
@pytest.mark.parametrize("ids", [("a", "b"), ("a", "a")], ids=["next-call", "next-attempt"])
def test_the_copy_of_a_refusal_is_not_the_response_to_the_next_call(loop, client, send, ids):
    """The call was reported as not run while the server ran it."""

    def refuse_twice(server, connection):
        server.receive(connection)
        connection.sendall(REFUSAL)
        if server.receive(connection):
            connection.sendall(REFUSAL)

    def respond(server, connection):
        server.receive(connection)
        connection.sendall(OK)

    server = ScriptedServer(refuse_twice, respond)
    statuses = []
    for attempt, id in enumerate(ids, start=1):
        listener = Listener()
        loop.call(
            lambda id=id, attempt=attempt, listener=listener: send(
                client, server.address, id, attempt, listener
            )
        )
        loop.wait_until(lambda listener=listener: listener.done)
        statuses.append(listener.status)
    assert statuses == [503, 200]
    server.close()
