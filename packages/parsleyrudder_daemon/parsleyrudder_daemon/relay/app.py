"""Application object of a relay: creates its components, starts and stops them in order."""

import logging
import os
import random
import signal
import time
from collections.abc import Callable

import zmq
from circuits.core import BaseComponent, Event, handler
from parsleyrudder import (
    ActiveTrafficConfig,
    DocumentError,
    Failure,
    FeedPage,
    FeedService,
    FleetView,
    Message,
    RouterInfo,
    SettingsError,
    TableNews,
    TrafficConfig,
    ViewRules,
    failure,
    rendezvous,
)
from parsleyrudder_adapters.http_client import HttpClient
from parsleyrudder_adapters.http_server import CallerExchange, HttpServer
from parsleyrudder_adapters.logs import log_event
from parsleyrudder_adapters.peers import PeerLink
from parsleyrudder_adapters.poller import LoopPoller
from parsleyrudder_adapters.request_reader import RequestLimits
from parsleyrudder_adapters.timers import Timers

from ..handler_errors import HandlerErrorLogger
from .api import RelayApi
from .context import RelayContext, now
from .crash_reports import CrashReports
from .dialect import Dialect, StoreDecoder
from .load_reports import LoadReports
from .origin_task import OriginTask
from .peers_task import PeersTask
from .quarantine_store import QuarantineStore
from .settings import RelaySettings
from .state_report import StateReport
from .stream_store import StreamStore
from .table_watch import TableWatch, WatchRules
from .target_entries import TargetEntries
from .version_store import VersionStore

__all__ = ["RelayApp"]

_LOGGER = logging.getLogger(__name__)
# Fractions of the promised time bounds that are used, so that the bounds also hold if the event
# loop is slow.
_KEY_AGE_FRACTION = 0.85
_DENIAL_AGE_FRACTION = 0.95
_EXPIRY_CHECK_INTERVAL_S = 0.25
_DRAIN_CHECK_INTERVAL_S = 0.05
# Callers that use an earlier list of addresses still connect for some time after SIGTERM.
_ACCEPT_AFTER_STOP_S = 2.5
_STOP_MARGIN_S = 0.5
_CONNECT_TIMEOUT_S = 0.35
_ADDRESS_REMEDY = "end the process that listens there, or change the address in the settings"
_VIEW_RULES = ViewRules(gossip_interval_s=0.5, suspect_after_s=1.0, remove_after_s=3.0)


class _StopRequested(Event):
    """Fired on SIGTERM and SIGINT."""

    name = "relay_stop_requested"


class _ReloadRequested(Event):
    """Fired on SIGHUP."""

    name = "relay_reload_requested"


class _EndpointHandler:
    """Handler of a listener that serves a single endpoint."""

    def __init__(self, respond: Callable[[CallerExchange], None]) -> None:
        self.on_request = respond


class RelayApp(BaseComponent):
    """A router that relays requests.

    :param make_feed: returns the client of the store, given the HTTP client of the event loop and
        the time after which a response of the store counts as lost.
    :param reload_settings: reads the settings again; called on SIGHUP.
    """

    channel = "app"

    def __init__(
        self,
        settings: RelaySettings,
        dialect: Dialect,
        decoder: StoreDecoder,
        make_feed: Callable[[HttpClient, float], FeedService],
        reload_settings: Callable[[], RelaySettings],
    ) -> None:
        super().__init__()
        poller = LoopPoller().register(self)
        self._settings = settings
        self._decoder = decoder
        self._reload_settings = reload_settings
        self._stop_requested_at: float | None = None
        self._rejects_requests = False
        self._was_ready = False
        # A router that restarts under the same name needs a higher incarnation than before.
        incarnation = int(time.time() * 1000)
        HandlerErrorLogger().register(self)
        timers = Timers().register(self)
        client = HttpClient(timers, _CONNECT_TIMEOUT_S).register(self)
        rng = random.Random(f"{settings.name}:{incarnation}")
        info = RouterInfo(
            settings.name,
            incarnation,
            settings.failure_domain,
            settings.peers,
            settings.callers,
        )
        bounds = settings.bounds
        self.context = RelayContext(
            settings,
            timers,
            client,
            dialect,
            FleetView(info, _VIEW_RULES, rng=rng),
            ActiveTrafficConfig(
                _KEY_AGE_FRACTION * bounds.revoke_s, _DENIAL_AGE_FRACTION * bounds.apply_s
            ),
        )
        self.context.crash_suspects.trial_rank = self._trial_rank
        poller.on_turn = self.context.load_shedder.record_turn
        self._watch_rules = WatchRules.within(min(bounds.apply_s, bounds.drain_s))
        feed = make_feed(client, self._watch_rules.response_timeout_s)
        quarantines = QuarantineStore(feed, timers, decoder.quarantine_table)
        self._crash_reports = CrashReports(self.context, quarantines)
        self.reports = LoadReports(self.context, self._crash_reports)
        self.peers = PeersTask(self.context, feed, decoder.router_table, self.reports, rng)
        try:
            self._link = PeerLink(settings.peers, None, self._on_message).register(self)
        except zmq.ZMQError as error:
            text = f"can't listen on {settings.peers}: {error}"
            raise SettingsError(text, _ADDRESS_REMEDY) from error
        self.peers.link = self._link
        self.reports.link = self._link
        self.origins = OriginTask(
            self.context,
            VersionStore(feed, timers, decoder.version_table),
            StreamStore(feed, timers, settings.name, decoder.stream_table),
        )
        self.origins.link = self._link
        self.api = RelayApi(self.context, self.origins, rng, self._request_refusal)
        entries = TargetEntries(decoder, self.context.targets, self.api.pools.refresh)
        self._watch_by_table = {
            decoder.config_table: TableWatch(
                feed,
                timers,
                self._watch_rules,
                self.peers,
                decoder.config_table,
                lambda page, after_outage: self._on_config(page),
                self._on_config,
                self.context.active_config.confirm,
            ),
            decoder.target_table: TableWatch(
                feed,
                timers,
                self._watch_rules,
                self.peers,
                decoder.target_table,
                entries.on_read,
                entries.on_changes,
                on_restored=self._on_store_restored,
            ),
        }
        self.origins.watch_targets(self._watch_by_table[decoder.target_table])
        self._http_server = self._listen(settings.callers, self.api)
        self._state_report = StateReport(self.context, self.api, self._http_server, poller)
        self._endpoint_servers = [
            self._listen(settings.ready, _EndpointHandler(self._handle_readiness)),
            self._listen(settings.addresses, _EndpointHandler(self._handle_addresses)),
            self._listen(settings.metrics, _EndpointHandler(self._handle_metrics)),
        ]

    def readiness_failure(self) -> Failure | None:
        """Return why callers should use other routers now, or None if this router is ready."""
        refusal = self._request_refusal()
        if refusal is not None:
            return refusal
        if self.context.is_stopping:
            return failure("draining", "this router is stopping", 0.1)
        if not self.context.active_config.may_use_keys(now()):
            return failure("cut_off", "the store has not answered for too long", 0.3)
        if self.context.load_shedder.is_overloaded:
            return failure("overloaded", "this router limits the requests per organisation", 1.0)
        return None

    def _request_refusal(self) -> Failure | None:
        """Return why no request is relayed now, or None.

        Less strict than :meth:`readiness_failure`, as some requests need no recent configuration.
        """
        if self._rejects_requests:
            return failure("draining", "this router is stopping", 0.1)
        if self.context.active_config.config is None:
            return failure("not_ready", "no configuration has been read yet", 0.3)
        return None

    def _trial_rank(self, id: str) -> int:
        """Return the position of this router in the order in which routers may try a suspect."""
        view = self.context.view
        routers = {view.own_info.name, *view.active_routers(now())}
        return rendezvous(id, routers).index(view.own_info.name)

    @handler("started", channel="*")
    def _on_started(self, component: object) -> None:
        signal.signal(signal.SIGTERM, lambda *args: self.fire(_StopRequested(), "app"))
        signal.signal(signal.SIGINT, lambda *args: self.fire(_StopRequested(), "app"))
        signal.signal(signal.SIGHUP, lambda *args: self.fire(_ReloadRequested(), "app"))
        log_event(
            _LOGGER,
            "relay_started",
            pid=os.getpid(),
            incarnation=self.context.view.own_info.incarnation,
            callers=self._settings.callers,
            peers=self._settings.peers,
        )
        for watch in self._watch_by_table.values():
            watch.start()
        self.peers.start()
        self.reports.start()
        self.origins.start()
        self._check_expiry()
        self._state_report.start()

    @handler("relay_reload_requested")
    def _on_reload(self) -> None:
        try:
            settings = self._reload_settings()
        except SettingsError as error:
            log_event(_LOGGER, "settings_refused", logging.ERROR, reason=error)
            return
        log_event(_LOGGER, "settings_reloaded", changed=settings != self._settings)

    @handler("relay_stop_requested")
    def _on_stop(self) -> None:
        if self._stop_requested_at is not None:
            return
        self._stop_requested_at = now()
        self.context.is_stopping = True
        log_event(_LOGGER, "relay_stopping", requests=self.api.active_calls)
        self._http_server.announce_close()
        self.peers.announce_leaving()
        self.origins.hand_over()
        self.peers.unregister()
        self.context.timers.after(_ACCEPT_AFTER_STOP_S, self._stop_accepting)

    def _stop_accepting(self) -> None:
        self._rejects_requests = True
        self._http_server.begin_stop()
        self._check_drained()

    def _check_drained(self) -> None:
        assert self._stop_requested_at is not None
        limit_s = self._settings.bounds.stop_s - _STOP_MARGIN_S
        is_late = now() >= self._stop_requested_at + limit_s
        if self._http_server.is_drained or is_late:
            log_event(_LOGGER, "relay_stopped", cut=self._http_server.open_exchanges)
            self.api.stop()
            self._link.close()
            self.stop()
        else:
            self.context.timers.after(_DRAIN_CHECK_INTERVAL_S, self._check_drained)

    def _listen(self, address: str, handler: object) -> HttpServer:
        host, _, port = address.rpartition(":")
        try:
            server = HttpServer(
                self.context.timers,
                (host, int(port)),
                RequestLimits(connections=self._settings.max_caller_connections),
                handler,  # type: ignore[arg-type]
            )
        except OSError as error:
            raise SettingsError(f"can't listen on {address}: {error}", _ADDRESS_REMEDY) from error
        server.register(self)
        return server

    def _on_message(self, message: Message) -> None:
        if not isinstance(message, TableNews):
            self.peers.on_message(message)
            self.reports.on_message(message)
            self.origins.on_message(message)
        elif message.table in self._watch_by_table:
            self._watch_by_table[message.table].on_news(message)

    def _handle_readiness(self, exchange: CallerExchange) -> None:
        if not self.context.dialect.is_readiness_request(exchange.request):
            self.context.dialect.refuse(exchange, failure("not_found", "no such question"))
            return
        refusal = self.readiness_failure()
        if refusal is None:
            exchange.respond(200, b"ready\n")
        else:
            self.context.dialect.refuse(exchange, refusal)

    def _handle_addresses(self, exchange: CallerExchange) -> None:
        if not self.context.dialect.is_address_request(exchange.request):
            self.context.dialect.refuse(exchange, failure("not_found", "no such question"))
            return
        ttl_s = self._settings.bounds.addresses_s
        self.context.dialect.send_addresses(exchange, self.peers.routers_for_callers(), ttl_s)

    def _handle_metrics(self, exchange: CallerExchange) -> None:
        text = self._state_report.metrics_text()
        exchange.respond(200, text.encode(), [("Content-Type", "text/plain")])

    def _on_store_restored(self) -> None:
        """Write again what the store may have lost, as it has come back from an older copy."""
        self.context.metrics.count("store_restored")
        self.context.targets.expect_older_entries(now())
        self.peers.on_store_restored()
        self._crash_reports.on_store_restored()
        self.origins.on_store_restored()

    def _on_config(self, page: FeedPage) -> None:
        try:
            config = self._decoder.decode_config(page.rows)
        except DocumentError as error:
            log_event(_LOGGER, "config_ignored", logging.ERROR, reason=error)
            return
        if config is not None and self.context.active_config.activate(config):
            log_event(_LOGGER, "config_in_force", version=config.version)
            self._apply_config(config)

    def _apply_config(self, config: TrafficConfig) -> None:
        limits = RequestLimits(
            header_bytes=config.limits.header_bytes,
            target_bytes=config.limits.header_bytes,
            body_bytes=config.limits.body_bytes,
            connections=self._settings.max_caller_connections,
            request_s=max(config.limits.header_timeout_s, 1.0),
            idle_s=config.limits.idle_timeout_s,
        )
        self._http_server.request_reader.set_limits(limits)
        self.api.pools.refresh()

    def _check_expiry(self) -> None:
        """Drop lapsed targets and update the readiness; both change with time alone."""
        self.context.timers.after(_EXPIRY_CHECK_INTERVAL_S, self._check_expiry)
        count_before = len(self.context.targets.by_id)
        self.context.targets.expire(now())
        if len(self.context.targets.by_id) != count_before:
            self.api.pools.refresh()
        is_ready = self.readiness_failure() is None
        self.reports.accepts_requests = is_ready
        if is_ready != self._was_ready:
            self._was_ready = is_ready
            log_event(_LOGGER, "readiness_changed", ready=is_ready)
