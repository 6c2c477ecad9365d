"""Orders under faults: ``python -m parsleyrudder_standins.order_faults --orders=10000 --seed=1``.

Callers send orders with and without idempotency keys, lookups and streams to a fleet of processes
while routers, table and servers fail. What callers were told is compared with what the stand-ins
executed.
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
_TRIES = 8
_HANG_UP_RATE = 0.1
_OPEN_CALLS = 300
_CALL_LIMIT_S = 40.0
_REPEATED_CODES = frozenset({"server_failed", "still_running", "table_down", ""})
_POOL_SETTINGS = {"first_byte_s": 1.5, "server_silence_s": 1.5, "max_call_s": 10.0}
"""Slots of a lost router return after ``max_call_s``, so a small one keeps the fleet serving."""
_ROUTER_SETTINGS = {"default_deadline_s": 10.0, "stop_timeout_s": 15.0}


@dataclass(slots=True)
class _Call:
    """One request and what its caller was told.

    :ivar hung_up: whether the caller left before the answer.
    """

    kind: str
    id: str
    key: str
    address: str
    begun: float
    result: CallResult
    hung_up: bool = False
    ended: float = field(default_factory=time.monotonic)


@dataclass(slots=True)
class Summary:
    """Result of a run; ``violations`` is empty if every promise was kept."""

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
    """Sends the orders of one run and checks the answers.

    :param rate: orders begun per second.
    """

    def __init__(self, fleet: Fleet, orders: int, seed: int, rate: float) -> None:
        self._fleet = fleet
        self._orders = orders
        self._seed = seed
        self._rate = rate
        self._calls: list[_Call] = []
        self._violations: list[str] = []
        entry = [router.address for router in fleet.router_by_name.values()]
        self._addresses = entry
        self._caller_by_member = {member: Caller(member, entry) for member in _MEMBERS}

    async def run(self, faults: tuple[str, ...]) -> Summary:
        """Send all orders while faults go on, then compare with the stand-ins' counts."""
        plan = FaultPlan(self._fleet, random.Random(f"faults:{self._seed}"), faults)
        stop = asyncio.Event()
        begun = time.monotonic()
        planned = asyncio.create_task(plan.run(stop))
        await self._send_all()
        stop.set()
        await planned
        seconds = time.monotonic() - begun
        return await asyncio.to_thread(self._summary, plan, seconds)

    async def _send_all(self) -> None:
        gate = asyncio.Semaphore(_OPEN_CALLS)

        async def one(number: int) -> None:
            async with gate:
                await self._order(number, random.Random(f"order:{self._seed}:{number}"))

        tasks = []
        begun = time.monotonic()
        for number in range(self._orders):
            delay_s = begun + number / self._rate - time.monotonic()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            tasks.append(asyncio.create_task(one(number)))
        await asyncio.gather(*tasks)

    async def _order(self, number: int, rng: random.Random) -> None:
        kind = rng.choices(["keyed", "order", "stream", "lookup"], [4, 3, 2, 1])[0]
        caller = self._caller_by_member[rng.choice(_MEMBERS)]
        key = f"key-{self._seed}-{number}" if kind == "keyed" else ""
        for attempt in range(_TRIES):
            call = await self._call(caller, kind, f"o{number}.{attempt}", key, number, rng)
            self._calls.append(call)
            result = call.result
            repeat = result.outcome in ("lost", "not_run") or result.code in _REPEATED_CODES
            if kind != "keyed" or result.outcome == "answered" or not repeat:
                return
            await asyncio.sleep(min(1.0, result.retry_after_s or 0.3) * rng.uniform(0.5, 1.0))

    async def _call(
        self, caller: Caller, kind: str, id: str, key: str, number: int, rng: random.Random
    ) -> _Call:
        begun, address = time.monotonic(), rng.choice(self._addresses)
        options: dict[str, Any] = {"address": address}
        pools = self._fleet.deployment
        if kind == "stream":
            pool = pools.pool("engine").name
            prompt = f"tag order {number % 40}"
            sending = caller.chat(id, pool, prompt, _TOKENS, exact=True, **options)
        else:
            method = "GET" if kind == "lookup" else "POST"
            options |= {"key": key, "body": b'{"order": %d}' % number}
            pool = pools.pool("service").name
            sending = caller.service(id, method, pool, f"/orders/{number}", **options)
        impatient = id.endswith(".0") and rng.random() < _HANG_UP_RATE
        limit_s = rng.uniform(0.0, 0.1) if impatient else _CALL_LIMIT_S
        try:
            result = await asyncio.wait_for(sending, limit_s)
        except TimeoutError:
            if not impatient:
                self._violations.append(f"{id}: no end within {_CALL_LIMIT_S:g} s")
            return _Call(kind, id, key, address, begun, CallResult(id, caller.member), True)
        return _Call(kind, id, key, address, begun, result)

    def _summary(self, plan: FaultPlan, seconds: float) -> Summary:
        executions, by_key = self._executions()
        for call in self._calls:
            if call.result.outcome == "lost":
                self._check_lost(call, plan)
            self._check(call, executions.get(call.id, 0), by_key.get(call.key, 0))
        for key, count in by_key.items():
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
            keys_executed=len(by_key),
            key_txns=counters["rudder_key_txns_total"],
            key_writes=counters["rudder_key_writes_total"],
            violations=self._violations + plan.problems,
        )

    def _executions(self) -> tuple[Counter[str], Counter[str]]:
        """Return the executions of each request id and of each key at all servers."""
        by_id: Counter[str] = Counter()
        by_key: Counter[str] = Counter()
        for address in self._fleet.address_by_server.values():
            counts = get_json(address, "/standin/counts")
            by_id.update(counts["executions"])
            by_key.update(counts.get("executions_by_key", {}))
        return by_id, by_key

    def _counters(self) -> Counter[str]:
        """Return the sums of the live routers' counters; those of ended ones are gone."""
        sums: Counter[str] = Counter()
        for router in self._fleet.router_by_name.values():
            for line in filter(None, router.metrics().splitlines()):
                name, _, value = line.rpartition(" ")
                sums[name] += int(float(value))
        return sums

    def _check(self, call: _Call, executed: int, key_executed: int) -> None:
        result, found = call.result, self._violations.append
        replay = "x-idempotent-replay" in result.headers
        if call.kind in ("order", "keyed") and executed > 1:
            found(f"{call.id}: executed {executed} times")
        if result.outcome == "not_run" and executed:
            found(f"{call.id}: told not_run ({result.code}) but executed")
        if call.kind == "stream":
            self._check_stream(call)
        elif result.outcome == "answered" and result.whole:
            own = json.loads(result.body)["request_id"]
            if own.partition(".")[0] != call.id.partition(".")[0] or (
                not replay and own != call.id
            ):
                found(f"{call.id}: got the answer of {own}")
            if not replay and not executed:
                found(f"{call.id}: answered but not executed")
            if replay and key_executed != 1:
                found(f"{call.id}: replay of a call executed {key_executed} times")

    def _check_lost(self, call: _Call, plan: FaultPlan) -> None:
        """A connection breaks only if its router was killed or the caller left."""
        killed = any(
            address == call.address and call.begun <= dead and begun <= call.ended
            for address, begun, dead in plan.kills
        )
        if not killed and not call.hung_up:
            result = call.result
            fault = max((item for item in plan.timeline if item[0] <= call.begun), default=(0, ""))
            found = (
                f"status {result.status}, {result.code!r}, sent {call.begun - fault[0]:.2f} s after"
                f" the begin of {fault[1]}, lost {call.ended - call.begun:.2f} s later"
            )
            self._violations.append(f"{call.id}: {call.kind} lost without a kill: {found}")

    def _check_stream(self, call: _Call) -> None:
        result = call.result
        expected = [f"w{index}" for index in range(_TOKENS)]
        tokens = result.text.split()
        whole = result.outcome == "answered"
        if tokens != (expected if whole else expected[: len(tokens)]):
            self._violations.append(f"{call.id}: {result.outcome} with tokens {result.text!r}")


def run_orders(
    orders: int, seed: int, rate: float, faults: tuple[str, ...] = ALL_FAULTS
) -> Summary:
    """Run a fleet of three routers through orders and faults."""
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
