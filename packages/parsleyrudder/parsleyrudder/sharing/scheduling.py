"""One pool at one router: which waiting call goes to a server next, and what is reported.

It owns the waiting calls, the portions leased to the router and the service counters of the
router's incarnation. It sends nothing itself.
"""

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from ..lists import Config, Plan
from ..messages import Carried, Grant, MemberReport, MemberTotal, Report
from ..outcomes import Failure, failure
from .costs import CostEstimator
from .limits import MemberLimits
from .portions import Portions
from .queueing import MemberQueue, WaitingCall

__all__ = ["Choose", "PoolScheduler", "SchedulerRules", "normalised_shares"]

Choose = Callable[[WaitingCall, Mapping[str, int]], str | None]
"""Chooses a server for a call among those with idle slots, or None if none will do."""


@dataclass(slots=True, frozen=True)
class SchedulerRules:
    """Settings of a pool at a router.

    :ivar report_interval_s: time between two reports.
    :ivar early_gap_s: time between a report and an early one, at least.
    :ivar keep_alive_intervals: intervals between reports that bring nothing new.
    :ivar interactive_reserve: part of the held slots that only interactive calls may use.
    :ivar concurrency_idle_s: time after which an unused concurrency portion is given back.
    """

    report_interval_s: float = 0.1
    early_gap_s: float = 0.02
    keep_alive_intervals: int = 5
    interactive_reserve: float = 0.0
    concurrency_idle_s: float = 5.0


@dataclass(slots=True)
class _Counters:
    """One member's calls at this router."""

    served: float = 0.0
    admitted: int = 0
    queue: MemberQueue = field(default_factory=MemberQueue)
    running: dict[str, WaitingCall] = field(default_factory=dict)
    used_at: float = -math.inf

    @property
    def rest(self) -> float:
        return sum(call.rest for call in self.running.values())


@dataclass(slots=True)
class _Sent:
    """What a report said of each member: service counted and calls running."""

    at: float
    served_by_member: dict[str, float]
    running_by_member: dict[str, int]


@dataclass(slots=True)
class _Known:
    """What the coordinator said last of a member, and the own part that it includes."""

    total: MemberTotal
    counted: float
    running: int


def normalised_shares(config: Config) -> dict[str, float]:
    """Return each member's share, scaled to average 1.

    >>> from parsleyrudder.lists import Config, Member
    >>> rows = {n: Member(n, "p", s, "") for n, s in (("a", 1.0), ("b", 3.0))}
    >>> normalised_shares(Config(1, rows))
    {'a': 0.5, 'b': 1.5}
    """
    members = config.member_by_name.values()
    total = sum(member.share for member in members)
    return {member.name: member.share * len(config.member_by_name) / total for member in members}


@dataclass(slots=True)
class PoolScheduler:
    """Queue, portions and counters of one pool at one router."""

    router: str
    incarnation: int
    pool: str
    rules: SchedulerRules
    estimator: CostEstimator
    slots: Portions = field(default_factory=Portions)
    concurrency: Portions = field(default_factory=Portions)
    epoch: int = 0
    quantum: float = 1.0
    floor: float = 0.0
    contended: bool = False
    finished: int = 0
    finished_cost: float = 0.0
    target: int | None = None
    _share_by_member: dict[str, float] = field(default_factory=dict)
    _plan_by_member: dict[str, Plan] = field(default_factory=dict)
    _limits_by_member: dict[str, MemberLimits] = field(default_factory=dict)
    _members: dict[str, _Counters] = field(default_factory=dict)
    _call_by_id: dict[str, WaitingCall] = field(default_factory=dict)
    _known: dict[str, _Known] = field(default_factory=dict)
    _sent_by_seq: dict[int, _Sent] = field(default_factory=dict)
    _seq: int = 0
    _grant_number: int = 0
    _reported_at: float = -math.inf
    _news: bool = False
    _urgent: bool = False

    def __post_init__(self) -> None:
        self.quantum = self.estimator.default

    def set_config(self, config: Config) -> None:
        """Enforce a configuration from now on."""
        self._share_by_member = normalised_shares(config)
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

    def submit(self, call: WaitingCall, now: float) -> Failure | None:
        """Let a call wait for a slot.

        :returns: why it is refused, or None if it waits.
        """
        plan = self._plan_by_member.get(call.member)
        if plan is None or self.pool not in plan.pools:
            return failure("pool_not_allowed", f"the plan does not include pool {self.pool}")
        counters = self._members.setdefault(call.member, _Counters())
        if len(counters.queue) >= plan.queue_length:
            text = f"{len(counters.queue)} calls of {call.member} wait already"
            return failure("queue_full", text, self._wait_hint_s(counters))
        limits = self._limits_by_member.get(call.member)
        if limits is None:
            limits = self._limits_by_member[call.member] = MemberLimits.of(plan, now)
        refused = limits.check(call.estimate, now)
        if refused is not None:
            return refused
        limits.admit()
        counters.admitted += 1
        counters.queue.add(call)
        self._call_by_id[call.id] = call
        self._news = True
        return None

    def requeue(self, call: WaitingCall, excluded: str) -> None:
        """Let a call wait again after a failed attempt, before the member's other calls.

        :param excluded: the server that failed.
        """
        self._end_attempt(call)
        call.excluded = call.excluded | {excluded}
        self._members[call.member].queue.add(call, first=True)

    def dispatch(self, now: float, choose: Choose) -> list[WaitingCall]:
        """Give idle slots to waiting calls, the member with the lowest virtual time first.

        :returns: the calls to send, each with its ``server`` set.
        """
        dispatched = []
        skipped: set[str] = set()
        while idle := self.slots.idle_by_name(now):
            call = self._next_call(now, idle, skipped)
            if call is None:
                break
            allowed = {name: n for name, n in idle.items() if name not in call.excluded} or idle
            server = choose(call, allowed)
            if server is None:
                skipped.add(call.member)
                continue
            self._start(call, server, now)
            dispatched.append(call)
        self._note_shortage(now)
        return dispatched

    def charge(self, call: WaitingCall, cost: float) -> None:
        """Set the cost that a running call has accrued so far."""
        added = cost - call.charged
        if added <= 0:
            return
        call.charged = cost
        self._members[call.member].served += added
        limits = self._limits_by_member.get(call.member)
        if limits is not None:
            limits.charge(added)

    def finish(self, call: WaitingCall, learn: bool = True) -> None:
        """End a running call; its slot becomes idle.

        :param learn: whether its cost is that of a whole call, fit for estimates.
        """
        self._end_attempt(call)
        self._call_by_id.pop(call.id, None)
        if learn:
            self.estimator.learn(call.member, call.kind, call.charged)
            self.finished += 1
            self.finished_cost += call.charged

    def cancel(self, call: WaitingCall) -> None:
        """Remove a call that still waits."""
        if self._call_by_id.pop(call.id, None) is not None:
            self._members[call.member].queue.remove(call)
            self._news = True

    def expire(self, now: float) -> list[tuple[WaitingCall, Failure]]:
        """Remove the calls whose waiting time or deadline is over, with the reason for each."""
        expired = []
        for counters in self._members.values():
            for call in list(counters.queue):
                if now >= min(call.queue_until, call.deadline):
                    code = "queue_timeout" if call.queue_until <= call.deadline else None
                    text = "no slot became free in time"
                    reason = failure(code or "deadline_unreachable", text, 1.0)
                    expired.append((call, reason))
        for call, _ in expired:
            self.cancel(call)
        return expired

    def waiting_calls(self) -> list[WaitingCall]:
        """Return the calls that wait."""
        return [call for counters in self._members.values() for call in counters.queue]

    def running_calls(self) -> list[WaitingCall]:
        """Return the calls at servers."""
        return [call for counters in self._members.values() for call in counters.running.values()]

    def waiting_by_member(self) -> dict[str, int]:
        """Return the number of waiting calls of each member that has any."""
        return {name: len(c.queue) for name, c in self._members.items() if c.queue}

    def running_total(self) -> int:
        """Return the number of running calls."""
        return sum(len(counters.running) for counters in self._members.values())

    def served_by_member(self) -> dict[str, float]:
        """Return the cost served by this router's incarnation, by member."""
        return {name: counters.served for name, counters in self._members.items()}

    def is_cut_off(self, now: float) -> bool:
        """Whether the router has had portions, and their lease has ended."""
        return self.slots.expires_at > -math.inf and now >= self.slots.expires_at

    def report_due(self, now: float) -> bool:
        """Whether a report should be sent now."""
        since = now - self._reported_at
        if self._urgent:
            return since >= self.rules.early_gap_s
        idle = not self._news and not self.running_total() and not self.waiting_by_member()
        intervals = self.rules.keep_alive_intervals if idle else 1
        return since >= self.rules.report_interval_s * intervals

    def next_report_in(self, now: float) -> float:
        """Return the seconds until a report will be due if nothing happens."""
        gap = self.rules.early_gap_s if self._urgent else self.rules.report_interval_s
        return max(0.0, self._reported_at + gap - now)

    def report(self, now: float, table_up: bool) -> Report:
        """Return the report that is due, and remember what it says."""
        self._seq += 1
        self._reported_at = now
        self._news = self._urgent = False
        self._release_concurrency(now)
        if not self.slots.is_leased(now):
            # Idle portions of an ended lease belong to others by now.
            self.slots.clear()
            self.concurrency.clear()
        members = tuple(self._member_reports())
        running = {name: len(c.running) for name, c in self._members.items()}
        served = {name: c.served for name, c in self._members.items()}
        self._sent_by_seq[self._seq] = _Sent(now, served, running)
        for seq in [s for s in self._sent_by_seq if s < self._seq - 100]:
            del self._sent_by_seq[seq]
        carried: tuple[Carried, ...] = ()
        if not self._grant_number:
            carried = tuple(Carried(n, k.total.vt, k.counted) for n, k in self._known.items())
        return Report(
            pool=self.pool,
            sender=self.router,
            incarnation=self.incarnation,
            seq=self._seq,
            epoch=self.epoch,
            grant=self._grant_number,
            table_up=table_up,
            finished=self.finished,
            finished_cost=self.finished_cost,
            members=members,
            slots=self.slots.holdings(),
            concurrency=self.concurrency.holdings(),
            carried=carried,
        )

    def on_grant(self, grant: Grant, now: float) -> bool:
        """Apply a grant.

        :returns: False for a grant that is old, repeated or meant for another incarnation.
        """
        if grant.incarnation != self.incarnation or grant.epoch < self.epoch:
            return False
        if grant.epoch > self.epoch:
            self.epoch, self._grant_number = grant.epoch, 0
        sent = self._sent_by_seq.get(grant.answers)
        if grant.number <= self._grant_number or sent is None:
            return False
        self._grant_number = grant.number
        expires_at = sent.at + grant.lease_s
        self.slots.apply(dict(grant.slots), expires_at)
        self.concurrency.apply(dict(grant.concurrency), expires_at)
        self.quantum, self.floor = grant.quantum, grant.floor
        self.contended, self.target = grant.contended, grant.target
        self._take_totals(grant.totals, sent)
        self._release_slots(now)
        return now < expires_at

    def follow(self, epoch: int) -> None:
        """Report to a coordinator with a higher epoch, which starts counting grants anew."""
        if epoch > self.epoch:
            self.epoch, self._grant_number = epoch, 0

    def _next_call(
        self, now: float, idle: Mapping[str, int], skipped: set[str]
    ) -> WaitingCall | None:
        reserve = math.ceil(self.rules.interactive_reserve * self.slots.total_held())
        batch_allowed = sum(idle.values()) > reserve
        best: tuple[float, str, WaitingCall] | None = None
        for name, counters in self._members.items():
            if name in skipped or not counters.queue:
                continue
            if not self.concurrency.idle(name, now):
                continue
            call = counters.queue.head(batch_allowed)
            if call is None:
                continue
            key = (self._virtual_time(name, counters), name)
            if best is None or key < best[:2]:
                best = (*key, call)
        return best[2] if best else None

    def _virtual_time(self, name: str, counters: _Counters) -> float:
        """Return a member's virtual time with its running calls counted as one quantum each."""
        share = self._share_by_member.get(name, 1.0)
        known = self._known.get(name)
        if known is None:
            return self.floor + (len(counters.running) * self.quantum) / share
        running = known.total.running + len(counters.running) - known.running
        own = counters.served - known.counted
        return max(known.total.vt, self.floor) + (own + running * self.quantum) / share

    def _start(self, call: WaitingCall, server: str, now: float) -> None:
        counters = self._members[call.member]
        counters.queue.remove(call)
        counters.running[call.id] = call
        counters.used_at = now
        call.server = server
        self.slots.take(server)
        self.concurrency.take(call.member)
        self._news = True

    def _end_attempt(self, call: WaitingCall) -> None:
        counters = self._members[call.member]
        if counters.running.pop(call.id, None) is None:
            return
        self.slots.give_back(call.server)
        self.concurrency.give_back(call.member)
        call.server = ""
        self._news = True

    def _note_shortage(self, now: float) -> None:
        """Ask for an early report if calls wait without a slot, or slots idle that others need."""
        self._release_slots(now)
        starving = any(
            counters.queue and not counters.running and not self.concurrency.idle(name, now)
            for name, counters in self._members.items()
        )
        if starving or (self.waiting_by_member() and not self.slots.total_held()):
            self._urgent = True

    def _release_slots(self, now: float) -> None:
        if self.target is None or now >= self.slots.expires_at:
            return
        surplus = self.slots.total_held() - self.target
        if self.contended and not self.waiting_by_member():
            surplus = max(surplus, sum(self.slots.idle_by_name(now).values()))
        if surplus > 0 and self.slots.release(surplus):
            self._urgent = True

    def _release_concurrency(self, now: float) -> None:
        for name, portion in list(self.concurrency.portion_by_name.items()):
            counters = self._members.get(name, _Counters())
            if not counters.queue and now >= counters.used_at + self.rules.concurrency_idle_s:
                portion.held = min(portion.held, portion.used)

    def _member_reports(self) -> Iterable[MemberReport]:
        for name, counters in self._members.items():
            known = self._known.get(name)
            counted = known.counted if known else 0.0
            if counters.queue or counters.running or counters.served != counted:
                yield MemberReport(
                    member=name,
                    served=counters.served,
                    admitted=counters.admitted,
                    running=len(counters.running),
                    waiting=len(counters.queue),
                    rest=counters.rest,
                )

    def _take_totals(self, totals: Iterable[MemberTotal], sent: _Sent) -> None:
        for total in totals:
            counted = sent.served_by_member.get(total.member, 0.0)
            running = sent.running_by_member.get(total.member, 0)
            self._known[total.member] = _Known(total, counted, running)
            limits = self._limits_by_member.get(total.member)
            if limits is not None:
                limits.on_total(total)

    def _wait_hint_s(self, counters: _Counters) -> float:
        """Return a rough time until a queue that is full has room again."""
        return min(30.0, max(1.0, 0.1 * len(counters.queue)))
