"""Cache events of the engines of one pool, read in turn as hints for the choice of a server."""

import msgspec
from parsleyrudder import CacheEvents
from parsleyrudder_adapters.http_client import HttpRequest

from .context import Context
from .pool_task import PoolTask

__all__ = ["CacheTask"]

_READ_LIMIT_S = 2.0
_MOST_BYTES = 1 << 20


class CacheTask:
    """Reads ``GET /cache/events?after=`` of each engine once per interval."""

    def __init__(self, context: Context, pool: PoolTask) -> None:
        self._context = context
        self._pool = pool
        self._turn = 0

    def start(self) -> None:
        """Begin to read, unless the pool has no engines or the setting is 0."""
        if self._pool.settings.kind == "engine" and self._pool.settings.cache_interval_s > 0:
            self._step()

    def _step(self) -> None:
        servers = list(self._pool.servers.server_by_id.values())
        interval_s = self._pool.settings.cache_interval_s
        self._context.timers.after(interval_s / max(1, len(servers)), self._step)
        if not servers:
            return
        self._turn += 1
        server = servers[self._turn % len(servers)]
        after = self._pool.servers.hints.after(server.id)
        request = HttpRequest("GET", f"/cache/events?after={after}", reuse=True)
        listener = _EventsListener(self._pool, server.id)
        self._context.client.send(server.address, request, listener, _READ_LIMIT_S)


class _EventsListener:
    """Takes one answer; an engine without cache events, or one that fails, gives no hints."""

    def __init__(self, pool: PoolTask, server: str) -> None:
        self._pool = pool
        self._server = server
        self._status = 0
        self._body = bytearray()

    def on_head(self, status: int, headers: list[tuple[str, str]]) -> None:
        self._status = status

    def on_data(self, data: bytes) -> None:
        if len(self._body) <= _MOST_BYTES:
            self._body += data

    def on_end(self) -> None:
        if self._status != 200:
            return
        try:
            events = msgspec.json.decode(bytes(self._body), type=CacheEvents)
        except msgspec.DecodeError:
            return
        self._pool.servers.hints.on_events(self._server, events)

    def on_failed(self, sent: bool, reason: str) -> None:
        pass
