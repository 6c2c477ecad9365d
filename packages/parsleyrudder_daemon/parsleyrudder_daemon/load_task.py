"""Reads the engines' load reports, for the pools that this router coordinates."""

import logging
from collections.abc import Iterable

import msgspec
from parsleyrudder import ServerInfo
from parsleyrudder_adapters.http_client import HttpRequest
from parsleyrudder_adapters.logs import log_event

from .context import Context
from .pool_task import PoolTask

__all__ = ["LoadTask"]

_LOGGER = logging.getLogger(__name__)
_MOST_BODY_BYTES = 65536


class _Load(msgspec.Struct):
    """Answer to ``GET /load``."""

    running: int
    waiting: int


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
                listener = _LoadListener(self, pool, server)
                request = HttpRequest("GET", "/load", reuse=True)
                timeout_s = pool.settings.load_interval_s
                self._context.client.send(server.address, request, listener, timeout_s)

    def done(self, pool: PoolTask, server: ServerInfo, status: int, body: bytes) -> None:
        """Take the answer of an engine."""
        self._reading.discard(server.id)
        try:
            load = msgspec.json.decode(body, type=_Load) if status == 200 else None
        except msgspec.DecodeError:
            load = None
        if load is None or load.running < 0 or load.waiting < 0:
            self.failed(server, f"unusable answer with status {status}")
            return
        pool.on_load(server.id, load.running, load.waiting)

    def failed(self, server: ServerInfo, reason: str) -> None:
        """Note a failed read; it is repeated at the next interval."""
        self._reading.discard(server.id)
        log_event(_LOGGER, "load_unknown", logging.WARNING, server=server.id, reason=reason)


class _LoadListener:
    """Collects one answer; see :class:`ResponseListener`."""

    def __init__(self, task: LoadTask, pool: PoolTask, server: ServerInfo) -> None:
        self._task = task
        self._pool = pool
        self._server = server
        self._status = 0
        self._body = bytearray()

    def on_head(self, status: int, headers: list[tuple[str, str]]) -> None:
        self._status = status

    def on_data(self, data: bytes) -> None:
        if len(self._body) <= _MOST_BODY_BYTES:
            self._body += data

    def on_end(self) -> None:
        self._task.done(self._pool, self._server, self._status, bytes(self._body))

    def on_failed(self, sent: bool, reason: str) -> None:
        self._task.failed(self._server, reason)
