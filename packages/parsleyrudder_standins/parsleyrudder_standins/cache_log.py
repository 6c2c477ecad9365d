"""Prefix cache of the engine stand-in, and its events, which are published late and with gaps."""

import time
import uuid
from collections import OrderedDict, deque
from typing import Any

from parsleyrudder import prefix_digest

__all__ = ["CacheLog"]

_HELD = 64
_LAG_S = 1.0
_MOST_EVENTS = 256
_GAP_EVERY = 50


class CacheLog:
    """Holds a limited number of prefixes, the most recently used ones.

    :param lag_s: time after which an event is published.
    :param gap_every: each event whose number is a multiple of this is never published.
    """

    def __init__(self, lag_s: float = _LAG_S, gap_every: int = _GAP_EVERY) -> None:
        self._lag_s = lag_s
        self._gap_every = gap_every
        self._epoch = uuid.uuid4().hex
        self._held: OrderedDict[str, None] = OrderedDict()
        self._events: deque[tuple[float, dict[str, Any]]] = deque(maxlen=_MOST_EVENTS)
        self._seq = 0

    def used(self, messages: list[dict[str, Any]]) -> None:
        """Store the prefix of a request, which may evict another one."""
        text = "\n".join(f"{item['role']}:{item['content']}" for item in messages)
        prefix = prefix_digest(text)
        if prefix in self._held:
            self._held.move_to_end(prefix)
            return
        self._held[prefix] = None
        self._add(prefix, True)
        if len(self._held) > _HELD:
            self._add(self._held.popitem(last=False)[0], False)

    def published(self, after: int) -> dict[str, Any]:
        """Return the answer to ``GET /cache/events?after=``."""
        until = time.monotonic() - self._lag_s
        events = [event for at, event in self._events if at <= until and event["seq"] > after]
        return {"epoch": self._epoch, "events": events}

    def _add(self, prefix: str, stored: bool) -> None:
        self._seq += 1
        if self._seq % self._gap_every:
            event = {"seq": self._seq, "prefix": prefix, "stored": stored}
            self._events.append((time.monotonic(), event))
