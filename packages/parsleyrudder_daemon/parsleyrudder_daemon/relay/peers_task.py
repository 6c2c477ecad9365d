"""What the routers of a fleet tell each other: who lives, and what each has sent to the targets."""

import logging
import random

import msgspec
from parsleyrudder import (
    FeedPage,
    FeedService,
    Gossip,
    LoadMessage,
    Message,
    PromptVolume,
    ReadParts,
    RouterInfo,
    TableError,
    TableNews,
)
from parsleyrudder_adapters.logs import log_event
from parsleyrudder_adapters.peers import PeerLink
from parsleyrudder_adapters.timers import Timer

from .context import RelayContext, now

__all__ = ["PeersTask"]

_LOGGER = logging.getLogger(__name__)
_GOSSIP_S = 0.5
_REPORT_S = 0.1
_REFRESH_S = 0.15
# Part of a report interval after which sums are worked out again, if that is longer.
_REFRESH_PART = 0.5
# In larger fleets reports are rarer, so that what a router receives stays bounded.
_ROUTERS_PER_REPORT_INTERVAL = 10
_ROWS_S = 20.0
# In larger fleets the rows are read more rarely, so that the fleet's calls stay bounded.
_ROUTERS_PER_ROWS_INTERVAL = 7
_FIRST_ROWS_S = 1.0
_GOSSIP_PEERS = 2
_SILENT_S = 1.0
# Two, so that the others need not notice at once if one of them fails.
_READERS = 2
# Report intervals without a message after which callers are sent elsewhere.
_SILENT_REPORTS = 2.5
# Report intervals for which a router's reported load counts.
_KEPT_REPORTS = 4.0
_FORGET_ROW_S = 60.0


class PeersTask:
    """Task for membership and load reports.

    :param router_table: table of the store in which the routers find each other.
    """

    def __init__(
        self, context: RelayContext, feed: FeedService, router_table: str, rng: random.Random
    ) -> None:
        self._context = context
        self._feed = feed
        self._table = router_table
        self._rng = rng
        self._sequence = 0
        self._sequence_by_router: dict[str, tuple[int, int]] = {}
        self._unready_routers: set[str] = set()
        self._is_registered = False
        self._row_seen_at: dict[tuple[str, int], float] = {}
        self._rows_timer: Timer | None = None
        self.link: PeerLink | None = None
        self.takes_calls = False

    def start(self) -> None:
        """Begin to gossip, to report, and to read the rows."""
        self._gossip()
        self._report()
        self._refresh()
        self._register()

    def say_goodbye(self) -> None:
        """Tell all peers that callers shall go elsewhere."""
        self.takes_calls = False
        self._context.view.leaving = True
        self._send_report()
        for info in self._context.view.peers(now()):
            self._send_gossip(info.peer_address, reply=False)

    def unregister(self) -> None:
        """Remove this router's row."""
        name = self._context.settings.name

        def done(page: FeedPage | TableError) -> None:
            if isinstance(page, TableError):
                _ignore(page)
                return
            for row in page.rows:
                if row.key == name:
                    self._feed.remove(self._table, name, row.revision, _ignore)

        self._feed.read(self._table, done)

    def addresses(self) -> list[RouterInfo]:
        """Return the routers that callers should use; never none."""
        view, at = self._context.view, now()
        limit_s = max(_SILENT_S, _SILENT_REPORTS * self._report_interval_s())
        live = [name for name in view.active_routers(at) if view.silence_s(name, at) < limit_s]
        unready = set(self._unready_routers)
        if not self.takes_calls:
            unready.add(view.own_info.name)
        # Where no router is ready, any of them is as good as the others.
        names = [name for name in live if name not in unready] or live or [view.own_info.name]
        return [info for info in map(view.info, names) if info is not None]

    def is_reader(self) -> bool:
        """See :class:`WatchPeers`."""
        return self._context.view.has_role("table readers", _READERS, now())

    def publish(self, news: TableNews) -> None:
        """See :class:`WatchPeers`."""
        self._send_to_all(news)

    def on_message(self, message: Message) -> None:
        """Take a message of a peer."""
        if isinstance(message, Gossip):
            self._on_gossip(message)
        elif isinstance(message, LoadMessage):
            self._on_load(message)

    def _on_gossip(self, gossip: Gossip) -> None:
        self._outbid(gossip)
        self._context.view.on_gossip(gossip, now())
        if gossip.wants_reply or gossip.wants_info:
            info = self._context.view.info(gossip.sender)
            if info is not None:
                self._send_gossip(info.peer_address, reply=False)

    def _outbid(self, gossip: Gossip) -> None:
        """Take a higher incarnation if peers know a later one, as after a step of the clock."""
        view = self._context.view
        newest = max(
            (s.incarnation for s in gossip.states if s.name == view.own_info.name), default=0
        )
        if newest > view.own_info.incarnation:
            view.own_info = msgspec.structs.replace(view.own_info, incarnation=newest + 1)
            log_event(_LOGGER, "incarnation_raised", incarnation=view.own_info.incarnation)
            self._register()

    def _on_load(self, message: LoadMessage) -> None:
        view, at = self._context.view, now()
        newest = self._sequence_by_router.get(message.sender, (0, 0))
        if (
            message.incarnation,
            message.sequence,
        ) <= newest or message.sender == view.own_info.name:
            return
        self._sequence_by_router[message.sender] = (message.incarnation, message.sequence)
        view.record_alive(message.sender, message.incarnation, at)
        if message.accepts_requests:
            self._unready_routers.discard(message.sender)
        else:
            self._unready_routers.add(message.sender)
        self._context.loads.record_report(message.sender, message.load_by_target, at)
        mix = PromptVolume(message.long_prompt_tokens, message.all_prompt_tokens)
        self._context.lane.record_report(message.sender, mix, at)
        for entry in message.sent_parts:
            self._context.cache.record_reported(entry.lifetime, entry.parts)
        self._context.usage.record_report(message.sender, message.usage_by_organisation, at)

    def _gossip(self) -> None:
        self._context.timers.after(_GOSSIP_S, self._gossip)
        peers = self._context.view.sample_peers(_GOSSIP_PEERS, self._rng)
        addresses = {info.peer_address for info in peers}
        if not peers:
            addresses = set(self._context.settings.seeds)
        addresses.discard(self._context.settings.peers)
        for address in sorted(addresses):
            self._send_gossip(address, reply=True)
        if self.link is not None:
            known = {info.peer_address for info in self._context.view.peers(now())}
            self.link.disconnect_all_except(known | addresses)

    def _send_gossip(self, address: str, reply: bool) -> None:
        config = self._context.traffic.config
        version = config.version if config else 0
        message = self._context.view.make_gossip(version, True, reply, now(), full=True)
        if self.link is not None:
            self.link.send(address, message)

    def _report(self) -> None:
        interval_s = self._report_interval_s()
        self._context.timers.after(interval_s, self._report)
        self._context.loads.expire_reports(now(), _KEPT_REPORTS * interval_s)
        self._send_report()

    def _report_interval_s(self) -> float:
        routers = len(self._context.view.live_routers(now()))
        return _REPORT_S * max(1.0, routers / _ROUTERS_PER_REPORT_INTERVAL)

    def _refresh(self) -> None:
        """Sum what was reported; not with each report, as a large fleet sends many."""
        interval_s = max(_REFRESH_S, _REFRESH_PART * self._report_interval_s())
        self._context.timers.after(interval_s, self._refresh)
        self._context.usage.refresh(now())
        self._context.lane.refresh(now())

    def _send_report(self) -> None:
        at = now()
        self._sequence += 1
        loads = self._context.loads.local_report()
        usage = self._context.usage.local_report(at)
        news = self._context.cache.take_unreported()
        mix = self._context.lane.local_report(at)
        message = LoadMessage(
            sender=self._context.view.own_info.name,
            incarnation=self._context.view.own_info.incarnation,
            sequence=self._sequence,
            accepts_requests=self.takes_calls,
            load_by_target=loads,
            usage_by_organisation=usage,
            long_prompt_tokens=mix.long_prompt_tokens,
            all_prompt_tokens=mix.all_prompt_tokens,
            sent_parts=tuple(ReadParts(lifetime, parts) for lifetime, parts in news),
        )
        self._send_to_all(message)

    def _send_to_all(self, message: Message) -> None:
        """Send a message to all other routers that live."""
        if self.link is None:
            return
        view = self._context.view
        infos = [view.info(name) for name in view.live_routers(now()) if name != view.own_info.name]
        self.link.send_all([info.peer_address for info in infos if info is not None], message)

    def _register(self) -> None:
        """Write this router's row until that has succeeded."""
        row = msgspec.msgpack.encode(self._context.view.own_info)

        def done(result: bool | TableError) -> None:
            self._is_registered = result is True
            if not self._is_registered:
                log_event(_LOGGER, "registration_failed", logging.WARNING, reason=result)
            self._read_rows_later(_FIRST_ROWS_S)

        if self._context.stopping:
            return
        self._feed.put(self._table, self._context.settings.name, row, done)

    def _read_rows_later(self, delay_s: float) -> None:
        if self._rows_timer is not None:
            self._rows_timer.cancel()
        jitter = self._rng.uniform(0.8, 1.2)
        self._rows_timer = self._context.timers.after(delay_s * jitter, self._read_rows)

    def _read_rows(self) -> None:
        if not self._is_registered:
            self._register()
            return
        self._feed.read(self._table, self._on_rows)

    def _on_rows(self, page: FeedPage | TableError) -> None:
        if isinstance(page, TableError):
            self._read_rows_later(_FIRST_ROWS_S)
            return
        routers = len(self._context.view.live_routers(now()))
        self._read_rows_later(_ROWS_S * max(1.0, routers / _ROUTERS_PER_ROWS_INTERVAL))
        at = now()
        for row in page.rows:
            try:
                info = msgspec.msgpack.decode(row.value, type=RouterInfo)
            except msgspec.MsgspecError as error:
                log_event(_LOGGER, "router_row_ignored", logging.WARNING, reason=error)
                continue
            self._context.view.add_unconfirmed(info, False, at)
            self._forget_dead(info, row.revision, at)

    def _forget_dead(self, info: RouterInfo, revision: int, at: float) -> None:
        """Remove the row of a router that has been silent for long."""
        first_seen = self._row_seen_at.setdefault((info.name, info.incarnation), at)
        silence_s = self._context.view.silence_s(info.name, at)
        if silence_s > _FORGET_ROW_S and at - first_seen > _FORGET_ROW_S:
            self._feed.remove(self._table, info.name, revision, _ignore)


def _ignore(result: bool | TableError) -> None:
    """Leave a removal that failed to the next one: rows of dead routers do no harm."""
    if isinstance(result, TableError):
        log_event(_LOGGER, "row_not_removed", reason=result)
