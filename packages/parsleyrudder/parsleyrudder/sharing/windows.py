"""Windows of a pool's servers, learned from the load reports of the engines."""

from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = ["LearnedWindows", "WindowRules"]


@dataclass(slots=True, frozen=True)
class WindowRules:
    """Settings of the learned windows.

    :ivar least: smallest window; the configured window of a server is the largest.
    :ivar regrow_s: time without a queue after which a full window grows by one slot.
    :ivar longest_regrow_s: the regrow time doubles up to this with each time that growth has
        brought the queue back, or the window would swing around the engine's limit.
    """

    least: int = 1
    regrow_s: float = 5.0
    longest_regrow_s: float = 80.0


@dataclass(slots=True)
class _Learned:
    window: int
    changed_at: float
    regrow_s: float
    grown: bool = False


@dataclass(slots=True)
class LearnedWindows:
    """Windows of the servers of one pool, for its coordinator.

    An engine that queues requests has got more than fit its batch: its window shrinks to what it
    runs. A queue that the present window does not explain is left over from a larger one, since
    calls that run are not pre-empted and the report lags; it shrinks nothing.
    """

    rules: WindowRules = field(default_factory=WindowRules)
    _most_by_server: dict[str, int] = field(default_factory=dict)
    _learned: dict[str, _Learned] = field(default_factory=dict)

    def set_servers(self, window_by_server: Mapping[str, int]) -> None:
        """Set the configured window of each server; what is known of others is forgotten."""
        self._most_by_server = dict(window_by_server)
        for server in self._learned.keys() - window_by_server.keys():
            del self._learned[server]

    def windows(self) -> dict[str, int]:
        """Return the window of each server."""
        learned = self._learned
        return {
            server: min(most, learned[server].window) if server in learned else most
            for server, most in self._most_by_server.items()
        }

    def on_load(self, server: str, running: int, waiting: int, now: float) -> bool:
        """Take a load report.

        :returns: whether the server's window has changed.
        """
        most = self._most_by_server.get(server)
        if most is None:
            return False
        learned = self._learned.get(server)
        if learned is None:
            learned = self._learned[server] = _Learned(most, now, self.rules.regrow_s)
        if waiting > 0:
            return self._shrink(learned, running, waiting, now)
        due = now >= learned.changed_at + learned.regrow_s
        if running < learned.window or learned.window >= most or not due:
            return False
        learned.window, learned.changed_at, learned.grown = learned.window + 1, now, True
        return True

    def _shrink(self, learned: _Learned, running: int, waiting: int, now: float) -> bool:
        explained = running + waiting <= learned.window
        if explained and learned.grown:
            learned.regrow_s = min(self.rules.longest_regrow_s, 2 * learned.regrow_s)
        if explained:
            learned.grown = False
        window = max(self.rules.least, running)
        learned.changed_at = now
        if not explained or window >= learned.window:
            return False
        learned.window = window
        return True
