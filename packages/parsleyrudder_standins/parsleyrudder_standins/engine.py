"""Stand-in for a model engine: chat completions at a fixed token rate, with a batch size limit."""

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

_LOAD_REPORT_INTERVAL_S = 0.5
_DEFAULT_TOKENS = 32
_CHARS_PER_TOKEN = 4


class EngineStandIn:
    """Streams tokens ``w0 w1 ...``; their number depends only on the body of the request.

    Requests beyond the batch size wait in the engine, as in a real one. ``POST /standin/fault``
    with ``{"mode": ...}`` sets a fault: ``up`` (none), ``hang`` (accepts requests and sends no
    response), ``cut`` (closes the connection after ``after`` tokens of a stream), ``end`` (ends the
    stream there without the final ``[DONE]`` event), ``stop`` (sends nothing more from there on),
    ``garbage`` (events that are not JSON), ``fail`` (status 500), ``refuse`` (status 503, not
    executed). With ``{"ignore_resume": true}`` streams always start at the first token.

    :param window: batch size, the number of requests that run at the same time.
    :param token_s: time per token, in seconds.
    :param fenced: whether orders with a fencing number below the highest so far are refused.
    :param load_s: time to load the weights of a model, in seconds; new calls are refused
        meanwhile.
    :param model: model that is loaded at the start; empty for one that no pool asks for, which is
        reported as none.
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
        self._fault_after_tokens = 0
        self._ignore_resume = False
        self._cache_log = CacheLog()
        self.running = 0
        self.waiting = 0
        self._reported_load = {"running": 0, "waiting": 0, "window": window}
        self.most_running = 0
        self.executions: dict[str, int] = {}
        self.orders: list[dict[str, Any]] = []
        self._load_s = load_s
        self.loaded: dict[str, Any] | None = None
        if model:
            self.loaded = {"model": model, "version": "", "adapters": [], "role": "both"}
        self.loading: dict[str, Any] | None = None
        self._load_task: asyncio.Task[None] | None = None
        self._work_totals = _WorkTotals()

    async def report_load(self) -> None:
        """Update the load report at intervals, for ever, so that it lags behind the real load."""
        while True:
            await asyncio.sleep(_LOAD_REPORT_INTERVAL_S)
            self._reported_load = {
                "running": self.running,
                "waiting": self.waiting,
                "window": self._window,
            }

    async def handle(self, request: WebRequest, reply: Reply) -> None:
        """Handle one request."""
        if request.path == "/v1/chat/completions":
            await self._complete(request, reply)
        elif request.path == "/load":
            await reply.send_json(200, self._reported_load)
        elif request.path == "/cache/events":
            after = int(parse_qs(request.query).get("after", ["0"])[0])
            await reply.send_json(200, self._cache_log.published_events(after))
        elif request.path == "/models":
            state = {"loaded": self.loaded, "loading": self.loading, "running": self.running}
            await reply.send_json(200, state)
        elif request.path == "/orders":
            await self._handle_order(request, reply)
        elif request.path == "/standin/fault":
            fault = request.json()
            self._mode, self._fault_after_tokens = fault["mode"], fault.get("after", 0)
            self._ignore_resume = fault.get("ignore_resume", False)
            await reply.send_json(200, {})
        elif request.path == "/standin/counts":
            counts = {"executions": self.executions, "most_running": self.most_running}
            await reply.send_json(200, counts)
        elif request.path == "/standin/service":
            await reply.send_json(200, self._work_totals.document())
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
        self._work_totals.change_running(user, 1)
        try:
            first = int(request.headers.get("x-resume-from", 0))
            self._cache_log.record_use(body["messages"])
            await self._stream(body, id, 0 if self._ignore_resume else first, reply)
        finally:
            self.running -= 1
            self._work_totals.change_running(user, -1)
            self._slots.release()

    async def _stream(self, body: dict[str, Any], id: str, first: int, reply: Reply) -> None:
        headers = {"Content-Type": "text/event-stream"}
        if first:
            headers["X-Resumed-From"] = str(first)
        await reply.start(200, headers)
        total = completion_tokens(body)
        for index in range(first, total):
            await asyncio.sleep(self._token_s)
            if self._mode in ("cut", "end", "stop") and index - first >= self._fault_after_tokens:
                await self._fail_stream(reply)
                return
            if self._mode == "garbage":
                await reply.write(b"data: {no JSON\n\n")
                continue
            self._work_totals.count_token(body, index == first)
            choice = {"index": 0, "delta": {"content": f"w{index} "}, "finish_reason": None}
            await _write_event(reply, {"id": id, "choices": [choice]})
        choice = {"index": 0, "delta": {}, "finish_reason": "stop"}
        await _write_event(reply, {"id": id, "choices": [choice]})
        await reply.write(b"data: [DONE]\n\n")
        await reply.finish()

    async def _fail_stream(self, reply: Reply) -> None:
        if self._mode == "cut":
            reply.cut()
        elif self._mode == "end":
            await reply.finish()
        else:
            await asyncio.sleep(3600)

    async def _handle_order(self, request: WebRequest, reply: Reply) -> None:
        order = request.json()
        if self._fenced and order["fence"] < self._fence:
            await reply.send_json(409, {"error": "old fencing number", "fence": self._fence})
            return
        self._fence = max(self._fence, order["fence"])
        self.orders.append(order)
        if order["wanted"] not in (self.loaded, self.loading):
            self._start_load(order["wanted"])
        await reply.send_json(200, {"fence": self._fence})

    def _start_load(self, wanted: dict[str, Any]) -> None:
        if self._load_task is not None:
            self._load_task.cancel()
        self.loaded, self.loading = None, wanted
        self._load_task = asyncio.ensure_future(self._load(wanted))

    async def _load(self, wanted: dict[str, Any]) -> None:
        await asyncio.sleep(self._load_s)
        self.loaded, self.loading = wanted, None


class _WorkTotals:
    """Totals of the work done, for measurements; the field ``user`` of a request names its member.

    Unlike the totals of the routers, these are kept when a router restarts.
    """

    def __init__(self) -> None:
        self._tokens_by_user: dict[str, int] = {}
        self._prompt_tokens_by_user: dict[str, int] = {}
        self._running_by_user: dict[str, int] = {}
        self._busy_slot_s = 0.0
        self._integrated_until = time.monotonic()
        self._started = 0

    def change_running(self, user: str, change: int) -> None:
        """Record that a request starts (1) or stops (-1) running."""
        self._add_busy_time()
        self._running_by_user[user] = self._running_by_user.get(user, 0) + change
        self._started += max(0, change)

    def count_token(self, body: dict[str, Any], is_first: bool) -> None:
        """Count one token, and with the first one the prompt's tokens."""
        user = body.get("user", "")
        self._tokens_by_user[user] = self._tokens_by_user.get(user, 0) + 1
        if is_first:
            chars = sum(len(message["content"]) for message in body["messages"])
            counted = self._prompt_tokens_by_user.get(user, 0)
            self._prompt_tokens_by_user[user] = counted + max(1, chars // _CHARS_PER_TOKEN)

    def document(self) -> dict[str, Any]:
        """Return all totals as a JSON-serializable document."""
        self._add_busy_time()
        return {
            "tokens": self._tokens_by_user,
            "prompt_tokens": self._prompt_tokens_by_user,
            "running": self._running_by_user,
            "busy_slot_s": self._busy_slot_s,
            "started": self._started,
            "at": self._integrated_until,
        }

    def _add_busy_time(self) -> None:
        now = time.monotonic()
        running = sum(self._running_by_user.values())
        self._busy_slot_s += running * (now - self._integrated_until)
        self._integrated_until = now


def completion_tokens(body: dict[str, Any]) -> int:
    """Return the number of tokens that a request gets, from 1 to ``max_tokens``.

    The distribution is long-tailed: most completions use a small part of ``max_tokens``. The
    number depends only on the messages and ``max_tokens``.
    """
    limit = int(body.get("max_tokens") or _DEFAULT_TOKENS)
    if body.get("exact_tokens"):
        return limit
    rng = random.Random(zlib.crc32(json.dumps(body["messages"]).encode()))
    return max(1, min(limit, round(limit * rng.paretovariate(1.5) / 4)))


async def _write_event(reply: Reply, document: dict[str, Any]) -> None:
    await reply.write(b"data: " + json.dumps(document).encode() + b"\n\n")
