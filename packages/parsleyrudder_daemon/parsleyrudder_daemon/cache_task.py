"""Cache events of the engines of one pool, read in turn as hints for the choice of a server."""

from parsleyrudder import BackendError, CacheEvents

from .context import Context
from .pool_task import PoolTask

__all__ = ["CacheTask"]


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
        after = self._pool.servers.hints.last_seq(server.id)
        self._context.engines.cache_events(
            server.address, after, lambda events: self._on_events(server.id, events)
        )

    def _on_events(self, server: str, events: CacheEvents | BackendError) -> None:
        """Take events; an engine without cache events, or one that fails, gives no hints."""
        if not isinstance(events, BackendError):
            self._pool.servers.hints.on_events(server, events)
