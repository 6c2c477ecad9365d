"""Number of calls of lost routers at a server, from its load report and routers' reports."""

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from ..messages import Holding

__all__ = ["ServerLoads"]


@dataclass(slots=True)
class ServerLoads:
    """Load reports, kept until the routers' reports on the same period have arrived.

    A load report counts the calls of all routers. To find the calls of lost routers, the calls of
    the reporting routers are deducted, but only as many as each of them had running throughout the
    period in which the load may have been counted. Otherwise a call that ended in that period could
    hide a call of a lost router.

    :param lag_s: maximum age of a load report.
    :param settle_s: time after which the routers' reports on the same period have arrived.
    :ivar _use_history: times and numbers of used slots, by server and router.
    :ivar _pending: number of running calls and time of a load report, by server.
    """

    lag_s: float
    settle_s: float
    _use_history: dict[str, dict[str, deque[tuple[float, int]]]] = field(default_factory=dict)
    _pending: dict[str, tuple[int, float]] = field(default_factory=dict)

    def on_report(self, router: str, holdings: Iterable[Holding], now: float) -> None:
        """Record a router's report of the slots that it uses."""
        # A call may end and another start between two reports, so the minimum is used.
        used_by_server = {holding.name: holding.min_used for holding in holdings}
        for server in used_by_server.keys() | self._use_history.keys():
            history = self._use_history.setdefault(server, {}).setdefault(router, deque())
            used = used_by_server.get(server, 0)
            if not history or history[-1][1] != used:
                history.append((now, used))
            while len(history) > 1 and history[1][0] <= now - self.lag_s - 3 * self.settle_s:
                history.popleft()

    def on_load(self, server: str, running: int, now: float) -> None:
        """Store a load report, unless an earlier one of the same server is pending."""
        self._pending.setdefault(server, (running, now))

    def pop_settled(
        self, now: float, reported_at: Mapping[str, float]
    ) -> list[tuple[str, int, float]]:
        """Remove and evaluate the load reports that have been pending for ``settle_s``.

        :param reported_at: time of the last report of each router.
        :returns: for each load report, the server, the number of calls that do not belong to
            reporting routers, and the time before which a router must have been lost for the load
            report to include its calls.
        """
        due = [name for name, (_, at) in self._pending.items() if now >= at + self.settle_s]
        result = []
        for server in due:
            running, at = self._pending.pop(server)
            begin = at - self.lag_s - self.settle_s
            deducted = sum(
                _min_used_since(history, begin)
                for router, history in self._use_history.get(server, {}).items()
                if reported_at.get(router, begin) >= at + self.settle_s / 2
            )
            result.append((server, max(0, running - deducted), at - self.lag_s))
        return result

    def clear(self) -> None:
        """Discard all state, as when no portions are lost any more."""
        self._use_history.clear()
        self._pending.clear()


def _min_used_since(history: Iterable[tuple[float, int]], begin: float) -> int:
    """Return the lowest number used at any time since ``begin``; 0 if it is unknown."""
    min_used: int | None = None
    before: int | None = None
    for at, used in history:
        if at <= begin:
            before = used
        else:
            min_used = used if min_used is None else min(min_used, used)
    if before is None:
        return 0
    return before if min_used is None else min(before, min_used)
