"""Membership at this router: registration and heartbeats in the table, gossip, instance list."""

import logging
import random
import time
from collections.abc import Callable

import msgspec
from parsleyrudder import (
    BackendError,
    Compare,
    Gossip,
    HeartbeatMonitor,
    Instance,
    Put,
    Range,
    RouterInfo,
    TableError,
    Txn,
    TxnResult,
    next_incarnation,
)
from parsleyrudder_adapters.etcd import BlockingEtcdTable
from parsleyrudder_adapters.logs import log_event
from parsleyrudder_adapters.settings import Settings

from .context import Context

__all__ = ["FleetTask", "first_incarnation"]

_LOGGER = logging.getLogger(__name__)
_ROUTERS = "routers/"
_DRAINS = "drain/"
_HEARTBEAT_S = 5.0
_READERS = 2
_START_READ_S = 1.0
_SMALL_FLEET = 64


class _Registration(msgspec.Struct):
    """Row of a router in the table."""

    info: RouterInfo
    heartbeat: int
    leaving: bool = False


def first_incarnation(settings: Settings) -> int:
    """Return the incarnation of this start, from the wall clock and the row of the last start.

    While the table is down the wall clock alone decides.
    """
    txn = Txn(reads=(Range(_ROUTERS + settings.router.name),))
    before = 0
    try:
        rows = BlockingEtcdTable(settings.table.address, _START_READ_S).txn(txn).rows[0]
        if rows:
            before = msgspec.json.decode(rows[0].value, type=_Registration).info.incarnation
    except (TableError, msgspec.DecodeError) as error:
        log_event(_LOGGER, "row_unknown", logging.WARNING, reason=error)
    return next_incarnation(time.time(), before)


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
        self._outlived = False
        self._listed: frozenset[str] = frozenset()
        self._ever_listed: set[str] = set()
        self._drained: frozenset[str] = frozenset()
        self._rows = HeartbeatMonitor()
        self._revision_by_name: dict[str, int] = {}
        context.view.rng = rng
        self._announced: frozenset[str] = frozenset()

    def start(self) -> None:
        """Begin to announce this router and to look for the others."""
        context = self._context
        for seed in context.settings.peers.seeds:
            info = RouterInfo(seed.name, 0, "", seed.address, seed.caller_url)
            context.view.add_unconfirmed(info, False, context.now())
        context.timers.every(_HEARTBEAT_S, self.write_heartbeat)
        context.timers.every(context.settings.peers.gossip_interval_s, self._gossip)
        context.timers.every(context.settings.instances.interval_s, self._read_instances)
        self.write_heartbeat()
        self._read_instances()

    def leaving(self) -> frozenset[str]:
        """Return the ids of the servers that are leaving."""
        heard = self._context.view.leaving_servers(self._context.now())
        return self._listed | self._drained | heard.keys()

    def write_heartbeat(self) -> None:
        """Write this router's row and read the others', in a large fleet by the list readers only.

        1,200 rows take about 150 KB, which every router could not read within 3 KB/s.
        """
        context = self._context
        self._heartbeat += 1
        row = _Registration(context.view.own_info, self._heartbeat, context.view.leaving)
        put = Put(_ROUTERS + context.name, msgspec.json.encode(row))
        reads: tuple[Range, ...] = (Range(_ROUTERS, prefix=True), Range(_DRAINS, prefix=True))
        small = len(context.view.peers(context.now())) < _SMALL_FLEET
        if not small and not self._is_reader():
            reads = ()
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
        context.view.on_gossip(gossip, now)
        self._announce()
        if context.view.is_superseded and not self._outlived:
            self._outlived = True
            log_event(_LOGGER, "incarnation_outlived", logging.ERROR, remedy="restart this router")
        self._on_version(gossip.sender, gossip.config_version)
        if gossip.wants_reply:
            self._send_gossip(gossip.sender, reply=False, full=gossip.wants_info)

    def gossip_now(self) -> None:
        """Gossip before the next round, because there is news that should spread fast."""
        self._gossip()

    def _gossip(self) -> None:
        context = self._context
        self._announce()
        count = context.settings.peers.gossip_fan_out
        for info in context.view.sample_peers(count, self._rng):
            self._send_gossip(info.name, reply=True)

    def _send_gossip(self, name: str, reply: bool, full: bool = False) -> None:
        context = self._context
        gossip = context.view.make_gossip(
            context.config.version, context.table_health.up, reply, context.now(), full
        )
        context.send(name, gossip)

    def _on_rows(self, result: TxnResult | TableError) -> None:
        context = self._context
        context.table_health.note(not isinstance(result, TableError))
        if isinstance(result, TableError) or len(result.rows) < 2:
            return
        now = context.now()
        for row in result.rows[0]:
            registration = msgspec.json.decode(row.value, type=_Registration)
            # A row may be that of a dead router, so it only introduces until its heartbeat moves.
            # Heartbeats in the table and in gossip are counted apart.
            info = registration.info
            context.view.add_unconfirmed(info, registration.leaving, now)
            alive_at = self._rows.on_row(info.name, info.incarnation, registration.heartbeat, now)
            if alive_at is not None:
                context.view.record_alive(info.name, info.incarnation, alive_at)
            self._revision_by_name[info.name] = row.revision
        names = {row.key.removeprefix(_ROUTERS) for row in result.rows[0]}
        self._rows.finish_read(names, now)
        self._revision_by_name = {n: r for n, r in self._revision_by_name.items() if n in names}
        self._remove_stale_rows()
        self._drained = frozenset(row.key.removeprefix(_DRAINS) for row in result.rows[1])
        context.view.record_leaving_servers(self._drained, now)
        self._announce()

    def _is_reader(self) -> bool:
        return self._context.view.has_role("list-readers", _READERS, self._context.now())

    def _remove_stale_rows(self) -> None:
        """Remove rows of dead routers, if this router is a list reader."""
        if not self._is_reader():
            return
        for name in self._rows.stale_routers(self._context.now()):
            if name == self._context.name:
                continue
            key = _ROUTERS + name
            unchanged = Compare(key, self._revision_by_name[name])
            log_event(_LOGGER, "row_removed", router=name)
            self._context.table.txn(Txn((unchanged,), (), (key,)), lambda result: None)

    def _read_instances(self) -> None:
        self._context.instances.read(self._on_instances)

    def _on_instances(self, instances: list[Instance] | BackendError) -> None:
        if isinstance(instances, BackendError):
            reason = instances.message
            log_event(_LOGGER, "instance_list_down", logging.WARNING, reason=reason)
            return
        self._ever_listed |= {item.id for item in instances}
        self._context.gone = frozenset(self._ever_listed - {item.id for item in instances})
        leaving = frozenset(item.id for item in instances if item.state == "leaving")
        for name in leaving:
            self._context.view.mark_leaving(name)
        self._listed = leaving
        self._context.view.record_leaving_servers(leaving, self._context.now())
        self._announce()

    def _announce(self) -> None:
        leaving = self.leaving()
        if leaving != self._announced:
            self._announced = leaving
            log_event(_LOGGER, "servers_leaving", servers=",".join(sorted(leaving)))
            self._on_leaving(leaving)
            self._gossip()
