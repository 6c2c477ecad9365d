"""Membership of the fleet: gossip between the routers, and their rows in the store."""

import logging
import random

import msgspec
from parsleyrudder import (
    DocumentError,
    FeedPage,
    FeedService,
    Gossip,
    Message,
    RouterInfo,
    TableError,
    TableNews,
)
from parsleyrudder_adapters.logs import log_event
from parsleyrudder_adapters.peers import PeerLink
from parsleyrudder_adapters.timers import Timer

from .context import RelayContext, now
from .ignored_rows import IgnoredRows
from .load_reports import LoadReports
from .router_rows import decode_router
from .row_removal import log_failed_removal, remove_row

__all__ = ["PeersTask"]

_LOGGER = logging.getLogger(__name__)
_GOSSIP_INTERVAL_S = 0.5
_MIN_READ_INTERVAL_S = 20.0
# Above this number of routers the read interval grows in proportion, so that the number of calls
# of the fleet to the store stays bounded.
_ROUTERS_PER_READ_INTERVAL = 7
# Delay of the read after a registration or after a failed read.
_SHORT_READ_DELAY_S = 1.0
_GOSSIP_FAN_OUT = 2
# Two readers, so that the failure of one does not have to be detected at once.
_READER_COUNT = 2
_DEAD_ROW_EXPIRY_S = 60.0


class PeersTask:
    """Task for gossip and the registration of this router.

    :param router_table: table of the store in which the routers register to find each other.
    """

    def __init__(
        self,
        context: RelayContext,
        feed: FeedService,
        router_table: str,
        reports: LoadReports,
        rng: random.Random,
    ) -> None:
        self._context = context
        self._feed = feed
        self._router_table = router_table
        self._rng = rng
        self._is_registered = False
        self._row_first_seen_at: dict[tuple[str, int], float] = {}
        self._read_timer: Timer | None = None
        self._ignored_rows = IgnoredRows("router_row_ignored")
        self._reports = reports
        self.link: PeerLink | None = None

    def start(self) -> None:
        """Start gossip and registration."""
        self._gossip()
        self._register()

    def announce_leaving(self) -> None:
        """Tell all peers that this router is leaving, so that callers are referred to others."""
        self._reports.accepts_requests = False
        self._context.view.leaving = True
        self._reports.send()
        for info in self._context.view.peers(now()):
            self._send_gossip(info.peer_address, reply=False)

    def on_store_restored(self) -> None:
        """Register again, as the store has come back from an older copy."""
        self._is_registered = False
        self._schedule_read(_SHORT_READ_DELAY_S)

    def unregister(self) -> None:
        """Remove this router's row."""
        remove_row(self._feed, self._router_table, self._context.settings.name)

    def routers_for_callers(self) -> list[RouterInfo]:
        """Return the routers that callers should use; at least one."""
        view, at = self._context.view, now()
        limit_s = self._reports.silence_limit_s()
        live = [name for name in view.active_routers(at) if view.silence_s(name, at) < limit_s]
        unready = set(self._reports.unready_routers)
        if not self._reports.accepts_requests:
            unready.add(view.own_info.name)
        # If no router is ready, all live ones are returned, as none is better than another.
        names = [name for name in live if name not in unready] or live or [view.own_info.name]
        return [info for info in map(view.info, names) if info is not None]

    def is_reader(self) -> bool:
        """See :class:`WatchPeers`."""
        return self._context.view.has_role("table readers", _READER_COUNT, now())

    def publish(self, news: TableNews) -> None:
        """See :class:`WatchPeers`."""
        self._send_to_all(news)

    def on_message(self, message: Message) -> None:
        """Handle a message from another router."""
        if isinstance(message, Gossip):
            self._on_gossip(message)

    def _on_gossip(self, gossip: Gossip) -> None:
        self._raise_incarnation(gossip)
        has_started = self._has_started(gossip)
        self._context.view.on_gossip(gossip, now())
        if gossip.wants_reply or gossip.wants_info:
            info = self._context.view.info(gossip.sender)
            if info is not None:
                # Who has just started knows no other router yet.
                full = gossip.wants_info or has_started
                self._send_gossip(info.peer_address, reply=False, full=full)

    def _has_started(self, gossip: Gossip) -> bool:
        """Whether the sender has started since its last message.

        The socket to it is closed then, so that the reply connects anew.
        """
        known = self._context.view.info(gossip.sender)
        if known is None:
            return True
        incarnations = [s.incarnation for s in gossip.states if s.name == gossip.sender]
        has_started = any(incarnation > known.incarnation for incarnation in incarnations)
        if has_started and self.link is not None:
            self.link.disconnect(known.peer_address)
        return has_started

    def _raise_incarnation(self, gossip: Gossip) -> None:
        """Raise this router's incarnation if peers know a later one.

        Incarnations are start times, so this happens if the clock was set back before a restart.
        """
        own_name = self._context.view.own_info.name
        newest = max((s.incarnation for s in gossip.states if s.name == own_name), default=0)
        self._raise_incarnation_above(newest)

    def _raise_incarnation_above(self, newest: int) -> None:
        view = self._context.view
        if newest > view.own_info.incarnation:
            view.own_info = msgspec.structs.replace(view.own_info, incarnation=newest + 1)
            log_event(_LOGGER, "incarnation_raised", incarnation=view.own_info.incarnation)
            self._register()

    def _gossip(self) -> None:
        self._context.timers.after(_GOSSIP_INTERVAL_S, self._gossip)
        peers = self._context.view.sample_peers(_GOSSIP_FAN_OUT, self._rng)
        addresses = {info.peer_address for info in peers}
        if not peers:
            addresses = set(self._context.settings.seeds)
        addresses.discard(self._context.settings.peers)
        for address in sorted(addresses):
            self._send_gossip(address, reply=True)
        if self.link is not None:
            known = {info.peer_address for info in self._context.view.peers(now())}
            self.link.disconnect_all_except(known | addresses)

    def _send_gossip(self, address: str, reply: bool, full: bool = False) -> None:
        """Send a part of the view to another router.

        :param full: whether to include the addresses of the routers, which most peers know.
        """
        config = self._context.active_config.config
        version = config.version if config else 0
        message = self._context.view.make_gossip(version, True, reply, now(), full)
        if self.link is not None:
            self.link.send(address, message)

    def _send_to_all(self, message: Message) -> None:
        """Send a message to all other live routers."""
        if self.link is None:
            return
        view = self._context.view
        infos = [view.info(name) for name in view.live_routers(now()) if name != view.own_info.name]
        self.link.send_all([info.peer_address for info in infos if info is not None], message)

    def _register(self) -> None:
        """Write this router's row; a failed write is repeated later."""
        row = msgspec.msgpack.encode(self._context.view.own_info)

        def done(result: bool | TableError) -> None:
            self._is_registered = result is True
            if not self._is_registered:
                log_event(_LOGGER, "registration_failed", logging.WARNING, reason=result)
            self._schedule_read(_SHORT_READ_DELAY_S)

        if self._context.is_stopping:
            return
        self._feed.put(self._router_table, self._context.settings.name, row, done)

    def _schedule_read(self, delay_s: float) -> None:
        if self._read_timer is not None:
            self._read_timer.cancel()
        jitter = self._rng.uniform(0.8, 1.2)
        self._read_timer = self._context.timers.after(delay_s * jitter, self._read_rows)

    def _read_rows(self) -> None:
        if not self._is_registered:
            self._register()
            return
        self._feed.read(self._router_table, self._on_rows)

    def _on_rows(self, page: FeedPage | TableError) -> None:
        if isinstance(page, TableError):
            self._schedule_read(_SHORT_READ_DELAY_S)
            return
        routers = len(self._context.view.live_routers(now()))
        self._schedule_read(_MIN_READ_INTERVAL_S * max(1.0, routers / _ROUTERS_PER_READ_INTERVAL))
        at = now()
        own_incarnation = -1
        for row in page.rows:
            try:
                info = decode_router(row)
            except DocumentError as error:
                self._ignored_rows.record(row.key, error)
                continue
            if info.name == self._context.view.own_info.name:
                own_incarnation = info.incarnation
            self._context.view.add_unconfirmed(info, False, at)
            self._remove_row_if_dead(info, row.revision, at)
        self._check_registration(own_incarnation)

    def _check_registration(self, incarnation: int) -> None:
        """Register again if this router's row is missing, or names another incarnation.

        :param incarnation: incarnation in the row; -1 if there is no valid one.
        """
        if incarnation < self._context.view.own_info.incarnation:
            # Others remove the row of a router that is silent for long.
            log_event(_LOGGER, "registration_lost")
            self._register()
        else:
            self._raise_incarnation_above(incarnation)

    def _remove_row_if_dead(self, info: RouterInfo, revision: int, at: float) -> None:
        """Remove the row of a router that is presumed dead after a long silence."""
        first_seen = self._row_first_seen_at.setdefault((info.name, info.incarnation), at)
        silence_s = self._context.view.silence_s(info.name, at)
        if silence_s > _DEAD_ROW_EXPIRY_S and at - first_seen > _DEAD_ROW_EXPIRY_S:
            self._feed.remove(self._router_table, info.name, revision, log_failed_removal)
