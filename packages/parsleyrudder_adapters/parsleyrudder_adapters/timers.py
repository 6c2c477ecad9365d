"""Timers of one event loop, kept in a heap.

With a circuits ``Timer`` per request, each iteration of the loop would call every one of them.
"""

import heapq
import itertools
import time
from collections.abc import Callable

from circuits.core import BaseComponent, handler
from circuits.core.utils import findcmp

from .poller import LoopPoller

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
    """Calls callbacks when they are due, in the event loop in which it is registered.

    A timer fires only after the sockets have been polled since it was due, so that a loop that was
    busy reads what has arrived in time before it enforces a time limit.
    """

    channel = "timers"

    def __init__(self) -> None:
        super().__init__()
        self._heap: list[tuple[float, int, Timer]] = []
        self._counter = itertools.count()
        self._poller: LoopPoller | None = None

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
        if self._poller is None:
            self._poller = findcmp(self.root, LoopPoller)
        polled_at = time.monotonic() if self._poller is None else self._poller.polled_at
        while self._heap and (self._heap[0][0] <= polled_at or not self._heap[0][2].is_pending):
            _, _, timer = heapq.heappop(self._heap)
            timer.fire()
        if self._heap:
            time_left_s = self._heap[0][0] - time.monotonic()
            event.reduce_time_left(max(0.0, time_left_s))  # type: ignore[attr-defined]
