"""Stand-in for the platform's instance list, which shows changes after a delay."""

import asyncio
import time
from collections import deque

from .web import Reply, WebRequest

__all__ = ["InstanceListStandIn"]


class InstanceListStandIn:
    """List of instances and their states.

    ``POST /standin/state`` with ``{"id": ..., "state": ...}`` changes a state; the state ``gone``
    removes the entry.
    ``POST /standin/fault`` with ``{"mode": ...}`` sets a fault: ``up`` (none), ``down``
    (connections are closed without a response), ``hang`` (no response), ``fail`` (status 500),
    ``garbage`` (each response has the body ``body``).

    :param lag_s: time in seconds after which a change becomes visible.
    """

    def __init__(self, ids: list[str], lag_s: float) -> None:
        self._state_by_id = dict.fromkeys(ids, "live")
        self._pending_changes: deque[tuple[float, str, str]] = deque()
        self._lag_s = lag_s
        self._fault: dict[str, str] = {"mode": "up"}

    async def handle(self, request: WebRequest, reply: Reply) -> None:
        """Handle one request."""
        await asyncio.sleep(0)
        if request.path == "/standin/state":
            change = request.json()
            visible_at = time.monotonic() + self._lag_s
            self._pending_changes.append((visible_at, change["id"], change["state"]))
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
        while self._pending_changes and self._pending_changes[0][0] <= time.monotonic():
            _, id, state = self._pending_changes.popleft()
            if state == "gone":
                self._state_by_id.pop(id, None)
            else:
                self._state_by_id[id] = state
        instances = [{"id": id, "state": state} for id, state in self._state_by_id.items()]
        await reply.send_json(200, instances)
