"""Scheduler of one pool at one router: dispatch of waiting calls, and reports to the coordinator.

It owns the waiting calls, the portions leased to the router and the service counters of the
router's incarnation. It performs no I/O.
"""

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from ..lists import Config, Plan
from ..messages import Grant, MemberReport, Report
from ..outcomes import Failure, failure
from .backlog import Backlog
from .costs import CostEstimator
from .limits import MemberLimits
from .local_order import LocalOrder, MemberCounters
from .ordering import normalised_shares
from .portions import Portions
from .queueing import WaitingCall

__all__ = ["PoolScheduler", "SchedulerRules", "ServerChooser"]

ServerChooser = Callable[[WaitingCall, Mapping[str, int]], str | None]
"""Chooses a server for a call among those with idle slots; None if none is suitable."""

_MAX_SENT_REPORTS = 100
# Without a grant for this many report intervals the coordinator is considered lost, and idle slots
# are kept: nobody could grant released slots to other routers, and a new coordinator restores only
# what the routers still hold.
_GRANT_TIMEOUT_INTERVALS = 2


@dataclass(slots=True, frozen=True)
class SchedulerRules:
    """Settings of a pool at a router.

    :ivar report_interval_s: time between two reports.
    :ivar early_report_gap_s: minimum time between a report and a following early report.
    :ivar keep_alive_intervals: number of report intervals between reports while nothing changes.
    :ivar interactive_reserve: fraction of the held slots that only interactive calls may use.
    :ivar concurrency_idle_s: time after which an unused concurrency portion is released.
    """

    report_interval_s: float = 0.1
    early_report_gap_s: float = 0.02
    keep_alive_intervals: int = 5
    interactive_reserve: float = 0.0
    concurrency_idle_s: float = 5.0


@dataclass(slots=True)
class _SentReport:
    """Time and contents of a report, kept until a grant answers it."""

    at: float
    report_by_member: dict[str, MemberReport]


@dataclass(slots=True)
class PoolScheduler:
    """Queue, portions and counters of one pool at one router.

    :ivar epoch: epoch of the coordinator that the router follows.
    :ivar contended: whether the pool's calls need more slots than it has.
    :ivar target_slots: number of slots that the router should hold; None if unknown.
    :ivar _uncounted: counters of members with changes that the last totals do not include.
    :ivar _idle_since: times since when members with a concurrency portion have had no calls.
    :ivar _has_changes: whether anything has changed since the last report.
    :ivar _report_early: whether the next report is due after ``rules.early_report_gap_s``.
    """

    router: str
    incarnation: int
    pool: str
    rules: SchedulerRules
    estimator: CostEstimator
    slots: Portions = field(default_factory=Portions)
    concurrency: Portions = field(default_factory=Portions)
    epoch: int = 0
    contended: bool = False
    finished: int = 0
    finished_cost: float = 0.0
    target_slots: int | None = None
    order: LocalOrder = field(init=False)
    _backlog: Backlog = field(default_factory=Backlog)
    _plan_by_member: dict[str, Plan] = field(default_factory=dict)
    _limits_by_member: dict[str, MemberLimits] = field(default_factory=dict)
    _uncounted: dict[str, MemberCounters] = field(default_factory=dict)
    _idle_since: dict[str, float] = field(default_factory=dict)
    _sent_by_seq: dict[int, _SentReport] = field(default_factory=dict)
    _router_count: int = 1
    _seq: int = 0
    _grant_number: int = 0
    _answered_seq: int = 0
    _granted_epoch: int = 0
    _granted_at: float = -math.inf
    _reported_at: float = -math.inf
    _has_changes: bool = False
    _report_early: bool = False

    def __post_init__(self) -> None:
        self.order = LocalOrder(self.estimator.default)

    @property
    def quantum(self) -> float:
        """Cost assumed for one running call, from the coordinator's last grant."""
        return self.order.quantum

    @property
    def floor(self) -> float:
        """Lowest virtual time of the contending members, from the coordinator's last grant."""
        return self.order.floor

    def set_config(self, config: Config) -> None:
        """Put a configuration in force."""
        self.order.share_by_member = normalised_shares(config)
        self._plan_by_member = {
            member.name: config.plan_by_name[member.plan]
            for member in config.member_by_name.values()
        }
        for name, limits in list(self._limits_by_member.items()):
            plan = self._plan_by_member.get(name)
            if plan is None:
                del self._limits_by_member[name]
            else:
                limits.change_plan(plan)
        self.order.rebuild(self._backlog.waiting.values())

    def submit(self, call: WaitingCall, now: float) -> Failure | None:
        """Admit a call and queue it, or refuse it.

        :returns: the reason for refusal, or None if the call is queued.
        """
        plan = self._plan_by_member.get(call.member)
        if plan is None or self.pool not in plan.pools:
            return failure("pool_not_allowed", f"the plan does not include pool {self.pool}")
        refused = self._backlog.check(call, plan, now)
        if refused is not None:
            return refused
        limits = self._limits_by_member.get(call.member)
        if limits is None:
            limits = MemberLimits.create(plan, now, self._router_count)
            self._limits_by_member[call.member] = limits
        refused = limits.check(call.estimate, now)
        if refused is not None:
            return refused
        limits.admit()
        counters = self._uncounted[call.member] = self._backlog.admit(call, now)
        self._note_waiting(counters)
        if not counters.running and not self.concurrency.idle(call.member, now):
            self._report_early = True
        if not self.slots.total_held():
            self._report_early = True
        return None

    def requeue(self, call: WaitingCall, excluded: str, now: float) -> None:
        """Queue a call again after a failed attempt, before the member's other calls.

        :param excluded: the server that failed.
        """
        self._end_attempt(call)
        call.excluded = call.excluded | {excluded}
        self._backlog.add(call, now, at_front=True)
        self._note_waiting(self._backlog.counters[call.member])

    def dispatch(self, now: float, choose: ServerChooser) -> list[WaitingCall]:
        """Assign idle slots to waiting calls, in order of their members' virtual times.

        Slots above the target are released first; otherwise a router that always has waiting calls
        would never release them.

        :returns: the calls to send, each with its ``server`` set.
        """
        self._release_slots(now)
        dispatched: list[WaitingCall] = []
        blocked: list[MemberCounters] = []
        idle = self.slots.idle_by_name(now)
        while idle:
            counters = self.order.pop(self._backlog.waiting)
            if counters is None:
                break
            batch_allowed = self._backlog.may_start_batch(
                self.slots.total_held(), self.rules.interactive_reserve, self.router
            )
            if not self._may_start(counters, now):
                continue  # added again when a call of the member ends, and after each grant
            call = counters.queue.head(batch_allowed)
            server = self._choose_server(call, idle, choose) if call else None
            if call is None or server is None:
                blocked.append(counters)
                continue
            self._backlog.start(call, server, now)
            self.slots.start_use(server)
            self.concurrency.start_use(call.member)
            self._has_changes = True
            dispatched.append(call)
            idle[server] -= 1
            if not idle[server]:
                del idle[server]
            if counters.queue:
                self.order.add(counters, self._backlog.waiting)
        for counters in blocked:
            self.order.add(counters, self._backlog.waiting)
        return dispatched

    def charge(self, call: WaitingCall, cost: float) -> None:
        """Set the cost that a running call has accrued so far."""
        added = cost - call.charged
        if added <= 0:
            return
        call.charged = cost
        counters = self._backlog.counters[call.member]
        counters.served += added
        self._uncounted[call.member] = counters
        limits = self._limits_by_member.get(call.member)
        if limits is not None:
            limits.charge(added)

    def finish(self, call: WaitingCall, now: float, learn: bool = True) -> None:
        """End a running call; its slot becomes idle.

        :param learn: whether the call ran to its end, so that its cost and duration may be used
            for estimates.
        """
        self._end_attempt(call)
        self._backlog.remove(call)
        if learn:
            self._backlog.durations.learn(call.member, call.kind, now - call.started_at, now)
            self.estimator.learn(call.member, call.kind, call.charged)
            self.finished += 1
            self.finished_cost += call.charged

    def cancel(self, call: WaitingCall) -> None:
        """Remove a waiting call."""
        self._has_changes = self._backlog.cancel(call) or self._has_changes

    def expire(self, now: float) -> list[tuple[WaitingCall, Failure]]:
        """Remove and return the calls past their waiting time or deadline, each with the reason."""
        expired = self._backlog.expire(now)
        self._has_changes = self._has_changes or bool(expired)
        return expired

    def waiting_calls(self) -> list[WaitingCall]:
        """Return the waiting calls."""
        return [call for counters in self._backlog.waiting.values() for call in counters.queue]

    def running_calls(self) -> list[WaitingCall]:
        """Return the calls at servers."""
        return [
            call
            for counters in self._backlog.running.values()
            for call in counters.running.values()
        ]

    def waiting_by_member(self) -> dict[str, int]:
        """Return the number of waiting calls by member, without zeros."""
        return {name: len(counters.queue) for name, counters in self._backlog.waiting.items()}

    def running_total(self) -> int:
        """Return the number of running calls."""
        return sum(len(counters.running) for counters in self._backlog.running.values())

    def served_by_member(self) -> dict[str, float]:
        """Return the cost served by this router's incarnation, by member."""
        return {name: counters.served for name, counters in self._backlog.counters.items()}

    def is_cut_off(self, now: float) -> bool:
        """Whether the router had portions whose lease has ended."""
        return self.slots.expires_at > -math.inf and now >= self.slots.expires_at

    def report_due(self, now: float) -> bool:
        """Whether a report should be sent now."""
        return self.next_report_in(now) <= 0

    def next_report_in(self, now: float) -> float:
        """Return the seconds until a report is due if nothing changes before."""
        idle = not (
            self._has_changes or self._backlog.running or self._backlog.waiting or self._uncounted
        )
        gap = self.rules.report_interval_s * (self.rules.keep_alive_intervals if idle else 1)
        if self._report_early:
            gap = self.rules.early_report_gap_s
        return max(0.0, self._reported_at + gap - now)

    def report(self, now: float, table_up: bool) -> Report:
        """Return a new report, and record its contents until it is answered."""
        self._seq += 1
        self._reported_at = now
        self._has_changes = self._report_early = False
        if now >= self.slots.expires_at:
            # Other routers may hold these slots now, so only those in use are reported.
            self.slots.clear()
            self.concurrency.clear()
        self._release_concurrency(now)
        included = self._backlog.running | self._backlog.waiting | self._uncounted
        report_by_member = {name: counters.report() for name, counters in included.items()}
        self._sent_by_seq[self._seq] = _SentReport(now, report_by_member)
        self._sent_by_seq.pop(self._seq - _MAX_SENT_REPORTS, None)
        return Report(
            pool=self.pool,
            sender=self.router,
            incarnation=self.incarnation,
            seq=self._seq,
            epoch=self.epoch,
            applied_grant=self._grant_number,
            answered_seq=self._answered_seq,
            table_up=table_up,
            finished=self.finished,
            finished_cost=self.finished_cost,
            members=tuple(report_by_member.values()),
            slots=self.slots.report(),
            concurrency=self.concurrency.report(),
            carried=self.order.carried(report_by_member),
            floor=self.order.floor,
            granted_epoch=self._granted_epoch,
        )

    def on_grant(self, grant: Grant, now: float) -> bool:
        """Apply a grant.

        :returns: whether its lease is valid; False also for an outdated grant, or one that is
            addressed to another incarnation.
        """
        if grant.incarnation != self.incarnation or grant.epoch < self.epoch:
            return False
        self.follow(grant.epoch)
        sent = self._sent_by_seq.get(grant.report_seq)
        if grant.number < self._grant_number or sent is None:
            return False
        expires_at = sent.at + grant.lease_s
        if grant.number > self._grant_number:
            self._grant_number, self._granted_epoch = grant.number, grant.epoch
            self.slots.apply(dict(grant.slots))
            self.concurrency.apply(dict(grant.concurrency))
        self._answered_seq = max(self._answered_seq, grant.report_seq)
        self._granted_at = now
        self.slots.renew(expires_at)
        self.concurrency.renew(expires_at)
        self._router_count = max(1, grant.router_count)
        self.order.quantum, self.order.floor = grant.quantum, grant.floor
        self.contended, self.target_slots = grant.contended, grant.target_slots
        self._apply_totals(grant, sent, now)
        self._release_slots(now)
        for name in self.concurrency.portion_by_name:
            if name not in self._backlog.waiting and name not in self._backlog.running:
                self._idle_since.setdefault(name, now)
        return now < expires_at

    def follow(self, epoch: int) -> None:
        """Follow a coordinator with a higher epoch, which restarts grant numbers and totals."""
        if epoch > self.epoch:
            self.epoch, self._grant_number, self._answered_seq = epoch, 0, 0
            self.target_slots = None
            self.order.begin_epoch()
            for limits in self._limits_by_member.values():
                limits.begin_epoch()

    def _may_start(self, counters: MemberCounters, now: float) -> bool:
        """Whether a member's concurrency portion allows another call."""
        return self.concurrency.idle(counters.member, now) > 0

    @staticmethod
    def _choose_server(
        call: WaitingCall, idle: Mapping[str, int], choose: ServerChooser
    ) -> str | None:
        allowed = {name: n for name, n in idle.items() if name not in call.excluded} or idle
        return choose(call, allowed)

    def _note_waiting(self, counters: MemberCounters) -> None:
        self.order.add(counters, self._backlog.waiting)
        self._idle_since.pop(counters.member, None)
        self._has_changes = True

    def _end_attempt(self, call: WaitingCall) -> None:
        server = call.server
        if not self._backlog.stop(call):
            return
        self.slots.end_use(server)
        self.concurrency.end_use(call.member)
        self._has_changes = True
        counters = self._backlog.counters[call.member]
        if counters.queue:
            self.order.add(counters, self._backlog.waiting)

    def _release_slots(self, now: float) -> None:
        """Release idle slots above the target, or all if calls wait at other routers only."""
        coordinator_lost = (
            now >= self._granted_at + _GRANT_TIMEOUT_INTERVALS * self.rules.report_interval_s
        )
        if self.target_slots is None or coordinator_lost or now >= self.slots.expires_at:
            return
        surplus = self.slots.total_held() - self.target_slots
        if self.contended and not self._backlog.waiting:
            surplus = max(surplus, sum(self.slots.idle_by_name(now).values()))
        if surplus > 0 and self.slots.release_idle(surplus):
            self._report_early = True

    def _release_concurrency(self, now: float) -> None:
        """Release concurrency that has not been used for ``rules.concurrency_idle_s``."""
        limit = self.rules.concurrency_idle_s
        for name in [n for n, since in self._idle_since.items() if now >= since + limit]:
            del self._idle_since[name]
            self.concurrency.release_all_idle(name)

    def _apply_totals(self, grant: Grant, sent: _SentReport, now: float) -> None:
        for total, own in self.order.on_totals(grant.totals, sent.report_by_member):
            if self.order.is_counted(self._backlog.counters[total.member]):
                self._uncounted.pop(total.member, None)
            limits = self._limits_by_member.get(total.member)
            if limits is not None:
                limits.on_total(total, own, sent.at, self._router_count, now)
        self.order.rebuild(self._backlog.waiting.values())
