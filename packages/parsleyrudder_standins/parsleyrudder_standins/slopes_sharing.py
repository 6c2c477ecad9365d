"""Cost of the sharing decisions of one cell: time, bytes and memory against its size."""

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
_WARM_UP_ROUNDS = 8
_ROUNDS = 24
_INTERVAL_S = 0.1
_ENDING_PART = 0.1
_AXES = {
    "members": [(n, n, 8, 32) for n in (16, 100, 400, 1000, 2000, 3800)],
    "routers": [(n, 400, n, 64) for n in (3, 8, 16, 32, 64)],
    "servers": [(n, 400, 8, n) for n in (3, 12, 50, 100, 200, 400)],
}
_MEASURES = {
    "report": "us of coordinator time per report",
    "router": "us of router time per report and grant",
    "dispatch": "us per dispatched call",
    "report_bytes": "bytes per report",
    "grant_bytes": "bytes per grant",
    "memory": "KiB of control state of a coordinating router",
}


@dataclass(slots=True)
class _Sums:
    reports: int = 0
    grants: int = 0
    calls: int = 0
    report_s: float = 0.0
    router_s: float = 0.0
    dispatch_s: float = 0.0
    report_bytes: int = 0
    grant_bytes: int = 0


class _Cell:
    """Routers and a coordinator; a tenth of the members is backlogged, each at two routers."""

    def __init__(self, members: int, routers: int, servers: int, seed: int) -> None:
        self._rng = random.Random(seed)
        plan = Plan("p", ("pool",), 10**6, 1e9, 1e12, 1e9, 10**6, 1e9)
        names = [f"member-{index:04d}" for index in range(members)]
        rows = {name: Member(name, "p", 1.0, "") for name in names}
        config = Config(1, rows, {"p": plan})
        self.sums = _Sums()
        self.now = 0.0
        self._count = 0
        self.coordinator = Coordinator("c", "pool", 1, PoolRules(), 0.0)
        self.coordinator.set_servers({f"server-{index:03d}": _WINDOW for index in range(servers)})
        limits = dict.fromkeys(names, 10**6)
        self.coordinator.set_members(normalised_shares(config), limits)
        self.routers = {
            f"router-{index:02d}": self._router(index, config) for index in range(routers)
        }
        backlogged = names[: max(2, members // 10)]
        depth = 1 + 2 * servers * _WINDOW // (_ROUTERS_PER_MEMBER * len(backlogged))
        for name in backlogged:
            for router in self._rng.sample(sorted(self.routers), _ROUTERS_PER_MEMBER):
                for _ in range(depth):
                    self._submit(self.routers[router], name)

    def _router(self, index: int, config: Config) -> PoolScheduler:
        name = f"router-{index:02d}"
        router = PoolScheduler(name, 1, "pool", SchedulerRules(), CostEstimator(100.0))
        router.set_config(config)
        router.follow(1)
        return router

    def _submit(self, router: PoolScheduler, member: str) -> None:
        self._count += 1
        call = WaitingCall(f"{self._count:032x}", member, "chat", True, 100.0, 1e9)
        assert router.submit(call, self.now) is None

    def round(self) -> None:
        """Let one report interval pass."""
        self.now += _INTERVAL_S
        for router in self.routers.values():
            self._end_calls(router)
            self._dispatch(router)
            began = time.perf_counter()
            report = router.report(self.now, True)
            middle = time.perf_counter()
            grants = self.coordinator.on_report(report, self.now)
            ended = time.perf_counter()
            self.sums.reports += 1
            self.sums.report_s += ended - middle
            self.sums.router_s += middle - began
            self.sums.report_bytes += len(encode_message(report))
            for receiver, grant in grants:
                self._take(self.routers[receiver], grant)

    def _take(self, router: PoolScheduler, grant: Grant) -> None:
        self.sums.grants += 1
        self.sums.grant_bytes += len(encode_message(grant))
        began = time.perf_counter()
        router.on_grant(grant, self.now)
        self.sums.router_s += time.perf_counter() - began
        self._dispatch(router)

    def _dispatch(self, router: PoolScheduler) -> None:
        began = time.perf_counter()
        calls = router.dispatch(self.now, lambda call, idle: next(iter(idle)))
        self.sums.dispatch_s += time.perf_counter() - began
        self.sums.calls += len(calls)

    def _end_calls(self, router: PoolScheduler) -> None:
        running = router.running_calls()
        for call in self._rng.sample(
            running, int(len(running) * _ENDING_PART + self._rng.random())
        ):
            router.charge(call, self._rng.uniform(50, 150))
            router.finish(call, self.now)
            self._submit(router, call.member)
            self._dispatch(router)


def sharing_series(seed: int) -> list[Series]:
    """Measure a cell along each axis of its size."""
    result: list[Series] = []
    for axis, sizes in _AXES.items():
        series = {key: Series(f"{key}/{axis}", axis, text) for key, text in _MEASURES.items()}
        for x, members, routers, servers in sizes:
            for key, y in _measure(members, routers, servers, seed).items():
                series[key].add(x, y)
        result += series.values()
    return result


def _measure(members: int, routers: int, servers: int, seed: int) -> dict[str, float]:
    cell = _Cell(members, routers, servers, seed)
    for _ in range(_WARM_UP_ROUNDS):
        cell.round()
    cell.sums = sums = _Sums()
    gc.collect()
    gc.disable()
    for _ in range(_ROUNDS):
        cell.round()
    gc.enable()
    first = next(iter(cell.routers.values()))
    return {
        "report": 1e6 * sums.report_s / sums.reports,
        "router": 1e6 * sums.router_s / sums.reports,
        "dispatch": 1e6 * sums.dispatch_s / max(1, sums.calls),
        "report_bytes": sums.report_bytes / sums.reports,
        "grant_bytes": sums.grant_bytes / max(1, sums.grants),
        "memory": deep_size(cell.coordinator, first) / 1024,
    }
