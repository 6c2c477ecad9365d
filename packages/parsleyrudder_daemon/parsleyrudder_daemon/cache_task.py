"""Polling of the engines' prefix cache events, which the load balancer uses as hints."""

from parsleyrudder import BackendError, CacheEvents

from .context import Context
from .pool_task import PoolTask

__all__ = ["CacheTask"]


class CacheTask:
    """Polls ``GET /cache/events?after=`` of each engine of one pool once per interval.

    The requests to the engines are spread evenly over the interval.
    """

    def __init__(self, context: Context, pool: PoolTask) -> None:
        self._context = context
        self._pool = pool
        self._read_count = 0

    def start(self) -> None:
        """Start polling, unless the pool has no engines or ``cache_interval_s`` is 0."""
        if self._pool.settings.kind == "engine" and self._pool.settings.cache_interval_s > 0:
            self._read_next()

    def _read_next(self) -> None:
        servers = list(self._pool.load_balancer.server_by_id.values())
        interval_s = self._pool.settings.cache_interval_s
        self._context.timers.after(interval_s / max(1, len(servers)), self._read_next)
        if not servers:
            return
        self._read_count += 1
        server = servers[self._read_count % len(servers)]
        after = self._pool.load_balancer.hints.last_seq(server.id)
        self._context.engines.cache_events(
            server.address, after, lambda events: self._on_events(server.id, events)
        )

    def _on_events(self, server: str, events: CacheEvents | BackendError) -> None:
        """Apply events; errors are ignored, as an engine need not offer cache events."""
        if not isinstance(events, BackendError):
            self._pool.load_balancer.hints.on_events(server, events)
