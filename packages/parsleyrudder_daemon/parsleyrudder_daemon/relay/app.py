"""The application object of a relay: builds its components, starts and stops them in order."""

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
    Failure,
    FeedPage,
    FeedService,
    FleetView,
    Message,
    RouterInfo,
    Row,
    SettingsError,
    TableNews,
    Target,
    TrafficConfig,
    ViewRules,
    failure,
)
from parsleyrudder_adapters.http_client import HttpClient
from parsleyrudder_adapters.http_server import CallerExchange, HttpServer
from parsleyrudder_adapters.logs import BoundedLogHandler, log_event
from parsleyrudder_adapters.peers import PeerLink
from parsleyrudder_adapters.poller import LoopPoller
from parsleyrudder_adapters.request_reader import RequestLimits
from parsleyrudder_adapters.timers import Timers

from ..handler_errors import HandlerErrorLogger
from .api import RelayApi
from .context import RelayContext, now
from .dialect import Dialect, StoreDecoder
from .peers_task import PeersTask
from .settings import RelaySettings
from .table_watch import TableWatch, WatchRules

__all__ = ["RelayApp"]

_LOGGER = logging.getLogger(__name__)
# Parts of the promised times that are used, so that a slow loop keeps them too.
_KEY_AGE_PART = 0.85
_DENIAL_AGE_PART = 0.95
_EXPIRE_S = 0.25
_STATE_S = 2.0
# Shown for an age that is not known.
_AGE_SHOWN_S = 1e6
_STOP_CHECK_S = 0.05
# Callers that hold an older address answer still connect for a while after SIGTERM.
_ACCEPT_AFTER_STOP_S = 2.5
_STOP_MARGIN_S = 0.5
_CONNECT_TIMEOUT_S = 0.35
_ADDRESS_REMEDY = "end the process that listens there, or change the address in the settings"
_VIEW_RULES = ViewRules(gossip_interval_s=0.5, suspect_after_s=1.0, remove_after_s=3.0)


class _StopRequested(Event):
    """SIGTERM has come."""

    name = "relay_stop_requested"


class _ReloadRequested(Event):
    """SIGHUP has come."""

    name = "relay_reload_requested"


class _SideHandler:
    """Handler of a listener that answers one kind of question."""

    def __init__(self, answer: Callable[[CallerExchange], None]) -> None:
        self.on_request = answer


class RelayApp(BaseComponent):
    """One relaying router.

    :param make_feed: returns the store, given the HTTP client of the loop and the time after
        which an answer is taken as lost.
    :param reload: returns the settings as they are now, for SIGHUP.
    """

    channel = "app"

    def __init__(
        self,
        settings: RelaySettings,
        dialect: Dialect,
        decoder: StoreDecoder,
        make_feed: Callable[[HttpClient, float], FeedService],
        reload: Callable[[], RelaySettings],
    ) -> None:
        super().__init__()
        LoopPoller().register(self)
        self._settings = settings
        self._decoder = decoder
        self._reload = reload
        self._stopping_at: float | None = None
        self._refusing = False
        self._was_ready = False
        # A name that starts again must have a higher incarnation than before.
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
            ActiveTrafficConfig(_KEY_AGE_PART * bounds.revoke_s, _DENIAL_AGE_PART * bounds.apply_s),
        )
        self._watch_rules = WatchRules.within(min(bounds.apply_s, bounds.drain_s))
        feed = make_feed(client, self._watch_rules.answer_s)
        self.peers = PeersTask(self.context, feed, decoder.router_table, rng)
        try:
            self._link = PeerLink(settings.peers, None, self._on_message).register(self)
        except zmq.ZMQError as error:
            text = f"can't listen on {settings.peers}: {error}"
            raise SettingsError(text, _ADDRESS_REMEDY) from error
        self.peers.link = self._link
        self._watch_by_table = {
            decoder.config_table: TableWatch(
                feed,
                timers,
                self._watch_rules,
                self.peers,
                decoder.config_table,
                lambda page, away: self._on_config(page),
                self._on_config,
                self.context.traffic.confirm,
            ),
            decoder.target_table: TableWatch(
                feed,
                timers,
                self._watch_rules,
                self.peers,
                decoder.target_table,
                self._on_targets,
                self._on_target_changes,
            ),
        }
        self.api = RelayApi(self.context, rng, self._refusal)
        self._front = self._listen(settings.callers, self.api)
        self._sides = [
            self._listen(settings.ready, _SideHandler(self._answer_ready)),
            self._listen(settings.addresses, _SideHandler(self._answer_addresses)),
            self._listen(settings.metrics, _SideHandler(self._answer_metrics)),
        ]

    def readiness(self) -> Failure | None:
        """Return why callers should use other routers now, or None."""
        refusal = self._refusal()
        if refusal is not None:
            return refusal
        if self.context.stopping:
            return failure("draining", "this router is stopping", 0.1)
        if not self.context.traffic.may_use_keys(now()):
            return failure("cut_off", "the store has not answered for too long", 0.3)
        return None

    def _refusal(self) -> Failure | None:
        """Return why no request is relayed now, or None; some need no fresh configuration."""
        if self._refusing:
            return failure("draining", "this router is stopping", 0.1)
        if self.context.traffic.config is None:
            return failure("not_ready", "no configuration has been read yet", 0.3)
        return None

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
        self._expire()
        self._log_state()

    @handler("relay_reload_requested")
    def _on_reload(self) -> None:
        try:
            settings = self._reload()
        except SettingsError as error:
            log_event(_LOGGER, "settings_refused", logging.ERROR, reason=error)
            return
        log_event(_LOGGER, "settings_reloaded", changed=settings != self._settings)

    @handler("relay_stop_requested")
    def _on_stop(self) -> None:
        if self._stopping_at is not None:
            return
        self._stopping_at = now()
        self.context.stopping = True
        log_event(_LOGGER, "relay_stopping", requests=self.api.calls)
        self.peers.say_goodbye()
        self.peers.unregister()
        self.context.timers.after(_ACCEPT_AFTER_STOP_S, self._stop_accepting)

    def _stop_accepting(self) -> None:
        self._refusing = True
        self._front.stop_listening()
        self._front.request_reader.close_idle()
        self._check_drained()

    def _check_drained(self) -> None:
        assert self._stopping_at is not None
        limit_s = self._settings.bounds.stop_s - _STOP_MARGIN_S
        is_late = now() >= self._stopping_at + limit_s
        if self._front.open_exchanges == 0 or is_late:
            log_event(_LOGGER, "relay_stopped", cut=self._front.open_exchanges)
            self._link.close()
            self.stop()
        else:
            self.context.timers.after(_STOP_CHECK_S, self._check_drained)

    def _listen(self, address: str, handler: object) -> HttpServer:
        host, _, port = address.rpartition(":")
        try:
            front = HttpServer(
                self.context.timers,
                (host, int(port)),
                RequestLimits(),
                handler,  # type: ignore[arg-type]
            )
        except OSError as error:
            raise SettingsError(f"can't listen on {address}: {error}", _ADDRESS_REMEDY) from error
        front.register(self)
        return front

    def _on_message(self, message: Message) -> None:
        if not isinstance(message, TableNews):
            self.peers.on_message(message)
        elif message.table in self._watch_by_table:
            self._watch_by_table[message.table].on_news(message)

    def _answer_ready(self, exchange: CallerExchange) -> None:
        if not self.context.dialect.is_ready_request(exchange.request):
            self.context.dialect.refuse(exchange, failure("not_found", "no such question"))
            return
        refusal = self.readiness()
        if refusal is None:
            exchange.respond(200, b"ready\n")
        else:
            self.context.dialect.refuse(exchange, refusal)

    def _answer_addresses(self, exchange: CallerExchange) -> None:
        if not self.context.dialect.is_address_request(exchange.request):
            self.context.dialect.refuse(exchange, failure("not_found", "no such question"))
            return
        ttl_s = self._settings.bounds.addresses_s
        self.context.dialect.answer_addresses(exchange, self.peers.addresses(), ttl_s)

    def _answer_metrics(self, exchange: CallerExchange) -> None:
        """Answer counters, histograms and what the router believes now."""
        context, at = self.context, now()
        metrics = context.metrics
        metrics.set_gauge("requests", self.api.calls)
        metrics.set_gauge("routers", len(context.view.live_routers(at)))
        metrics.set_gauge("targets", len(context.targets.by_id))
        metrics.set_gauge("config_age_seconds", min(context.traffic.age_s(at), _AGE_SHOWN_S))
        if context.traffic.config is not None:
            metrics.set_gauge("config_version", context.traffic.config.version)
        for log in logging.getLogger().handlers:
            if isinstance(log, BoundedLogHandler):
                metrics.set_gauge("log_lines_dropped", log.dropped)
        exchange.respond(200, metrics.text().encode(), [("Content-Type", "text/plain")])

    def _on_config(self, page: FeedPage) -> None:
        try:
            config = self._decoder.decode_config(page.rows)
        except ValueError as error:
            log_event(_LOGGER, "config_ignored", logging.ERROR, reason=error)
            return
        if config is not None and self.context.traffic.activate(config):
            log_event(_LOGGER, "config_in_force", version=config.version)
            self._apply(config)

    def _apply(self, config: TrafficConfig) -> None:
        limits = RequestLimits(
            header_bytes=config.limits.header_bytes,
            target_bytes=config.limits.header_bytes,
            body_bytes=config.limits.body_bytes,
            request_s=max(config.limits.header_timeout_s, 1.0),
            idle_s=config.limits.idle_timeout_s,
        )
        self._front.request_reader.set_limits(limits)
        self.api.pools.refresh()

    def _on_targets(self, page: FeedPage, after_outage: bool) -> None:
        targets = [target for target in map(self._decode_target, page.rows) if target is not None]
        self.context.targets.replace_all(targets, after_outage, now())
        self.api.pools.refresh()

    def _on_target_changes(self, page: FeedPage) -> None:
        for key in page.removed:
            self.context.targets.remove(key)
        for row in page.rows:
            target = self._decode_target(row)
            if target is None:
                self.context.targets.remove(row.key)
            else:
                self.context.targets.put(target)
        self.api.pools.refresh()

    def _decode_target(self, row: Row) -> Target | None:
        try:
            return self._decoder.decode_target(row)
        except ValueError as error:
            log_event(_LOGGER, "target_ignored", logging.WARNING, reason=error)
            return None

    def _log_state(self) -> None:
        """Log what this router believes, at a rate that does not depend on the load."""
        self.context.timers.after(_STATE_S, self._log_state)
        at = now()
        config = self.context.traffic.config
        loads = self.context.loads
        targets = self.context.targets.by_id.values()
        log_event(
            _LOGGER,
            "state",
            routers=len(self.context.view.live_routers(at)),
            targets=len(targets),
            version=config.version if config else None,
            config_age_s=self.context.traffic.age_s(at),
            requests=self.api.calls,
            running="/".join(str(loads.running(t.id)) for t in targets),
            unread="/".join(str(loads.pending_prefill_tokens(t.id)) for t in targets),
            tokens_per_s="/".join(str(round(loads.prefill_tokens_per_s(t.id))) for t in targets),
        )

    def _expire(self) -> None:
        """Do what time alone makes due."""
        self.context.timers.after(_EXPIRE_S, self._expire)
        known = len(self.context.targets.by_id)
        self.context.targets.expire(now())
        if len(self.context.targets.by_id) != known:
            self.api.pools.refresh()
        is_ready = self.readiness() is None
        self.peers.takes_calls = is_ready
        if is_ready != self._was_ready:
            self._was_ready = is_ready
            log_event(_LOGGER, "readiness_changed", ready=is_ready)
