"""Stand-in of the platform's instance list, which lags."""

import asyncio
import time
from collections import deque

from .web import Reply, WebRequest

__all__ = ["InstanceListStandIn"]


class InstanceListStandIn:
    """States of instances; a change shows after a lag.

    ``POST /standin/state`` with ``{"id": ..., "state": ...}`` changes a state.
    """

    def __init__(self, ids: list[str], lag_s: float) -> None:
        self._state_by_id = dict.fromkeys(ids, "live")
        self._changes: deque[tuple[float, str, str]] = deque()
        self._lag_s = lag_s

    async def handle(self, request: WebRequest, reply: Reply) -> None:
        """Answer one request."""
        await asyncio.sleep(0)
        if request.path == "/standin/state":
            change = request.json()
            due = time.monotonic() + self._lag_s
            self._changes.append((due, change["id"], change["state"]))
            await reply.send_json(200, {})
            return
        while self._changes and self._changes[0][0] <= time.monotonic():
            _, id, state = self._changes.popleft()
            self._state_by_id[id] = state
        instances = [{"id": id, "state": state} for id, state in self._state_by_id.items()]
        await reply.send_json(200, instances)
