"""Listeners that pass what sends teach on to the state that decisions rest on."""

import logging

from parsleyrudder import (
    CrashSuspects,
    FleetRetryBudget,
    LoadBalancer,
    PoolAdmission,
    SendEnd,
    TargetLoads,
    TargetNotices,
    TargetRateLimits,
    TargetSignals,
)
from parsleyrudder_adapters.logs import log_event

from ..metrics import Metrics
from .origin_task import OriginTask
from .sends import Send, SendListener, SendResult

__all__ = [
    "CrashListener",
    "HealthListener",
    "LoadListener",
    "MetricsListener",
    "NoticeListener",
    "OriginListener",
    "RateLimitListener",
    "RetryBudgetListener",
    "UsageListener",
]

_LOGGER = logging.getLogger(__name__)


class LoadListener(SendListener):
    """Keeps the load of the targets."""

    def __init__(self, loads: TargetLoads) -> None:
        self._loads = loads

    def on_withdrawn(self, send: Send, at: float) -> None:
        """See :class:`SendListener`."""
        self._loads.record_end(send.target.id, send.request.id)

    def on_response_start(self, send: Send, at: float) -> None:
        """See :class:`SendListener`."""
        self._loads.record_first_event(send.target.id, send.request.id, at)

    def on_end(self, send: Send, result: SendResult, at: float) -> None:
        """See :class:`SendListener`."""
        self._loads.record_end(send.target.id, send.request.id)


class HealthListener(SendListener):
    """Counts the failures of the targets, which may eject them."""

    def __init__(self, health: LoadBalancer) -> None:
        self._health = health

    def on_sent(self, send: Send, at: float) -> None:
        """See :class:`SendListener`."""
        self._health.record_call_start(send.target.id)

    def on_end(self, send: Send, result: SendResult, at: float) -> None:
        """See :class:`SendListener`."""
        if self._health.record_call_end(send.target.id, result.is_failure, at):
            log_event(_LOGGER, "target_ejected", logging.WARNING, target=send.target.id)


class CrashListener(SendListener):
    """Collects evidence of what targets crash on."""

    def __init__(self, suspects: CrashSuspects) -> None:
        self._suspects = suspects

    def on_sent(self, send: Send, at: float) -> None:
        """See :class:`SendListener`."""
        request = send.request
        self._suspects.record_sent(send.target.lifetime, request.id, request.suspects, at)

    def on_answer(self, send: Send, at: float) -> None:
        """See :class:`SendListener`."""
        self._suspects.record_response(send.target.lifetime, send.request.id, at)

    def on_end(self, send: Send, result: SendResult, at: float) -> None:
        """See :class:`SendListener`."""
        lifetime, request = send.target.lifetime, send.request.id
        if result.end is SendEnd.BROKEN:
            self._suspects.record_broken(lifetime, request, at)
        elif result.is_complete:
            self._suspects.record_complete(lifetime, request, at)
        else:
            self._suspects.record_cancelled(lifetime, request)


class RateLimitListener(SendListener):
    """Keeps the request rates that targets state."""

    def __init__(self, limits: TargetRateLimits) -> None:
        self._limits = limits

    def on_withdrawn(self, send: Send, at: float) -> None:
        """See :class:`SendListener`."""
        self._limits.refund(send.target.lifetime, at)

    def on_signals(self, send: Send, signals: TargetSignals, at: float) -> None:
        """See :class:`SendListener`."""
        lifetime, per_s = send.target.lifetime, signals.rate_limit_per_s
        if self._limits.record_response(lifetime, per_s, at):
            log_event(_LOGGER, "target_limit_changed", lifetime=lifetime, per_s=per_s)

    def on_end(self, send: Send, result: SendResult, at: float) -> None:
        """See :class:`SendListener`."""
        if result.end is SendEnd.NOT_SENT:
            self._limits.refund(send.target.lifetime, at)


class NoticeListener(SendListener):
    """Keeps the targets that state that they are leaving, or that they want a pause."""

    def __init__(self, notices: TargetNotices) -> None:
        self._notices = notices

    def on_signals(self, send: Send, signals: TargetSignals, at: float) -> None:
        """See :class:`SendListener`."""
        lifetime = send.target.lifetime
        if signals.pause_s > 0.0:
            log_event(_LOGGER, "target_paused", lifetime=lifetime, for_s=signals.pause_s)
        if self._notices.record_response(lifetime, signals, at):
            log_event(_LOGGER, "target_leaving", lifetime=lifetime)


class UsageListener(SendListener):
    """Refunds the cost of requests that their targets have not run."""

    def __init__(self, admission: PoolAdmission) -> None:
        self._admission = admission

    def on_withdrawn(self, send: Send, at: float) -> None:
        """See :class:`SendListener`."""
        self._admission.refund(send.request, at)

    def on_end(self, send: Send, result: SendResult, at: float) -> None:
        """See :class:`SendListener`."""
        if result.end in (SendEnd.NOT_SENT, SendEnd.REFUSED):
            self._admission.refund(send.request, at)


class RetryBudgetListener(SendListener):
    """Counts the requests that reached targets, of which the retry budget is a fraction."""

    def __init__(self, budget: FleetRetryBudget) -> None:
        self._budget = budget

    def on_end(self, send: Send, result: SendResult, at: float) -> None:
        """See :class:`SendListener`."""
        if result.is_first:
            self._budget.on_request(at)


class OriginListener(SendListener):
    """Records where streams begin, for callers that resume them later."""

    def __init__(self, origins: OriginTask, pool: str) -> None:
        self._origins = origins
        self._pool = pool

    def on_answer(self, send: Send, at: float) -> None:
        """See :class:`SendListener`."""
        if send.request.stream_id:
            self._origins.record_began(send.request.stream_id, self._pool, send.target.version)


class MetricsListener(SendListener):
    """Counts failed sends and measures the time until responses begin."""

    def __init__(self, metrics: Metrics, pool: str) -> None:
        self._metrics = metrics
        self._pool = pool

    def on_response_start(self, send: Send, at: float) -> None:
        """See :class:`SendListener`."""
        self._metrics.observe("first_byte", self._pool, at - send.request.arrived_at)

    def on_end(self, send: Send, result: SendResult, at: float) -> None:
        """See :class:`SendListener`."""
        if result.end is None:
            return
        self._metrics.count("sends_failed", end=result.end, pool=self._pool)
        if result.end is SendEnd.BROKEN and not send.has_answered:
            self._metrics.count("broken_before_response", pool=self._pool)
