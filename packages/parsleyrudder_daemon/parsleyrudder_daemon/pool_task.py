"""One pool at one router: dispatch of waiting calls, reports, and coordination when it is its turn.

It owns the scheduler, the server table, the coordinator's lease and, while this router holds that
lease, the coordinator.
"""

import logging
from collections.abc import Iterable
from typing import Protocol

from parsleyrudder import (
    Coordinator,
    CoordinatorLease,
    CostEstimator,
    CostModel,
    Failure,
    Grant,
    LearnedWindows,
    PoolRules,
    PoolScheduler,
    Report,
    RetryBudget,
    SchedulerRules,
    ServerInfo,
    ServerTable,
    TableError,
    Txn,
    TxnResult,
    WaitingCall,
    WindowRules,
    failure,
    normalised_shares,
    rendezvous,
)
from parsleyrudder_adapters.logs import log_event
from parsleyrudder_adapters.settings import PoolSettings
from parsleyrudder_adapters.timers import Timer

from .context import Context

__all__ = ["PoolTask", "PoolUser"]

_LOGGER = logging.getLogger(__name__)
_HOUSEKEEPING_S = 0.25


class PoolUser(Protocol):
    """A call that waits in a pool."""

    def start(self, server: ServerInfo) -> None:
        """Begin an attempt at a server, whose slot the call now uses."""
        ...

    def refuse(self, reason: Failure) -> None:
        """End as not run."""
        ...

    def accrue(self, now: float) -> None:
        """Charge the cost accrued so far, where it accrues with time."""
        ...


class PoolTask:
    """Owner of one pool at this router."""

    def __init__(self, context: Context, settings: PoolSettings) -> None:
        self.settings = settings
        self.name = settings.name
        self.costs = CostModel(settings.prompt_weight, settings.token_weight)
        self.budget = RetryBudget()
        self._context = context
        self.servers = ServerTable(context.settings.router.failure_domain)
        self._all_servers = [
            ServerInfo(s.id, settings.name, s.address, s.failure_domain, s.window)
            for s in settings.servers
        ]
        self.scheduler = PoolScheduler(
            context.name,
            context.incarnation,
            settings.name,
            SchedulerRules(
                report_interval_s=settings.report_interval_s,
                interactive_reserve=settings.interactive_reserve,
            ),
            CostEstimator(settings.default_cost),
        )
        self.lease = CoordinatorLease(settings.name, context.name, context.incarnation)
        self.coordinator: Coordinator | None = None
        self._windows = LearnedWindows(WindowRules(settings.window_min))
        self._user_by_call: dict[str, PoolUser] = {}
        self._timer: Timer | None = None
        self._timer_at = 0.0
        self._pumping = False
        self._stopping = False
        self.set_leaving(())

    def start(self) -> None:
        """Begin to report and to take part in coordination."""
        self._context.timers.every(_HOUSEKEEPING_S, self._housekeeping)
        self._housekeeping()

    def config_changed(self) -> None:
        """Enforce the context's configuration."""
        self.scheduler.set_config(self._context.config)
        self._set_members()
        self._pump()

    def set_leaving(self, leaving: Iterable[str]) -> None:
        """Stop sending new work to the servers that are leaving."""
        self.servers.set_servers(self._all_servers, leaving)
        self._windows.set_servers(self.servers.windows())
        if self.coordinator is not None:
            self.coordinator.set_servers(self._windows.windows())

    def submit(self, call: WaitingCall, user: PoolUser) -> Failure | None:
        """Let a call wait for a server; return why it is refused, or None."""
        if self.is_cut_off():
            return failure("cut_off", "this router has lost contact with the fleet", 1.0)
        refused = self.scheduler.submit(call, self._context.now())
        if refused is None:
            self._user_by_call[call.id] = user
            self._pump()
        return refused

    def retry(self, call: WaitingCall, failed_server: str) -> None:
        """Let a call wait for another server after a failed attempt."""
        self._attempt_ended(failed_server, failed=True)
        self.scheduler.requeue(call, failed_server, self._context.now())
        self._pump()

    def finish(self, call: WaitingCall, failed: bool, learn: bool) -> None:
        """End a running call.

        :param failed: whether its server is to blame.
        :param learn: whether its cost is that of a whole call.
        """
        self._attempt_ended(call.server, failed)
        self._user_by_call.pop(call.id, None)
        self.scheduler.finish(call, self._context.now(), learn)
        self._pump()

    def cancel(self, call: WaitingCall) -> None:
        """Remove a call that still waits."""
        self._user_by_call.pop(call.id, None)
        self.scheduler.cancel(call)

    def refuse_waiting(self, reason: Failure) -> None:
        """End all waiting calls as not run."""
        for call in self.scheduler.waiting_calls():
            self._refuse(call, reason)

    def on_report(self, report: Report) -> None:
        """Take a router's report, if this router coordinates the pool."""
        now = self._context.now()
        self.lease.on_follower(report.sender, report.epoch)
        if not report.table_up:
            self.lease.on_promise(report.sender, now)
        if self.coordinator is None or not self.lease.may_grant(now):
            return
        self._deliver(self.coordinator.on_report(report, now))

    def on_grant(self, grant: Grant) -> None:
        """Take the coordinator's answer."""
        now = self._context.now()
        if not self.lease.follow(grant.epoch, grant.sender, now):
            return
        if self.scheduler.on_grant(grant, now):
            self._pump()

    def on_load(self, server: str, running: int, waiting: int) -> None:
        """Take a server's load report."""
        now = self._context.now()
        self.servers.on_load(server, running + waiting)
        if self.coordinator is None:
            return
        self.coordinator.server_load(server, running + waiting, now)
        if self._windows.on_load(server, running, waiting, now):
            windows = self._windows.windows()
            self.coordinator.set_servers(windows)
            log_event(
                _LOGGER, "window_changed", pool=self.name, server=server, window=windows[server]
            )

    def is_cut_off(self) -> bool:
        """Whether portions were held and their lease has ended."""
        return self.scheduler.is_cut_off(self._context.now())

    def stop(self) -> None:
        """Give up portions and the lease; no call is left."""
        self._stopping = True
        self.scheduler.slots.clear()
        self.scheduler.concurrency.clear()
        self._send_report()
        txn = self.lease.resign()
        if txn is not None:
            self._context.table.txn(txn, lambda result: None)

    def _housekeeping(self) -> None:
        now = self._context.now()
        self._lease_step(now)
        if self.coordinator is not None and self.lease.may_grant(now):
            self._deliver(self.coordinator.tick(now))
        for call, reason in self.scheduler.expire(now):
            self._refuse(call, reason, waiting=False)
        if self.is_cut_off():
            reason = failure("cut_off", "this router has lost contact with the fleet", 1.0)
            self.refuse_waiting(reason)
        self._pump()

    def _lease_step(self, now: float) -> None:
        view = self._context.view.staying(now)
        txn = (
            None
            if self._stopping
            else self.lease.next_txn(now, self._is_candidate(view, now), view)
        )
        if txn is not None:
            self._run_lease_txn(txn, now)

    def _is_candidate(self, view: list[str], now: float) -> bool:
        """Whether this router should hold the lease: the present holder, or the first by hash.

        A holder whose lease has lapsed is passed over before it leaves the view, because portions
        end sooner than the view notices its silence.
        """
        holder = self.lease.record.holder if self.lease.record else ""
        if holder in view and (holder == self._context.name or not self.lease.has_lapsed(now)):
            return holder == self._context.name
        others = [name for name in view if name != holder]
        return next(iter(rendezvous(self.name, others)), "") == self._context.name

    def _run_lease_txn(self, txn: Txn, sent_at: float) -> None:
        def done(result: TxnResult | TableError) -> None:
            up = not isinstance(result, TableError)
            if self._context.table_health.note(up):
                log_event(_LOGGER, "table_up" if up else "table_down", pool=self.name)
            if isinstance(result, TxnResult):
                self.lease.on_result(txn, result, sent_at, self._context.now())
                self._check_coordinator()

        self._context.table.txn(txn, done)

    def _check_coordinator(self) -> None:
        """Begin or end coordination as the lease says."""
        if not self.lease.is_holder():
            if self.coordinator is not None:
                log_event(_LOGGER, "coordination_ended", pool=self.name, epoch=self.lease.epoch)
            self.coordinator = None
            return
        if self.coordinator is not None and self.coordinator.epoch == self.lease.epoch:
            return
        now = self._context.now()
        settings = self.settings
        self.coordinator = Coordinator(
            self._context.name,
            self.name,
            self.lease.epoch,
            PoolRules(
                portion_lease_s=settings.portion_lease_s,
                max_call_s=settings.max_call_s,
                default_cost=settings.default_cost,
                largest_cost=settings.largest_cost,
                report_interval_s=settings.report_interval_s,
            ),
            started_at=now,
            expected=set(self.lease.previous_view),
        )
        self.coordinator.set_servers(self._windows.windows())
        self._set_members()
        log_event(_LOGGER, "coordination_begun", pool=self.name, epoch=self.lease.epoch)

    def _set_members(self) -> None:
        if self.coordinator is None:
            return
        config = self._context.config
        limits = {
            member.name: config.plan_by_name[member.plan].concurrency
            for member in config.member_by_name.values()
            if self.name in config.plan_by_name[member.plan].pools
        }
        self.coordinator.set_members(normalised_shares(config), limits)

    def _deliver(self, grants: Iterable[tuple[str, Grant]]) -> None:
        for receiver, grant in grants:
            if receiver == self._context.name:
                self.on_grant(grant)
            else:
                self._context.send(receiver, grant)

    def _pump(self) -> None:
        """Dispatch what can be dispatched, report if it is due, and set the timer."""
        if self._pumping:
            return
        self._pumping = True
        try:
            now = self._context.now()
            for call in self.scheduler.dispatch(now, lambda c, idle: self._choose(c, idle, now)):
                server = self.servers.server_by_id[call.server]
                self.servers.started(server.id)
                self._user_by_call[call.id].start(server)
            if self.scheduler.report_due(now) and not self._stopping:
                self._send_report()
        finally:
            self._pumping = False
        self._arm()

    def _choose(self, call: WaitingCall, idle: object, now: float) -> str | None:
        return self.servers.choose(call.prompt, idle, now)  # type: ignore[arg-type]

    def _send_report(self) -> None:
        now = self._context.now()
        for user in list(self._user_by_call.values()):
            user.accrue(now)
        if not self._context.table_health.up:
            self.lease.promise(now)
        epoch, holder = self.lease.followed(now)
        self.scheduler.follow(epoch)
        report = self.scheduler.report(now, self._context.table_health.up)
        if holder == self._context.name and self.lease.is_holder():
            self.on_report(report)
        elif holder:
            self._context.send(holder, report)

    def _arm(self) -> None:
        delay = self.scheduler.next_report_in(self._context.now())
        at = self._context.now() + delay
        if self._timer is not None and self._timer.is_pending:
            if self._timer_at <= at + 0.001:
                return
            self._timer.cancel()
        self._timer_at = at
        self._timer = self._context.timers.after(delay, self._pump)

    def _attempt_ended(self, server: str, failed: bool) -> None:
        if server and self.servers.ended(server, failed, self._context.now()):
            log_event(_LOGGER, "server_ejected", logging.WARNING, pool=self.name, server=server)
            self._context.metrics.count("ejections", pool=self.name)

    def _refuse(self, call: WaitingCall, reason: Failure, waiting: bool = True) -> None:
        if waiting:
            self.scheduler.cancel(call)
        user = self._user_by_call.pop(call.id, None)
        if user is not None:
            user.refuse(reason)
