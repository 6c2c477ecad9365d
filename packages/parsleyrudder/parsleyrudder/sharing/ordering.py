"""Order of members by virtual time, and the allocation of slots that follows from it."""

import heapq
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from ..lists import Config

__all__ = ["Claim", "allocate", "normalised_shares", "split_between_routers"]


@dataclass(slots=True, frozen=True)
class Claim:
    """One member's claim on the slots of a pool.

    :ivar virtual_time: service received divided by share, in cost units.
    :ivar share: weight, normalised to average 1.
    :ivar demand: number of slots that the member could use now.
    """

    member: str
    virtual_time: float
    share: float
    demand: int


def normalised_shares(config: Config) -> dict[str, float]:
    """Return each member's share, normalised to average 1.

    >>> from parsleyrudder.lists import Config, Member
    >>> rows = {n: Member(n, "p", s, "") for n, s in (("a", 1.0), ("b", 3.0))}
    >>> normalised_shares(Config(1, rows))
    {'a': 0.5, 'b': 1.5}
    """
    members = config.member_by_name.values()
    total = sum(member.share for member in members)
    return {member.name: member.share * len(config.member_by_name) / total for member in members}


def allocate(claims: Iterable[Claim], slots: int, quantum: float) -> dict[str, int]:
    """Divide slots between members as a central queue would.

    Each slot goes to the member with the lowest ``virtual_time + n * quantum / share`` that has
    unmet demand, where n is the number of slots already allocated to it. This is start-time fair
    queueing [1]_ with one quantum of service per slot. The running time is
    O((members + slots) log members).

    :param quantum: cost that one slot is assumed to serve; must be positive.
    :returns: number of slots by member; members without a slot are left out.

    >>> allocate([Claim("a", 0.0, 1.0, 9), Claim("b", 0.0, 2.0, 9)], 6, 10.0)
    {'a': 2, 'b': 4}

    .. [1] P. Goyal, H. M. Vin, H. Cheng, "Start-time fair queueing: a scheduling algorithm for
       integrated services packet switching networks", IEEE/ACM Transactions on Networking, 1997.
    """
    claim_by_member = {claim.member: claim for claim in claims if claim.demand > 0}
    heap = [(claim.virtual_time, member) for member, claim in claim_by_member.items()]
    heapq.heapify(heap)
    slots_by_member: dict[str, int] = {}
    while slots > 0 and heap:
        key, member = heap[0]
        claim = claim_by_member[member]
        count = slots_by_member.get(member, 0) + 1
        slots_by_member[member] = count
        slots -= 1
        if count < claim.demand:
            heapq.heapreplace(heap, (key + quantum / claim.share, member))
        else:
            heapq.heappop(heap)
    return dict(sorted(slots_by_member.items()))


def split_between_routers(
    count: int, running: Mapping[str, int], waiting: Mapping[str, int]
) -> dict[str, int]:
    """Divide one member's slots between routers.

    First, each router where calls wait and none runs gets one slot, in order of decreasing queue
    length; otherwise a router whose queue is never empty would keep all slots of the member, and
    calls at the other routers would starve. The remaining slots go to running calls and then to
    waiting calls, in proportion to their numbers (largest remainder method; ties go to the larger
    number).

    :param count: number of the member's slots.
    :param running: number of running calls by router.
    :param waiting: number of waiting calls by router.

    >>> split_between_routers(5, {"r1": 2}, {"r1": 1, "r2": 5})
    {'r2': 3, 'r1': 2}
    """
    starved = [router for router, n in waiting.items() if n > 0 and not running.get(router)]
    starved.sort(key=lambda router: (-waiting[router], router))
    slots_by_router = dict.fromkeys(starved[:count], 1)
    count -= len(slots_by_router)
    total_running = sum(running.values())
    remaining = {router: n - (router in slots_by_router) for router, n in waiting.items()}
    parts = _proportional(min(count, total_running), running)
    if count > total_running:
        for router, n in _proportional(count - total_running, remaining).items():
            parts[router] = parts.get(router, 0) + n
    for router, n in parts.items():
        slots_by_router[router] = slots_by_router.get(router, 0) + n
    return slots_by_router


def _proportional(count: int, weight_by_name: Mapping[str, int]) -> dict[str, int]:
    total = sum(weight_by_name.values())
    if total == 0:
        return {}
    count = min(count, total)
    exact = {name: count * weight / total for name, weight in weight_by_name.items()}
    result = {name: int(value) for name, value in exact.items()}
    missing = count - sum(result.values())
    by_remainder = sorted(exact, key=lambda name: (result[name] - exact[name], -exact[name], name))
    for name in by_remainder[:missing]:
        result[name] += 1
    return {name: n for name, n in result.items() if n > 0}
