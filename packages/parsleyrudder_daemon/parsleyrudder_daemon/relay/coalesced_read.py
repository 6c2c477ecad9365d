"""One read of the store for all who wait for one."""

from collections.abc import Callable

from parsleyrudder_adapters.timers import Timers

from .context import now

__all__ = ["CoalescedRead"]

# A read that takes longer may have lost its response, so it no longer delays the next one.
_OVERDUE_S = 0.3
_MAX_IN_FLIGHT = 4


class CoalescedRead:
    """Sends a read of the store when one is needed, at most one per interval.

    :param send: sends the read; its argument is to be called once with whether it succeeded.
    :param interval_s: shortest time between two reads.
    :ivar read_at: time at which the newest read that has succeeded was sent.
    """

    def __init__(
        self, timers: Timers, send: Callable[[Callable[[bool], None]], None], interval_s: float
    ) -> None:
        self._timers = timers
        self._send = send
        self._interval_s = interval_s
        self._sent_at = float("-inf")
        self._in_flight = 0
        self._is_scheduled = False
        self._on_done: list[Callable[[], None]] = []
        self.read_at = float("-inf")

    def add_listener(self, on_done: Callable[[], None]) -> None:
        """Add a function to be called after each read, whether it has succeeded or not."""
        self._on_done.append(on_done)

    def request(self, since: float) -> None:
        """Read, unless a read that was sent at or after a time has succeeded or is under way.

        A read that fails is not repeated until it is requested again.
        """
        is_overdue = now() - self._sent_at >= _OVERDUE_S
        is_under_way = self._in_flight > 0 and self._sent_at >= since and not is_overdue
        if self.read_at >= since or is_under_way or self._is_scheduled:
            return
        delay_s = self._sent_at + self._interval_s - now()
        if delay_s <= 0.0:
            self._read()
            return
        self._is_scheduled = True
        self._timers.after(delay_s, self._on_timer)

    def _on_timer(self) -> None:
        self._is_scheduled = False
        self._read()

    def _read(self) -> None:
        if self._in_flight >= _MAX_IN_FLIGHT:
            return
        self._in_flight += 1
        sent_at = self._sent_at = now()
        self._send(lambda has_succeeded: self._on_result(has_succeeded, sent_at))

    def _on_result(self, has_succeeded: bool, sent_at: float) -> None:
        self._in_flight -= 1
        if has_succeeded:
            self.read_at = max(self.read_at, sent_at)
        for on_done in self._on_done:
            on_done()
