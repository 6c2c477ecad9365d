"""The status document served at ``/status`` for ``parsleyctl`` and tests."""

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
    unready_reason: Failure | None,
) -> dict[str, Any]:
    """Return the status of this router as JSON-serialisable data.

    :param unready_reason: why the router accepts no calls now, or None.
    """
    now = context.now()
    return {
        "router": context.name,
        "incarnation": context.incarnation,
        "failure_domain": context.settings.router.failure_domain,
        "ready": unready_reason is None,
        "reason": unready_reason.kind.code if unready_reason else "",
        "config_version": context.config.version,
        "config_age_s": round(config_age_s, 3),
        "table_up": context.table_health.up,
        "live": context.view.live_routers(now),
        "leaving": [
            name for name in context.view.live_routers(now) if context.view.is_leaving(name)
        ],
        "control_bytes": {"in": link.bytes_in, "out": link.bytes_out},
        "pools": {name: _pool_status(pool) for name, pool in pool_by_name.items()},
    }


def _pool_status(pool: PoolTask) -> dict[str, Any]:
    scheduler = pool.scheduler
    record = pool.lease.record
    return {
        "kind": pool.settings.kind,
        "coordinator": record.holder if record else "",
        "epoch": pool.lease.epoch,
        "cut_off": pool.is_cut_off(),
        "slots": {
            holding.name: {"held": holding.held, "used": holding.used}
            for holding in scheduler.slots.holdings()
        },
        "waiting": scheduler.waiting_by_member(),
        "served": scheduler.served_by_member(),
        "running": scheduler.running_total(),
    }
