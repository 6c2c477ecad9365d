"""The state of one relay for operators: a periodic log line, and the metrics."""

import logging
from collections.abc import Iterable

from parsleyrudder import Target, TargetRateLimits
from parsleyrudder_adapters.http_server import HttpServer
from parsleyrudder_adapters.logs import BoundedLogHandler, log_event
from parsleyrudder_adapters.poller import LoopPoller

from .api import RelayApi
from .context import RelayContext, now

__all__ = ["StateReport"]

_LOGGER = logging.getLogger(__name__)
_LOG_INTERVAL_S = 2.0
# Exported for a configuration age that is unknown, which is infinite.
_MAX_REPORTED_AGE_S = 1e6


class StateReport:
    """Logs the state at a rate that does not depend on the load, and formats the metrics.

    :param server: the HTTP server for callers.
    :param poller: poller of the event loop.
    """

    def __init__(
        self, context: RelayContext, api: RelayApi, server: HttpServer, poller: LoopPoller
    ) -> None:
        self._context = context
        self._api = api
        self._server = server
        self._poller = poller

    def start(self) -> None:
        """Start to log the state periodically."""
        self._context.timers.after(_LOG_INTERVAL_S, self.start)
        context, at = self._context, now()
        loads = context.loads
        targets = context.targets.by_id.values()
        config = context.active_config.config
        log_event(
            _LOGGER,
            "state",
            routers=len(context.view.live_routers(at)),
            targets=len(targets),
            version=config.version if config else None,
            config_age_s=context.active_config.age_s(at),
            requests=self._api.active_calls,
            connections=self._server.connection_count,
            accepted=self._server.accepted_count,
            target_connections=context.client.connection_count,
            turn_ms=round(1000 * self._poller.take_longest_turn_s(), 1),
            limits=_limits_text(context.rate_limits, targets),
            versions="/".join(t.version for t in targets),
            running="/".join(str(loads.running(t.id)) for t in targets),
            unread="/".join(str(loads.pending_prefill_tokens(t.id)) for t in targets),
            tokens_per_s="/".join(str(round(loads.prefill_tokens_per_s(t.id))) for t in targets),
        )

    def metrics_text(self) -> str:
        """Return the counters, the histograms and gauges of the current state as text."""
        context, at = self._context, now()
        metrics = context.metrics
        metrics.set_gauge("requests", self._api.active_calls)
        metrics.set_gauge("connections", self._server.connection_count)
        metrics.set_gauge("connections_accepted_total", self._server.accepted_count)
        metrics.set_gauge("target_connections", context.client.connection_count)
        metrics.set_gauge("loop_turn_max_seconds", self._poller.longest_recent_turn_s)
        metrics.set_gauge("routers", len(context.view.live_routers(at)))
        metrics.set_gauge("targets", len(context.targets.by_id))
        metrics.set_gauge("targets_limited", context.rate_limits.limited_count())
        metrics.set_gauge("targets_paused", context.notices.paused_count(at))
        metrics.set_gauge(
            "config_age_seconds", min(context.active_config.age_s(at), _MAX_REPORTED_AGE_S)
        )
        if context.active_config.config is not None:
            metrics.set_gauge("config_version", context.active_config.config.version)
        for handler in logging.getLogger().handlers:
            if isinstance(handler, BoundedLogHandler):
                metrics.set_gauge("log_lines_dropped", handler.dropped)
        return metrics.text()


def _limits_text(limits: TargetRateLimits, targets: Iterable[Target]) -> str | None:
    """Return the rate limits in the order of the targets, or None if no target has one."""
    if not limits.limited_count():
        return None
    rates = [limits.limit_per_s(target.lifetime) for target in targets]
    return "/".join("" if rate is None else f"{rate:g}" for rate in rates)
