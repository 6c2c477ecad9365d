"""Placement of spare engines: which pool each of them serves.

The router that holds the lease ``coordinators/spares`` decides. Rows ``placement/<server>`` store
the pool that each spare serves; a row is written only if neither it nor the lease has changed since
they were read. Coordinators of pools publish their waiting calls per slot in ``backlog/<pool>``.
"""

import logging
from collections.abc import Iterable

import msgspec
from parsleyrudder import (
    Compare,
    CoordinatorLease,
    Placement,
    PlacementState,
    Put,
    Range,
    Reconciler,
    SpareMove,
    SparePlanner,
    SpareRules,
    TableError,
    Txn,
    TxnResult,
)
from parsleyrudder_adapters.logs import log_event

from .context import Context
from .lease_task import LeaseTask
from .orders_task import OrderSender, audit_record_put, wanted_model
from .pool_task import PoolTask

__all__ = ["SparesTask"]

_LOGGER = logging.getLogger(__name__)
_INTERVAL_S = 2.0
_BACKLOG_MAX_AGE_S = 10.0
_PLACEMENT_PREFIX = "placement/"
_BACKLOG_PREFIX = "backlog/"
_LEASE_NAME = "spares"


class SparesTask:
    """Takes part in the placement of spare engines; does nothing if none are configured."""

    def __init__(self, context: Context, pools: Iterable[PoolTask]) -> None:
        self._context = context
        settings = context.settings
        self._spare_by_id = {spare.id: spare for spare in settings.spares}
        self._pool_by_name = {pool.name: pool for pool in pools if pool.settings.kind == "engine"}
        addresses = {spare.id: spare.address for spare in settings.spares}
        fenced = all(pool.settings.orders_fenced for pool in self._pool_by_name.values())
        rules = settings.orders.rules(fenced)
        self._order_sender = OrderSender(context, Reconciler(rules), addresses)
        orders = settings.orders
        self._planner = SparePlanner(
            SpareRules(
                orders.high_backlog, orders.low_backlog, orders.backlog_hold_s, orders.spare_stay_s
            )
        )
        self._lease = CoordinatorLease(_LEASE_NAME, context.name, context.incarnation)
        self._lease_task = LeaseTask(context, self._lease, lambda: None)
        self._placement_by_spare: dict[str, Placement] = {}
        self._revision_by_spare: dict[str, int] = {}
        self._backlog_revision_seen_at: dict[str, tuple[int, float]] = {}

    def start(self) -> None:
        """Start following the placement and taking part in the election for the lease."""
        if self._spare_by_id:
            self._context.timers.every(_INTERVAL_S, self._publish_and_read)

    def stop(self) -> None:
        """Resign the lease, if this router holds it."""
        self._lease_task.resign()

    def _publish_and_read(self) -> None:
        now = self._context.now()
        coordinated = [pool for pool in self._pool_by_name.values() if pool.lease.is_valid(now)]
        self._lease_task.send_due_txn(now)
        puts = tuple(
            Put(_BACKLOG_PREFIX + pool.name, msgspec.json.encode(pool.waiting_per_slot()))
            for pool in coordinated
        )
        if puts or self._lease.is_valid(now):
            reads = (Range(_PLACEMENT_PREFIX, prefix=True), Range(_BACKLOG_PREFIX, prefix=True))
            self._context.table.txn(Txn((), puts, (), reads), self._on_rows)

    def _on_rows(self, result: TxnResult | TableError) -> None:
        if isinstance(result, TableError):
            return
        row_by_spare = {row.key.removeprefix(_PLACEMENT_PREFIX): row for row in result.rows[0]}
        for id in self._spare_by_id:
            row = row_by_spare.get(id)
            placement = msgspec.json.decode(row.value, type=Placement) if row else Placement()
            self._placement_by_spare[id] = placement
            self._revision_by_spare[id] = row.revision if row else 0
        for pool in self._pool_by_name.values():
            pool.set_serving_spares(self._serving_spares(pool.name))
        now = self._context.now()
        for row in result.rows[1]:
            self._record_backlog(
                row.key.removeprefix(_BACKLOG_PREFIX), row.revision, row.value, now
            )
        if self._lease.is_valid(now):
            self._place_spares(now)

    def _record_backlog(self, pool: str, revision: int, value: bytes, now: float) -> None:
        """Record a pool's published backlog, as unknown if its row is no longer updated."""
        last_revision, seen_at = self._backlog_revision_seen_at.get(pool, (0, now))
        if revision != last_revision:
            seen_at = now
        self._backlog_revision_seen_at[pool] = (revision, seen_at)
        is_fresh = now - seen_at < _BACKLOG_MAX_AGE_S
        backlog = msgspec.json.decode(value, type=float) if is_fresh else None
        self._planner.on_backlog(pool, backlog, now)

    def _place_spares(self, now: float) -> None:
        wanted_by_pool = {name: wanted_model(p.settings) for name, p in self._pool_by_name.items()}
        states = self._order_sender.state_by_server
        for move in self._planner.plan_moves(self._placement_by_spare, states, wanted_by_pool, now):
            if (move.new.next or move.new.pool) in self._spare_by_id[move.server].pools:
                self._write_move(move)
        wanted = {
            id: wanted_by_pool[row.pool]
            for id, row in self._placement_by_spare.items()
            if row.pool in wanted_by_pool and row.state != PlacementState.DRAINING
        }
        self._order_sender.send_due_orders(self._lease, wanted)
        self._order_sender.poll_states()

    def _write_move(self, move: SpareMove) -> None:
        """Write a spare's new row on condition that neither the row nor the lease has changed."""
        key = _PLACEMENT_PREFIX + move.server
        target = f"{move.server} {move.new.pool} {move.new.state} {move.new.next}".rstrip()
        compares = (
            Compare(key, self._revision_by_spare[move.server]),
            Compare(self._lease.key, self._lease.revision),
        )
        audit = audit_record_put(self._context.name, "place", target)
        puts = (Put(key, msgspec.json.encode(move.new)), audit)
        log_event(_LOGGER, "spare_placed", server=move.server, pool=move.new.pool)
        self._context.table.txn(Txn(compares, puts), lambda result: None)

    def _serving_spares(self, pool: str) -> frozenset[str]:
        return frozenset(
            id
            for id, row in self._placement_by_spare.items()
            if row.pool == pool and row.state == PlacementState.SERVING
        )
