"""Tests of the HTTP server of the stand-ins."""

import asyncio
import gc
import socket
import struct

from parsleyrudder_standins.threaded import StandInServer
from parsleyrudder_standins.web import serve

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


async def _reset_while_a_response_is_written():
    is_over = asyncio.Event()

    async def handle(request, reply):
        try:
            await reply.start(200, {"Transfer-Encoding": "chunked"})
            while True:
                await reply.write(b"x" * 65536)
                await asyncio.sleep(0)
        finally:
            is_over.set()

    server = await serve(handle, 0)
    client = socket.create_connection(server.sockets[0].getsockname())
    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    client.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
    await asyncio.sleep(0.05)
    client.close()
    await is_over.wait()
    server.close()
    await asyncio.sleep(0)


def test_a_reset_connection_leaves_no_error_for_the_garbage_collector(caplog):
    """Its traceback was formatted in another thread, where it made a test fail that parsed code."""
    for _ in range(5):
        asyncio.run(_reset_while_a_response_is_written())
        gc.collect()
    assert "never retrieved" not in caplog.text


async def _respond(request, reply):
    await reply.send(200, b"ok")


def test_a_stand_in_that_is_stopped_closes_its_connections():
    """The garbage collector closed them, and its error made a later test fail that parsed code."""
    server = StandInServer(_respond)
    host, port = server.address.split(":")
    with socket.create_connection((host, int(port)), timeout=1.0) as connection:
        connection.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        connection.recv(1)
        gc.disable()
        try:
            server.close()
            assert connection.makefile("rb").read().startswith(b"TTP/1.1 200")
        finally:
            gc.enable()
