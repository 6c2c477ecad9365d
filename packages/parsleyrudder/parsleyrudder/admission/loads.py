"""Load of the targets, from this router's own requests and the reports of other routers."""

from dataclasses import dataclass, field

from ..messages import LoadReport

__all__ = ["TargetLoads"]

# Minimum time without a report after which a router is assumed to have no requests at targets.
_MIN_REPORT_EXPIRY_S = 1.5
# Weight of a new observation in the moving average of a target's prefill rate.
_RATE_SMOOTHING = 0.1
# Shorter prefills are not observed: their duration says more about the network than the target.
_MIN_OBSERVED_TOKENS = 2000
# Learned rates stay within this factor above and below the prior rate.
_MAX_RATE_FACTOR = 5.0


@dataclass(slots=True)
class _SentRequest:
    pending_tokens: int
    preceding_tokens: int
    sent_at: float


@dataclass(slots=True)
class _LocalLoad:
    pending_tokens: int = 0
    sent_by_request: dict[str, _SentRequest] = field(default_factory=dict)


@dataclass(slots=True)
class TargetLoads:
    """Loads by target id.

    :ivar prior_prefill_tokens_per_s: prefill rate that is assumed for a target before any
        observation.
    :ivar running_by_target: number of requests that all routers have at each target; read-only.
    """

    prior_prefill_tokens_per_s: float = 50_000.0
    running_by_target: dict[str, int] = field(default_factory=dict)
    _local_by_target: dict[str, _LocalLoad] = field(default_factory=dict)
    _report_by_router: dict[str, tuple[float, dict[str, LoadReport]]] = field(default_factory=dict)
    _pending_by_target: dict[str, int] = field(default_factory=dict)
    _rate_by_target: dict[str, float] = field(default_factory=dict)

    def retain(self, ids: set[str]) -> None:
        """Remove the idle targets that are not among the given ones."""
        for id in [id for id, local in self._local_by_target.items() if id not in ids]:
            if not self._local_by_target[id].sent_by_request:
                del self._local_by_target[id]
                self._rate_by_target.pop(id, None)

    def record_sent(self, target: str, request: str, uncached_tokens: int, now: float) -> None:
        """Count a request that this router sends to a target.

        :param uncached_tokens: number of prompt tokens that the target has to prefill.
        """
        local = self._local_by_target.setdefault(target, _LocalLoad())
        preceding = self.pending_prefill_tokens(target)
        local.sent_by_request[request] = _SentRequest(uncached_tokens, preceding, now)
        local.pending_tokens += uncached_tokens
        self._add_to_totals(target, 1, uncached_tokens)

    def record_first_event(self, target: str, request: str, now: float) -> None:
        """Record the first event of a response, which shows that the prefill is complete."""
        local = self._local_by_target.get(target)
        sent = local.sent_by_request.get(request) if local else None
        if local is None or sent is None or not sent.pending_tokens:
            return
        prefilled = sent.preceding_tokens + sent.pending_tokens
        if prefilled >= _MIN_OBSERVED_TOKENS and now > sent.sent_at:
            self._update_rate(target, prefilled / (now - sent.sent_at))
        local.pending_tokens -= sent.pending_tokens
        self._add_to_totals(target, 0, -sent.pending_tokens)
        sent.pending_tokens = 0

    def record_end(self, target: str, request: str) -> None:
        """Record the end of a request at a target; does nothing if it has already ended."""
        local = self._local_by_target.get(target)
        sent = local.sent_by_request.pop(request, None) if local else None
        if local is not None and sent is not None:
            local.pending_tokens -= sent.pending_tokens
            self._add_to_totals(target, -1, -sent.pending_tokens)

    def record_report(
        self, router: str, report_by_target: dict[str, LoadReport], now: float
    ) -> None:
        """Replace the report of another router by a newer one."""
        self._add_report_to_totals(router, -1)
        self._report_by_router[router] = (now, report_by_target)
        self._add_report_to_totals(router, 1)

    def remove_report(self, router: str) -> None:
        """Remove the report of another router, which is counted by other means now."""
        self._add_report_to_totals(router, -1)
        self._report_by_router.pop(router, None)

    def local_report(self) -> dict[str, LoadReport]:
        """Return this router's load by target, to report to other routers."""
        return {
            id: LoadReport(len(local.sent_by_request), local.pending_tokens)
            for id, local in self._local_by_target.items()
            if local.sent_by_request
        }

    def expire_reports(self, now: float, expiry_s: float = _MIN_REPORT_EXPIRY_S) -> None:
        """Remove the reports of routers that have not sent one recently.

        :param expiry_s: age at which a report expires; should span several report intervals of
            the fleet.
        """
        limit_s = max(expiry_s, _MIN_REPORT_EXPIRY_S)
        for router in [
            router
            for router, (received_at, _) in self._report_by_router.items()
            if now - received_at > limit_s
        ]:
            self.remove_report(router)

    def running(self, target: str) -> int:
        """Return the number of requests that all routers have at a target."""
        return self.running_by_target.get(target, 0)

    def pending_prefill_tokens(self, target: str) -> int:
        """Return the number of tokens that a target has yet to prefill for all routers."""
        return self._pending_by_target.get(target, 0)

    def prefill_wait_s(self, target: str) -> float:
        """Return the estimated time until a target has completed its pending prefills."""
        return self._pending_by_target.get(target, 0) / self.prefill_tokens_per_s(target)

    def prefill_tokens_per_s(self, target: str) -> float:
        """Return the learned prefill rate of a target, or the prior rate if none is known."""
        return self._rate_by_target.get(target) or self.prior_prefill_tokens_per_s

    def _update_rate(self, target: str, tokens_per_s: float) -> None:
        prior = self.prior_prefill_tokens_per_s
        previous = self.prefill_tokens_per_s(target)
        rate = previous + _RATE_SMOOTHING * (tokens_per_s - previous)
        self._rate_by_target[target] = min(
            prior * _MAX_RATE_FACTOR, max(prior / _MAX_RATE_FACTOR, rate)
        )

    def _add_report_to_totals(self, router: str, sign: int) -> None:
        """Add a router's report to the totals, or subtract it if the sign is negative."""
        _, report_by_target = self._report_by_router.get(router, (0.0, {}))
        for id, report in report_by_target.items():
            self._add_to_totals(id, sign * report.running, sign * report.pending_prefill_tokens)

    def _add_to_totals(self, target: str, running: int, pending_tokens: int) -> None:
        """Update the totals over all routers, which are cached for use in each decision."""
        running += self.running_by_target.get(target, 0)
        pending_tokens += self._pending_by_target.get(target, 0)
        if running or pending_tokens:
            self.running_by_target[target] = running
            self._pending_by_target[target] = pending_tokens
        else:
            self.running_by_target.pop(target, None)
            self._pending_by_target.pop(target, None)
