"""Simulated router process: the decision code with its own clock.

It does the work of the daemon's tasks without sockets; messages, table and servers are simulated.
"""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import parsleyrudder as pr

from .calls import SimulatedCall
from .servers import SimulatedServer
from .simulation import Simulation

__all__ = ["POOL", "Clock", "SimulatedRouter"]

POOL = "pool"
_HOUSEKEEPING_INTERVAL_S = 0.1
_GOSSIP_INTERVAL_S = 0.5
_CONFIG_READ_INTERVAL_S = 1.0
_LOAD_READ_INTERVAL_S = 1.0
_CONFIG_READERS = 2


@dataclass(slots=True, frozen=True)
class Clock:
    """Monotonic clock with an arbitrary start, which may run slightly fast or slow.

    :ivar rate: seconds of this clock per second of simulated time.
    """

    offset: float
    rate: float

    def at(self, now: float) -> float:
        """Return the time of this clock at a simulated time."""
        return self.offset + self.rate * now


@dataclass(slots=True)
class SimulatedRouter:
    """One router process.

    :param servers: all servers, by id.
    :ivar table_up: whether the last transaction on the lease succeeded.
    :ivar _deferred_actions: actions that arrived while the process was paused.
    """

    name: str
    incarnation: int
    clock: Clock
    simulation: Simulation
    servers: dict[str, SimulatedServer]
    rules: pr.PoolRules
    window_by_server: dict[str, int]
    paused: bool = False
    ended: bool = False
    table_up: bool = True
    call_by_id: dict[str, SimulatedCall] = field(default_factory=dict)
    coordinator: pr.Coordinator | None = None
    budget: pr.RetryBudget = field(default_factory=pr.RetryBudget)
    fleet_view: pr.FleetView = field(init=False)
    config_state: pr.ConfigState = field(init=False)
    scheduler: pr.PoolScheduler = field(init=False)
    lease: pr.CoordinatorLease = field(init=False)
    load_balancer: pr.LoadBalancer = field(init=False)
    rng: random.Random = field(init=False)
    _deferred_actions: list[Callable[[], None]] = field(default_factory=list)

    def __post_init__(self) -> None:
        info = pr.RouterInfo(self.name, self.incarnation, self.name, self.name, "")
        self.fleet_view = pr.FleetView(info)
        self.config_state = pr.ConfigState(self.name, confirmed_at=self.now())
        self.scheduler = pr.PoolScheduler(
            self.name,
            self.incarnation,
            POOL,
            pr.SchedulerRules(report_interval_s=_HOUSEKEEPING_INTERVAL_S),
            pr.CostEstimator(self.rules.default_cost),
        )
        self.lease = pr.CoordinatorLease(POOL, self.name, self.incarnation, started_at=self.now())
        self.load_balancer = pr.LoadBalancer(self.name)
        infos = [
            pr.ServerInfo(id, POOL, id, "", window) for id, window in self.window_by_server.items()
        ]
        self.load_balancer.set_servers(infos, ())
        self.rng = random.Random(f"{self.name}:{self.incarnation}")

    def start(self, names: Iterable[str]) -> None:
        """Start the periodic tasks, with the names of all routers as seeds of the membership."""
        for name in names:
            self.fleet_view.update_router(
                pr.RouterInfo(name, 0, name, name, ""), 0, False, self.now()
            )
        for interval_s, action in (
            (_HOUSEKEEPING_INTERVAL_S, self._run_housekeeping),
            (_GOSSIP_INTERVAL_S, self._gossip),
            (_CONFIG_READ_INTERVAL_S, self._read_config),
            (_LOAD_READ_INTERVAL_S, self._read_loads),
        ):
            self._run_every(interval_s, action)

    def now(self) -> float:
        """Return the time of this router's clock."""
        return self.clock.at(self.simulation.now)

    def run(self, action: Callable[[], None]) -> None:
        """See :class:`Host`."""
        if self.ended:
            return
        if self.paused:
            self._deferred_actions.append(action)
        else:
            action()

    def resume(self) -> None:
        """Resume after a pause; actions that arrived meanwhile run in random order."""
        self.paused = False
        actions, self._deferred_actions = self._deferred_actions, []
        self.rng.shuffle(actions)
        for action in actions:
            self.run(action)

    def end(self) -> None:
        """End the process without notifying other routers."""
        self.ended = True
        self.simulation.oracle.router_ended(self)

    def __hash__(self) -> int:
        return hash((self.name, self.incarnation))

    def __eq__(self, other: object) -> bool:
        return self is other

    def __repr__(self) -> str:
        return f"{self.name}:{self.incarnation}"

    def receive(self, message: pr.Message) -> None:
        """See :class:`Host`."""
        if isinstance(message, pr.Report):
            self._on_report(message)
        elif isinstance(message, pr.Grant):
            self._on_grant(message)
        elif isinstance(message, pr.Gossip):
            self._on_gossip(message)
        elif isinstance(message, pr.ConfigRequest):
            reply = self.config_state.on_request(message)
            if reply is not None:
                self.simulation.send(self.name, message.sender, reply)
        elif isinstance(message, pr.ConfigReply) and self.config_state.on_reply(
            message, self.now()
        ):
            self._publish_config()

    def submit(self, call: SimulatedCall) -> None:
        """Queue a call, or refuse it."""
        self.call_by_id[call.id] = call
        cut_off = self.scheduler.is_cut_off(self.now())
        refused = cut_off or self.scheduler.submit(call.waiting, self.now()) is not None
        if refused:
            call.end("not_run")
        else:
            self.dispatch()

    def dispatch(self) -> None:
        """Start the waiting calls that get a slot."""
        now = self.now()
        for waiting in self.scheduler.dispatch(
            now, lambda call, idle: self.load_balancer.choose(call.prompt, idle, now)
        ):
            self.load_balancer.record_call_start(waiting.server)
            self.call_by_id[waiting.id].start(waiting.server)

    def _run_every(self, interval_s: float, action: Callable[[], None]) -> None:
        def run_and_reschedule() -> None:
            if self.ended:
                return
            if not self.paused:
                action()
            self.simulation.schedule(interval_s / self.clock.rate, run_and_reschedule)

        self.simulation.schedule(interval_s * self.rng.random(), run_and_reschedule)

    def _run_housekeeping(self) -> None:
        now = self.now()
        self._update_lease(now)
        if self.coordinator is not None and self.lease.may_grant(now):
            self._send_grants(self.coordinator.tick(now))
        for waiting, _ in self.scheduler.expire(now):
            self.call_by_id[waiting.id].refuse("queue_timeout")
        if self.scheduler.is_cut_off(now):
            for waiting in self.scheduler.waiting_calls():
                self.scheduler.cancel(waiting)
                self.call_by_id[waiting.id].refuse("cut_off")
        for call in list(self.call_by_id.values()):
            call.check_deadline(now)
        self.dispatch()
        if self.scheduler.report_due(now):
            self._send_report(now)

    def _update_lease(self, now: float) -> None:
        active_routers = self.fleet_view.active_routers(now)
        holder = self.lease.record.holder if self.lease.record else ""
        candidate = holder if holder in active_routers else pr.rendezvous(POOL, active_routers)[0]
        view = set(self.fleet_view.live_routers(now))
        if self.coordinator is not None:
            view |= self.coordinator.routers()
        txn = self.lease.next_txn(now, candidate == self.name, view)
        if txn is None:
            return
        sent = txn

        def done(result: pr.TxnResult | pr.TableError) -> None:
            self.table_up = isinstance(result, pr.TxnResult)
            if isinstance(result, pr.TxnResult):
                self.lease.on_result(sent, result, now, self.now())
                self._update_coordinator()

        self.simulation.txn(self, txn, done)

    def _update_coordinator(self) -> None:
        if not self.lease.is_acting():
            self.coordinator = None
            return
        if self.coordinator is None or self.coordinator.epoch != self.lease.epoch:
            expected = set(self.lease.previous_view)
            self.coordinator = pr.Coordinator(
                self.name,
                POOL,
                self.lease.epoch,
                self.rules,
                self.now(),
                expected,
                self.lease.previous_clean,
            )
            self.coordinator.set_servers(self.load_balancer.windows())
            self._update_coordinator_members()

    def _update_coordinator_members(self) -> None:
        if self.coordinator is not None:
            config = self.config_state.config
            limits = {
                member.name: config.plan_by_name[member.plan].concurrency
                for member in config.member_by_name.values()
            }
            self.coordinator.set_members(pr.normalised_shares(config), limits)

    def _send_report(self, now: float) -> None:
        for call in self.call_by_id.values():
            call.accrue(now)
        if self.lease.may_follow(now):
            self.scheduler.follow(self.lease.epoch)
        if not self.lease.may_report(self.scheduler.epoch, now):
            return
        if not self.table_up:
            self.lease.promise()
        report = self.scheduler.report(now, self.table_up)
        self.simulation.oracle.report_sent(self, report.seq, now)
        if self.lease.is_holder():
            self._on_report(report)
        elif self.lease.record is not None and self.lease.record.holder:
            self.simulation.send(self.name, self.lease.record.holder, report)

    def _on_report(self, report: pr.Report) -> None:
        now = self.now()
        self.lease.on_report(report.sender, report.epoch, report.answered_seq, report.table_up)
        self._update_coordinator()
        if self.coordinator is None or not self.lease.may_grant(now):
            return
        if self.lease.may_grant_to(report.sender):
            self._send_grants(self.coordinator.on_report(report, now))

    def _send_grants(self, grants: Iterable[tuple[str, pr.Grant]]) -> None:
        for receiver, grant in grants:
            self.lease.on_granted(receiver, grant.report_seq, self.now())
            self.simulation.oracle.grant_sent(POOL, self, grant.epoch)
            if receiver == self.name:
                self._on_grant(grant)
            else:
                self.simulation.send(self.name, receiver, grant)

    def _on_grant(self, grant: pr.Grant) -> None:
        if grant.incarnation == self.incarnation:
            self.simulation.oracle.grant_received(self, grant.report_seq, grant.lease_s)
        now = self.now()
        if self.lease.follow(grant.epoch, grant.sender, now):
            self.scheduler.on_grant(grant, now)

    def _gossip(self) -> None:
        for info in self.fleet_view.sample_peers(2, self.rng):
            self._send_gossip(info.name, True)

    def _send_gossip(self, name: str, reply: bool, full: bool = False) -> None:
        version = self.config_state.config.version
        gossip = self.fleet_view.make_gossip(version, self.table_up, reply, self.now(), full)
        self.simulation.send(self.name, name, gossip)

    def _on_gossip(self, gossip: pr.Gossip) -> None:
        now = self.now()
        self.fleet_view.on_gossip(gossip, now)
        request = self.config_state.on_peer_version(gossip.config_version, now)
        if request is not None:
            self.simulation.send(self.name, gossip.sender, request)
        if gossip.wants_reply:
            self._send_gossip(gossip.sender, False, gossip.wants_info)

    def _read_config(self) -> None:
        now = self.now()
        readers = pr.rendezvous("list-readers", self.fleet_view.active_routers(now))[
            :_CONFIG_READERS
        ]
        if self.name not in readers and self.config_state.config.version:
            return

        def on_log(result: pr.TxnResult | pr.TableError) -> None:
            if isinstance(result, pr.TableError):
                return
            config = self.config_state.config_after_log(pr.decode_log(result.rows[0]))
            if config is not None and self.config_state.activate(config, self.now()):
                self._publish_config()

        def on_head(result: pr.TxnResult | pr.TableError) -> None:
            if isinstance(result, pr.TxnResult):
                head, _ = pr.decode_head(result.rows[0])
                if self.config_state.on_head(head.version, self.now()):
                    self.simulation.txn(
                        self, pr.read_log_txn(self.config_state.config.version), on_log
                    )

        self.simulation.txn(self, pr.read_head_txn(), on_head)

    def _publish_config(self) -> None:
        config = self.config_state.config
        content = (config.member_by_name, config.plan_by_name)
        self.simulation.oracle.config_activated(self, config.version, content)
        self.scheduler.set_config(config)
        self._update_coordinator_members()

    def _read_loads(self) -> None:
        for id, server in self.servers.items():
            self.load_balancer.on_load(id, len(server.executions))
            if self.coordinator is not None:
                self.coordinator.on_server_load(id, len(server.executions), self.now())
