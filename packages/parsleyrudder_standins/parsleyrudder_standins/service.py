"""Stand-in for a plain service: responds after a delay and counts executions per request id."""

import asyncio
import json

from .web import Reply, WebRequest

__all__ = ["ServiceStandIn"]

_CHUNK_BYTES = 16384


class ServiceStandIn:
    """Responds to any path with the method, path and id of the request.

    ``POST /standin/fault`` with ``{"mode": ...}`` sets a fault: ``up`` (none), ``hang`` (no
    response), ``fail`` (status 500), ``refuse`` (status 503, not executed), ``cut`` (executes, then
    closes the connection without a response), ``part`` (closes the connection half way through a
    large body), ``foreign`` (the response has the id of another request).

    The response to a path ``/large/<bytes>`` has a body of that size, the one to
    ``/status/<code>`` that status and no body. ``/early`` gets an interim response with status 103
    before the final one.

    :param call_s: time per call, in seconds.
    """

    def __init__(self, call_s: float) -> None:
        self._call_s = call_s
        self._mode = "up"
        self.running = 0
        self.most_running = 0
        self.executions: dict[str, int] = {}
        self.executions_by_key: dict[str, int] = {}

    async def handle(self, request: WebRequest, reply: Reply) -> None:
        """Handle one request."""
        if request.path == "/standin/fault":
            self._mode = request.json()["mode"]
            await reply.send_json(200, {})
        elif request.path == "/standin/counts":
            counts = {
                "executions": self.executions,
                "executions_by_key": self.executions_by_key,
                "most_running": self.most_running,
            }
            await reply.send_json(200, counts)
        elif self._mode == "refuse":
            await reply.send(503, b"{}", {"X-Not-Run": "true"})
        else:
            await self._execute(request, reply)

    async def _execute(self, request: WebRequest, reply: Reply) -> None:
        id = request.headers.get("x-request-id", "")
        # A request counts as executed on arrival, even if its caller disconnects early.
        self.executions[id] = self.executions.get(id, 0) + 1
        key = request.headers.get("idempotency-key")
        if key is not None:
            self.executions_by_key[key] = self.executions_by_key.get(key, 0) + 1
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            await asyncio.sleep(3600 if self._mode == "hang" else self._call_s)
        finally:
            self.running -= 1
        if self._mode == "cut":
            reply.cut()
            return
        _, kind, *arguments = [*request.path.split("/"), ""]
        if kind == "large":
            await self._send_large(int(arguments[0]), reply)
            return
        if kind == "status":
            await reply.start(int(arguments[0]), {"ETag": '"1"'})
            await reply.finish()
            return
        if kind == "early":
            await reply.send_interim(103)
        status = 500 if self._mode == "fail" else 200
        document = {"method": request.method, "path": request.path, "request_id": id}
        body = json.dumps(document).encode()
        headers = {"Content-Type": "application/json"}
        if self._mode == "foreign":
            headers["X-Request-Id"] = "another-request"
        await reply.send(status, body, headers)

    async def _send_large(self, size: int, reply: Reply) -> None:
        """Send a body in chunks, without a Content-Length."""
        await reply.start(200, {"Content-Type": "application/octet-stream"})
        for offset in range(0, size, _CHUNK_BYTES):
            if self._mode == "part" and offset >= size // 2:
                reply.cut()
                return
            await reply.write(b"x" * min(_CHUNK_BYTES, size - offset))
        await reply.finish()
