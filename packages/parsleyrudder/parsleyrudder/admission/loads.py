"""Load of the targets of one pool: this router's own requests, and what other routers report."""

from dataclasses import dataclass, field

from ..messages import LoadReport

__all__ = ["TargetLoads"]

# Least time without a report after which a router is taken to send nothing.
_REPORT_KEPT_S = 1.5
# Weight of a new observation of a target's speed.
_RATE_GAIN = 0.1
# Observations of less work tell more of the network than of the target.
_LEAST_OBSERVED_TOKENS = 2000
_RATE_RANGE = 5.0


@dataclass(slots=True)
class _Sent:
    unread_tokens: int
    ahead_tokens: int
    sent_at: float


@dataclass(slots=True)
class _OwnLoad:
    unread_tokens: int = 0
    sent_by_request: dict[str, _Sent] = field(default_factory=dict)


@dataclass(slots=True)
class TargetLoads:
    """Loads by target id.

    :ivar prior_tokens_per_s: reading speed that is assumed of a target at first.
    :ivar running_by_target: requests that all routers have at each target; to be read only.
    """

    prior_tokens_per_s: float = 50_000.0
    running_by_target: dict[str, int] = field(default_factory=dict)
    _own: dict[str, _OwnLoad] = field(default_factory=dict)
    _reported: dict[str, tuple[float, dict[str, LoadReport]]] = field(default_factory=dict)
    _unread: dict[str, int] = field(default_factory=dict)
    _rates: dict[str, float] = field(default_factory=dict)

    def keep(self, ids: set[str]) -> None:
        """Forget idle targets that are not listed any more."""
        for id in [id for id, own in self._own.items() if id not in ids]:
            if not self._own[id].sent_by_request:
                del self._own[id]
                self._rates.pop(id, None)

    def sent(self, target: str, request: str, unread_tokens: int, now: float) -> None:
        """Count a request that is sent to a target."""
        own = self._own.setdefault(target, _OwnLoad())
        ahead = self.unread_tokens(target)
        own.sent_by_request[request] = _Sent(unread_tokens, ahead, now)
        own.unread_tokens += unread_tokens
        self._add(target, 1, unread_tokens)

    def began(self, target: str, request: str, now: float) -> None:
        """Note the first event of a request's answer: its prompt has been read."""
        own = self._own.get(target)
        sent = own.sent_by_request.get(request) if own else None
        if own is None or sent is None or not sent.unread_tokens:
            return
        read = sent.ahead_tokens + sent.unread_tokens
        if read >= _LEAST_OBSERVED_TOKENS and now > sent.sent_at:
            self._learn(target, read / (now - sent.sent_at))
        own.unread_tokens -= sent.unread_tokens
        self._add(target, 0, -sent.unread_tokens)
        sent.unread_tokens = 0

    def ended(self, target: str, request: str) -> None:
        """Note the end of a request at a target."""
        own = self._own.get(target)
        sent = own.sent_by_request.pop(request, None) if own else None
        if own is not None and sent is not None:
            own.unread_tokens -= sent.unread_tokens
            self._add(target, -1, -sent.unread_tokens)

    def take_report(self, router: str, report_by_target: dict[str, LoadReport], now: float) -> None:
        """Take the newest report of another router."""
        self._count_others(router, -1)
        self._reported[router] = (now, report_by_target)
        self._count_others(router, 1)

    def own_report(self) -> dict[str, LoadReport]:
        """Return this router's load, for the others."""
        return {
            id: LoadReport(len(own.sent_by_request), own.unread_tokens)
            for id, own in self._own.items()
            if own.sent_by_request
        }

    def expire(self, now: float, kept_s: float = _REPORT_KEPT_S) -> None:
        """Drop the reports of routers that have fallen silent.

        :param kept_s: time for which a report counts, some report intervals of the fleet.
        """
        limit_s = max(kept_s, _REPORT_KEPT_S)
        for router in [r for r, (at, _) in self._reported.items() if now - at > limit_s]:
            self._count_others(router, -1)
            del self._reported[router]

    def running(self, target: str) -> int:
        """Return the requests that all routers have at a target."""
        return self.running_by_target.get(target, 0)

    def unread_tokens(self, target: str) -> int:
        """Return the tokens that a target has still to read for all routers."""
        return self._unread.get(target, 0)

    def wait_s(self, target: str) -> float:
        """Return how long a target takes to read what it has been sent."""
        return self._unread.get(target, 0) / self.tokens_per_s(target)

    def tokens_per_s(self, target: str) -> float:
        """Return the learned reading speed of a target."""
        return self._rates.get(target) or self.prior_tokens_per_s

    def _learn(self, target: str, tokens_per_s: float) -> None:
        prior = self.prior_tokens_per_s
        before = self.tokens_per_s(target)
        learned = before + _RATE_GAIN * (tokens_per_s - before)
        self._rates[target] = min(prior * _RATE_RANGE, max(prior / _RATE_RANGE, learned))

    def _count_others(self, router: str, sign: int) -> None:
        """Add a router's report to the sums, or take it out again."""
        _, report_by_target = self._reported.get(router, (0.0, {}))
        for id, report in report_by_target.items():
            self._add(id, sign * report.running, sign * report.unread_tokens)

    def _add(self, target: str, running: int, unread_tokens: int) -> None:
        """Keep the sums over all routers, which each decision asks for."""
        running += self.running_by_target.get(target, 0)
        unread_tokens += self._unread.get(target, 0)
        if running or unread_tokens:
            self.running_by_target[target] = running
            self._unread[target] = unread_tokens
        else:
            self.running_by_target.pop(target, None)
            self._unread.pop(target, None)
