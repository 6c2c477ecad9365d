"""Polling of engine load reports, for the pools that this router coordinates."""

import logging
from collections.abc import Iterable

from parsleyrudder import BackendError, EngineLoad, ServerInfo
from parsleyrudder_adapters.logs import log_event

from .context import Context
from .pool_task import PoolTask

__all__ = ["LoadTask"]

_LOGGER = logging.getLogger(__name__)


class LoadTask:
    """Polls the load of the engines; at most one request per engine is in flight."""

    def __init__(self, context: Context, pools: Iterable[PoolTask]) -> None:
        self._context = context
        self._pools = [pool for pool in pools if pool.settings.kind == "engine"]
        self._pending_servers: set[str] = set()

    def start(self) -> None:
        """Start polling the engines of all pools."""
        for pool in self._pools:
            self._schedule_reads(pool)

    def _schedule_reads(self, pool: PoolTask) -> None:
        self._context.timers.every(pool.settings.load_interval_s, lambda: self._read_pool(pool))

    def _read_pool(self, pool: PoolTask) -> None:
        if pool.coordinator is None:
            return
        for server in list(pool.load_balancer.server_by_id.values()):
            if server.id not in self._pending_servers:
                self._pending_servers.add(server.id)
                self._read_server(pool, server)

    def _read_server(self, pool: PoolTask, server: ServerInfo) -> None:
        def on_load(load: EngineLoad | BackendError) -> None:
            self._pending_servers.discard(server.id)
            if isinstance(load, BackendError):
                log_event(
                    _LOGGER, "load_unknown", logging.WARNING, server=server.id, reason=load.message
                )
            else:
                pool.on_load(server.id, load.running, load.waiting)

        self._context.engines.load(server.address, on_load)
