"""Simulation of a fleet in one process: schedulers, one coordinator, servers and messages.

Time is simulated, and all random choices come from one seeded generator. At each start of a call
the simulation checks that its server and its member run no more calls than the window and the
concurrency limit allow. Calls of a killed router continue at the servers until they end; the
coordinator learns of them from delayed load reports.
"""

import heapq
import itertools
import random
from collections import defaultdict
from collections.abc import Callable, Mapping
from functools import partial

from parsleyrudder import (
    Config,
    Coordinator,
    CostEstimator,
    Member,
    Plan,
    PoolRules,
    PoolScheduler,
    SchedulerRules,
    WaitingCall,
    normalised_shares,
)

LATENCY_S = 0.001
LOAD_LAG_S = 0.5
SAMPLE_S = 0.1
COST_PER_S = 100.0


def config_of(shares: dict[str, float], **limits: float) -> Config:
    """Return a configuration with one plan for all members."""
    values = {
        "concurrency": 1000,
        "requests_per_s": 1e6,
        "cost_per_s": 1e9,
        "largest_request": 1e9,
        "queue_length": 100_000,
        "queue_time_s": 1e6,
    } | limits
    plan = Plan(name="plan", pools=("pool",), **values)  # type: ignore[arg-type]
    members = {name: Member(name, "plan", share, "") for name, share in shares.items()}
    return Config(1, members, {"plan": plan})


class SimulatedFleet:
    """The fleet under test.

    :param loss: probability that a message is lost; repeats and delays have the same probability.
    """

    def __init__(
        self,
        routers: int,
        windows: dict[str, int],
        shares: dict[str, float],
        seed: int = 1,
        loss: float = 0.0,
        reserve: float = 0.0,
        **limits: float,
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.loss = loss
        self.windows = dict(windows)
        self.config = config_of(shares, **limits)
        self.rules = PoolRules(max_call_s=60.0)
        self.scheduler_rules = SchedulerRules(interactive_reserve=reserve)
        self.routers: dict[str, PoolScheduler] = {}
        self.paused: set[str] = set()
        self.coordinator_down = False
        self.disconnected: set[str] = set()
        self.running: dict[str, tuple[WaitingCall, str, float, float]] = {}
        self.running_by_server: dict[str, int] = defaultdict(int)
        self.running_by_member: dict[str, int] = defaultdict(int)
        self.served: dict[str, float] = defaultdict(float)
        self.samples: list[tuple[float, dict[str, float], set[str], float]] = []
        self.started: list[tuple[float, str, str]] = []
        self.on_end: Callable[[WaitingCall, str], object] = lambda call, router: None
        self.previous_windows: list[tuple[float, dict[str, int]]] = []
        self.costs: dict[str, float] = {}
        self.calls_ended_in_pause: dict[str, list[WaitingCall]] = defaultdict(list)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._ids = itertools.count()
        self.incarnation = self.epoch = 0
        self.replace_coordinator(())
        for index in range(routers):
            self.start_router(f"r{index + 1}")
        self.schedule(SAMPLE_S, self._sample)

    def replace_coordinator(self, expected_routers: tuple[str, ...]) -> None:
        """Replace the coordinator with a new one that has no state."""
        self.coordinator_down = False
        self.epoch += 1
        epoch = self.epoch
        self.coordinator = Coordinator(
            "c", "pool", epoch, self.rules, self.now, expected_routers=set(expected_routers)
        )
        self.coordinator.set_servers(self.windows)
        self.set_config(self.config)
        for scheduler in self.routers.values():
            scheduler.follow(epoch)

    def set_config(self, config: Config) -> None:
        """Put a configuration in force everywhere."""
        self.config = config
        limit = config.plan_by_name["plan"].concurrency
        limits = dict.fromkeys(config.member_by_name, limit)
        self.coordinator.set_members(normalised_shares(config), limits)
        for scheduler in self.routers.values():
            scheduler.set_config(config)

    def set_windows(self, windows: dict[str, int]) -> None:
        """Change the windows; a router may use the old ones until it is told or its lease ends."""
        self.previous_windows.append((self.now + self.rules.reclaim_s, self.windows))
        self.windows = dict(windows)
        self.coordinator.set_servers(windows)

    def start_router(self, name: str) -> None:
        """Start a router; one that is running is killed and restarted with a new incarnation."""
        for id, (call, router, since, _) in list(self.running.items()):
            if router == name:
                del self.running[id]
                self.running_by_member[call.member] -= 1
                self.schedule(
                    since + self.costs[id] / COST_PER_S, partial(self._free_slot, call.server)
                )
        self.incarnation += 1
        scheduler = PoolScheduler(
            name, self.incarnation, "pool", self.scheduler_rules, CostEstimator(100.0)
        )
        scheduler.set_config(self.config)
        scheduler.follow(self.coordinator.epoch)
        self.routers[name] = scheduler
        self.dispatch_and_report(name)
        self.schedule(
            self.now + self.rng.uniform(0, 0.01), lambda: self._run_router(name, scheduler)
        )

    def resume(self, name: str) -> None:
        """Resume a paused router, and finish the calls that have ended during the pause."""
        self.paused.discard(name)
        self.dispatch_and_report(name)
        for call in self.calls_ended_in_pause.pop(name, []):
            self.routers[name].charge(call, self.costs[call.id])
            self.routers[name].finish(call, self.now)
            self.on_end(call, name)
        self.dispatch_and_report(name)

    def schedule(self, time: float, action: Callable[[], None]) -> None:
        """Run an action at a simulated time."""
        heapq.heappush(self._events, (time, next(self._ids), action))

    def run(self, until: float) -> None:
        """Advance the simulation to a time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = until

    def submit(self, router: str, member: str, cost: float, interactive: bool = True, **fields):
        """Submit a call with an actual cost; return the refusal, if any."""
        call = WaitingCall(
            str(next(self._ids)), member, "k", interactive, 100.0, self.now + 1e6, **fields
        )
        self.costs[call.id] = cost
        refused = self.routers[router].submit(call, self.now)
        self.dispatch_and_report(router)
        return refused

    def dispatch_and_report(self, name: str) -> None:
        """Dispatch waiting calls, and send a report if it is due."""
        if name in self.paused:
            return
        scheduler = self.routers[name]
        for call in scheduler.dispatch(self.now, _most_idle):
            self.running_by_server[call.server] += 1
            self.running_by_member[call.member] += 1
            self.started.append((self.now, name, call.member))
            self.running[call.id] = (call, name, self.now, 0.0)
            self.schedule(self.now + self.costs[call.id] / COST_PER_S, partial(self._end, call.id))
            self._check_limits(call)
        if scheduler.report_due(self.now):
            self._accrue(name)
            report = scheduler.report(self.now, True)
            if name not in self.disconnected:
                self._send(lambda: self._on_report(report))

    def fairness_gap(self, since: float = 0.0, members: tuple[str, ...] = ()) -> float:
        """Return the largest fairness gap between two members while both were backlogged."""
        shares = normalised_shares(self.config)
        worst = 0.0
        for a, b in itertools.combinations(sorted(members or shares), 2):
            low = high = None
            for time, served, waiting, _ in self.samples:
                if time < since or a not in waiting or b not in waiting:
                    low = high = None
                    continue
                lead = served.get(a, 0.0) / shares[a] - served.get(b, 0.0) / shares[b]
                low = lead if low is None else min(low, lead)
                high = lead if high is None else max(high, lead)
                worst = max(worst, high - low)
        return worst

    def utilisation(self, since: float) -> float:
        """Return the fraction of busy slots over the samples with waiting calls."""
        busy = [b for time, _, waiting, b in self.samples if time >= since and waiting]
        return sum(busy) / len(busy) / sum(self.windows.values())

    def _run_router(self, name: str, scheduler: PoolScheduler) -> None:
        if self.routers.get(name) is not scheduler:
            return
        self.dispatch_and_report(name)
        delay = max(0.001, scheduler.next_report_in(self.now))
        self.schedule(self.now + min(delay, 0.01), lambda: self._run_router(name, scheduler))

    def _send(self, deliver: Callable[[], None]) -> None:
        if self.rng.random() < self.loss:
            return
        delayed = self.rng.random() < self.loss
        self.schedule(self.now + LATENCY_S + delayed * self.rng.uniform(0, 0.5), deliver)
        if self.rng.random() < self.loss:
            self.schedule(self.now + self.rng.uniform(0, 1.0), deliver)

    def _on_report(self, report) -> None:
        if not self.coordinator_down:
            self._deliver(self.coordinator.on_report(report, self.now))

    def _deliver(self, grants) -> None:
        for receiver, grant in grants:
            if receiver not in self.disconnected and receiver in self.routers:
                self._send(partial(self._on_grant, receiver, grant))

    def _on_grant(self, name: str, grant) -> None:
        if name not in self.paused:
            self.routers[name].on_grant(grant, self.now)
            self.dispatch_and_report(name)

    def _accrue(self, name: str = "") -> None:
        for id, (call, router, since, counted) in self.running.items():
            if name in ("", router):
                done = min(self.costs[id], (self.now - since) * COST_PER_S)
                self.served[call.member] += done - counted
                self.running[id] = (call, router, since, done)
                if router not in self.paused:
                    self.routers[router].charge(call, done)

    def _end(self, id: str) -> None:
        if id not in self.running:
            return
        call, name, since, counted = self.running[id]
        if name in self.paused:
            self._remove_running(id)
            self.calls_ended_in_pause[name].append(call)
            return
        self.served[call.member] += self.costs[id] - counted
        self.routers[name].charge(call, self.costs[id])
        self._remove_running(id)
        self.routers[name].finish(call, self.now)
        self.on_end(call, name)
        self.dispatch_and_report(name)

    def _remove_running(self, id: str) -> None:
        call, _, _, _ = self.running.pop(id)
        self._free_slot(call.server)
        self.running_by_member[call.member] -= 1

    def _free_slot(self, server: str) -> None:
        self.running_by_server[server] -= 1

    def _check_limits(self, call: WaitingCall) -> None:
        allowed = [old for until, old in self.previous_windows if self.now < until]
        max_running = max(windows.get(call.server, 0) for windows in [self.windows, *allowed])
        assert self.running_by_server[call.server] <= max_running
        limit = self.config.plan_by_name["plan"].concurrency
        assert self.running_by_member[call.member] <= limit

    def _sample(self) -> None:
        self._accrue()
        waiting: set[str] = set()
        for scheduler in self.routers.values():
            waiting |= scheduler.waiting_by_member().keys()
        busy = float(sum(self.running_by_server.values()))
        self.samples.append((self.now, dict(self.served), waiting, busy))
        loads = dict(self.running_by_server)
        if not self.coordinator_down:
            self.schedule(self.now + LOAD_LAG_S, lambda: self._report_loads(loads))
            self._deliver(self.coordinator.tick(self.now))
        for scheduler in self.routers.values():
            scheduler.expire(self.now)
        self.schedule(self.now + SAMPLE_S, self._sample)

    def _report_loads(self, loads: dict[str, int]) -> None:
        for server, running in loads.items():
            self.coordinator.on_server_load(server, running, self.now)


def _most_idle(call: WaitingCall, idle: Mapping[str, int]) -> str:
    return max(idle, key=lambda server: (idle[server], server))
