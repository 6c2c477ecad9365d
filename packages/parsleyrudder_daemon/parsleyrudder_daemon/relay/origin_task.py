"""Exchange between routers of which software version began a stream; see :class:`StreamOrigins`."""

import itertools
import logging
from collections import defaultdict
from collections.abc import Iterable

from parsleyrudder import (
    HashRing,
    Message,
    OriginInquiry,
    OriginReply,
    OriginRequest,
    StreamOrigins,
    StreamStart,
    StreamStarts,
    StreamsToRecord,
    VersionHistory,
    rendezvous,
    stream_key,
)
from parsleyrudder_adapters.logs import log_event
from parsleyrudder_adapters.peers import PeerLink

from .context import RelayContext, now
from .origin_inquiries import OriginCallback, OriginInquiries, TargetSource
from .stream_store import StreamStore
from .version_store import StoredVersions, VersionStore

__all__ = ["OriginTask"]

_LOGGER = logging.getLogger(__name__)
# Routers that are told of a stream, besides the one that began it.
_HOLDER_COUNT = 2
# Routers that are asked for a stream: more than the holders, since the routers on the ring may have
# changed after it began.
_ASKED_COUNT = 8
_REFRESH_INTERVAL_S = 0.25
# Time after the start in which the routers find each other, so that not all of them write.
_JOIN_TIME_S = 1.0
_ROUTERS_PER_RECORDER = 100
# Age up to which streams are told to the routers that become their holders.
_RETOLD_AGE_S = 30.0


class OriginTask:
    """Tells other routers of the streams that this one begins, and asks them for others.

    What must outlast a restart of all routers is kept in the store.

    :ivar link: connection to the other routers; set before the start.
    """

    def __init__(
        self, context: RelayContext, version_store: VersionStore, stream_store: StreamStore
    ) -> None:
        self._context = context
        self._version_store = version_store
        self._stream_store = stream_store
        self._started_at = now()
        self._unnamed_number = itertools.count()
        self._origins = StreamOrigins()
        self._versions = VersionHistory()
        self._ring = HashRing([context.view.own_info.name])
        # Routers that write the streams to the store for all others.
        self._recorders = [context.view.own_info.name]
        self._incarnation_by_name: dict[str, int] = {}
        # Pools whose streams are told to others, as their targets have several versions.
        self._told_pools: set[str] = set()
        self._inquiries = OriginInquiries(
            context,
            self._versions,
            version_store,
            stream_store,
            self,
            lambda start: self._origins.record_reported([start], now()),
        )
        self._targets: TargetSource | None = None
        # Router that writes the streams of this recorder while this one does not reach the store.
        self._deputy: str | None = None
        self._is_store_down = False
        self.link: PeerLink | None = None

    def watch_targets(self, targets: TargetSource) -> None:
        """Set this router's copy of the targets; called before the start."""
        self._targets = self._inquiries.targets = targets

    def start(self) -> None:
        """Read the versions from before this start, and start to follow versions and routers."""
        self._version_store.follow(
            lambda stored: self._versions.record_earlier(stored.versions, now())
        )
        self._version_store.start(self._on_stored_versions)
        self.refresh()

    def on_store_restored(self) -> None:
        """Store the versions and streams again; the store has come back from an older copy."""
        self._version_store.write_again()
        self._stream_store.write_again()

    def refresh(self) -> None:
        """Follow the versions and the routers."""
        self._context.timers.after(_REFRESH_INTERVAL_S, self.refresh)
        self.refresh_versions()
        self._refresh_ring()
        self._refresh_deputy()
        self._save_versions()
        self._origins.expire(now())

    def refresh_versions(self) -> None:
        """Learn the versions of the current targets, and tell of streams that may now be mixed."""
        at = now()
        self._versions.record(self._context.targets.by_id.values(), at)
        mixed_pools = self._versions.mixed_pools(at)
        newly_mixed_pools = mixed_pools - self._told_pools
        if self._told_pools and not mixed_pools and self._recorders[0] == self._own_name:
            self._stream_store.clear()
        self._told_pools = mixed_pools
        if newly_mixed_pools:
            self._tell(self._origins.take_unsent(newly_mixed_pools))

    def record_began(self, request: str, pool: str, version: str) -> None:
        """Record that a stream of this router has brought its first event.

        :param request: id of the request that the caller will name when it resumes the stream.
        """
        start = StreamStart(stream_key(request), pool, version)
        is_told = pool in self._told_pools
        self._origins.record_own(start, is_told, now())
        if is_told:
            self._tell([start])

    def hand_over(self) -> None:
        """Tell other routers of all streams that this one knows, before it stops."""
        self._tell(self._origins.starts_in(self._told_pools))

    def find(self, request: str | None, pool: str, callback: OriginCallback) -> None:
        """Find out which version began a stream.

        :param request: id of the request that brought its first event; None if it is not given.
        :param pool: pool in which the stream would go on.
        :param callback: called once, with None if the version is unknown.
        """
        key = stream_key(request) if request else self._unnamed_key()
        start = self._origins.find(key)
        if start is not None:
            self._context.metrics.count("streams_resumed", origin="local")
            callback(start)
            return
        self._inquiries.begin(key, pool, callback)

    def knows(self, request: str | None) -> bool:
        """Whether a router of the fleet has begun the stream, as far as this one was told or read.

        :param request: see :meth:`find`.
        """
        return request is not None and self._origins.find(stream_key(request)) is not None

    def _unnamed_key(self) -> bytes:
        """Return a key for one caller that names no stream; no stream and no other caller has it.

        What was read for an earlier caller says nothing of the stream of a later one.
        """
        return stream_key(f"unnamed\0{next(self._unnamed_number)}")

    def on_message(self, message: Message) -> None:
        """Handle a message from another router."""
        if isinstance(message, StreamStarts):
            self._origins.record_reported(message.starts, now())
            self._record([s for s in message.starts if self._recorder(s.key) == self._own_name])
        elif isinstance(message, StreamsToRecord):
            self._stream_store.add(message.starts)
        elif isinstance(message, OriginRequest):
            self._reply(message)
        elif isinstance(message, OriginReply):
            self._inquiries.on_reply(message)

    def _refresh_ring(self) -> None:
        """Adopt the routers that are active now, and tell new holders of recent streams."""
        view, at = self._context.view, now()
        names = {view.own_info.name, *view.active_routers(at)}
        infos = [info for info in map(view.info, names) if info is not None]
        incarnation_by_name = {info.name: info.incarnation for info in infos}
        if incarnation_by_name == self._incarnation_by_name:
            return
        known_before = set(self._incarnation_by_name.items())
        self._incarnation_by_name = incarnation_by_name
        # A router that has started again has lost what it was told.
        fresh = {name for name, _ in incarnation_by_name.items() - known_before}
        old_ring, self._ring = self._ring, HashRing(names)
        recorder_count = 1 + len(names) // _ROUTERS_PER_RECORDER
        ranked = rendezvous("stream recorders", names)
        self._recorders = ranked[:recorder_count]
        self._deputy = next(iter(ranked[recorder_count:]), None)
        starts_by_holder: dict[str, list[StreamStart]] = defaultdict(list)
        for start in self._origins.own_starts_since(self._told_pools, at - _RETOLD_AGE_S):
            told = set(self._others(old_ring, start.key, _HOLDER_COUNT)) - fresh
            for name in self._others(self._ring, start.key, _HOLDER_COUNT):
                if name not in told:
                    starts_by_holder[name].append(start)
        self._send_starts(starts_by_holder)

    def _on_stored_versions(self, stored: StoredVersions) -> None:
        self._versions.record_earlier(stored.versions, now())
        is_first = self._context.settings.first_start and stored.is_empty
        self._versions.has_earlier = stored.is_complete or is_first
        log_event(
            _LOGGER,
            "versions_read",
            versions=",".join(sorted(map("/".join, stored.versions))) or None,
            complete=self._versions.has_earlier,
        )

    def _save_versions(self) -> None:
        """Keep the versions in the store, if this router is the one that does so for all."""
        at = now()
        if at - self._started_at < _JOIN_TIME_S or self._recorders[0] != self._own_name:
            return
        current = self._versions.current(at)
        if not current:
            return
        is_complete = self._versions.is_complete(at)
        self._version_store.save(current, is_complete)
        if is_complete:
            self._version_store.remove_others(current)

    @property
    def _own_name(self) -> str:
        return self._context.view.own_info.name

    def _recorder(self, key: bytes) -> str:
        return self._recorders[key[0] % len(self._recorders)]

    def _record(self, starts: list[StreamStart]) -> None:
        if starts:
            self._stream_store.add(starts)
            if self._is_store_down:
                self._send_to_deputy(starts)

    def _refresh_deputy(self) -> None:
        """Let another router write what this one can't, from the moment at which it is known."""
        assert self._targets is not None
        was_down, self._is_store_down = self._is_store_down, self._targets.is_store_down
        if self._is_store_down and not was_down:
            unwritten = self._stream_store.unwritten()
            own = [start for start in unwritten if self._recorder(start.key) == self._own_name]
            self._send_to_deputy(own)

    def _send_to_deputy(self, starts: list[StreamStart]) -> None:
        if starts and self._deputy is not None:
            self._send(self._deputy, StreamsToRecord(tuple(starts)))

    def _tell(self, starts: Iterable[StreamStart]) -> None:
        """Tell the holders and the recorder of each stream."""
        starts_by_router: dict[str, list[StreamStart]] = defaultdict(list)
        for start in starts:
            holders = self._others(self._ring, start.key, _HOLDER_COUNT)
            for name in {*holders, self._recorder(start.key)}:
                starts_by_router[name].append(start)
        self._record(starts_by_router.pop(self._own_name, []))
        self._send_starts(starts_by_router)

    def _send_starts(self, starts_by_holder: dict[str, list[StreamStart]]) -> None:
        for name, starts in starts_by_holder.items():
            self._send(name, StreamStarts(tuple(starts)))

    def _others(self, ring: HashRing, key: bytes, count: int) -> list[str]:
        own = self._own_name
        return [name for name in ring.successors(key, count + 1) if name != own][:count]

    def asked_routers(self, key: bytes) -> list[str]:
        """See :class:`OriginPeers`."""
        self._refresh_ring()
        others = self._others(self._ring, key, _ASKED_COUNT)
        recorder = self._recorder(key)
        if recorder in (self._own_name, *others):
            return others
        # The recorder knows streams whose row it has not written yet.
        return [*others[: _ASKED_COUNT - 1], recorder]

    def active_count(self) -> int:
        """See :class:`OriginPeers`."""
        return len(self._ring.names)

    def is_fleet_whole(self) -> bool:
        """See :class:`OriginPeers`."""
        view = self._context.view
        known = {info.name for info in view.peers(now()) if not view.is_leaving(info.name)}
        return known <= self._ring.names

    def ask(self, name: str, inquiry: OriginInquiry) -> None:
        """See :class:`OriginPeers`."""
        self._send(name, OriginRequest(self._own_name, inquiry.key, inquiry.pool))

    def _reply(self, request: OriginRequest) -> None:
        versions = tuple(sorted(self._versions.versions(request.pool, now())))
        start = self._origins.find(request.key)
        self._send(request.sender, OriginReply(self._own_name, request.key, start, versions))

    def _send(self, name: str, message: Message) -> None:
        info = self._context.view.info(name)
        if info is not None and self.link is not None:
            self.link.send(info.peer_address, message)
