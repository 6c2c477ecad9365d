"""Stand-in of a model engine: chat completions at a fixed token rate, in a limited batch."""

import asyncio
import json
import random
import time
import zlib
from typing import Any
from urllib.parse import parse_qs

from .cache_log import CacheLog
from .web import Reply, WebRequest

__all__ = ["EngineStandIn"]

_LOAD_LAG_S = 0.5
_DEFAULT_TOKENS = 32
_CHARS_PER_TOKEN = 4


class EngineStandIn:
    """Streams tokens ``w0 w1 ...`` whose number depends on the prompt only.

    Requests over the batch size wait inside, as in a real engine. ``POST /standin/fault`` with
    ``{"mode": ...}`` sets a fault: ``up``, ``hang`` (accepts and says nothing), ``cut`` (each
    stream is cut after ``after`` tokens), ``end`` (it ends there without its end mark), ``stop``
    (it says nothing more there), ``garbage`` (events that are no JSON), ``fail`` (status 500),
    ``refuse`` (503, not run). With ``{"ignore_resume": true}`` streams always start at the first
    token.

    :param window: requests that run at the same time.
    :param token_s: time per token.
    :param fenced: whether orders with an old fencing number are refused.
    :param load_s: time that a load of weights takes; it runs no calls meanwhile.
    :param model: what it holds at the start; empty for a model that no pool asks for.
    """

    def __init__(
        self,
        window: int,
        token_s: float,
        fenced: bool = True,
        load_s: float = 0.0,
        model: str = "",
    ) -> None:
        self._slots = asyncio.Semaphore(window)
        self._window = window
        self._token_s = token_s
        self._fenced = fenced
        self._fence = 0
        self._mode = "up"
        self._after = 0
        self._ignore_resume = False
        self._cache = CacheLog()
        self.running = 0
        self.waiting = 0
        self._reported = {"running": 0, "waiting": 0, "window": window}
        self.most_running = 0
        self.executions: dict[str, int] = {}
        self.orders: list[dict[str, Any]] = []
        self._load_s = load_s
        self.loaded: dict[str, Any] | None = None
        if model:
            self.loaded = {"model": model, "version": "", "adapters": [], "role": "both"}
        self.loading: dict[str, Any] | None = None
        self._load_task: asyncio.Task[None] | None = None
        self._service = _Service()

    async def report_load(self) -> None:
        """Keep the load report behind the truth, for ever."""
        while True:
            await asyncio.sleep(_LOAD_LAG_S)
            self._reported = {
                "running": self.running,
                "waiting": self.waiting,
                "window": self._window,
            }

    async def handle(self, request: WebRequest, reply: Reply) -> None:
        """Answer one request."""
        if request.path == "/v1/chat/completions":
            await self._complete(request, reply)
        elif request.path == "/load":
            await reply.send_json(200, self._reported)
        elif request.path == "/cache/events":
            after = int(parse_qs(request.query).get("after", ["0"])[0])
            await reply.send_json(200, self._cache.published(after))
        elif request.path == "/models":
            state = {"loaded": self.loaded, "loading": self.loading, "running": self.running}
            await reply.send_json(200, state)
        elif request.path == "/orders":
            await self._order(request, reply)
        elif request.path == "/standin/fault":
            fault = request.json()
            self._mode, self._after = fault["mode"], fault.get("after", 0)
            self._ignore_resume = fault.get("ignore_resume", False)
            await reply.send_json(200, {})
        elif request.path == "/standin/counts":
            counts = {"executions": self.executions, "most_running": self.most_running}
            await reply.send_json(200, counts)
        elif request.path == "/standin/service":
            await reply.send_json(200, self._service.document())
        else:
            await reply.send_json(404, {"error": "not found"})

    async def _complete(self, request: WebRequest, reply: Reply) -> None:
        if self._mode == "hang":
            await asyncio.sleep(3600)
        if self._mode == "fail":
            await reply.send_json(500, {"error": "engine failure"})
            return
        if self._mode == "refuse" or self.loading is not None:
            await reply.send(503, b"{}", {"X-Not-Run": "true"})
            return
        body = request.json()
        id = request.headers.get("x-request-id", "")
        self.executions[id] = self.executions.get(id, 0) + 1
        self.waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        user = body.get("user", "")
        self._service.change_running(user, 1)
        try:
            first = int(request.headers.get("x-resume-from", 0))
            self._cache.used(body["messages"])
            await self._stream(body, id, 0 if self._ignore_resume else first, reply)
        finally:
            self.running -= 1
            self._service.change_running(user, -1)
            self._slots.release()

    async def _stream(self, body: dict[str, Any], id: str, first: int, reply: Reply) -> None:
        headers = {"Content-Type": "text/event-stream"}
        if first:
            headers["X-Resumed-From"] = str(first)
        await reply.start(200, headers)
        total = tokens_of(body)
        for index in range(first, total):
            await asyncio.sleep(self._token_s)
            if self._mode in ("cut", "end", "stop") and index - first >= self._after:
                await self._break(reply)
                return
            if self._mode == "garbage":
                await reply.write(b"data: {no JSON\n\n")
                continue
            self._service.count(body, index == first)
            choice = {"index": 0, "delta": {"content": f"w{index} "}, "finish_reason": None}
            await _write_event(reply, {"id": id, "choices": [choice]})
        choice = {"index": 0, "delta": {}, "finish_reason": "stop"}
        await _write_event(reply, {"id": id, "choices": [choice]})
        await reply.write(b"data: [DONE]\n\n")
        await reply.finish()

    async def _break(self, reply: Reply) -> None:
        if self._mode == "cut":
            reply.cut()
        elif self._mode == "end":
            await reply.finish()
        else:
            await asyncio.sleep(3600)

    async def _order(self, request: WebRequest, reply: Reply) -> None:
        order = request.json()
        if self._fenced and order["fence"] < self._fence:
            await reply.send_json(409, {"error": "old fencing number", "fence": self._fence})
            return
        self._fence = max(self._fence, order["fence"])
        self.orders.append(order)
        if order["wanted"] not in (self.loaded, self.loading):
            self._begin_load(order["wanted"])
        await reply.send_json(200, {"fence": self._fence})

    def _begin_load(self, wanted: dict[str, Any]) -> None:
        if self._load_task is not None:
            self._load_task.cancel()
        self.loaded, self.loading = None, wanted
        self._load_task = asyncio.ensure_future(self._load(wanted))

    async def _load(self, wanted: dict[str, Any]) -> None:
        await asyncio.sleep(self._load_s)
        self.loaded, self.loading = wanted, None


class _Service:
    """Work done so far, for measurements; a request's field ``user`` names its member.

    The counts outlive restarts of routers, which those of the routers do not.
    """

    def __init__(self) -> None:
        self._tokens_by_user: dict[str, int] = {}
        self._prompt_tokens_by_user: dict[str, int] = {}
        self._running_by_user: dict[str, int] = {}
        self._busy_slot_s = 0.0
        self._changed_at = time.monotonic()
        self._started = 0

    def change_running(self, user: str, step: int) -> None:
        """Note the begin (1) or end (-1) of a request's run."""
        self._integrate()
        self._running_by_user[user] = self._running_by_user.get(user, 0) + step
        self._started += max(0, step)

    def count(self, body: dict[str, Any], is_first: bool) -> None:
        """Count one token, and with the first the prompt."""
        user = body.get("user", "")
        self._tokens_by_user[user] = self._tokens_by_user.get(user, 0) + 1
        if is_first:
            chars = sum(len(message["content"]) for message in body["messages"])
            known = self._prompt_tokens_by_user.get(user, 0)
            self._prompt_tokens_by_user[user] = known + max(1, chars // _CHARS_PER_TOKEN)

    def document(self) -> dict[str, Any]:
        """Return all counts as plain data."""
        self._integrate()
        return {
            "tokens": self._tokens_by_user,
            "prompt_tokens": self._prompt_tokens_by_user,
            "running": self._running_by_user,
            "busy_slot_s": self._busy_slot_s,
            "started": self._started,
            "at": self._changed_at,
        }

    def _integrate(self) -> None:
        now = time.monotonic()
        running = sum(self._running_by_user.values())
        self._busy_slot_s += running * (now - self._changed_at)
        self._changed_at = now


def tokens_of(body: dict[str, Any]) -> int:
    """Return the number of tokens that a request gets, from 1 to ``max_tokens``.

    The distribution is long-tailed: most answers use a small part of what they may.
    """
    most = int(body.get("max_tokens") or _DEFAULT_TOKENS)
    if body.get("exact_tokens"):
        return most
    rng = random.Random(zlib.crc32(json.dumps(body["messages"]).encode()))
    return max(1, min(most, round(most * rng.paretovariate(1.5) / 4)))


async def _write_event(reply: Reply, document: dict[str, Any]) -> None:
    await reply.write(b"data: " + json.dumps(document).encode() + b"\n\n")
