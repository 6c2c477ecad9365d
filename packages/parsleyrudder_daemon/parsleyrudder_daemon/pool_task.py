"""One pool at one router: dispatch of waiting calls, reports to the coordinator, and coordination.

The task owns the scheduler, the load balancer, the coordinator lease and, while this router holds
that lease, the coordinator.
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

__all__ = ["PoolCall", "PoolTask"]

_LOGGER = logging.getLogger(__name__)
_HOUSEKEEPING_INTERVAL_S = 0.25


class PoolCall(Protocol):
    """A call submitted to a pool, as seen by the pool."""

    def start(self, server: ServerInfo) -> None:
        """Start an attempt at a server; the call occupies one of its slots."""
        ...

    def refuse(self, reason: Failure) -> None:
        """End the call as not run."""
        ...

    def accrue(self, now: float) -> None:
        """Charge the cost accrued so far, if the cost grows with time."""
        ...


class PoolTask:
    """Runs one pool at this router.

    :ivar coordinator: the pool's coordinator, or None while another router coordinates.
    :ivar _idle_spares: configured spare engines that do not serve this pool now.
    """

    def __init__(self, context: Context, settings: PoolSettings) -> None:
        self.settings = settings
        self.name = settings.name
        self.cost_model = CostModel(settings.prompt_weight, settings.token_weight)
        self.retry_budget = RetryBudget()
        self._context = context
        self.coordinator: Coordinator | None = None
        self.load_balancer = LoadBalancer(context.settings.router.failure_domain)
        self._all_servers = [
            ServerInfo(s.id, settings.name, s.address, s.failure_domain, s.window)
            for s in [*settings.servers, *self._configured_spares(context)]
        ]
        self._idle_spares = frozenset(spare.id for spare in self._configured_spares(context))
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
        self._lease_task = LeaseTask(context, self.lease, self._update_coordinator)
        self._learned_windows = LearnedWindows(WindowRules(settings.window_min))
        self._pool_call_by_id: dict[str, PoolCall] = {}
        self._report_timer: Timer | None = None
        self._report_timer_at = 0.0
        self._is_dispatching = False
        self._stopping = False
        self.set_leaving_servers(())

    def start(self) -> None:
        """Start reporting and taking part in the election of the coordinator."""
        self._context.timers.every(_HOUSEKEEPING_INTERVAL_S, self._run_housekeeping)
        self._run_housekeeping()

    def config_changed(self) -> None:
        """Apply the active configuration of the context."""
        self.scheduler.set_config(self._context.config)
        self._update_coordinator_members()
        self._dispatch_and_report()

    def set_leaving_servers(self, leaving: Iterable[str]) -> None:
        """Set the servers that are leaving; they get no new calls."""
        self.load_balancer.set_servers(self._all_servers, leaving)
        self._learned_windows.set_servers(self.load_balancer.windows())
        self._update_coordinator_servers()

    def set_serving_spares(self, serving: frozenset[str]) -> None:
        """Set which of the spare engines serve this pool now."""
        spares = frozenset(spare.id for spare in self._configured_spares(self._context))
        if spares - serving != self._idle_spares:
            self._idle_spares = spares - serving
            self._update_coordinator_servers()

    def waiting_per_slot(self) -> float:
        """Return the pool's waiting calls per slot; 0 unless this router coordinates the pool."""
        if self.coordinator is None:
            return 0.0
        slots = sum(self._serving_windows().values())
        return self.coordinator.totals.waiting_total() / max(1, slots)

    def submit(self, call: WaitingCall, pool_call: PoolCall) -> Failure | None:
        """Queue a call; return the reason for refusal, or None if it is queued."""
        if self.is_cut_off():
            return self.cut_off_failure()
        refused = self.scheduler.submit(call, self._context.now())
        if refused is None:
            self._pool_call_by_id[call.id] = pool_call
            self._dispatch_and_report()
        return refused

    def retry(self, call: WaitingCall, failed_server: str) -> None:
        """Queue a call again after a failed attempt, for another server."""
        self._record_attempt_end(failed_server, failed=True)
        self.scheduler.requeue(call, failed_server, self._context.now())
        self._dispatch_and_report()

    def finish(self, call: WaitingCall, failed: bool | None, learn: bool) -> None:
        """End a running call.

        :param failed: whether the server failed; None if the end does not tell.
        :param learn: whether the call ran to its end, so that its cost may be used for estimates.
        """
        self._record_attempt_end(call.server, failed)
        self._pool_call_by_id.pop(call.id, None)
        self.scheduler.finish(call, self._context.now(), learn)
        self._dispatch_and_report()

    def cancel(self, call: WaitingCall) -> None:
        """Remove a waiting call."""
        self._pool_call_by_id.pop(call.id, None)
        self.scheduler.cancel(call)

    def refuse_waiting(self, reason: Failure) -> None:
        """End all waiting calls as not run."""
        for call in self.scheduler.waiting_calls():
            self._refuse(call, reason)

    def on_report(self, report: Report) -> None:
        """Process a router's report, if this router coordinates the pool."""
        now = self._context.now()
        self.lease.on_report(report.sender, report.epoch, report.answered_seq, report.table_up)
        self._update_coordinator()
        if self.coordinator is None or not self.lease.may_grant(now):
            return
        if not self.lease.may_grant_to(report.sender):
            return
        self._send_grants(self.coordinator.on_report(report, now))

    def on_grant(self, grant: Grant) -> None:
        """Apply a grant from the coordinator."""
        now = self._context.now()
        if not self.lease.follow(grant.epoch, grant.sender, now):
            return
        if self.scheduler.on_grant(grant, now):
            self._dispatch_and_report()

    def on_load(self, server: str, running: int, waiting: int) -> None:
        """Process a server's load report."""
        now = self._context.now()
        self.load_balancer.on_load(server, running + waiting)
        if self.coordinator is None:
            return
        self.coordinator.on_server_load(server, running + waiting, now)
        if self._learned_windows.on_load(server, running, waiting, now):
            self._update_coordinator_servers()
            window = self._learned_windows.windows()[server]
            log_event(_LOGGER, "window_changed", pool=self.name, server=server, window=window)

    def is_cut_off(self) -> bool:
        """Whether this router had portions whose lease has ended."""
        return self.scheduler.is_cut_off(self._context.now())

    @staticmethod
    def cut_off_failure() -> Failure:
        """Return the failure with which calls are refused while the router is cut off."""
        return failure("cut_off", "this router has lost contact with the fleet", 1.0)

    def stop(self) -> None:
        """Release the portions and resign the lease, after the last call has ended or been cut."""
        self._stopping = True
        self.scheduler.slots.clear()
        self.scheduler.concurrency.clear()
        self._send_report()
        clean = self.coordinator is not None and self.coordinator.is_clean()
        self._lease_task.resign(clean and not self.scheduler.running_total())

    def _run_housekeeping(self) -> None:
        now = self._context.now()
        if not self._stopping:
            routers = self.coordinator.routers() if self.coordinator is not None else ()
            self._lease_task.send_due_txn(now, routers)
        if self.coordinator is not None and self.lease.may_grant(now):
            self._send_grants(self.coordinator.tick(now))
        for call, reason in self.scheduler.expire(now):
            self._refuse(call, reason, is_waiting=False)
        if self.is_cut_off():
            self.refuse_waiting(self.cut_off_failure())
        self._dispatch_and_report()

    def _update_coordinator(self) -> None:
        """Create or drop the coordinator so that it matches the state of the lease."""
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
        self._update_coordinator_servers()
        self._update_coordinator_members()
        log_event(_LOGGER, "coordination_begun", pool=self.name, epoch=self.lease.epoch)

    def _configured_spares(self, context: Context) -> list[SpareSettings]:
        return [spare for spare in context.settings.spares if self.name in spare.pools]

    def _serving_windows(self) -> dict[str, int]:
        """Return the windows of the servers that serve this pool now."""
        windows = self._learned_windows.windows()
        return {id: window for id, window in windows.items() if id not in self._idle_spares}

    def _update_coordinator_servers(self) -> None:
        if self.coordinator is not None:
            self.coordinator.set_servers(self._serving_windows())

    def _update_coordinator_members(self) -> None:
        if self.coordinator is None:
            return
        config = self._context.config
        limits = {
            member.name: config.plan_by_name[member.plan].concurrency
            for member in config.member_by_name.values()
            if self.name in config.plan_by_name[member.plan].pools
        }
        self.coordinator.set_members(normalised_shares(config), limits)

    def _send_grants(self, grants: Iterable[tuple[str, Grant]]) -> None:
        for receiver, grant in grants:
            self.lease.on_granted(receiver, grant.report_seq, self._context.now())
            if receiver == self._context.name:
                self.on_grant(grant)
            else:
                self._context.send(receiver, grant)

    def _dispatch_and_report(self) -> None:
        """Dispatch waiting calls, send a report if one is due, and set the report timer.

        Nested invocations, such as from a call that ends while it is started, return immediately.
        """
        if self._is_dispatching:
            return
        self._is_dispatching = True
        try:
            now = self._context.now()
            for call in self.scheduler.dispatch(
                now, lambda waiting, idle: self._choose_server(waiting, idle, now)
            ):
                self._pool_call_by_id[call.id].start(self.load_balancer.server_by_id[call.server])
            if self.scheduler.report_due(now) and not self._stopping:
                self._send_report()
        finally:
            self._is_dispatching = False
        self._set_report_timer()

    def _choose_server(self, call: WaitingCall, idle: Mapping[str, int], now: float) -> str | None:
        if call.excluded.issuperset(idle) and self._holds_other_usable_slot(call, now):
            # The only idle slot is often that of the server at which the last attempt failed, and a
            # retry there would fail again.
            return None
        server = self.load_balancer.choose(call.prompt, idle, now)
        if server is not None:
            # Counted at once, so that further choices of the same dispatch take it into account.
            self.load_balancer.record_call_start(server)
        return server

    def _holds_other_usable_slot(self, call: WaitingCall, now: float) -> bool:
        """Whether this router holds slots of a usable server where the call has not failed."""
        return any(
            holding.held and self.load_balancer.is_usable(holding.name, now)
            for holding in self.scheduler.slots.holdings()
            if holding.name not in call.excluded
        )

    def _send_report(self) -> None:
        now = self._context.now()
        for pool_call in list(self._pool_call_by_id.values()):
            pool_call.accrue(now)
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

    def _set_report_timer(self) -> None:
        delay = self.scheduler.next_report_in(self._context.now())
        at = self._context.now() + delay
        if self._report_timer is not None and self._report_timer.is_pending:
            if self._report_timer_at <= at + 0.001:
                return
            self._report_timer.cancel()
        self._report_timer_at = at
        self._report_timer = self._context.timers.after(delay, self._dispatch_and_report)

    def _record_attempt_end(self, server: str, failed: bool | None) -> None:
        if server and self.load_balancer.record_call_end(server, failed, self._context.now()):
            log_event(_LOGGER, "server_ejected", logging.WARNING, pool=self.name, server=server)
            self._context.metrics.count("ejections", pool=self.name)

    def _refuse(self, call: WaitingCall, reason: Failure, is_waiting: bool = True) -> None:
        if is_waiting:
            self.scheduler.cancel(call)
        pool_call = self._pool_call_by_id.pop(call.id, None)
        if pool_call is not None:
            pool_call.refuse(reason)
