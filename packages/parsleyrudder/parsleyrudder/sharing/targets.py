"""Target numbers of slots of the routers of one pool, from the totals of its members."""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from .ordering import Claim, allocate, split_between_routers
from .totals import ServiceTotals

__all__ = ["Targets", "compute_targets"]


@dataclass(slots=True)
class Targets:
    """Division of a pool's slots between routers.

    :ivar slots_by_router: number of slots that each router should hold.
    :ivar contended: whether the pool's calls need more slots than it has.
    """

    slots_by_router: dict[str, int] = field(default_factory=dict)
    contended: bool = False


def compute_targets(
    totals: ServiceTotals,
    limit_by_member: Mapping[str, int],
    routers: Collection[str],
    window: int,
    quantum: float,
) -> Targets:
    """Return the number of slots that each router should hold, as with a central queue.

    The running time is O((members with calls + slots) log members + routers).

    :param limit_by_member: concurrency limits.
    :param window: number of slots of the pool.
    """
    claims = []
    for member in totals.active():
        demand = min(totals.demand(member), limit_by_member.get(member, 0))
        claims.append(Claim(member, totals.virtual_time(member), totals.share(member), demand))
    slots_by_router = dict.fromkeys(sorted(routers), 0)
    for member, count in allocate(claims, window, quantum).items():
        for router, part in split_between_routers(
            count, totals.running(member), totals.waiting(member)
        ).items():
            if router in slots_by_router:
                slots_by_router[router] += part
    contended = sum(claim.demand for claim in claims) > window
    spare = window - sum(slots_by_router.values())
    for index, router in enumerate(slots_by_router):
        part, remainder = divmod(spare, len(slots_by_router))
        slots_by_router[router] += part + (index < remainder)
    return Targets(slots_by_router, contended)
