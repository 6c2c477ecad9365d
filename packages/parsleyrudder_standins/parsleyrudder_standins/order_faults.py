"""Checks call outcomes while routers, the table and servers fail.

Run ``python -m parsleyrudder_standins.order_faults --orders=10000 --seed=1``. Callers send orders
with and without idempotency keys, lookups and streams to a fleet of processes. The outcomes that
they received are compared with the executions that the stand-ins counted.
"""

import asyncio
import json
import random
import sys
import time
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from absl import app, flags

from .caller import Caller, CallResult
from .deployment import load_deployment
from .fault_plan import ALL_FAULTS, FaultPlan
from .launcher import Fleet, get_json
from .options import SEED

__all__ = ["OrderRun", "Summary", "run_orders"]

_ORDERS = flags.DEFINE_integer("orders", 10_000, "Number of orders, lookups and streams.")
_RATE = flags.DEFINE_float("rate", 80.0, "Orders per second.")

_MEMBERS = ("gas-aurora", "gas-dunas", "gas-mandacaru", "hosp-boa-vista")
_TOKENS = 12
_MAX_ATTEMPTS = 8
_DISCONNECT_PROBABILITY = 0.1
_MAX_CONCURRENT_CALLS = 300
_CALL_TIMEOUT_S = 40.0
_RETRIED_CODES = frozenset({"server_failed", "still_running", "table_down", ""})
_POOL_SETTINGS = {"first_byte_s": 1.5, "server_silence_s": 1.5, "max_call_s": 10.0}
"""Slots of a lost router are freed after ``max_call_s``; a low value keeps the fleet serving."""
_ROUTER_SETTINGS = {"default_deadline_s": 10.0, "stop_timeout_s": 15.0}


@dataclass(slots=True)
class _Call:
    """One request and its result.

    :ivar key: idempotency key; empty if there is none.
    :ivar disconnected: whether the caller disconnected before the end of the response.
    """

    kind: str
    id: str
    key: str
    address: str
    started_at: float
    result: CallResult
    disconnected: bool = False
    ended_at: float = field(default_factory=time.monotonic)


@dataclass(slots=True)
class Summary:
    """Result of a run; ``violations`` is empty if no guarantee was violated.

    :ivar told: number of calls by kind and outcome.
    :ivar codes: number of calls by error code.
    :ivar faults: number of times that each fault was injected.
    :ivar replays: number of responses replayed from the stored result of a key.
    """

    orders: int
    requests: int
    seconds: float
    told: dict[str, int]
    codes: dict[str, int]
    faults: dict[str, int]
    executed: int
    replays: int
    keys_executed: int
    key_txns: int
    key_writes: int
    violations: list[str] = field(default_factory=list)


class OrderRun:
    """Sends the orders of one run and checks the results.

    :param rate: orders started per second.
    """

    def __init__(self, fleet: Fleet, orders: int, seed: int, rate: float) -> None:
        self._fleet = fleet
        self._orders = orders
        self._seed = seed
        self._rate = rate
        self._calls: list[_Call] = []
        self._violations: list[str] = []
        router_addresses = [router.address for router in fleet.router_by_name.values()]
        self._router_addresses = router_addresses
        self._caller_by_member = {member: Caller(member, router_addresses) for member in _MEMBERS}

    async def run(self, faults: tuple[str, ...]) -> Summary:
        """Send all orders while faults occur and check the results against the executions."""
        plan = FaultPlan(self._fleet, random.Random(f"faults:{self._seed}"), faults)
        stop = asyncio.Event()
        started_at = time.monotonic()
        fault_task = asyncio.create_task(plan.run(stop))
        await self._send_all()
        stop.set()
        await fault_task
        seconds = time.monotonic() - started_at
        return await asyncio.to_thread(self._summary, plan, seconds)

    async def _send_all(self) -> None:
        semaphore = asyncio.Semaphore(_MAX_CONCURRENT_CALLS)

        async def send_one(number: int) -> None:
            async with semaphore:
                await self._send_order(number, random.Random(f"order:{self._seed}:{number}"))

        tasks = []
        started_at = time.monotonic()
        for number in range(self._orders):
            delay_s = started_at + number / self._rate - time.monotonic()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            tasks.append(asyncio.create_task(send_one(number)))
        await asyncio.gather(*tasks)

    async def _send_order(self, number: int, rng: random.Random) -> None:
        kind = rng.choices(["keyed", "order", "stream", "lookup"], [4, 3, 2, 1])[0]
        caller = self._caller_by_member[rng.choice(_MEMBERS)]
        key = f"key-{self._seed}-{number}" if kind == "keyed" else ""
        for attempt in range(_MAX_ATTEMPTS):
            call = await self._send_call(caller, kind, f"o{number}.{attempt}", key, number, rng)
            self._calls.append(call)
            result = call.result
            retryable = result.outcome in ("lost", "not_run") or result.code in _RETRIED_CODES
            if kind != "keyed" or result.outcome == "answered" or not retryable:
                return
            await asyncio.sleep(min(1.0, result.retry_after_s or 0.3) * rng.uniform(0.5, 1.0))

    async def _send_call(
        self, caller: Caller, kind: str, id: str, key: str, number: int, rng: random.Random
    ) -> _Call:
        started_at, address = time.monotonic(), rng.choice(self._router_addresses)
        options: dict[str, Any] = {"address": address}
        deployment = self._fleet.deployment
        if kind == "stream":
            pool = deployment.pool("engine").name
            prompt = f"tag order {number % 40}"
            exchange = caller.chat(id, pool, prompt, _TOKENS, exact=True, **options)
        else:
            method = "GET" if kind == "lookup" else "POST"
            options |= {"key": key, "body": b'{"order": %d}' % number}
            pool = deployment.pool("service").name
            exchange = caller.service(id, method, pool, f"/orders/{number}", **options)
        disconnects = id.endswith(".0") and rng.random() < _DISCONNECT_PROBABILITY
        timeout_s = rng.uniform(0.0, 0.1) if disconnects else _CALL_TIMEOUT_S
        try:
            result = await asyncio.wait_for(exchange, timeout_s)
        except TimeoutError:
            if not disconnects:
                self._violations.append(f"{id}: no end within {_CALL_TIMEOUT_S:g} s")
            return _Call(kind, id, key, address, started_at, CallResult(id, caller.member), True)
        return _Call(kind, id, key, address, started_at, result)

    def _summary(self, plan: FaultPlan, seconds: float) -> Summary:
        executions, executions_by_key = self._count_executions()
        for call in self._calls:
            if call.result.outcome == "lost":
                self._check_lost(call, plan)
            self._check_call(call, executions.get(call.id, 0), executions_by_key.get(call.key, 0))
        for key, count in executions_by_key.items():
            if count > 1:
                self._violations.append(f"{key}: executed {count} times")
        results = [call.result for call in self._calls]
        counters = self._counters()
        return Summary(
            orders=self._orders,
            requests=len(self._calls),
            seconds=round(seconds, 1),
            told=dict(sorted(Counter(f"{c.kind} {c.result.outcome}" for c in self._calls).items())),
            codes=dict(sorted(Counter(r.code.partition(":")[0] for r in results).items())),
            faults=dict(sorted(plan.injected_count.items())),
            executed=sum(executions.values()),
            replays=sum("x-idempotent-replay" in result.headers for result in results),
            keys_executed=len(executions_by_key),
            key_txns=counters["rudder_key_txns_total"],
            key_writes=counters["rudder_key_writes_total"],
            violations=self._violations + plan.problems,
        )

    def _count_executions(self) -> tuple[Counter[str], Counter[str]]:
        """Return the number of executions of each request id and of each idempotency key."""
        executions_by_id: Counter[str] = Counter()
        executions_by_key: Counter[str] = Counter()
        for address in self._fleet.address_by_server.values():
            counts = get_json(address, "/standin/counts")
            executions_by_id.update(counts["executions"])
            executions_by_key.update(counts.get("executions_by_key", {}))
        return executions_by_id, executions_by_key

    def _counters(self) -> Counter[str]:
        """Return the sums of the running routers' counters; those of stopped processes are lost."""
        sums: Counter[str] = Counter()
        for router in self._fleet.router_by_name.values():
            for line in filter(None, router.metrics().splitlines()):
                name, _, value = line.rpartition(" ")
                sums[name] += int(float(value))
        return sums

    def _check_call(self, call: _Call, execution_count: int, key_execution_count: int) -> None:
        result, report = call.result, self._violations.append
        replay = "x-idempotent-replay" in result.headers
        if call.kind in ("order", "keyed") and execution_count > 1:
            report(f"{call.id}: executed {execution_count} times")
        if result.outcome == "not_run" and execution_count:
            report(f"{call.id}: told not_run ({result.code}) but executed")
        if call.kind == "stream":
            self._check_stream(call)
        elif result.outcome == "answered" and result.complete:
            executed_id = json.loads(result.body)["request_id"]
            if executed_id.partition(".")[0] != call.id.partition(".")[0] or (
                not replay and executed_id != call.id
            ):
                report(f"{call.id}: got the answer of {executed_id}")
            if not replay and not execution_count:
                report(f"{call.id}: answered but not executed")
            if replay and key_execution_count != 1:
                report(f"{call.id}: replay of a call executed {key_execution_count} times")

    def _check_lost(self, call: _Call, plan: FaultPlan) -> None:
        """Check that the router was killed or the caller disconnected during a lost call."""
        killed = any(
            address == call.address and call.started_at <= exited_at and killed_at <= call.ended_at
            for address, killed_at, exited_at in plan.kills
        )
        if not killed and not call.disconnected:
            result = call.result
            fault = max(
                (item for item in plan.timeline if item[0] <= call.started_at), default=(0, "")
            )
            details = (
                f"status {result.status}, {result.code!r}, sent"
                f" {call.started_at - fault[0]:.2f} s after the begin of {fault[1]},"
                f" lost {call.ended_at - call.started_at:.2f} s later"
            )
            self._violations.append(f"{call.id}: {call.kind} lost without a kill: {details}")

    def _check_stream(self, call: _Call) -> None:
        result = call.result
        expected = [f"w{index}" for index in range(_TOKENS)]
        tokens = result.text.split()
        complete = result.outcome == "answered"
        if tokens != (expected if complete else expected[: len(tokens)]):
            self._violations.append(f"{call.id}: {result.outcome} with tokens {result.text!r}")


def run_orders(
    orders: int, seed: int, rate: float, faults: tuple[str, ...] = ALL_FAULTS
) -> Summary:
    """Send orders to a fleet of three routers while faults occur, and return the summary."""
    deployment = load_deployment("frio-nordeste")
    pool_settings, router_settings = dict(_POOL_SETTINGS), dict(_ROUTER_SETTINGS)
    with Fleet(deployment, 3, pool_settings, router_settings) as fleet:
        return asyncio.run(OrderRun(fleet, orders, seed, rate).run(faults))


def _main(argv: list[str]) -> int:
    summary = run_orders(_ORDERS.value, SEED.value, _RATE.value)
    for name in summary.__slots__:
        print(f"{name}: {getattr(summary, name)}")
    return 1 if summary.violations else 0


if __name__ == "__main__":
    sys.exit(app.run(_main))
