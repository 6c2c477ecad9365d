"""Seeded load: callers of several members, each with a constant number of calls outstanding."""

import asyncio
import contextlib
import math
import random
import time
from collections import Counter
from collections.abc import Collection, Sequence
from dataclasses import dataclass, field

from .caller import Caller, CallResult

__all__ = ["COSTS", "Load", "MemberLoad", "Record", "router_counts", "spread_callers"]

_PROMPT_CHARS = 40
_RETRY_S = 0.1
_CALL_LIMIT_S = 90.0
_DRAIN_LIMIT_S = 45.0
_MEAN_TOKENS = 40

COSTS = {"uniform": (40, 40), "spread": (6, 300), "pareto": (15, 400)}
"""Fewest and most tokens of a call by distribution."""


@dataclass(slots=True)
class MemberLoad:
    """What one member's callers do.

    :ivar routers: indexes of the routers that its callers use.
    :ivar calls: calls that it keeps outstanding.
    """

    member: str
    routers: list[int]
    calls: int


@dataclass(slots=True)
class Record:
    """One finished call.

    :ivar begun_at: seconds since the load began.
    """

    member: str
    begun_at: float
    batch: bool
    outcome: str
    code: str
    first_token_s: float


def router_counts(members: int, routers: int, skew: float) -> list[int]:
    """Return how many routers the callers of each member use.

    With skew 0 all members use all routers. With skew 1 the first uses all, the second a single
    one, and the others numbers between, evenly in the logarithm.

    >>> router_counts(4, 8, 1.0)
    [8, 1, 4, 2]
    """
    counts = []
    for index in range(members):
        if index < 2:
            part = float(index)
        else:
            part = (index - 1) / (members - 1)
        counts.append(max(1, round(routers ** (1 - skew * part))))
    return counts


def spread_callers(
    share_by_member: dict[str, float], routers: int, slots: int, skew: float, rng: random.Random
) -> list[MemberLoad]:
    """Return the load of each member, with three calls outstanding for each slot of its share."""
    total = sum(share_by_member.values())
    loads = []
    counts = router_counts(len(share_by_member), routers, skew)
    for (member, share), count in zip(share_by_member.items(), counts, strict=True):
        used = sorted(rng.sample(range(routers), count))
        calls = max(count, math.ceil(3 * slots * share / total))
        loads.append(MemberLoad(member, used, calls))
    return loads


@dataclass(slots=True)
class Load:
    """Keeps the calls outstanding until told to stop.

    :param addresses: address of each router, by index.
    :param batch_part: part of the calls that are batch calls.
    :ivar outstanding: calls by member and router.
    """

    pool: str
    addresses: Sequence[str]
    costs: str
    batch_part: float
    seed: int
    records: list[Record] = field(default_factory=list)
    outstanding: Counter[tuple[str, int]] = field(default_factory=Counter)
    begun_at: float = 0.0
    _stopping: bool = False
    _tasks: list[asyncio.Task[None]] = field(default_factory=list)
    _callers: int = 0

    @property
    def now(self) -> float:
        """Seconds since the load began."""
        return time.monotonic() - self.begun_at

    def start(self, loads: Sequence[MemberLoad]) -> None:
        """Begin all members' calls."""
        self.begun_at = time.monotonic()
        for load in loads:
            self.add(load.member, load.routers, load.calls)

    def add(self, member: str, routers: Sequence[int], calls: int) -> list[asyncio.Task[None]]:
        """Keep more calls of a member outstanding; return the tasks that do so."""
        tasks = []
        for index in range(calls):
            self._callers += 1
            first = routers[index % len(routers)]
            name = f"{self.seed}-{self._callers}"
            order = [first, *(r for r in routers if r != first)]
            tasks.append(asyncio.create_task(self._keep_calling(member, order, name)))
        self._tasks += tasks
        return tasks

    def outstanding_by_member(self, without: Collection[int]) -> dict[str, int]:
        """Return the calls outstanding at all routers but some."""
        totals: dict[str, int] = {}
        for (member, router), count in self.outstanding.items():
            if router not in without:
                totals[member] = totals.get(member, 0) + count
        return totals

    async def stop(self) -> int:
        """Begin no more calls, wait for those outstanding, and return how many were cancelled."""
        self._stopping = True
        _, pending = await asyncio.wait(self._tasks, timeout=_DRAIN_LIMIT_S)
        for task in pending:
            task.cancel()
        await asyncio.gather(*pending, return_exceptions=True)
        return len(pending)

    async def _keep_calling(self, member: str, routers: list[int], name: str) -> None:
        """Call one router after the other until stopped; change the router after a refusal."""
        rng = random.Random(name)
        caller = Caller(member, [])
        position = number = 0
        task = asyncio.current_task()
        assert task is not None
        with contextlib.suppress(asyncio.CancelledError):
            # A cancellation that meets the end of a call may be lost; its count is not.
            while not self._stopping and not task.cancelling():
                number += 1
                router = routers[position % len(routers)]
                outcome = await self._call(caller, router, f"m{name}-{number}", rng)
                if outcome != "answered":
                    position += 1
                    # A member with one router tries any other one, as its callers would by
                    # asking for addresses again.
                    routers = self._others(routers) if len(routers) == 1 else routers
                    await asyncio.sleep(_RETRY_S)
                elif position and len(routers) > 1:
                    position = 0

    def _others(self, routers: list[int]) -> list[int]:
        rest = [index for index in range(len(self.addresses)) if index != routers[0]]
        return [*routers, *rest]

    async def _call(self, caller: Caller, router: int, id: str, rng: random.Random) -> str:
        address = self.addresses[router]
        batch = rng.random() < self.batch_part
        tokens = draw_tokens(self.costs, rng)
        prompt = id.ljust(_PROMPT_CHARS, ".")
        begun_at = self.now
        self.outstanding[caller.member, router] += 1
        result = CallResult(id, caller.member, code="caller_timeout")
        try:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_CALL_LIMIT_S):
                    result = await caller.chat(
                        id, self.pool, prompt, tokens, address=address, exact=True, batch=batch
                    )
        finally:
            self.outstanding[caller.member, router] -= 1
        if result.outcome == "answered" and result.tokens != tokens:
            result.outcome, result.code = "lost", "wrong_length"
        self.records.append(
            Record(
                caller.member, begun_at, batch, result.outcome, result.code, result.first_token_s
            )
        )
        return result.outcome


def draw_tokens(costs: str, rng: random.Random) -> int:
    """Return the length of an answer, drawn from a distribution of :data:`COSTS`."""
    fewest, most = COSTS[costs]
    if costs == "spread":
        return round(fewest * (most / fewest) ** rng.random())
    if costs == "pareto":
        return min(most, round(fewest * rng.paretovariate(1.5)))
    return _MEAN_TOKENS
