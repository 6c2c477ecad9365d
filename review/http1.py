"""Minimal HTTP/1.1 for the stand-ins: requests with a length, responses with a length or chunks."""

import asyncio
import json


class Request:
    """One request that a stand-in has received."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.path, _, self.query = target.partition("?")
        self.headers = headers
        self.body = body


async def read_head(reader):
    """Return the first line and the headers (lower-case names), or None at the end of input."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    """Return a body with a length or in chunks; empty if there is neither."""
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += data[:-2]
    length = int(headers.get("content-length", 0))
    return await reader.readexactly(length) if length else b""


async def read_request(reader):
    """Return the next request on a connection, or None."""
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ", 2)
    return Request(method, target, head[1], await read_body(reader, head[1]))


def response(status, body=b"", headers=()):
    """Return the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def response_json(status, document, headers=()):
    """Return the bytes of a response with a JSON body."""
    body = json.dumps(document).encode()
    return response(status, body, [("Content-Type", "application/json"), *headers])


class Server:
    """A listener whose connections can be cut, and which can go away and come back.

    Subclasses define ``handle(request, writer)``.
    """

    def __init__(self):
        self.host, self.port = "", 0
        self._server = None
        self._writers = set()

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def start(self, host, port=0):
        """Listen; with port 0 on a free port, which is kept for the next start."""
        self._server = await asyncio.start_server(self._serve, host, port or self.port)
        self.host, self.port = self._server.sockets[0].getsockname()[:2]

    async def stop(self):
        """Stop to listen and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (request := await read_request(reader)) is not None:
                await self.handle(request, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def handle(self, request, writer):
        raise NotImplementedError


async def call(address, method, target, headers=(), body=b"", timeout_s=5.0):
    """Send a request on a new connection; return status, headers and body (status 0: no answer)."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {target} HTTP/1.1", f"Content-Length: {len(body)}"]
            lines += [f"{name}: {value}" for name, value in headers]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            head = await read_head(reader)
            if head is None:
                return 0, {}, b""
            status = int(head[0].split(" ")[1])
            return status, head[1], await read_body(reader, head[1])
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, {}, b""
    finally:
        if writer is not None:
            writer.close()
