"""Timers of one event loop, kept in a heap.

With a circuits ``Timer`` per request, each iteration of the loop would call every one of them.
"""

import heapq
import itertools
import time
from collections.abc import Callable

from circuits.core import BaseComponent, handler

__all__ = ["Timer", "Timers"]


class Timer:
    """A scheduled callback, called at most once."""

    __slots__ = ("_callback",)

    def __init__(self, callback: Callable[[], None]) -> None:
        self._callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Cancel the callback; no effect if it has been called."""
        self._callback = None

    @property
    def is_pending(self) -> bool:
        """Whether the callback has been neither called nor cancelled."""
        return self._callback is not None

    def fire(self) -> None:
        """Call the callback, unless it was called or cancelled before."""
        callback, self._callback = self._callback, None
        if callback is not None:
            callback()


class Timers(BaseComponent):
    """Calls callbacks when they are due, in the event loop in which it is registered."""

    channel = "timers"

    def __init__(self) -> None:
        super().__init__()
        self._heap: list[tuple[float, int, Timer]] = []
        self._counter = itertools.count()

    def after(self, delay_s: float, callback: Callable[[], None]) -> Timer:
        """Schedule a callback after a delay.

        :returns: a handle by which the callback can be cancelled.
        """
        timer = Timer(callback)
        entry = (time.monotonic() + delay_s, next(self._counter), timer)
        heapq.heappush(self._heap, entry)
        return timer

    def every(self, interval_s: float, callback: Callable[[], None]) -> None:
        """Call a callback at regular intervals until the loop ends."""

        def run() -> None:
            self.after(interval_s, run)
            callback()

        self.after(interval_s, run)

    @handler("generate_events", channel="*")
    def _on_generate_events(self, event: object) -> None:
        now = time.monotonic()
        while self._heap and (self._heap[0][0] <= now or not self._heap[0][2].is_pending):
            _, _, timer = heapq.heappop(self._heap)
            timer.fire()
        if self._heap:
            event.reduce_time_left(max(0.0, self._heap[0][0] - now))  # type: ignore[attr-defined]
