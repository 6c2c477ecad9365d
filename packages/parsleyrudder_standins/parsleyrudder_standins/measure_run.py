"""One measurement run: starts a fleet, drives the load, injects the fault, takes the samples."""

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
from .measure_faults import FAULTS, Fault, FaultScene
from .measure_figures import Sample
from .measure_load import COSTS, Load, MemberLoad, Record, spread_callers

__all__ = ["CENTRAL", "RunOptions", "RunResult", "run"]

CENTRAL = "central"
"""Name of the ideal: one router that all callers use, with policy ``fair``."""

_SAMPLE_S = 0.5
_SLACK_S = 90.0
_PROMPT_TOKENS = 10
_PROMPT_WEIGHT = 0.1
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclass(slots=True)
class RunOptions:
    """What to run.

    :ivar members: number of members with callers; the others of the deployment are idle.
    :ivar token_rate: tokens per second and slot.
    :ivar batch_part: part of the calls that are batch calls.
    :ivar warm_up_s: time before the sampling window.
    :ivar servers: servers of the pool; 0 for those of the deployment.
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
    """What a run has measured, before any arithmetic.

    :ivar samples: samples of the window.
    :ivar fault_from: seconds after the load's begin at which the fault began.
    :ivar processor: share of a core used by each router.
    :ivar control: coordination bytes per second of each router, in and out.
    :ivar standin_processor: share of a core used by the stand-ins.
    :ivar load_processor: share of a core used by the load generator.
    """

    options: RunOptions
    pool: PoolSpec
    share_by_member: dict[str, float]
    loads: list[MemberLoad]
    fault: Fault
    samples: list[Sample] = field(default_factory=list)
    records: list[Record] = field(default_factory=list)
    fault_from: float = 0.0
    fault_until: float = 0.0
    observed: dict[str, Any] = field(default_factory=dict)
    cancelled: int = 0
    processor: dict[str, float] = field(default_factory=dict)
    control: dict[str, float] = field(default_factory=dict)
    standin_processor: float = 0.0
    load_processor: float = 0.0

    @property
    def largest_cost(self) -> float:
        """Largest cost of one request."""
        return COSTS[self.options.costs][1] + _PROMPT_TOKENS * _PROMPT_WEIGHT

    @property
    def rate(self) -> float:
        """Cost per second that the pool serves when all slots are busy."""
        return self.pool.servers * self.pool.window / self.pool.token_s


def run(options: RunOptions) -> RunResult:
    """Make one run, and end every process that it has started."""
    deployment = load_deployment(options.deployment)
    pool = _adapt_pool(deployment, options)
    shares = _shares(deployment, options.members)
    routers = 1 if options.policy == CENTRAL else options.routers
    rng = random.Random(options.seed)
    slots = pool.servers * pool.window
    loads = spread_callers(shares, routers, slots, options.skew, rng)
    result = RunResult(options, pool, shares, loads, FAULTS[options.fault]())
    policy = "fair" if options.policy == CENTRAL else options.policy
    settings = {"policy": policy, "prompt_weight": _PROMPT_WEIGHT}
    with Fleet(deployment, routers, pool_settings=settings) as fleet:
        addresses = [router.address for router in fleet.router_by_name.values()]
        load = Load(pool.name, addresses, options.costs, options.batch_part, options.seed)
        asyncio.run(_bounded(_Run(result, fleet, load), options))
    return result


async def _bounded(course: "_Run", options: RunOptions) -> None:
    """End a run that takes too long, so that no load goes on for ever."""
    async with asyncio.timeout(options.warm_up_s + options.seconds + _SLACK_S):
        await course.drive()


def _adapt_pool(deployment: Deployment, options: RunOptions) -> PoolSpec:
    """Set the token rate and the size of the deployment's engine pool."""
    pool = deployment.pool("engine")
    servers = options.servers or pool.servers
    adapted = msgspec.structs.replace(pool, token_s=1 / options.token_rate, servers=servers)
    deployment.pools[deployment.pools.index(pool)] = adapted
    return adapted


def _shares(deployment: Deployment, members: int) -> dict[str, float]:
    """Return the shares of the members with callers: large and small ones in turn."""
    rows = {member.name: member for member in deployment.members}
    shares = normalised_shares(Config(1, rows))
    ordered = sorted(shares, key=lambda name: -shares[name])
    large = [name for name in ordered if shares[name] > 1]
    small = [name for name in ordered if shares[name] <= 1]
    names = []
    while large or small:
        names += large[:1] + small[:1]
        del large[:1], small[:1]
    return {name: shares[name] for name in names[:members]}


class _Run:
    """The course of one run."""

    def __init__(self, result: RunResult, fleet: Fleet, load: Load) -> None:
        self._result = result
        self._fleet = fleet
        self._load = load
        self._pool = result.pool
        self._scene = FaultScene(fleet, load, result.loads, result.pool.name)

    async def drive(self) -> None:
        """Warm up, sample with the fault in the middle third, and let the calls end."""
        options, result, load = self._result.options, self._result, self._load
        load.start(result.loads)
        await asyncio.sleep(options.warm_up_s)
        before = await asyncio.to_thread(self._usage)
        fault = asyncio.create_task(self._inject())
        begun = load.now
        while load.now < begun + options.seconds:
            due = begun + (len(result.samples) + 1) * _SAMPLE_S
            result.samples.append(await self._sample())
            await asyncio.sleep(max(0.0, due - load.now))
        await fault
        after = await asyncio.to_thread(self._usage)
        self._note_usage(before, after)
        result.cancelled = await load.stop()
        result.records = load.records

    async def _inject(self) -> None:
        result, third = self._result, self._result.options.seconds / 3
        await asyncio.sleep(third)
        result.fault_from = self._load.now
        await result.fault.begin(self._scene)
        await asyncio.sleep(third)
        result.fault_until = self._load.now
        result.observed = await result.fault.end(self._scene)

    async def _sample(self) -> Sample:
        names = [f"{self._pool.name}-{n + 1}" for n in range(self._pool.servers)]
        outstanding = self._load.outstanding_by_member(self._result.fault.unreachable)
        at = self._load.now
        addresses = [self._fleet.address_by_server[name] for name in names]
        fetches = [asyncio.to_thread(get_json, a, "/standin/service") for a in addresses]
        documents = await asyncio.gather(*fetches)
        return sample_of(
            at,
            dict(zip(names, documents, strict=True)),
            outstanding,
            self._pool.window,
        )

    def _usage(self) -> dict[str, Any]:
        """Return processor seconds and control bytes so far, and the time."""
        usage: dict[str, Any] = {"at": time.monotonic(), "load": time.process_time()}
        usage["standins"] = sum(_processor_s(pid) for pid in self._fleet.standin_pids())
        for router in self._fleet.router_by_name.values():
            with contextlib.suppress(OSError, http.client.HTTPException):
                assert router.process is not None
                control = router.status()["control_bytes"]
                pid = router.process.pid
                usage[router.name] = (pid, _processor_s(pid), control["in"] + control["out"])
        return usage

    def _note_usage(self, before: dict[str, Any], after: dict[str, Any]) -> None:
        result, seconds = self._result, after["at"] - before["at"]
        result.load_processor = (after["load"] - before["load"]) / seconds
        result.standin_processor = (after["standins"] - before["standins"]) / seconds
        for name in self._fleet.router_by_name:
            old, new = before.get(name), after.get(name)
            # A router that was started again has new counters.
            if old and new and old[0] == new[0]:
                result.processor[name] = (new[1] - old[1]) / seconds
                result.control[name] = (new[2] - old[2]) / seconds


def sample_of(
    at: float,
    document_by_server: dict[str, dict[str, Any]],
    outstanding: dict[str, int],
    window: int,
) -> Sample:
    """Sum what the engines have counted."""
    served: dict[str, float] = {}
    running: Counter[str] = Counter()
    for document in document_by_server.values():
        running.update(document["running"])
        for member, tokens in document["tokens"].items():
            served[member] = served.get(member, 0.0) + tokens
        for member, tokens in document["prompt_tokens"].items():
            served[member] = served.get(member, 0.0) + tokens * _PROMPT_WEIGHT
    busy = {server: doc["busy_slot_s"] for server, doc in document_by_server.items()}
    offered = {server: window * doc["at"] for server, doc in document_by_server.items()}
    return Sample(at, served, running, outstanding, busy, offered)


def _processor_s(pid: int) -> float:
    """Return the processor time that a process has used; NaN if it is gone."""
    try:
        text = Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return math.nan
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S
