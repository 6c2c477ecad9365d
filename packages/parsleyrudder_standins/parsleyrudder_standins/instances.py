"""Stand-in of the platform's instance list, which lags."""

import asyncio
import time
from collections import deque

from .web import Reply, WebRequest

__all__ = ["InstanceListStandIn"]


class InstanceListStandIn:
    """States of instances; a change shows after a lag.

    ``POST /standin/state`` with ``{"id": ..., "state": ...}`` changes a state; the state ``gone``
    removes the entry.
    ``POST /standin/fault`` with ``{"mode": ...}`` sets a fault: ``up``, ``down`` (connections are
    cut), ``hang``, ``fail`` (status 500), ``garbage`` (each answer has the body ``body``).
    """

    def __init__(self, ids: list[str], lag_s: float) -> None:
        self._state_by_id = dict.fromkeys(ids, "live")
        self._changes: deque[tuple[float, str, str]] = deque()
        self._lag_s = lag_s
        self._fault: dict[str, str] = {"mode": "up"}

    async def handle(self, request: WebRequest, reply: Reply) -> None:
        """Answer one request."""
        await asyncio.sleep(0)
        if request.path == "/standin/state":
            change = request.json()
            due = time.monotonic() + self._lag_s
            self._changes.append((due, change["id"], change["state"]))
            await reply.send_json(200, {})
            return
        if request.path == "/standin/fault":
            self._fault = request.json()
            await reply.send_json(200, {})
            return
        mode = self._fault["mode"]
        if mode == "down":
            reply.cut()
            return
        if mode == "hang":
            await asyncio.sleep(3600)
        if mode in ("fail", "garbage"):
            status = 500 if mode == "fail" else 200
            await reply.send(status, self._fault.get("body", "").encode())
            return
        while self._changes and self._changes[0][0] <= time.monotonic():
            _, id, state = self._changes.popleft()
            if state == "gone":
                self._state_by_id.pop(id, None)
            else:
                self._state_by_id[id] = state
        instances = [{"id": id, "state": state} for id, state in self._state_by_id.items()]
        await reply.send_json(200, instances)
