"""Changes of one router's portions according to the coordinator's targets and totals."""

import heapq
from collections.abc import Iterable

from .ordering import split_between_routers
from .portions import Ledger
from .totals import ServiceTotals

__all__ = ["change_concurrency", "change_slots"]


def change_slots(slots: Ledger, router: str, target_slots: int) -> bool:
    """Grant unassigned slots up to the target, from the server with the most free slots first.

    Slots of servers whose window has shrunk are withdrawn.

    :returns: whether the router's portions have changed.
    """
    changed = False
    for server, count in slots.granted_to(router).items():
        excess = slots.excess(server)
        if excess:
            slots.grant(server, router, max(0, count - excess))
            changed = True
    missing = target_slots - slots.granted_total(router)
    if missing <= 0 or not slots.has_free():
        return changed
    heap = [(-free, server) for server, free in slots.free_by_name().items()]
    heapq.heapify(heap)
    while missing > 0 and heap:
        free, server = heap[0]
        slots.grant(server, router, slots.granted(server, router) + 1)
        changed = True
        missing -= 1
        if slots.free(server):
            heapq.heapreplace(heap, (min(-1, free + 1), server))
        else:
            heapq.heappop(heap)
    return changed


def change_concurrency(
    concurrency: Ledger, totals: ServiceTotals, router: str, members: Iterable[str]
) -> bool:
    """Grant the concurrency that the router's calls can use; withdraw what others need.

    :param members: members with calls at the router.
    :returns: whether the router's portions have changed.
    """
    changed = False
    for member in members:
        running, waiting = totals.running(member), totals.waiting(member)
        limit = concurrency.limit_by_name.get(member, 0)
        demand = totals.demand(member)
        scarce = demand > limit or not concurrency.free(member)
        usable = running.get(router, 0) + waiting.get(router, 0)
        if scarce:
            usable = split_between_routers(min(demand, limit), running, waiting).get(router, 0)
        granted = concurrency.granted(member, router)
        wanted = min(usable, granted + concurrency.free(member))
        if wanted > granted or (wanted < granted and scarce):
            concurrency.grant(member, router, wanted)
            changed = True
    return changed
