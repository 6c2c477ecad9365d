"""The document of ``/status``, for ``parsleyctl`` and for tests."""

from typing import Any

from parsleyrudder import Failure
from parsleyrudder_adapters.peers import PeerLink

from .context import Context
from .pool_task import PoolTask

__all__ = ["status_document"]


def status_document(
    context: Context,
    pool_by_name: dict[str, PoolTask],
    config_age_s: float,
    link: PeerLink,
    refusal: Failure | None,
) -> dict[str, Any]:
    """Return the state of one router as plain data."""
    now = context.now()
    return {
        "router": context.name,
        "incarnation": context.incarnation,
        "failure_domain": context.settings.router.failure_domain,
        "ready": refusal is None,
        "reason": refusal.kind.code if refusal else "",
        "config_version": context.config.version,
        "config_age_s": round(config_age_s, 3),
        "table_up": context.table_health.up,
        "live": context.view.live_routers(now),
        "leaving": [
            name for name in context.view.live_routers(now) if context.view.is_leaving(name)
        ],
        "control_bytes": {"in": link.bytes_in, "out": link.bytes_out},
        "pools": {name: _pool(pool) for name, pool in pool_by_name.items()},
    }


def _pool(pool: PoolTask) -> dict[str, Any]:
    scheduler = pool.scheduler
    record = pool.lease.record
    return {
        "kind": pool.settings.kind,
        "coordinator": record.holder if record else "",
        "epoch": pool.lease.epoch,
        "cut_off": pool.is_cut_off(),
        "slots": {h.name: {"held": h.held, "used": h.used} for h in scheduler.slots.holdings()},
        "waiting": scheduler.waiting_by_member(),
        "served": scheduler.served_by_member(),
        "running": scheduler.running_total(),
    }
