"""Reads the engines' load reports, for the pools that this router coordinates."""

import logging
from collections.abc import Iterable

from parsleyrudder import BackendError, EngineLoad, ServerInfo
from parsleyrudder_adapters.logs import log_event

from .context import Context
from .pool_task import PoolTask

__all__ = ["LoadTask"]

_LOGGER = logging.getLogger(__name__)


class LoadTask:
    """Owner of the load reads of this router."""

    def __init__(self, context: Context, pools: Iterable[PoolTask]) -> None:
        self._context = context
        self._pools = [pool for pool in pools if pool.settings.kind == "engine"]
        self._reading: set[str] = set()

    def start(self) -> None:
        """Begin to read."""
        for pool in self._pools:
            self._read_regularly(pool)

    def _read_regularly(self, pool: PoolTask) -> None:
        self._context.timers.every(pool.settings.load_interval_s, lambda: self._read(pool))

    def _read(self, pool: PoolTask) -> None:
        if pool.coordinator is None:
            return
        for server in list(pool.servers.server_by_id.values()):
            if server.id not in self._reading:
                self._reading.add(server.id)
                self._read_one(pool, server)

    def _read_one(self, pool: PoolTask, server: ServerInfo) -> None:
        def done(load: EngineLoad | BackendError) -> None:
            self._reading.discard(server.id)
            if isinstance(load, BackendError):
                log_event(
                    _LOGGER, "load_unknown", logging.WARNING, server=server.id, reason=load.message
                )
            else:
                pool.on_load(server.id, load.running, load.waiting)

        self._context.engines.load(server.address, done)
