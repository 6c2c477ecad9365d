"""Prefix cache of the engine stand-in; its events are published with a delay and with gaps."""

import time
import uuid
from collections import OrderedDict, deque
from typing import Any

from parsleyrudder import prefix_digest

__all__ = ["CacheLog"]

_CAPACITY = 64
_PUBLISH_DELAY_S = 1.0
_MAX_EVENTS = 256
_GAP_EVERY = 50


class CacheLog:
    """LRU cache of prefixes that logs an event for each prefix stored or evicted.

    :param publish_delay_s: time after which an event is published, in seconds.
    :param gap_every: events whose number is a multiple of this are never published.
    """

    def __init__(
        self, publish_delay_s: float = _PUBLISH_DELAY_S, gap_every: int = _GAP_EVERY
    ) -> None:
        self._publish_delay_s = publish_delay_s
        self._gap_every = gap_every
        self._epoch = uuid.uuid4().hex
        self._prefixes: OrderedDict[str, None] = OrderedDict()
        self._events: deque[tuple[float, dict[str, Any]]] = deque(maxlen=_MAX_EVENTS)
        self._seq = 0

    def record_use(self, messages: list[dict[str, Any]]) -> None:
        """Store the prefix of a request; a full cache evicts the least recently used one."""
        text = "\n".join(f"{item['role']}:{item['content']}" for item in messages)
        prefix = prefix_digest(text)
        if prefix in self._prefixes:
            self._prefixes.move_to_end(prefix)
            return
        self._prefixes[prefix] = None
        self._record_event(prefix, True)
        if len(self._prefixes) > _CAPACITY:
            self._record_event(self._prefixes.popitem(last=False)[0], False)

    def published_events(self, after: int) -> dict[str, Any]:
        """Return the response document of ``GET /cache/events?after=``."""
        published_before = time.monotonic() - self._publish_delay_s
        events = [
            event
            for added_at, event in self._events
            if added_at <= published_before and event["seq"] > after
        ]
        return {"epoch": self._epoch, "events": events}

    def _record_event(self, prefix: str, stored: bool) -> None:
        self._seq += 1
        if self._seq % self._gap_every:
            event = {"seq": self._seq, "prefix": prefix, "stored": stored}
            self._events.append((time.monotonic(), event))
