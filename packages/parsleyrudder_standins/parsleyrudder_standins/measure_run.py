"""One measurement run: starts a fleet, generates load, injects a fault and takes samples."""

import asyncio
import contextlib
import http.client
import math
import os
import random
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
from parsleyrudder import Config, normalised_shares

from .deployment import Deployment, PoolSpec, load_deployment
from .launcher import Fleet, get_json
from .measure_faults import FAULTS, Fault, FaultContext
from .measure_figures import Sample
from .measure_load import COSTS, CallRecord, LoadGenerator, MemberLoad, distribute_callers

__all__ = ["CENTRAL", "RunOptions", "RunResult", "run"]

CENTRAL = "central"
"""Name of the ideal baseline: a single router used by all callers, with policy ``fair``."""

_SAMPLE_INTERVAL_S = 0.5
_TIMEOUT_MARGIN_S = 90.0
_PROMPT_TOKENS = 10
_PROMPT_WEIGHT = 0.1
_CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclass(slots=True)
class RunOptions:
    """Options of a run.

    :ivar members: number of members with callers; other members of the deployment are idle.
    :ivar token_rate: tokens per second and slot.
    :ivar batch_part: fraction of calls in the batch class.
    :ivar warm_up_s: seconds of load before the sampling window.
    :ivar servers: number of servers in the pool; 0 for the deployment's number.
    """

    deployment: str = "frio-nordeste"
    policy: str = "fair"
    fault: str = "none"
    routers: int = 8
    members: int = 8
    seed: int = 1
    skew: float = 1.0
    costs: str = "uniform"
    seconds: float = 30.0
    token_rate: float = 50.0
    batch_part: float = 0.0
    warm_up_s: float = 5.0
    servers: int = 0


@dataclass(slots=True)
class RunResult:
    """Raw measurements of a run.

    :ivar samples: samples taken in the sampling window.
    :ivar fault_started_at: seconds from the start of the load to the start of the fault.
    :ivar cores_by_router: processor cores used by each router, on average.
    :ivar control_rate_by_router: coordination bytes per second of each router, in and out.
    :ivar standin_cores: processor cores used by the stand-ins.
    :ivar load_cores: processor cores used by the load generator.
    """

    options: RunOptions
    pool: PoolSpec
    share_by_member: dict[str, float]
    loads: list[MemberLoad]
    fault: Fault
    samples: list[Sample] = field(default_factory=list)
    records: list[CallRecord] = field(default_factory=list)
    fault_started_at: float = 0.0
    fault_ended_at: float = 0.0
    observations: dict[str, Any] = field(default_factory=dict)
    cancelled: int = 0
    cores_by_router: dict[str, float] = field(default_factory=dict)
    control_rate_by_router: dict[str, float] = field(default_factory=dict)
    standin_cores: float = 0.0
    load_cores: float = 0.0

    @property
    def largest_cost(self) -> float:
        """Largest cost of a single call."""
        return COSTS[self.options.costs][1] + _PROMPT_TOKENS * _PROMPT_WEIGHT

    @property
    def service_rate(self) -> float:
        """Cost per second that the pool serves when all slots are busy."""
        return self.pool.servers * self.pool.window / self.pool.token_s


def run(options: RunOptions) -> RunResult:
    """Execute one run and stop every process that it started."""
    deployment = load_deployment(options.deployment)
    pool = _adapt_pool(deployment, options)
    shares = _select_shares(deployment, options.members)
    routers = 1 if options.policy == CENTRAL else options.routers
    rng = random.Random(options.seed)
    slots = pool.servers * pool.window
    loads = distribute_callers(shares, routers, slots, options.skew, rng)
    result = RunResult(options, pool, shares, loads, FAULTS[options.fault]())
    policy = "fair" if options.policy == CENTRAL else options.policy
    settings = {"policy": policy, "prompt_weight": _PROMPT_WEIGHT}
    with Fleet(deployment, routers, pool_settings=settings) as fleet:
        addresses = [router.address for router in fleet.router_by_name.values()]
        load = LoadGenerator(pool.name, addresses, options.costs, options.batch_part, options.seed)
        asyncio.run(_drive_with_timeout(_RunDriver(result, fleet, load), options))
    return result


async def _drive_with_timeout(driver: "_RunDriver", options: RunOptions) -> None:
    """Drive a run, with a time-out so that the load cannot continue indefinitely."""
    async with asyncio.timeout(options.warm_up_s + options.seconds + _TIMEOUT_MARGIN_S):
        await driver.drive()


def _adapt_pool(deployment: Deployment, options: RunOptions) -> PoolSpec:
    """Set the token rate and the size of the deployment's engine pool."""
    pool = deployment.pool("engine")
    servers = options.servers or pool.servers
    adapted = msgspec.structs.replace(pool, token_s=1 / options.token_rate, servers=servers)
    deployment.pools[deployment.pools.index(pool)] = adapted
    return adapted


def _select_shares(deployment: Deployment, members: int) -> dict[str, float]:
    """Return the shares of the members with callers, alternating large and small shares."""
    member_by_name = {member.name: member for member in deployment.members}
    shares = normalised_shares(Config(1, member_by_name))
    ordered = sorted(shares, key=lambda name: -shares[name])
    large = [name for name in ordered if shares[name] > 1]
    small = [name for name in ordered if shares[name] <= 1]
    names = []
    while large or small:
        names += large[:1] + small[:1]
        del large[:1], small[:1]
    return {name: shares[name] for name in names[:members]}


class _RunDriver:
    """Drives the load, fault and sampling of one run."""

    def __init__(self, result: RunResult, fleet: Fleet, load: LoadGenerator) -> None:
        self._result = result
        self._fleet = fleet
        self._load = load
        self._pool = result.pool
        self._fault_context = FaultContext(fleet, load, result.loads, result.pool.name)

    async def drive(self) -> None:
        """Warm up, take samples with the fault in the middle third, and drain the calls."""
        options, result, load = self._result.options, self._result, self._load
        load.start(result.loads)
        await asyncio.sleep(options.warm_up_s)
        before = await asyncio.to_thread(self._read_usage)
        fault = asyncio.create_task(self._run_fault())
        window_start = load.now
        while load.now < window_start + options.seconds:
            next_sample_at = window_start + (len(result.samples) + 1) * _SAMPLE_INTERVAL_S
            result.samples.append(await self._take_sample())
            await asyncio.sleep(max(0.0, next_sample_at - load.now))
        await fault
        after = await asyncio.to_thread(self._read_usage)
        self._record_usage(before, after)
        result.cancelled = await load.stop()
        result.records = load.records

    async def _run_fault(self) -> None:
        result, phase_s = self._result, self._result.options.seconds / 3
        await asyncio.sleep(phase_s)
        result.fault_started_at = self._load.now
        await result.fault.inject(self._fault_context)
        await asyncio.sleep(phase_s)
        result.fault_ended_at = self._load.now
        result.observations = await result.fault.remove(self._fault_context)

    async def _take_sample(self) -> Sample:
        names = [f"{self._pool.name}-{n + 1}" for n in range(self._pool.servers)]
        outstanding = self._load.outstanding_by_member(self._result.fault.unreachable_routers)
        time_s = self._load.now
        addresses = [self._fleet.address_by_server[name] for name in names]
        fetches = [asyncio.to_thread(get_json, a, "/standin/service") for a in addresses]
        documents = await asyncio.gather(*fetches)
        return make_sample(
            time_s,
            dict(zip(names, documents, strict=True)),
            outstanding,
            self._pool.window,
        )

    def _read_usage(self) -> dict[str, Any]:
        """Return cumulative processor seconds and control bytes, with the current time."""
        usage: dict[str, Any] = {"at": time.monotonic(), "load": time.process_time()}
        usage["standins"] = sum(_cpu_time_s(pid) for pid in self._fleet.standin_pids())
        for router in self._fleet.router_by_name.values():
            with contextlib.suppress(OSError, http.client.HTTPException):
                assert router.process is not None
                control_bytes = router.status()["control_bytes"]
                pid = router.process.pid
                usage[router.name] = (
                    pid,
                    _cpu_time_s(pid),
                    control_bytes["in"] + control_bytes["out"],
                )
        return usage

    def _record_usage(self, before: dict[str, Any], after: dict[str, Any]) -> None:
        result, seconds = self._result, after["at"] - before["at"]
        result.load_cores = (after["load"] - before["load"]) / seconds
        result.standin_cores = (after["standins"] - before["standins"]) / seconds
        for name in self._fleet.router_by_name:
            earlier, later = before.get(name), after.get(name)
            # The counters of a restarted router begin at zero, so its rates are left out.
            if earlier and later and earlier[0] == later[0]:
                result.cores_by_router[name] = (later[1] - earlier[1]) / seconds
                result.control_rate_by_router[name] = (later[2] - earlier[2]) / seconds


def make_sample(
    time_s: float,
    document_by_server: dict[str, dict[str, Any]],
    outstanding: dict[str, int],
    window: int,
) -> Sample:
    """Build a sample from the counters of the engines."""
    served: dict[str, float] = {}
    running: Counter[str] = Counter()
    for document in document_by_server.values():
        running.update(document["running"])
        for member, tokens in document["tokens"].items():
            served[member] = served.get(member, 0.0) + tokens
        for member, tokens in document["prompt_tokens"].items():
            served[member] = served.get(member, 0.0) + tokens * _PROMPT_WEIGHT
    busy = {server: doc["busy_slot_s"] for server, doc in document_by_server.items()}
    capacity = {server: window * doc["at"] for server, doc in document_by_server.items()}
    return Sample(time_s, served, running, outstanding, busy, capacity)


def _cpu_time_s(pid: int) -> float:
    """Return the processor seconds used by a process; NaN if it no longer exists."""
    try:
        text = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return math.nan
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _CLOCK_TICKS_PER_S
