"""Small HTTP/1.1 server for stand-ins, with asyncio streams and h11."""

import asyncio
import contextlib
import json
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from typing import Any

import h11

__all__ = ["Handler", "Reply", "WebRequest", "serve"]

_READ_BYTES = 65536


@dataclass(slots=True)
class WebRequest:
    """A request, with its complete body."""

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body decoded from JSON; None if it is empty."""
        return json.loads(self.body or b"null")


class Reply:
    """Writer of the response to one request, which is sent at once or streamed."""

    def __init__(self, parser: h11.Connection, writer: asyncio.StreamWriter) -> None:
        self._parser = parser
        self._writer = writer
        self.started = False

    @property
    def is_closed(self) -> bool:
        """Whether the connection is closed or closing."""
        return self._writer.is_closing()

    @property
    def connection(self) -> asyncio.StreamWriter:
        """The connection, which later requests may share."""
        return self._writer

    async def send(self, status: int, body: bytes, headers: dict[str, str] | None = None) -> None:
        """Send a complete response."""
        fields = {"Content-Length": str(len(body)), **(headers or {})}
        await self.start(status, fields)
        if body:
            await self.write(body)
        await self.finish()

    async def send_json(self, status: int, document: Any) -> None:
        """Send a complete response with a JSON body."""
        body = json.dumps(document).encode()
        await self.send(status, body, {"Content-Type": "application/json"})

    async def start(self, status: int, headers: dict[str, str]) -> None:
        """Send the status line and headers."""
        self.started = True
        event = h11.Response(status_code=status, headers=list(headers.items()))
        await self._send_event(event)

    async def send_interim(self, status: int) -> None:
        """Send an interim response (1xx), before :meth:`start`."""
        await self._send_event(h11.InformationalResponse(status_code=status, headers=[]))

    async def write(self, data: bytes) -> None:
        """Send a part of the body."""
        await self._send_event(h11.Data(data=data))

    async def finish(self) -> None:
        """End the body."""
        await self._send_event(h11.EndOfMessage())

    async def write_raw(self, data: bytes) -> None:
        """Send bytes that bypass the HTTP parser."""
        self._writer.write(data)
        await self._writer.drain()

    def cut(self) -> None:
        """Abort the connection without sending what is still buffered."""
        self._writer.transport.abort()

    async def _send_event(self, event: Any) -> None:
        self._writer.write(self._parser.send(event) or b"")
        await self._writer.drain()


Handler = Callable[[WebRequest, Reply], Coroutine[Any, Any, None]]


async def serve(handler: Handler, port: int) -> asyncio.Server:
    """Start a server on a port of the loopback interface; 0 takes a free port."""

    async def on_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            with contextlib.suppress(
                ConnectionError, h11.ProtocolError, asyncio.IncompleteReadError
            ):
                await _serve_connection(handler, reader, writer)
        finally:
            writer.close()

    return await asyncio.start_server(on_connection, "127.0.0.1", port)


async def _serve_connection(
    handler: Handler, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    parser = h11.Connection(h11.SERVER)
    while True:
        request = await _receive_request(parser, reader)
        if request is None:
            return
        reply = Reply(parser, writer)
        if not await _handle_while_connected(handler(request, reply), parser, reader):
            return
        if parser.our_state is not h11.DONE or parser.their_state is not h11.DONE:
            return
        parser.start_next_cycle()


async def _handle_while_connected(
    handling: Coroutine[Any, Any, None], parser: h11.Connection, reader: asyncio.StreamReader
) -> bool:
    """Handle a request until its client closes the connection; return whether it is still open."""
    handler_task = asyncio.ensure_future(handling)
    next_read = asyncio.ensure_future(reader.read(_READ_BYTES))
    try:
        await asyncio.wait({handler_task, next_read}, return_when=asyncio.FIRST_COMPLETED)
        if next_read.done() and not handler_task.done() and not next_read.result():
            return False
        await handler_task
        if next_read.done():
            early_data = next_read.result()
            if not early_data:
                return False
            parser.receive_data(early_data)
        return True
    finally:
        # The errors of both tasks have to be retrieved, or asyncio logs them at a later time.
        handler_task.cancel()
        next_read.cancel()
        await asyncio.gather(handler_task, next_read, return_exceptions=True)


async def _receive_request(
    parser: h11.Connection, reader: asyncio.StreamReader
) -> WebRequest | None:
    head: h11.Request | None = None
    body = bytearray()
    while True:
        event = parser.next_event()
        if event is h11.NEED_DATA:
            data = await reader.read(_READ_BYTES)
            if not data and head is None:
                return None
            parser.receive_data(data)
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            path, _, query = head.target.decode().partition("?")
            headers = {k.decode(): v.decode() for k, v in head.headers}
            return WebRequest(head.method.decode(), path, query, headers, bytes(body))
        else:
            return None
