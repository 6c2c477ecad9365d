"""How many calls of lost routers a server still runs, from its load report and routers' reports."""

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from ..messages import Holding

__all__ = ["ServerLoads"]


@dataclass(slots=True)
class ServerLoads:
    """Load reports that wait until the routers' reports have caught up with them.

    A load report counts the calls of all routers. Those of the routers that report are deducted,
    but only as many as each of them used throughout the time in which the load may have been
    counted: a call that has ended meanwhile must not be taken for one of a lost router.

    :param lag_s: age that a load report may have.
    :param settle_s: time after which reports about the same moment have come in.
    """

    lag_s: float
    settle_s: float
    _uses: dict[str, dict[str, deque[tuple[float, int]]]] = field(default_factory=dict)
    _pending: dict[str, tuple[int, float]] = field(default_factory=dict)

    def note(self, router: str, holdings: Iterable[Holding], now: float) -> None:
        """Take a router's report of the slots that it uses."""
        # A call may end and another begin between two reports, so the least number counts.
        used_by_server = {holding.name: holding.least for holding in holdings}
        for server in used_by_server.keys() | self._uses.keys():
            uses = self._uses.setdefault(server, {}).setdefault(router, deque())
            used = used_by_server.get(server, 0)
            if not uses or uses[-1][1] != used:
                uses.append((now, used))
            while len(uses) > 1 and uses[1][0] <= now - self.lag_s - 3 * self.settle_s:
                uses.popleft()

    def take(self, server: str, running: int, now: float) -> None:
        """Take a load report; one that waits already goes first."""
        self._pending.setdefault(server, (running, now))

    def settled(self, now: float, heard_at: Mapping[str, float]) -> list[tuple[str, int, float]]:
        """Return what load reports that waited long enough say.

        :param heard_at: time of the last report of each router.
        :returns: server, calls of other routers than those that report, and the time before which
            a router was lost if the load report shows its calls.
        """
        due = [name for name, (_, at) in self._pending.items() if now >= at + self.settle_s]
        result = []
        for server in due:
            running, at = self._pending.pop(server)
            begin = at - self.lag_s - self.settle_s
            known = sum(
                _least_since(uses, begin)
                for router, uses in self._uses.get(server, {}).items()
                if heard_at.get(router, begin) >= at + self.settle_s / 2
            )
            result.append((server, max(0, running - known), at - self.lag_s))
        return result

    def clear(self) -> None:
        """Forget everything, as no router is lost any more."""
        self._uses.clear()
        self._pending.clear()


def _least_since(uses: Iterable[tuple[float, int]], begin: float) -> int:
    """Return the least number used at any time since ``begin``; 0 if it is not known."""
    least: int | None = None
    before: int | None = None
    for at, used in uses:
        if at <= begin:
            before = used
        else:
            least = used if least is None else min(least, used)
    if before is None:
        return 0
    return before if least is None else min(before, least)
