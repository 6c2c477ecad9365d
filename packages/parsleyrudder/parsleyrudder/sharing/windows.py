"""Windows of a pool's servers, adjusted by the load reports of the engines."""

from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = ["LearnedWindows", "WindowRules"]


@dataclass(slots=True, frozen=True)
class WindowRules:
    """Settings of the learned windows.

    :ivar min_window: minimum window; the maximum is the configured window of a server.
    :ivar growth_interval_s: time without a queue after which a full window grows by one slot.
    :ivar max_growth_interval_s: upper limit of the growth interval, which doubles each time that
        growth has caused another queue. Without this back-off the window would oscillate around the
        engine's limit.
    """

    min_window: int = 1
    growth_interval_s: float = 5.0
    max_growth_interval_s: float = 80.0


@dataclass(slots=True)
class _LearnedWindow:
    window: int
    changed_at: float
    growth_interval_s: float
    has_grown: bool = False


@dataclass(slots=True)
class LearnedWindows:
    """Windows of the servers of one pool, for its coordinator.

    An engine that queues requests has received more than its batch can hold, so its window shrinks
    to the number of requests that it runs. A load above the current window is a remainder of an
    earlier, larger window, since running calls are not pre-empted and load reports lag; it does not
    shrink the window.
    """

    rules: WindowRules = field(default_factory=WindowRules)
    _configured_by_server: dict[str, int] = field(default_factory=dict)
    _learned: dict[str, _LearnedWindow] = field(default_factory=dict)

    def set_servers(self, window_by_server: Mapping[str, int]) -> None:
        """Set the configured window of each server, and discard the state of other servers."""
        self._configured_by_server = dict(window_by_server)
        for server in self._learned.keys() - window_by_server.keys():
            del self._learned[server]

    def windows(self) -> dict[str, int]:
        """Return the window of each server."""
        learned = self._learned
        return {
            server: min(configured, learned[server].window) if server in learned else configured
            for server, configured in self._configured_by_server.items()
        }

    def on_load(self, server: str, running: int, waiting: int, now: float) -> bool:
        """Process a load report.

        :returns: whether the server's window has changed.
        """
        configured = self._configured_by_server.get(server)
        if configured is None:
            return False
        learned = self._learned.get(server)
        if learned is None:
            learned = self._learned[server] = _LearnedWindow(
                configured, now, self.rules.growth_interval_s
            )
        if waiting > 0:
            return self._shrink(learned, running, waiting, now)
        due = now >= learned.changed_at + learned.growth_interval_s
        if running < learned.window or learned.window >= configured or not due:
            return False
        learned.window, learned.changed_at, learned.has_grown = learned.window + 1, now, True
        return True

    def _shrink(self, learned: _LearnedWindow, running: int, waiting: int, now: float) -> bool:
        fits_window = running + waiting <= learned.window
        if fits_window and learned.has_grown:
            learned.growth_interval_s = min(
                self.rules.max_growth_interval_s, 2 * learned.growth_interval_s
            )
        if fits_window:
            learned.has_grown = False
        window = max(self.rules.min_window, running)
        learned.changed_at = now
        if not fits_window or window >= learned.window:
            return False
        learned.window = window
        return True
