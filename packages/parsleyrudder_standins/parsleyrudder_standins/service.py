"""Stand-in of a plain service: answers after a time and counts each request id's executions."""

import asyncio
import json

from .web import Reply, WebRequest

__all__ = ["ServiceStandIn"]

_PART_BYTES = 16384


class ServiceStandIn:
    """Any path answers with what was executed.

    ``POST /standin/fault`` with ``{"mode": ...}`` sets a fault: ``up``, ``hang``, ``fail`` (500),
    ``refuse`` (503, not run), ``cut`` (executes, then cuts the connection unanswered). A path
    ``/large/<bytes>`` is answered with a body of that size; the mode ``part`` cuts it half way. A
    path ``/status/<code>`` is answered with that status and no body, ``/early`` with status 103
    before the answer. With the mode ``foreign`` the answer says that it is of another request.

    :param call_s: time per call.
    """

    def __init__(self, call_s: float) -> None:
        self._call_s = call_s
        self._mode = "up"
        self.running = 0
        self.most_running = 0
        self.executions: dict[str, int] = {}
        self.executions_by_key: dict[str, int] = {}

    async def handle(self, request: WebRequest, reply: Reply) -> None:
        """Answer one request."""
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
        # Executing starts with the request, whether or not its caller stays for the answer.
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
        _, kind, *rest = [*request.path.split("/"), ""]
        if kind == "large":
            await self._send_large(int(rest[0]), reply)
            return
        if kind == "status":
            await reply.start(int(rest[0]), {"ETag": '"1"'})
            await reply.finish()
            return
        if kind == "early":
            await reply.inform(103)
        status = 500 if self._mode == "fail" else 200
        document = {"method": request.method, "path": request.path, "request_id": id}
        body = json.dumps(document).encode()
        headers = {"Content-Type": "application/json"}
        if self._mode == "foreign":
            headers["X-Request-Id"] = "another-request"
        await reply.send(status, body, headers)

    async def _send_large(self, size: int, reply: Reply) -> None:
        """Answer in chunks, without a length."""
        await reply.start(200, {"Content-Type": "application/octet-stream"})
        for begin in range(0, size, _PART_BYTES):
            if self._mode == "part" and begin >= size // 2:
                reply.cut()
                return
            await reply.write(b"x" * min(_PART_BYTES, size - begin))
        await reply.finish()
