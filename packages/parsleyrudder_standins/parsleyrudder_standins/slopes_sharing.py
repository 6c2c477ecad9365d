"""Cost of the sharing decisions of one pool: time, bytes and memory as functions of its size."""

import gc
import random
import time
from dataclasses import dataclass

from parsleyrudder import (
    Config,
    Coordinator,
    CostEstimator,
    Grant,
    Member,
    Plan,
    PoolRules,
    PoolScheduler,
    SchedulerRules,
    WaitingCall,
    encode_message,
    normalised_shares,
)

from .slopes_fit import Series
from .slopes_memory import deep_size

__all__ = ["sharing_series"]

_WINDOW = 8
_ROUTERS_PER_MEMBER = 2
_WARM_UP_INTERVALS = 8
_MEASURED_INTERVALS = 24
_INTERVAL_S = 0.1
_COMPLETED_FRACTION = 0.1
_SIZES_BY_AXIS = {
    "members": [(n, n, 8, 32) for n in (16, 100, 400, 1000, 2000, 3800)],
    "routers": [(n, 400, n, 64) for n in (3, 8, 16, 32, 64)],
    "servers": [(n, 400, 8, n) for n in (3, 12, 50, 100, 200, 400)],
}
_QUANTITIES = {
    "report": "us of coordinator time per report",
    "router": "us of router time per report and grant",
    "dispatch": "us per dispatched call",
    "report_bytes": "bytes per report",
    "grant_bytes": "bytes per grant",
    "memory": "KiB of control state of a coordinating router",
}


@dataclass(slots=True)
class _Totals:
    reports: int = 0
    grants: int = 0
    calls: int = 0
    report_s: float = 0.0
    router_s: float = 0.0
    dispatch_s: float = 0.0
    report_bytes: int = 0
    grant_bytes: int = 0


class _SimulatedPool:
    """Routers and coordinator of a pool; a tenth of the members is backlogged.

    Each backlogged member has calls waiting at two routers.
    """

    def __init__(self, members: int, routers: int, servers: int, seed: int) -> None:
        self._rng = random.Random(seed)
        plan = Plan("p", ("pool",), 10**6, 1e9, 1e12, 1e9, 10**6, 1e9)
        names = [f"member-{index:04d}" for index in range(members)]
        member_by_name = {name: Member(name, "p", 1.0, "") for name in names}
        config = Config(1, member_by_name, {"p": plan})
        self.totals = _Totals()
        self.now = 0.0
        self._call_count = 0
        self.coordinator = Coordinator("c", "pool", 1, PoolRules(), 0.0)
        self.coordinator.set_servers({f"server-{index:03d}": _WINDOW for index in range(servers)})
        limits = dict.fromkeys(names, 10**6)
        self.coordinator.set_members(normalised_shares(config), limits)
        self.routers = {
            f"router-{index:02d}": self._make_router(index, config) for index in range(routers)
        }
        backlogged = names[: max(2, members // 10)]
        depth = 1 + 2 * servers * _WINDOW // (_ROUTERS_PER_MEMBER * len(backlogged))
        for name in backlogged:
            for router in self._rng.sample(sorted(self.routers), _ROUTERS_PER_MEMBER):
                for _ in range(depth):
                    self._submit(self.routers[router], name)

    def _make_router(self, index: int, config: Config) -> PoolScheduler:
        name = f"router-{index:02d}"
        router = PoolScheduler(name, 1, "pool", SchedulerRules(), CostEstimator(100.0))
        router.set_config(config)
        router.follow(1)
        return router

    def _submit(self, router: PoolScheduler, member: str) -> None:
        self._call_count += 1
        call = WaitingCall(f"{self._call_count:032x}", member, "chat", True, 100.0, 1e9)
        assert router.submit(call, self.now) is None

    def run_interval(self) -> None:
        """Simulate one report interval."""
        self.now += _INTERVAL_S
        for router in self.routers.values():
            self._complete_calls(router)
            self._dispatch(router)
            started_at = time.perf_counter()
            report = router.report(self.now, True)
            reported_at = time.perf_counter()
            grants = self.coordinator.on_report(report, self.now)
            answered_at = time.perf_counter()
            self.totals.reports += 1
            self.totals.report_s += answered_at - reported_at
            self.totals.router_s += reported_at - started_at
            self.totals.report_bytes += len(encode_message(report))
            for receiver, grant in grants:
                self._apply_grant(self.routers[receiver], grant)

    def _apply_grant(self, router: PoolScheduler, grant: Grant) -> None:
        self.totals.grants += 1
        self.totals.grant_bytes += len(encode_message(grant))
        started_at = time.perf_counter()
        router.on_grant(grant, self.now)
        self.totals.router_s += time.perf_counter() - started_at
        self._dispatch(router)

    def _dispatch(self, router: PoolScheduler) -> None:
        started_at = time.perf_counter()
        calls = router.dispatch(self.now, lambda call, idle: next(iter(idle)))
        self.totals.dispatch_s += time.perf_counter() - started_at
        self.totals.calls += len(calls)

    def _complete_calls(self, router: PoolScheduler) -> None:
        running = router.running_calls()
        for call in self._rng.sample(
            running, int(len(running) * _COMPLETED_FRACTION + self._rng.random())
        ):
            router.charge(call, self._rng.uniform(50, 150))
            router.finish(call, self.now)
            self._submit(router, call.member)
            self._dispatch(router)


def sharing_series(seed: int) -> list[Series]:
    """Measure a simulated pool along each size axis."""
    result: list[Series] = []
    for axis, sizes in _SIZES_BY_AXIS.items():
        series = {key: Series(f"{key}/{axis}", axis, text) for key, text in _QUANTITIES.items()}
        for x, members, routers, servers in sizes:
            for key, y in _measure_pool(members, routers, servers, seed).items():
                series[key].add(x, y)
        result += series.values()
    return result


def _measure_pool(members: int, routers: int, servers: int, seed: int) -> dict[str, float]:
    simulation = _SimulatedPool(members, routers, servers, seed)
    for _ in range(_WARM_UP_INTERVALS):
        simulation.run_interval()
    simulation.totals = totals = _Totals()
    gc.collect()
    gc.disable()
    for _ in range(_MEASURED_INTERVALS):
        simulation.run_interval()
    gc.enable()
    router_state = next(iter(simulation.routers.values()))
    return {
        "report": 1e6 * totals.report_s / totals.reports,
        "router": 1e6 * totals.router_s / totals.reports,
        "dispatch": 1e6 * totals.dispatch_s / max(1, totals.calls),
        "report_bytes": totals.report_bytes / totals.reports,
        "grant_bytes": totals.grant_bytes / max(1, totals.grants),
        "memory": deep_size(simulation.coordinator, router_state) / 1024,
    }
