"""Pools of one relay: admission, health of the targets and retry budget of each."""

import logging
from collections.abc import Callable
from dataclasses import dataclass

from parsleyrudder import (
    AdmissionRules,
    Decision,
    FleetRetryBudget,
    FleetRetryLimits,
    LoadBalancer,
    PoolAdmission,
    RoutingRules,
    ServerInfo,
    TargetAvailability,
)

from .context import RelayContext, now
from .origin_task import OriginTask
from .send_listeners import (
    CrashListener,
    HealthListener,
    LoadListener,
    MetricsListener,
    NoticeListener,
    OriginListener,
    RateLimitListener,
    RetryBudgetListener,
    UsageListener,
)
from .sends import SendListener

__all__ = ["Pool", "Pools"]

_LOGGER = logging.getLogger(__name__)
_POLL_INTERVAL_S = 0.025
# Duration of the first ejection of a failing target; it doubles with each consecutive one, up to
# the maximum.
_BASE_EJECTION_S = 0.5
_MAX_EJECTION_S = 4.0
_EJECTION_THRESHOLD = 2
# Ratio of the prefill rate to the declared token rate: a generated token counts twice in the
# declared rate, and prefills run concurrently with generation.
_PREFILL_RATE_FACTOR = 2.0
# A prompt whose prefill takes at least this time counts as long.
_LONG_PREFILL_S = 0.3


@dataclass(slots=True)
class Pool:
    """This router's state of one pool.

    :ivar health: tracks the failures of the targets and ejects them.
    :ivar send_listeners: everything that learns from the sends to the targets.
    """

    name: str
    admission: PoolAdmission
    health: LoadBalancer
    retry_budget: FleetRetryBudget
    send_listeners: tuple[SendListener, ...]


class Pools:
    """The pools by name; they are created on first use.

    :param on_decision: called with each decision about a queued request.
    """

    def __init__(
        self,
        context: RelayContext,
        origins: OriginTask,
        on_decision: Callable[[Decision], None],
    ) -> None:
        self._context = context
        self._origins = origins
        self._on_decision = on_decision
        self._by_name: dict[str, Pool] = {}
        self._is_polling = False

    def get(self, name: str) -> Pool:
        """Return a pool; a pool that is not configured has no targets."""
        pool = self._by_name.get(name)
        if pool is None:
            pool = self._by_name[name] = self._create(name)
            self._update_targets(pool)
        return pool

    def refresh(self) -> None:
        """Apply a new configuration or a change of the targets."""
        config = self._context.active_config.config
        if config is None:
            return
        for name, spec in config.pool_by_name.items():
            pool = self.get(name)
            if spec.engine:
                self._context.prompt_cache.capacity_tokens = spec.engine.kv_cache_tokens
            pool.admission.selection.rules = AdmissionRules(
                max_prefill_wait_s=0.5 * config.min_target_latency_s(name)
            )
        for pool in self._by_name.values():
            self._update_targets(pool)
        targets = self._context.targets.by_id
        self._context.loads.retain(set(targets))
        lifetimes = {target.lifetime for target in targets.values()}
        self._context.prompt_cache.retain(lifetimes)
        self._context.crash_suspects.retain(lifetimes)
        self._context.rate_limits.retain(lifetimes)
        self._context.notices.retain(lifetimes)
        self._origins.refresh_versions()
        self._update_capacity()
        self.poll()

    def poll(self) -> None:
        """Decide about queued requests; called when capacity may have become free."""
        at = now()
        for pool in list(self._by_name.values()):
            for decision in pool.admission.poll(at):
                self._on_decision(decision)
        self.ensure_polling()

    def ensure_polling(self) -> None:
        """Poll periodically as long as requests are queued."""
        if not self._is_polling and any(p.admission.waiting for p in self._by_name.values()):
            self._is_polling = True
            self._context.timers.after(_POLL_INTERVAL_S, self._on_poll_timer)

    def _on_poll_timer(self) -> None:
        self._is_polling = False
        self.poll()

    def _create(self, name: str) -> Pool:
        context = self._context
        bounds = context.settings.bounds
        rules = FleetRetryLimits(bounds.retry_ratio, bounds.retry_window_s, bounds.retry_least)
        domain = context.settings.failure_domain
        health = LoadBalancer(
            domain, RoutingRules(1, 1.0, _EJECTION_THRESHOLD, _BASE_EJECTION_S, _MAX_EJECTION_S)
        )
        admission = PoolAdmission(
            AdmissionRules(),
            context.loads,
            context.usage,
            context.prompt_cache,
            context.long_prompt_targets,
            crash_suspects=context.crash_suspects,
            availability=TargetAvailability(
                context.rate_limits, context.notices, health.ejected_servers
            ),
            failure_domain=domain,
        )
        retry_budget = FleetRetryBudget(rules, now())
        send_listeners = (
            LoadListener(context.loads),
            CrashListener(context.crash_suspects),
            RateLimitListener(context.rate_limits),
            NoticeListener(context.notices),
            UsageListener(admission),
            RetryBudgetListener(retry_budget),
            HealthListener(health),
            OriginListener(self._origins, name),
            MetricsListener(context.metrics, name),
        )
        return Pool(name, admission, health, retry_budget, send_listeners)

    def _update_targets(self, pool: Pool) -> None:
        targets = self._context.targets.in_pool(pool.name)
        infos = [ServerInfo(t.id, t.pool, t.address, t.failure_domain, t.slots) for t in targets]
        pool.health.set_servers(infos, ())
        pool.admission.set_targets(targets)

    def _update_capacity(self) -> None:
        """Derive prefill rate, capacity and the length of long prompts from the configuration."""
        config = self._context.active_config.config
        assert config is not None
        engines = [
            target
            for name, spec in config.pool_by_name.items()
            if spec.engine
            for target in self._context.targets.in_pool(name)
        ]
        if engines and config.tokens_per_s:
            tokens_per_s = _PREFILL_RATE_FACTOR * config.tokens_per_s / len(engines)
            self._context.loads.prior_prefill_tokens_per_s = tokens_per_s
            self._context.usage.capacity_per_s = config.tokens_per_s
            self._context.long_prompt_targets.min_long_prompt_tokens = (
                _LONG_PREFILL_S * tokens_per_s
            )
