"""Finds out at which version a stream began that this router does not know."""

import logging
from collections import defaultdict
from collections.abc import Callable
from typing import Protocol

from parsleyrudder import OriginEvidence, OriginInquiry, OriginReply, StreamStart, VersionHistory
from parsleyrudder_adapters.logs import log_event

from .coalesced_read import CoalescedRead
from .context import RelayContext, now
from .stream_store import StreamStore
from .version_store import VersionStore

__all__ = ["OriginCallback", "OriginInquiries", "OriginPeers", "TargetSource"]

_LOGGER = logging.getLogger(__name__)
# A caller gives up a silent stream after about 2 s, and the rest of the stream has to find a target
# and begin within that time.
_MAX_INQUIRY_S = 1.0
# Time after which a store without an answer counts as away; leaves the stream time to begin.
_STORE_WAIT_S = 0.5
_CHECK_INTERVAL_S = 0.1
# Time after which a router that has not replied is asked again.
_ASK_INTERVAL_S = 0.3
# Time after which the record of a stream that is still unknown is read again.
_REREAD_INTERVAL_S = 0.3
# Shortest time between two reads of the targets.
_CONFIRM_INTERVAL_S = 0.2

OriginCallback = Callable[[StreamStart | None], None]


class TargetSource(Protocol):
    """A router's copy of the targets in the store."""

    @property
    def confirmed_at(self) -> float:
        """Local time at which the copy was known to be up to date."""
        ...

    @property
    def is_store_down(self) -> bool:
        """Whether the store has not answered the last call."""
        ...

    def confirm(self, done: Callable[[bool], None]) -> None:
        """Bring the copy up to date; ``done`` is called with whether the store has answered."""
        ...


class OriginPeers(Protocol):
    """Access to the routers that may know a stream."""

    def asked_routers(self, key: bytes) -> list[str]:
        """Return the names of the routers that are to be asked for a stream."""
        ...

    def active_count(self) -> int:
        """Return the number of active routers, this one included."""
        ...

    def is_fleet_whole(self) -> bool:
        """Return whether all known routers that are not leaving are active."""
        ...

    def ask(self, name: str, inquiry: OriginInquiry) -> None:
        """Ask a router for a stream."""
        ...


class OriginInquiries:
    """The inquiries in progress.

    An inquiry asks other routers and reads the store again until the origin is known, or nothing
    more can be learned of it, or its time is over.

    :ivar targets: this router's copy of the targets; set before the start.
    """

    def __init__(
        self,
        context: RelayContext,
        versions: VersionHistory,
        version_store: VersionStore,
        stream_store: StreamStore,
        peers: OriginPeers,
        on_found: Callable[[StreamStart], None],
    ) -> None:
        self._context = context
        self._versions = versions
        self._version_store = version_store
        self._stream_store = stream_store
        self._peers = peers
        self._on_found = on_found
        self._inquiry_by_key: dict[bytes, OriginInquiry] = {}
        self._callbacks_by_key: dict[bytes, list[OriginCallback]] = defaultdict(list)
        self._asked_at_by_key: dict[bytes, float] = {}
        self._target_reads = CoalescedRead(
            context.timers, lambda done: self._confirm_targets(done), _CONFIRM_INTERVAL_S
        )
        for reads in (self._target_reads, version_store.reads):
            reads.add_listener(self._advance_all)
        stream_store.reads.add_listener(self._on_streams_read)
        self.targets: TargetSource | None = None

    def begin(self, key: bytes, pool: str, callback: OriginCallback) -> None:
        """Begin an inquiry, or wait for the one that is in progress.

        :param callback: called once, with None if the origin is unknown.
        """
        self._callbacks_by_key[key].append(callback)
        if key not in self._inquiry_by_key:
            inquiry = self._inquiry_by_key[key] = OriginInquiry(key, pool, now(), set())
            self._ask(inquiry)
            self._check(inquiry)

    def on_reply(self, reply: OriginReply) -> None:
        """Handle the reply of another router."""
        inquiry = self._inquiry_by_key.get(reply.key)
        if inquiry is not None:
            inquiry.record_reply(reply)
            self._advance(inquiry)

    def _check(self, inquiry: OriginInquiry) -> None:
        """Advance an inquiry until its end, also while nothing is heard."""
        if inquiry.is_closed:
            return
        has_asked = inquiry.unanswered or inquiry.replied
        if not has_asked or now() - self._asked_at_by_key[inquiry.key] >= _ASK_INTERVAL_S:
            self._ask(inquiry)
        self._advance(inquiry)
        if not inquiry.is_closed:
            self._context.timers.after(_CHECK_INTERVAL_S, lambda: self._check(inquiry))

    def _ask(self, inquiry: OriginInquiry) -> None:
        self._asked_at_by_key[inquiry.key] = now()
        inquiry.record_asked(self._peers.asked_routers(inquiry.key))
        for name in sorted(inquiry.unanswered):
            self._peers.ask(name, inquiry)

    def _advance_all(self) -> None:
        for inquiry in list(self._inquiry_by_key.values()):
            self._advance(inquiry)

    def _advance(self, inquiry: OriginInquiry) -> None:
        """Report the result of an inquiry if there is one, or gather what it still needs."""
        if inquiry.is_closed:
            return
        at = now()
        is_over = at - inquiry.began_at >= _MAX_INQUIRY_S
        inquiry.versions |= self._versions.versions(inquiry.pool, at)
        if inquiry.start is not None:
            self._report(inquiry, inquiry.start, "told")
        elif inquiry.may_infer(self._evidence(at - inquiry.began_at)):
            self._report(inquiry, inquiry.inferred_start(), "inferred")
        elif is_over or self._is_certainly_unknown(inquiry):
            self._look_up(inquiry)
            if not inquiry.is_closed:
                self._report(inquiry, None, "unknown")
        else:
            self._gather(inquiry)

    def _is_certainly_unknown(self, inquiry: OriginInquiry) -> bool:
        """Whether nobody knows the stream, it is not recorded, and there were several versions."""
        is_read = self._stream_store.reads.read_at >= inquiry.began_at
        if not (is_read and inquiry.is_looked_up):
            return False
        return self._has_all_replies(inquiry) and not self._is_inferable(inquiry)

    def _has_all_replies(self, inquiry: OriginInquiry) -> bool:
        """Whether all asked routers have replied, or no other router has been found for a while."""
        is_alone = not inquiry.unanswered and now() - inquiry.began_at >= _ASK_INTERVAL_S
        return inquiry.is_answered or is_alone

    def _is_inferable(self, inquiry: OriginInquiry) -> bool:
        return len(inquiry.versions) <= 1 and self._versions.is_complete(now())

    def _evidence(self, waited_s: float) -> OriginEvidence:
        assert self.targets is not None
        is_store_away = self.targets.is_store_down or waited_s >= _STORE_WAIT_S
        return OriginEvidence(
            self._versions.is_complete(now()),
            self.targets.confirmed_at,
            self._version_store.reads.read_at,
            is_store_away,
            is_store_away and self._peers.is_fleet_whole(),
        )

    def _gather(self, inquiry: OriginInquiry) -> None:
        """Read what may settle an inquiry; routers that reply at once save most reads."""
        assert self.targets is not None
        at = now()
        is_delayed = at - inquiry.began_at >= _CHECK_INTERVAL_S
        if not self._is_inferable(inquiry):
            if is_delayed or self._has_all_replies(inquiry):
                self._read_streams(inquiry, at)
            return
        if is_delayed and not inquiry.is_answered:
            self._version_store.reads.request(inquiry.began_at)
        if self.targets.confirmed_at < inquiry.began_at:
            self._target_reads.request(inquiry.began_at)

    def _read_streams(self, inquiry: OriginInquiry, at: float) -> None:
        """Look a stream up in what was read, and read again, as it may be recorded meanwhile."""
        self._look_up(inquiry)
        if not inquiry.is_closed:
            self._stream_store.reads.request(max(inquiry.began_at, at - _REREAD_INTERVAL_S))
        if self._is_certainly_unknown(inquiry):
            self._advance(inquiry)

    def _look_up(self, inquiry: OriginInquiry) -> None:
        if not inquiry.is_looked_up:
            inquiry.is_looked_up = True
            self._report_recorded([inquiry.key])

    def _on_streams_read(self) -> None:
        self._report_recorded(list(self._inquiry_by_key))
        self._advance_all()

    def _report_recorded(self, keys: list[bytes]) -> None:
        for start in self._stream_store.find(keys) if keys else ():
            inquiry = self._inquiry_by_key.get(start.key)
            if inquiry is not None:
                self._report(inquiry, start, "recorded")

    def _confirm_targets(self, done: Callable[[bool], None]) -> None:
        assert self.targets is not None
        self.targets.confirm(done)

    def _report(self, inquiry: OriginInquiry, start: StreamStart | None, origin: str) -> None:
        """Report the result of an inquiry to those who wait for it."""
        inquiry.is_closed = True
        del self._inquiry_by_key[inquiry.key]
        del self._asked_at_by_key[inquiry.key]
        if start is None:
            self._log_unknown(inquiry)
        elif origin in ("told", "recorded"):
            self._on_found(start)
        callbacks = self._callbacks_by_key.pop(inquiry.key)
        self._context.metrics.count("streams_resumed", origin=origin)
        for callback in callbacks:
            callback(start)

    def _log_unknown(self, inquiry: OriginInquiry) -> None:
        at = now()
        assert self.targets is not None
        log_event(
            _LOGGER,
            "stream_origin_unknown",
            logging.WARNING,
            stream=inquiry.key.hex(),
            pool=inquiry.pool,
            versions=",".join(sorted(inquiry.versions)) or None,
            history_complete=self._versions.is_complete(at),
            targets_age_s=round(at - self.targets.confirmed_at, 3),
            unanswered=",".join(sorted(inquiry.unanswered)) or None,
            routers=self._peers.active_count(),
            took_ms=round((at - inquiry.began_at) * 1000),
        )
