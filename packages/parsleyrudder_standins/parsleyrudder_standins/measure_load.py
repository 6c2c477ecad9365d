"""Seeded closed-loop load: each member keeps a constant number of calls outstanding."""

import asyncio
import contextlib
import math
import random
import time
from collections import Counter
from collections.abc import Collection, Sequence
from dataclasses import dataclass, field

from .caller import Caller, CallResult

__all__ = [
    "COSTS",
    "CallRecord",
    "LoadGenerator",
    "MemberLoad",
    "distribute_callers",
    "router_counts",
]

_PROMPT_CHARS = 40
_RETRY_DELAY_S = 0.1
_CALL_TIMEOUT_S = 90.0
_DRAIN_TIMEOUT_S = 45.0
_MEAN_TOKENS = 40

COSTS = {"uniform": (40, 40), "spread": (6, 300), "pareto": (15, 400)}
"""Minimum and maximum tokens of a call, by distribution."""


@dataclass(slots=True)
class MemberLoad:
    """Load of one member's callers.

    :ivar routers: indexes of the routers used by its callers.
    :ivar calls: number of calls kept outstanding.
    """

    member: str
    routers: list[int]
    calls: int


@dataclass(slots=True)
class CallRecord:
    """One finished call.

    :ivar started_at: seconds from the start of the load to the start of the call.
    """

    member: str
    started_at: float
    batch: bool
    outcome: str
    code: str
    first_token_s: float


def router_counts(members: int, routers: int, skew: float) -> list[int]:
    """Return the number of routers used by the callers of each member.

    With skew 0 all members use all routers. With skew 1 the first uses all, the second one, and
    the others intermediate numbers, evenly spaced on a logarithmic scale.

    >>> router_counts(4, 8, 1.0)
    [8, 1, 4, 2]
    """
    counts = []
    for index in range(members):
        if index < 2:
            skew_fraction = float(index)
        else:
            skew_fraction = (index - 1) / (members - 1)
        counts.append(max(1, round(routers ** (1 - skew * skew_fraction))))
    return counts


def distribute_callers(
    share_by_member: dict[str, float], routers: int, slots: int, skew: float, rng: random.Random
) -> list[MemberLoad]:
    """Return the load of each member: three outstanding calls per slot of its share."""
    total = sum(share_by_member.values())
    loads = []
    counts = router_counts(len(share_by_member), routers, skew)
    for (member, share), count in zip(share_by_member.items(), counts, strict=True):
        used_routers = sorted(rng.sample(range(routers), count))
        calls = max(count, math.ceil(3 * slots * share / total))
        loads.append(MemberLoad(member, used_routers, calls))
    return loads


@dataclass(slots=True)
class LoadGenerator:
    """Keeps a constant number of calls outstanding until stopped.

    :param addresses: address of each router, by index.
    :param batch_part: fraction of calls in the batch class.
    :ivar outstanding: outstanding calls by member and router.
    :ivar started_at: monotonic clock at the start of the load.
    """

    pool: str
    addresses: Sequence[str]
    costs: str
    batch_part: float
    seed: int
    records: list[CallRecord] = field(default_factory=list)
    outstanding: Counter[tuple[str, int]] = field(default_factory=Counter)
    started_at: float = 0.0
    _stopping: bool = False
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)
    _caller_count: int = 0

    @property
    def now(self) -> float:
        """Seconds since the load started."""
        return time.monotonic() - self.started_at

    def start(self, loads: Sequence[MemberLoad]) -> None:
        """Start the callers of all members."""
        self.started_at = time.monotonic()
        for load in loads:
            self.add(load.member, load.routers, load.calls)

    def add(self, member: str, routers: Sequence[int], calls: int) -> list[asyncio.Task[None]]:
        """Add outstanding calls for a member; return the tasks that maintain them."""
        tasks = []
        for index in range(calls):
            self._caller_count += 1
            first_router = routers[index % len(routers)]
            name = f"{self.seed}-{self._caller_count}"
            router_order = [first_router, *(r for r in routers if r != first_router)]
            tasks.append(asyncio.create_task(self._call_repeatedly(member, router_order, name)))
        self._tasks += tasks
        return tasks

    def outstanding_by_member(self, excluded_routers: Collection[int]) -> dict[str, int]:
        """Return the outstanding calls of each member, except those at excluded routers."""
        totals: dict[str, int] = {}
        for (member, router), count in self.outstanding.items():
            if router not in excluded_routers:
                totals[member] = totals.get(member, 0) + count
        return totals

    async def stop(self) -> int:
        """Stop starting calls, wait for outstanding ones, and return how many were cancelled."""
        self._stopping = True
        _, pending = await asyncio.wait(self._tasks, timeout=_DRAIN_TIMEOUT_S)
        for task in pending:
            task.cancel()
        await asyncio.gather(*pending, return_exceptions=True)
        return len(pending)

    async def _call_repeatedly(self, member: str, routers: list[int], name: str) -> None:
        """Make one call after another until stopped; switch routers when a call is not answered."""
        rng = random.Random(name)
        caller = Caller(member, [])
        router_position = call_number = 0
        task = asyncio.current_task()
        assert task is not None
        with contextlib.suppress(asyncio.CancelledError):
            # A CancelledError that coincides with the end of a call may be swallowed; the count
            # of cancellation requests (Task.cancelling) is kept.
            while not self._stopping and not task.cancelling():
                call_number += 1
                router = routers[router_position % len(routers)]
                outcome = await self._call(caller, router, f"m{name}-{call_number}", rng)
                if outcome != "answered":
                    router_position += 1
                    # A member with a single router falls back to the others, as its callers
                    # would by requesting the router addresses again.
                    routers = self._with_all_routers(routers) if len(routers) == 1 else routers
                    await asyncio.sleep(_RETRY_DELAY_S)
                elif router_position and len(routers) > 1:
                    router_position = 0

    def _with_all_routers(self, routers: list[int]) -> list[int]:
        other_routers = [index for index in range(len(self.addresses)) if index != routers[0]]
        return [*routers, *other_routers]

    async def _call(self, caller: Caller, router: int, id: str, rng: random.Random) -> str:
        address = self.addresses[router]
        batch = rng.random() < self.batch_part
        tokens = draw_tokens(self.costs, rng)
        prompt = id.ljust(_PROMPT_CHARS, ".")
        started_at = self.now
        self.outstanding[caller.member, router] += 1
        result = CallResult(id, caller.member, code="caller_timeout")
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_CALL_TIMEOUT_S):
                    result = await caller.chat(
                        id, self.pool, prompt, tokens, address=address, exact=True, batch=batch
                    )
        finally:
            self.outstanding[caller.member, router] -= 1
        if result.outcome == "answered" and result.tokens != tokens:
            result.outcome, result.code = "lost", "wrong_length"
        self.records.append(
            CallRecord(
                caller.member, started_at, batch, result.outcome, result.code, result.first_token_s
            )
        )
        return result.outcome


def draw_tokens(costs: str, rng: random.Random) -> int:
    """Return an answer length in tokens, drawn from a distribution of :data:`COSTS`."""
    min_tokens, max_tokens = COSTS[costs]
    if costs == "spread":
        return round(min_tokens * (max_tokens / min_tokens) ** rng.random())
    if costs == "pareto":
        return min(max_tokens, round(min_tokens * rng.paretovariate(1.5)))
    return _MEAN_TOKENS
