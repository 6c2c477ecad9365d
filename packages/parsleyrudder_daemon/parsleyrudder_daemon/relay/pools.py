"""The pools of one relay: their admission, health and retry budget, rebuilt as things change."""

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
    Target,
)
from parsleyrudder_adapters.logs import log_event

from .context import RelayContext, now

__all__ = ["Pool", "Pools"]

_LOGGER = logging.getLogger(__name__)
_POLL_S = 0.025
# A router tries a failing target again after this time, which doubles up to the second one.
_EJECT_S = 0.5
_EJECT_MOST_S = 4.0
_EJECT_AFTER = 2
# A generated token counts twice in the declared speed, and reading goes on beside generating.
_READING_FACTOR = 2.0
# A prompt that takes longer to read is long.
_LONG_READ_S = 0.3


@dataclass(slots=True)
class Pool:
    """One pool as this router sees it."""

    name: str
    admission: PoolAdmission
    health: LoadBalancer
    budget: FleetRetryBudget


class Pools:
    """Owner of the pools.

    :param on_decision: called with each decision about a request that waited.
    """

    def __init__(self, context: RelayContext, on_decision: Callable[[Decision], None]) -> None:
        self._context = context
        self._on_decision = on_decision
        self._by_name: dict[str, Pool] = {}
        self._polling = False

    def get(self, name: str) -> Pool:
        """Return a pool; one that is not configured has no targets."""
        pool = self._by_name.get(name)
        if pool is None:
            pool = self._by_name[name] = self._create(name)
            self._set_targets(pool)
        return pool

    def refresh(self) -> None:
        """Take over a new configuration or a change of targets."""
        config = self._context.traffic.config
        if config is None:
            return
        for name, spec in config.pool_by_name.items():
            pool = self.get(name)
            if spec.engine:
                self._context.cache.capacity_tokens = spec.engine.kv_cache_tokens
            pool.admission.rules = AdmissionRules(
                max_prefill_wait_s=0.5 * config.min_target_latency_s(name)
            )
        for pool in self._by_name.values():
            self._set_targets(pool)
        targets = self._context.targets.by_id
        self._context.loads.retain(set(targets))
        self._context.cache.retain({target.lifetime for target in targets.values()})
        self._set_prior()
        self.poll()

    def poll(self) -> None:
        """Decide about waiting requests; called when capacity may have become free."""
        at = now()
        for pool in list(self._by_name.values()):
            for decision in pool.admission.poll(at):
                self._on_decision(decision)
        self.watch_waiting()

    def watch_waiting(self) -> None:
        """Poll regularly as long as requests wait."""
        if not self._polling and any(p.admission.waiting for p in self._by_name.values()):
            self._polling = True
            self._context.timers.after(_POLL_S, self._on_poll)

    def note_end(self, pool: Pool, target: Target, failed: bool | None) -> None:
        """Count the end of a send for the health of its target.

        :param failed: whether the target is to blame; None if that is not known.
        """
        if pool.health.record_call_end(target.id, failed, now()):
            log_event(_LOGGER, "target_ejected", logging.WARNING, target=target.id)

    def _on_poll(self) -> None:
        self._polling = False
        self.poll()

    def _create(self, name: str) -> Pool:
        context = self._context
        bounds = context.settings.bounds
        rules = FleetRetryLimits(bounds.retry_ratio, bounds.retry_window_s, bounds.retry_least)
        domain = context.settings.failure_domain
        health = LoadBalancer(domain, RoutingRules(1, 1.0, _EJECT_AFTER, _EJECT_S, _EJECT_MOST_S))
        admission = PoolAdmission(
            AdmissionRules(),
            context.loads,
            context.usage,
            context.cache,
            context.lane,
            ejected_targets=health.ejected_servers,
            failure_domain=domain,
        )
        return Pool(name, admission, health, FleetRetryBudget(rules, now()))

    def _set_targets(self, pool: Pool) -> None:
        targets = self._context.targets.in_pool(pool.name)
        infos = [ServerInfo(t.id, t.pool, t.address, t.failure_domain, t.slots) for t in targets]
        pool.health.set_servers(infos, ())
        pool.admission.set_targets(targets)

    def _set_prior(self) -> None:
        config = self._context.traffic.config
        assert config is not None
        engines = [
            target
            for name, spec in config.pool_by_name.items()
            if spec.engine
            for target in self._context.targets.in_pool(name)
        ]
        if engines and config.tokens_per_s:
            tokens_per_s = _READING_FACTOR * config.tokens_per_s / len(engines)
            self._context.loads.prior_prefill_tokens_per_s = tokens_per_s
            self._context.usage.capacity_per_s = config.tokens_per_s
            self._context.lane.min_long_prompt_tokens = _LONG_READ_S * tokens_per_s
