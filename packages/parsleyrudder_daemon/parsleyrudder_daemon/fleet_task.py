"""Membership of this router: registration and heartbeats in the table, gossip, instance list."""

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

__all__ = ["FleetTask", "choose_incarnation"]

_LOGGER = logging.getLogger(__name__)
_ROUTER_PREFIX = "routers/"
_DRAIN_PREFIX = "drain/"
_HEARTBEAT_INTERVAL_S = 5.0
_TABLE_READERS = 2
_START_READ_TIMEOUT_S = 1.0
_SMALL_FLEET_SIZE = 64


class _Registration(msgspec.Struct):
    """Row of a router in the table."""

    info: RouterInfo
    heartbeat: int
    leaving: bool = False


def choose_incarnation(settings: Settings) -> int:
    """Return this process's incarnation, from the wall clock and the row of the previous start.

    If the row cannot be read, the incarnation depends on the wall clock only.
    """
    txn = Txn(reads=(Range(_ROUTER_PREFIX + settings.router.name),))
    previous = 0
    try:
        rows = BlockingEtcdTable(settings.table.address, _START_READ_TIMEOUT_S).txn(txn).rows[0]
        if rows:
            previous = msgspec.json.decode(rows[0].value, type=_Registration).info.incarnation
    except (TableError, msgspec.DecodeError) as error:
        log_event(_LOGGER, "row_unknown", logging.WARNING, reason=error)
    return next_incarnation(time.time(), previous)


class FleetTask:
    """Maintains the membership of this router in the fleet.

    :param on_version: called with the name and the configuration version of a peer.
    :param on_leaving: called with the ids of all leaving servers when that set changes.
    :ivar _leaving_instances: instances that the instance list reports as leaving.
    :ivar _seen_instances: instances that the instance list has ever reported.
    :ivar _drained_servers: servers that an operator drains, according to the table.
    :ivar _announced_leaving: the set that was last passed to ``on_leaving``.
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
        self._superseded_logged = False
        self._leaving_instances: frozenset[str] = frozenset()
        self._seen_instances: set[str] = set()
        self._drained_servers: frozenset[str] = frozenset()
        self._heartbeat_monitor = HeartbeatMonitor()
        self._revision_by_name: dict[str, int] = {}
        context.view.rng = rng
        self._announced_leaving: frozenset[str] = frozenset()

    def start(self) -> None:
        """Register this router and start heartbeats, gossip and reads of the instance list."""
        context = self._context
        for seed in context.settings.peers.seeds:
            info = RouterInfo(seed.name, 0, "", seed.address, seed.caller_url)
            context.view.add_unconfirmed(info, False, context.now())
        context.timers.every(_HEARTBEAT_INTERVAL_S, self.write_heartbeat)
        context.timers.every(context.settings.peers.gossip_interval_s, self._gossip_round)
        context.timers.every(context.settings.instances.interval_s, self._read_instances)
        self.write_heartbeat()
        self._read_instances()

    def leaving_servers(self) -> frozenset[str]:
        """Return the ids of the servers that are leaving."""
        gossiped = self._context.view.leaving_servers(self._context.now())
        return self._leaving_instances | self._drained_servers | gossiped.keys()

    def write_heartbeat(self) -> None:
        """Write this router's row and read the rows of all routers.

        In a large fleet only a few routers read the rows: 1,200 rows take about 150 KB, which
        not every router can read within its budget of 3 KB/s.
        """
        context = self._context
        self._heartbeat += 1
        row = _Registration(context.view.own_info, self._heartbeat, context.view.leaving)
        put = Put(_ROUTER_PREFIX + context.name, msgspec.json.encode(row))
        reads: tuple[Range, ...] = (
            Range(_ROUTER_PREFIX, prefix=True),
            Range(_DRAIN_PREFIX, prefix=True),
        )
        is_small_fleet = len(context.view.peers(context.now())) < _SMALL_FLEET_SIZE
        if not is_small_fleet and not self._is_table_reader():
            reads = ()
        context.table.txn(Txn((), (put,), (), reads), self._on_rows)

    def announce_shutdown(self) -> None:
        """Mark this router as leaving in the table and notify all peers."""
        self._context.view.leaving = True
        self.write_heartbeat()
        for info in self._context.view.peers(self._context.now()):
            self._send_gossip(info.name, wants_reply=False)

    def unregister(self) -> None:
        """Delete this router's row from the table."""
        txn = Txn((), (), (_ROUTER_PREFIX + self._context.name,))
        self._context.table.txn(txn, lambda result: None)

    def on_gossip(self, gossip: Gossip) -> None:
        """Process a gossip message of a peer."""
        context = self._context
        now = context.now()
        context.view.on_gossip(gossip, now)
        self._announce_leaving_servers()
        if context.view.is_superseded and not self._superseded_logged:
            self._superseded_logged = True
            log_event(_LOGGER, "incarnation_outlived", logging.ERROR, remedy="restart this router")
        self._on_version(gossip.sender, gossip.config_version)
        if gossip.wants_reply:
            self._send_gossip(gossip.sender, wants_reply=False, full=gossip.wants_info)

    def gossip_now(self) -> None:
        """Run a gossip round at once, to disseminate a change without delay."""
        self._gossip_round()

    def _gossip_round(self) -> None:
        context = self._context
        self._announce_leaving_servers()
        count = context.settings.peers.gossip_fan_out
        for info in context.view.sample_peers(count, self._rng):
            self._send_gossip(info.name, wants_reply=True)

    def _send_gossip(self, name: str, wants_reply: bool, full: bool = False) -> None:
        context = self._context
        gossip = context.view.make_gossip(
            context.config.version, context.table_health.up, wants_reply, context.now(), full
        )
        context.send(name, gossip)

    def _on_rows(self, result: TxnResult | TableError) -> None:
        context = self._context
        context.table_health.record_result(not isinstance(result, TableError))
        if isinstance(result, TableError) or len(result.rows) < 2:
            return
        now = context.now()
        for row in result.rows[0]:
            registration = msgspec.json.decode(row.value, type=_Registration)
            # The row may belong to a dead router, so the router counts as alive only once
            # its heartbeat changes. Heartbeats in the table and in gossip are separate counters.
            info = registration.info
            context.view.add_unconfirmed(info, registration.leaving, now)
            alive_at = self._heartbeat_monitor.on_row(
                info.name, info.incarnation, registration.heartbeat, now
            )
            if alive_at is not None:
                context.view.record_alive(info.name, info.incarnation, alive_at)
            self._revision_by_name[info.name] = row.revision
        names = {row.key.removeprefix(_ROUTER_PREFIX) for row in result.rows[0]}
        self._heartbeat_monitor.finish_read(names, now)
        self._revision_by_name = {
            name: revision for name, revision in self._revision_by_name.items() if name in names
        }
        self._remove_stale_rows()
        self._drained_servers = frozenset(
            row.key.removeprefix(_DRAIN_PREFIX) for row in result.rows[1]
        )
        context.view.record_leaving_servers(self._drained_servers, now)
        self._announce_leaving_servers()

    def _is_table_reader(self) -> bool:
        return self._context.view.has_role("list-readers", _TABLE_READERS, self._context.now())

    def _remove_stale_rows(self) -> None:
        """Delete the rows of dead routers, if this router is a table reader."""
        if not self._is_table_reader():
            return
        for name in self._heartbeat_monitor.stale_routers(self._context.now()):
            if name == self._context.name:
                continue
            key = _ROUTER_PREFIX + name
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
        self._seen_instances |= {item.id for item in instances}
        self._context.gone = frozenset(self._seen_instances - {item.id for item in instances})
        leaving = frozenset(item.id for item in instances if item.state == "leaving")
        for name in leaving:
            self._context.view.mark_leaving(name)
        self._leaving_instances = leaving
        self._context.view.record_leaving_servers(leaving, self._context.now())
        self._announce_leaving_servers()

    def _announce_leaving_servers(self) -> None:
        leaving = self.leaving_servers()
        if leaving != self._announced_leaving:
            self._announced_leaving = leaving
            log_event(_LOGGER, "servers_leaving", servers=",".join(sorted(leaving)))
            self._on_leaving(leaving)
            self._gossip_round()
