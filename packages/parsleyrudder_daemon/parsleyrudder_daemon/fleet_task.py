"""Membership at this router: registration and heartbeats in the table, gossip, instance list."""

import logging
import random
from collections.abc import Callable

import msgspec
from parsleyrudder import Gossip, Put, Range, RouterInfo, TableError, Txn, TxnResult
from parsleyrudder_adapters.http_client import HttpRequest
from parsleyrudder_adapters.logs import log_event

from .context import Context

__all__ = ["FleetTask"]

_LOGGER = logging.getLogger(__name__)
_ROUTERS = "routers/"
_DRAINS = "drain/"
_HEARTBEAT_S = 5.0


class _Registration(msgspec.Struct):
    """Row of a router in the table."""

    info: RouterInfo
    heartbeat: int
    leaving: bool = False


class _Instance(msgspec.Struct):
    """Entry of the platform's instance list."""

    id: str
    state: str


class FleetTask:
    """Owner of this router's membership.

    :param on_version: called with a peer's name and its configuration's version.
    :param on_leaving: called with the ids of the servers that are leaving, when they change.
    """

    def __init__(
        self,
        context: Context,
        rng: random.Random,
        on_version: Callable[[str, int], None],
        on_leaving: Callable[[frozenset[str]], None],
    ) -> None:
        self._context = context
        self._rng = rng
        self._on_version = on_version
        self._on_leaving = on_leaving
        self._heartbeat = 0
        self._listed: frozenset[str] = frozenset()
        self._drained: frozenset[str] = frozenset()
        self._announced: frozenset[str] = frozenset()

    def start(self) -> None:
        """Begin to announce this router and to look for the others."""
        context = self._context
        for seed in context.settings.peers.seeds:
            info = RouterInfo(seed.name, 0, "", seed.address, seed.caller_url)
            context.view.learn(info, 0, False, context.now())
        context.timers.every(_HEARTBEAT_S, self.write_heartbeat)
        context.timers.every(context.settings.peers.gossip_interval_s, self._gossip)
        context.timers.every(context.settings.instances.interval_s, self._read_instances)
        self.write_heartbeat()
        self._read_instances()

    def leaving(self) -> frozenset[str]:
        """Return the ids of the servers that are leaving."""
        return self._listed | self._drained

    def write_heartbeat(self) -> None:
        """Write this router's row and read the others'."""
        context = self._context
        self._heartbeat += 1
        row = _Registration(context.view.me, self._heartbeat, context.view.leaving)
        put = Put(_ROUTERS + context.name, msgspec.json.encode(row))
        reads = (Range(_ROUTERS, prefix=True), Range(_DRAINS, prefix=True))
        context.table.txn(Txn((), (put,), (), reads), self._on_rows)

    def say_goodbye(self) -> None:
        """Tell table and peers that this router is leaving."""
        self._context.view.leaving = True
        self.write_heartbeat()
        for info in self._context.view.peers(self._context.now()):
            self._send_gossip(info.name, reply=False)

    def unregister(self) -> None:
        """Remove this router's row."""
        txn = Txn((), (), (_ROUTERS + self._context.name,))
        self._context.table.txn(txn, lambda result: None)

    def on_gossip(self, gossip: Gossip) -> None:
        """Take a peer's gossip."""
        context = self._context
        now = context.now()
        lacking = context.view.on_gossip(gossip, now)
        self._on_version(gossip.sender, gossip.version)
        if gossip.reply:
            self._send_gossip(gossip.sender, reply=lacking, full=True)

    def _gossip(self) -> None:
        context = self._context
        count = context.settings.peers.gossip_fan_out
        for info in context.view.pick_peers(count, self._rng, context.now()):
            self._send_gossip(info.name, reply=True)

    def _send_gossip(self, name: str, reply: bool, full: bool = False) -> None:
        context = self._context
        gossip = context.view.gossip(
            context.config.version, context.table_health.up, reply, context.now(), (), full
        )
        context.send(name, gossip)

    def _on_rows(self, result: TxnResult | TableError) -> None:
        context = self._context
        context.table_health.note(not isinstance(result, TableError))
        if isinstance(result, TableError) or len(result.rows) < 2:
            return
        for row in result.rows[0]:
            registration = msgspec.json.decode(row.value, type=_Registration)
            # Heartbeats in the table and in gossip are counted apart; a row only introduces.
            info = registration.info
            known = context.view.info(info.name)
            if known is None or known.incarnation < info.incarnation:
                context.view.learn(info, 0, registration.leaving, context.now())
        self._drained = frozenset(row.key.removeprefix(_DRAINS) for row in result.rows[1])
        self._announce()

    def _read_instances(self) -> None:
        address = self._context.settings.instances.address
        request = HttpRequest("GET", "/instances", reuse=True)
        self._context.client.send(address, request, _InstancesListener(self._on_instances), 2.0)

    def _on_instances(self, instances: list[_Instance]) -> None:
        leaving = frozenset(item.id for item in instances if item.state == "leaving")
        for name in leaving:
            self._context.view.mark_leaving(name)
        self._listed = leaving
        self._announce()

    def _announce(self) -> None:
        leaving = self.leaving()
        if leaving != self._announced:
            self._announced = leaving
            log_event(_LOGGER, "servers_leaving", servers=",".join(sorted(leaving)))
            self._on_leaving(leaving)


class _InstancesListener:
    """Collects the answer of the instance list; a failed read is repeated at the next interval."""

    def __init__(self, done: Callable[[list[_Instance]], None]) -> None:
        self._done = done
        self._body = bytearray()

    def on_head(self, status: int, headers: list[tuple[str, str]]) -> None:
        pass

    def on_data(self, data: bytes) -> None:
        self._body += data

    def on_end(self) -> None:
        try:
            instances = msgspec.json.decode(bytes(self._body), type=list[_Instance])
        except msgspec.DecodeError as error:
            log_event(_LOGGER, "instance_list_refused", logging.WARNING, reason=error)
            return
        self._done(instances)

    def on_failed(self, sent: bool, reason: str) -> None:
        log_event(_LOGGER, "instance_list_down", logging.WARNING, reason=reason)
