"""One pool at one router: dispatch of waiting calls, reports, and coordination when it is its turn.

It owns the scheduler, the load balancer, the coordinator's lease and, while this router holds that
lease, the coordinator.
"""

import logging
from collections.abc import Iterable, Mapping
from typing import Protocol

from parsleyrudder import (
    POLICY_BY_NAME,
    Coordinator,
    CoordinatorLease,
    CostEstimator,
    CostModel,
    Failure,
    Grant,
    LearnedWindows,
    LoadBalancer,
    PoolRules,
    Report,
    RetryBudget,
    SchedulerRules,
    ServerInfo,
    WaitingCall,
    WindowRules,
    failure,
    normalised_shares,
)
from parsleyrudder_adapters.logs import log_event
from parsleyrudder_adapters.settings import PoolSettings, SpareSettings
from parsleyrudder_adapters.timers import Timer

from .context import Context
from .lease_task import LeaseTask

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
        self.coordinator: Coordinator | None = None
        self.servers = LoadBalancer(context.settings.router.failure_domain)
        self._all_servers = [
            ServerInfo(s.id, settings.name, s.address, s.failure_domain, s.window)
            for s in [*settings.servers, *self._spares_of(context)]
        ]
        self._idle_spares = frozenset(spare.id for spare in self._spares_of(context))
        self._policy = POLICY_BY_NAME[settings.policy]
        self.scheduler = self._policy.scheduler(
            context.name,
            context.incarnation,
            settings.name,
            SchedulerRules(
                report_interval_s=settings.report_interval_s,
                interactive_reserve=settings.interactive_reserve,
            ),
            CostEstimator(settings.default_cost),
        )
        self.lease = CoordinatorLease(
            settings.name, context.name, context.incarnation, started_at=context.now()
        )
        self._lease_task = LeaseTask(context, self.lease, self._check_coordinator)
        self._learned = LearnedWindows(WindowRules(settings.window_min))
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
        self._learned.set_servers(self.servers.windows())
        self._set_windows()

    def set_spares(self, serving: frozenset[str]) -> None:
        """Set which of the spare engines serve this pool now."""
        spares = frozenset(spare.id for spare in self._spares_of(self._context))
        if spares - serving != self._idle_spares:
            self._idle_spares = spares - serving
            self._set_windows()

    def waiting_per_slot(self) -> float:
        """Return the pool's waiting calls per slot, as the coordinator knows them."""
        if self.coordinator is None:
            return 0.0
        slots = sum(self._windows().values())
        return self.coordinator.totals.waiting_total() / max(1, slots)

    def submit(self, call: WaitingCall, user: PoolUser) -> Failure | None:
        """Let a call wait for a server; return why it is refused, or None."""
        if self.is_cut_off():
            return self.cut_off()
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

    def finish(self, call: WaitingCall, failed: bool | None, learn: bool) -> None:
        """End a running call.

        :param failed: whether its server is to blame; None if the end says nothing about it.
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
        self.lease.on_report(report.sender, report.epoch, report.answered_seq, report.table_up)
        self._check_coordinator()
        if self.coordinator is None or not self.lease.may_grant(now):
            return
        if not self.lease.may_grant_to(report.sender):
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
        self.coordinator.on_server_load(server, running + waiting, now)
        if self._learned.on_load(server, running, waiting, now):
            self._set_windows()
            window = self._learned.windows()[server]
            log_event(_LOGGER, "window_changed", pool=self.name, server=server, window=window)

    def is_cut_off(self) -> bool:
        """Whether portions were held and their lease has ended."""
        return self.scheduler.is_cut_off(self._context.now())

    @staticmethod
    def cut_off() -> Failure:
        """Return the refusal of calls while the router is cut off."""
        return failure("cut_off", "this router has lost contact with the fleet", 1.0)

    def stop(self) -> None:
        """Give up portions and the lease; no call is left."""
        self._stopping = True
        self.scheduler.slots.clear()
        self.scheduler.concurrency.clear()
        self._send_report()
        clean = self.coordinator is not None and self.coordinator.is_clean()
        self._lease_task.resign(clean and not self.scheduler.running_total())

    def _housekeeping(self) -> None:
        now = self._context.now()
        if not self._stopping:
            routers = self.coordinator.routers() if self.coordinator is not None else ()
            self._lease_task.step(now, routers)
        if self.coordinator is not None and self.lease.may_grant(now):
            self._deliver(self.coordinator.tick(now))
        for call, reason in self.scheduler.expire(now):
            self._refuse(call, reason, waiting=False)
        if self.is_cut_off():
            self.refuse_waiting(self.cut_off())
        self._pump()

    def _check_coordinator(self) -> None:
        """Begin or end coordination as the lease says."""
        if not self.lease.is_acting():
            if self.coordinator is not None:
                log_event(_LOGGER, "coordination_ended", pool=self.name, epoch=self.lease.epoch)
            self.coordinator = None
            return
        if self.coordinator is not None and self.coordinator.epoch == self.lease.epoch:
            return
        now = self._context.now()
        settings = self.settings
        self.coordinator = self._policy.coordinator(
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
            expected_routers=set(self.lease.previous_view),
            previous_clean=self.lease.previous_clean,
        )
        self._set_windows()
        self._set_members()
        log_event(_LOGGER, "coordination_begun", pool=self.name, epoch=self.lease.epoch)

    def _spares_of(self, context: Context) -> list[SpareSettings]:
        return [spare for spare in context.settings.spares if self.name in spare.pools]

    def _windows(self) -> dict[str, int]:
        """Return the windows of the servers that serve this pool now."""
        windows = self._learned.windows()
        return {id: window for id, window in windows.items() if id not in self._idle_spares}

    def _set_windows(self) -> None:
        if self.coordinator is not None:
            self.coordinator.set_servers(self._windows())

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
            self.lease.on_granted(receiver, grant.report_seq, self._context.now())
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
                self._user_by_call[call.id].start(self.servers.server_by_id[call.server])
            if self.scheduler.report_due(now) and not self._stopping:
                self._send_report()
        finally:
            self._pumping = False
        self._arm()

    def _choose(self, call: WaitingCall, idle: Mapping[str, int], now: float) -> str | None:
        if call.excluded.issuperset(idle) and self._holds_other(call, now):
            # Its last server's slot is often the only idle one; a retry there would fail again.
            return None
        server = self.servers.choose(call.prompt, idle, now)
        if server is not None:
            # Counted at once, so that the next choice of the same round sees it.
            self.servers.record_call_start(server)
        return server

    def _holds_other(self, call: WaitingCall, now: float) -> bool:
        """Whether a slot that is busy now will serve a call that failed at all idle ones."""
        return any(
            holding.held and self.servers.is_usable(holding.name, now)
            for holding in self.scheduler.slots.holdings()
            if holding.name not in call.excluded
        )

    def _send_report(self) -> None:
        now = self._context.now()
        for user in list(self._user_by_call.values()):
            user.accrue(now)
        if self.lease.may_follow(now):
            self.scheduler.follow(self.lease.epoch)
        if not self.lease.may_report(self.scheduler.epoch, now):
            return
        if not self._context.table_health.up:
            self.lease.promise()
        report = self.scheduler.report(now, self._context.table_health.up)
        if self.lease.is_holder():
            self.on_report(report)
        elif self.lease.record is not None and self.lease.record.holder:
            self._context.send(self.lease.record.holder, report)

    def _arm(self) -> None:
        delay = self.scheduler.next_report_in(self._context.now())
        at = self._context.now() + delay
        if self._timer is not None and self._timer.is_pending:
            if self._timer_at <= at + 0.001:
                return
            self._timer.cancel()
        self._timer_at = at
        self._timer = self._context.timers.after(delay, self._pump)

    def _attempt_ended(self, server: str, failed: bool | None) -> None:
        if server and self.servers.record_call_end(server, failed, self._context.now()):
            log_event(_LOGGER, "server_ejected", logging.WARNING, pool=self.name, server=server)
            self._context.metrics.count("ejections", pool=self.name)

    def _refuse(self, call: WaitingCall, reason: Failure, waiting: bool = True) -> None:
        if waiting:
            self.scheduler.cancel(call)
        user = self._user_by_call.pop(call.id, None)
        if user is not None:
            user.refuse(reason)
