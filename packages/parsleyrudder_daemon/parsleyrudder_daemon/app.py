"""The application object: creates the components of the daemon, starts and stops them in order."""

import logging
import os
import random
import signal

from circuits.core import BaseComponent, Event, handler
from parsleyrudder import (
    ConfigReply,
    ConfigRequest,
    Failure,
    FleetView,
    Gossip,
    Grant,
    Message,
    Report,
    RouterInfo,
    ViewRules,
    failure,
)
from parsleyrudder_adapters.engines import HttpEngines
from parsleyrudder_adapters.etcd import EtcdTable
from parsleyrudder_adapters.http_client import HttpClient
from parsleyrudder_adapters.http_server import HttpServer
from parsleyrudder_adapters.instances import HttpInstanceList
from parsleyrudder_adapters.logs import log_event
from parsleyrudder_adapters.peers import PeerKeys, PeerLink
from parsleyrudder_adapters.poller import LoopPoller
from parsleyrudder_adapters.services import HttpServices
from parsleyrudder_adapters.settings import Settings
from parsleyrudder_adapters.timers import Timers

from .cache_task import CacheTask
from .caller_api import CallerApi
from .config_task import ConfigTask
from .context import Context
from .fleet_task import FleetTask, choose_incarnation
from .handler_errors import HandlerErrorLogger
from .key_task import KeyTask
from .load_task import LoadTask
from .orders_task import OrdersTask
from .pool_task import PoolTask
from .spares_task import SparesTask
from .status import status_document

__all__ = ["RouterApp"]

_LOGGER = logging.getLogger(__name__)
_LINK_CLEANUP_INTERVAL_S = 10.0
_DRAIN_CHECK_INTERVAL_S = 0.05
_EXIT_DELAY_S = 0.3


class _StopRequested(Event):
    """Requests a graceful stop, after a signal or when this router is listed as leaving."""

    name = "stop_requested"


class RouterApp(BaseComponent):
    """One router daemon.

    Components are created in the order timers, client, peer link, table, pools, configuration,
    membership and caller API. To stop, the router announces that it is leaving, accepts calls until
    callers have refreshed their address lists, waits for running calls to end, and releases its
    portions and leases.
    """

    channel = "app"

    def __init__(self, settings: Settings) -> None:
        super().__init__()
        LoopPoller().register(self)
        self.settings = settings
        self._incarnation = choose_incarnation(settings)
        self._stopping_at: float | None = None
        self._refuses_calls = False
        HandlerErrorLogger().register(self)
        timers = Timers().register(self)
        client = HttpClient(timers).register(self)
        keys = PeerKeys(settings.peers.public_key, settings.peers.secret_key)
        self._link = PeerLink(settings.router.peer_bind, keys, self._on_message).register(self)
        self.context = Context(
            settings,
            timers,
            HttpEngines(client),
            HttpServices(client),
            HttpInstanceList(client, settings.instances.address),
            EtcdTable(client, settings.table.address, settings.table.timeout_s),
            FleetView(self._router_info(), ViewRules(settings.peers.gossip_interval_s)),
            self._send,
        )
        self.context.keys = KeyTask(self.context)
        self.pool_by_name = {pool.name: PoolTask(self.context, pool) for pool in settings.pools}
        self.orders_task = OrdersTask(self.context, self.pool_by_name.values())
        self.spares_task = SparesTask(self.context, self.pool_by_name.values())
        self.load_task = LoadTask(self.context, self.pool_by_name.values())
        self.config_task = ConfigTask(self.context, self._on_config)
        rng = random.Random(f"{settings.router.name}:{self._incarnation}")
        self.fleet_task = FleetTask(
            self.context, rng, self.config_task.on_peer_version, self._on_leaving
        )
        self._api = CallerApi(
            self.context, self.pool_by_name, self.unready_reason, self._make_status
        )
        host, _, port = settings.router.caller_bind.rpartition(":")
        self._http_server = HttpServer(timers, (host, int(port)), settings.limits, self._api)
        self._http_server.register(self)

    def unready_reason(self) -> Failure | None:
        """Return the reason why this router accepts no calls now, or None if it accepts them."""
        if self._refuses_calls:
            return failure("draining", "this router is stopping", 1.0)
        if not self.context.config.version:
            return failure("not_ready", "no configuration has been received yet", 1.0)
        if self.config_task.age_s >= self.settings.router.config_max_age_s:
            return failure("cut_off", "the configuration has not been confirmed for too long", 5.0)
        return None

    @handler("started", channel="*")
    def _on_started(self, component: object) -> None:
        signal.signal(signal.SIGTERM, self._on_signal)
        signal.signal(signal.SIGINT, self._on_signal)
        log_event(
            _LOGGER,
            "router_started",
            pid=os.getpid(),
            incarnation=self._incarnation,
            callers=self.settings.router.caller_bind,
        )
        self.config_task.start()
        self.fleet_task.start()
        self.context.timers.every(_LINK_CLEANUP_INTERVAL_S, self._close_unused_links)
        self.context.keys.start()
        for pool in self.pool_by_name.values():
            pool.start()
            CacheTask(self.context, pool).start()
        self.orders_task.start()
        self.spares_task.start()
        self.load_task.start()

    @handler("stop_requested")
    def _on_stop_requested(self) -> None:
        if self._stopping_at is not None:
            self._shut_down("second signal")
            return
        self._stopping_at = self.context.now()
        log_event(_LOGGER, "router_stopping", calls=self._http_server.open_exchanges)
        self._http_server.announce_close()
        self.fleet_task.announce_shutdown()
        self.context.timers.after(self.settings.router.address_ttl_s, self._refuse_new_calls)

    def _on_signal(self, number: int, frame: object) -> None:
        self.fire(_StopRequested(), "app")

    def _refuse_new_calls(self) -> None:
        self._refuses_calls = True
        self._check_drained()

    def _check_drained(self) -> None:
        assert self._stopping_at is not None
        remaining = sum(pool.scheduler.running_total() for pool in self.pool_by_name.values())
        remaining += sum(len(pool.scheduler.waiting_calls()) for pool in self.pool_by_name.values())
        remaining += self.context.keys.pending()
        if remaining == 0:
            self._shut_down("drained")
        elif self.context.now() >= self._stopping_at + self.settings.router.stop_timeout_s:
            self._shut_down("stop timeout")
        else:
            self.context.timers.after(_DRAIN_CHECK_INTERVAL_S, self._check_drained)

    def _shut_down(self, reason: str) -> None:
        for pool in self.pool_by_name.values():
            for call in pool.scheduler.running_calls():
                log_event(_LOGGER, "call_cut", logging.WARNING, call=call.id, member=call.member)
            pool.stop()
        self.spares_task.stop()
        self.fleet_task.unregister()
        # Connections accepted from here on would be closed without a response.
        self._http_server.begin_stop()
        log_event(_LOGGER, "router_stopped", reason=reason)
        self.context.timers.after(_EXIT_DELAY_S, self._exit)

    def _exit(self) -> None:
        """Exit once the responses are sent, or at the stop deadline."""
        assert self._stopping_at is not None
        deadline = self._stopping_at + self.settings.router.stop_timeout_s
        if not self._http_server.is_drained and self.context.now() < deadline:
            self.context.timers.after(_DRAIN_CHECK_INTERVAL_S, self._exit)
            return
        self._link.close()
        self.stop()

    def _on_message(self, message: Message) -> None:
        if isinstance(message, Gossip):
            self.fleet_task.on_gossip(message)
        elif isinstance(message, Report):
            self.context.view.record_alive(message.sender, message.incarnation, self.context.now())
            self._call_with_pool(message.pool, lambda pool: pool.on_report(message))
        elif isinstance(message, Grant):
            self._call_with_pool(message.pool, lambda pool: pool.on_grant(message))
        elif isinstance(message, ConfigRequest):
            self.config_task.on_request(message)
        elif isinstance(message, ConfigReply):
            self.config_task.on_reply(message)

    def _call_with_pool(self, name: str, action: object) -> None:
        pool = self.pool_by_name.get(name)
        if pool is not None:
            action(pool)  # type: ignore[operator]

    def _send(self, name: str, message: Message) -> None:
        info = self.context.view.info(name)
        if info is not None and name != self.context.name:
            self._link.send(info.peer_address, message)

    def _close_unused_links(self) -> None:
        """Close the links to routers that are no longer in the view."""
        peers = self.context.view.peers(self.context.now())
        self._link.disconnect_all_except({info.peer_address for info in peers})

    def _on_config(self) -> None:
        for pool in self.pool_by_name.values():
            pool.config_changed()
        self._api.config_changed()
        self.fleet_task.gossip_now()

    def _on_leaving(self, servers: frozenset[str]) -> None:
        if self.context.name in servers and self._stopping_at is None:
            log_event(_LOGGER, "router_drained")
            self.fire(_StopRequested(), "app")
        for pool in self.pool_by_name.values():
            pool.set_leaving_servers(servers)

    def _router_info(self) -> RouterInfo:
        router = self.settings.router
        return RouterInfo(
            router.name,
            self._incarnation,
            router.failure_domain,
            router.peer_bind,
            router.caller_url,
        )

    def _make_status(self) -> object:
        return status_document(
            self.context,
            self.pool_by_name,
            self.config_task.age_s,
            self._link,
            self.unready_reason(),
        )
