"""A virtual router: one process around the decision code, with its own clock.

It does what the daemon's tasks do, without sockets: messages, table and servers are the world's.
"""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import parsleyrudder as pr

from .calls import VirtualCall
from .servers import VirtualServer
from .world import World

__all__ = ["POOL", "Clock", "VirtualRouter"]

POOL = "pool"
_TICK_S = 0.1
_GOSSIP_S = 0.5
_READ_S = 1.0
_LOAD_S = 1.0
_READERS = 2


@dataclass(slots=True, frozen=True)
class Clock:
    """A monotonic clock: it starts anywhere, and may run slightly too fast or too slow."""

    offset: float
    rate: float

    def at(self, now: float) -> float:
        """Return the clock's time at a time of the world."""
        return self.offset + self.rate * now


@dataclass(slots=True)
class VirtualRouter:
    """One process of a router.

    :param servers: all servers, by id.
    """

    name: str
    incarnation: int
    clock: Clock
    world: World
    servers: dict[str, VirtualServer]
    rules: pr.PoolRules
    windows: dict[str, int]
    paused: bool = False
    ended: bool = False
    table_up: bool = True
    call_by_id: dict[str, VirtualCall] = field(default_factory=dict)
    coordinator: pr.Coordinator | None = None
    budget: pr.RetryBudget = field(default_factory=pr.RetryBudget)
    view: pr.FleetView = field(init=False)
    state: pr.ConfigState = field(init=False)
    scheduler: pr.PoolScheduler = field(init=False)
    lease: pr.CoordinatorLease = field(init=False)
    routing: pr.LoadBalancer = field(init=False)
    rng: random.Random = field(init=False)
    _inbox: list[Callable[[], None]] = field(default_factory=list)

    def __post_init__(self) -> None:
        info = pr.RouterInfo(self.name, self.incarnation, self.name, self.name, "")
        self.view = pr.FleetView(info)
        self.state = pr.ConfigState(self.name, confirmed_at=self.now())
        self.scheduler = pr.PoolScheduler(
            self.name,
            self.incarnation,
            POOL,
            pr.SchedulerRules(report_interval_s=_TICK_S),
            pr.CostEstimator(self.rules.default_cost),
        )
        self.lease = pr.CoordinatorLease(POOL, self.name, self.incarnation, started_at=self.now())
        self.routing = pr.LoadBalancer(self.name)
        infos = [pr.ServerInfo(id, POOL, id, "", window) for id, window in self.windows.items()]
        self.routing.set_servers(infos, ())
        self.rng = random.Random(f"{self.name}:{self.incarnation}")

    def start(self, names: Iterable[str]) -> None:
        """Begin to work, with the names of the fleet as seeds."""
        for name in names:
            self.view.update_router(pr.RouterInfo(name, 0, name, name, ""), 0, False, self.now())
        for interval_s, action in (
            (_TICK_S, self._tick),
            (_GOSSIP_S, self._gossip),
            (_READ_S, self._read_lists),
            (_LOAD_S, self._read_loads),
        ):
            self._every(interval_s, action)

    def now(self) -> float:
        """Return the time of this router's clock."""
        return self.clock.at(self.world.now)

    def run(self, action: Callable[[], None]) -> None:
        """See :class:`Host`."""
        if self.ended:
            return
        if self.paused:
            self._inbox.append(action)
        else:
            action()

    def resume(self) -> None:
        """Go on after a pause; what came in meanwhile is handled in any order."""
        self.paused = False
        waiting, self._inbox = self._inbox, []
        self.rng.shuffle(waiting)
        for action in waiting:
            self.run(action)

    def end(self) -> None:
        """End the process without a goodbye."""
        self.ended = True
        self.world.oracle.router_ended(self)

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
            reply = self.state.on_request(message)
            if reply is not None:
                self.world.send(self.name, message.sender, reply)
        elif isinstance(message, pr.ConfigReply) and self.state.on_reply(message, self.now()):
            self._put_in_force()

    def submit(self, call: VirtualCall) -> None:
        """Take a caller's call."""
        self.call_by_id[call.id] = call
        cut_off = self.scheduler.is_cut_off(self.now())
        refused = cut_off or self.scheduler.submit(call.waiting, self.now()) is not None
        if refused:
            call.end("not_run")
        else:
            self.dispatch()

    def dispatch(self) -> None:
        """Start the calls that have a slot."""
        now = self.now()
        for waiting in self.scheduler.dispatch(
            now, lambda call, idle: self.routing.choose(call.prompt, idle, now)
        ):
            self.routing.record_call_start(waiting.server)
            self.call_by_id[waiting.id].start(waiting.server)

    def _every(self, interval_s: float, action: Callable[[], None]) -> None:
        def fire() -> None:
            if self.ended:
                return
            if not self.paused:
                action()
            self.world.after(interval_s / self.clock.rate, fire)

        self.world.after(interval_s * self.rng.random(), fire)

    def _tick(self) -> None:
        now = self.now()
        self._lease_step(now)
        if self.coordinator is not None and self.lease.may_grant(now):
            self._deliver(self.coordinator.tick(now))
        for waiting, _ in self.scheduler.expire(now):
            self.call_by_id[waiting.id].end_waiting("queue_timeout")
        if self.scheduler.is_cut_off(now):
            for waiting in self.scheduler.waiting_calls():
                self.scheduler.cancel(waiting)
                self.call_by_id[waiting.id].end_waiting("cut_off")
        for call in list(self.call_by_id.values()):
            call.check_deadline(now)
        self.dispatch()
        if self.scheduler.report_due(now):
            self._send_report(now)

    def _lease_step(self, now: float) -> None:
        staying = self.view.active_routers(now)
        holder = self.lease.record.holder if self.lease.record else ""
        first = holder if holder in staying else pr.rendezvous(POOL, staying)[0]
        view = set(self.view.live_routers(now))
        if self.coordinator is not None:
            view |= self.coordinator.routers()
        txn = self.lease.next_txn(now, first == self.name, view)
        if txn is None:
            return
        sent = txn

        def done(result: pr.TxnResult | pr.TableError) -> None:
            self.table_up = isinstance(result, pr.TxnResult)
            if isinstance(result, pr.TxnResult):
                self.lease.on_result(sent, result, now, self.now())
                self._check_coordinator()

        self.world.txn(self, txn, done)

    def _check_coordinator(self) -> None:
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
            self.coordinator.set_servers(self.routing.windows())
            self._set_members()

    def _set_members(self) -> None:
        if self.coordinator is not None:
            config = self.state.config
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
        self.world.oracle.report_sent(self, report.seq, now)
        if self.lease.is_holder():
            self._on_report(report)
        elif self.lease.record is not None and self.lease.record.holder:
            self.world.send(self.name, self.lease.record.holder, report)

    def _on_report(self, report: pr.Report) -> None:
        now = self.now()
        self.lease.on_report(report.sender, report.epoch, report.answered_seq, report.table_up)
        self._check_coordinator()
        if self.coordinator is None or not self.lease.may_grant(now):
            return
        if self.lease.may_grant_to(report.sender):
            self._deliver(self.coordinator.on_report(report, now))

    def _deliver(self, grants: Iterable[tuple[str, pr.Grant]]) -> None:
        for receiver, grant in grants:
            self.lease.on_granted(receiver, grant.report_seq, self.now())
            self.world.oracle.grant_sent(POOL, self, grant.epoch)
            if receiver == self.name:
                self._on_grant(grant)
            else:
                self.world.send(self.name, receiver, grant)

    def _on_grant(self, grant: pr.Grant) -> None:
        if grant.incarnation == self.incarnation:
            self.world.oracle.grant_got(self, grant.report_seq, grant.lease_s)
        now = self.now()
        if self.lease.follow(grant.epoch, grant.sender, now):
            self.scheduler.on_grant(grant, now)

    def _gossip(self) -> None:
        for info in self.view.sample_peers(2, self.rng):
            self._send_gossip(info.name, True)

    def _send_gossip(self, name: str, reply: bool, full: bool = False) -> None:
        version = self.state.config.version
        gossip = self.view.make_gossip(version, self.table_up, reply, self.now(), full)
        self.world.send(self.name, name, gossip)

    def _on_gossip(self, gossip: pr.Gossip) -> None:
        now = self.now()
        self.view.on_gossip(gossip, now)
        request = self.state.on_peer_version(gossip.config_version, now)
        if request is not None:
            self.world.send(self.name, gossip.sender, request)
        if gossip.wants_reply:
            self._send_gossip(gossip.sender, False, gossip.wants_info)

    def _read_lists(self) -> None:
        now = self.now()
        readers = pr.rendezvous("list-readers", self.view.active_routers(now))[:_READERS]
        if self.name not in readers and self.state.config.version:
            return

        def on_log(result: pr.TxnResult | pr.TableError) -> None:
            if isinstance(result, pr.TableError):
                return
            config = self.state.config_after_log(pr.decode_log(result.rows[0]))
            if config is not None and self.state.activate(config, self.now()):
                self._put_in_force()

        def on_head(result: pr.TxnResult | pr.TableError) -> None:
            if isinstance(result, pr.TxnResult):
                head, _ = pr.decode_head(result.rows[0])
                if self.state.on_head(head.version, self.now()):
                    self.world.txn(self, pr.read_log_txn(self.state.config.version), on_log)

        self.world.txn(self, pr.read_head_txn(), on_head)

    def _put_in_force(self) -> None:
        config = self.state.config
        lists = (config.member_by_name, config.plan_by_name)
        self.world.oracle.in_force(self, config.version, lists)
        self.scheduler.set_config(config)
        self._set_members()

    def _read_loads(self) -> None:
        for id, server in self.servers.items():
            self.routing.on_load(id, len(server.executions))
            if self.coordinator is not None:
                self.coordinator.on_server_load(id, len(server.executions), self.now())
