"""The coordinator of one pool, which divides the slots of the pool's servers between routers.

It owns the ledgers of portions and the service totals of its pool. It works on the routers' reports
only, and never handles single calls.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from ..messages import Grant, Report
from .pool_rules import PoolRules
from .portion_changes import change_concurrency, change_slots
from .portions import Ledger, LostPortions
from .server_loads import ServerLoads
from .targets import Targets, compute_targets
from .totals import ServiceTotals

__all__ = ["Coordinator"]

_MIN_PUSH_INTERVAL_S = 0.02
_MEAN_COST_LEARNING_RATE = 0.05
_QUANTUM_DECAY_S = 10.0
# Reports arrive at the report interval with some jitter; without slack, every second report would
# arrive just before the targets are due.
_RECOMPUTE_SLACK = 0.9
# A load report is evaluated after this many report intervals; by then the routers' reports on the
# calls that it counts have arrived.
_SETTLE_INTERVALS = 5


@dataclass(slots=True)
class _RouterNumbers:
    """Sequence numbers of a router, kept after its removal to detect old messages.

    :ivar seq: sequence number of its last report.
    :ivar number: number of its last grant.
    """

    incarnation: int
    seq: int = 0
    number: int = 0


@dataclass(slots=True)
class _Router:
    """State of one router that holds portions.

    :ivar received_at: time of its last report.
    :ivar number: number of its last grant.
    :ivar acknowledged: number of the last grant that it has reported as applied.
    :ivar pushed_at: time of its last grant.
    :ivar target_slots: target of its last grant.
    :ivar members: members with calls at the router.
    """

    numbers: _RouterNumbers
    received_at: float = 0.0
    number: int = 0
    acknowledged: int = 0
    pushed_at: float = -math.inf
    target_slots: int = 0
    finished: int = 0
    finished_cost: float = 0.0
    has_waiting_calls: bool = False
    members: tuple[str, ...] = ()


@dataclass(slots=True)
class Coordinator:
    """Divides the slots of one pool between routers.

    :param name: name of the coordinating router.
    :param epoch: epoch of its lease.
    :param started_at: monotonic time at which it became coordinator.
    :param expected_routers: routers whose reports are awaited before portions are moved, for at
        most ``rules.reclaim_s``. Until then these routers may hold portions from the previous
        coordinator, so the portions of the routers that report are only renewed.
    :param previous_clean: whether the previous coordinator resigned with no lost portions and none
        of its own. In that case the slots that no router reports are free as soon as all expected
        routers have reported.
    :ivar _dead_band_allowed: whether routers with waiting calls may keep one slot above target.
    :ivar _ready: whether portions may be moved.
    :ivar _previously_granted: routers that had applied a grant before they joined.
    """

    name: str
    pool: str
    epoch: int
    rules: PoolRules
    started_at: float
    expected_routers: set[str] = field(default_factory=set)
    previous_clean: bool = False
    totals: ServiceTotals = field(default_factory=ServiceTotals)
    slots: Ledger = field(default_factory=Ledger)
    concurrency: Ledger = field(default_factory=Ledger)
    quantum: float = 0.0
    _window_by_server: dict[str, int] = field(default_factory=dict)
    _concurrency_by_member: dict[str, int] = field(default_factory=dict)
    _lost_slots: LostPortions = field(default_factory=LostPortions)
    _lost_concurrency: LostPortions = field(default_factory=LostPortions)
    _routers: dict[str, _Router] = field(default_factory=dict)
    _numbers_by_router: dict[str, _RouterNumbers] = field(default_factory=dict)
    _targets: Targets = field(default_factory=Targets)
    _computed_at: float = -math.inf
    _dead_band_allowed: bool = False
    _ready: bool = False
    _previously_granted: set[str] = field(default_factory=set)
    _mean_cost: float = field(init=False)
    _server_loads: ServerLoads = field(init=False)

    def __post_init__(self) -> None:
        settle_s = _SETTLE_INTERVALS * self.rules.report_interval_s
        self._server_loads = ServerLoads(self.rules.load_lag_s, settle_s)
        self.quantum = self.quantum or self.rules.default_cost
        self._mean_cost = self.quantum

    def set_servers(self, window_by_server: Mapping[str, int]) -> None:
        """Set the window of each server; servers left out are leaving or gone."""
        self._window_by_server = dict(window_by_server)
        self.slots.set_limits(
            {server: self._server_limit(server) for server in self._window_by_server}
        )
        self._computed_at = -math.inf

    def set_members(
        self, share_by_member: Mapping[str, float], concurrency_by_member: Mapping[str, int]
    ) -> None:
        """Set shares (normalised to average 1) and concurrency limits from the configuration."""
        self.totals.share_by_member = dict(share_by_member)
        self.totals.limit_by_member = self._concurrency_by_member = dict(concurrency_by_member)
        self.concurrency.set_limits(
            {member: self._member_limit(member) for member in self._concurrency_by_member}
        )
        self._computed_at = -math.inf

    def on_server_load(self, server: str, running: int, now: float) -> None:
        """Process a server's load report, which may show that lost slots are no longer in use.

        :meth:`tick` evaluates it a few report intervals later.

        :param running: number of calls that the server runs or has queued.
        """
        if self._lost_slots.total(server):
            self._server_loads.on_load(server, running, now)

    def is_ready(self, now: float) -> bool:
        """Whether all portions granted by the previous coordinator are known or have expired."""
        return self.expected_routers <= self._routers.keys() or (
            now >= self.started_at + self.rules.reclaim_s
        )

    def on_report(self, report: Report, now: float) -> list[tuple[str, Grant]]:
        """Process a router's report.

        :returns: grants with their receivers: the sender, and other routers whose portions change.
        """
        if not self._is_new(report):
            return []
        name = report.sender
        router = self._routers.get(name)
        if router is not None and router.numbers.incarnation != report.incarnation:
            self._remove_router(name, now, process_ended=True)
            router = None
        is_joining = router is None
        if router is None:
            router = self._add_router(report)
        router.numbers.seq = report.seq
        router.received_at = now
        self.totals.add(name, report.incarnation, report.members, report.carried, report.floor)
        if is_joining:
            self.totals.cap_lead(2 * self.rules.largest_cost)
        if report.epoch == self.epoch:
            router.acknowledged = max(router.acknowledged, report.applied_grant)
        acknowledged = router.acknowledged >= router.number and not is_joining
        if self._lost_slots:
            self._server_loads.on_report(name, report.slots, now)
        self.slots.on_report(name, report.slots, acknowledged)
        self.concurrency.on_report(name, report.concurrency, acknowledged)
        if is_joining:
            self.slots.adopt(name)
            self.concurrency.adopt(name)
        self._learn_mean_cost(router, report)
        router.members = tuple(member.member for member in report.members)
        router.has_waiting_calls = any(member.waiting for member in report.members)
        if not self._check_ready(now):
            return [(name, self._grant(name, router, self.slots.granted_total(name), now))]
        shortage = not self._targets.contended or not self.slots.granted_total(name)
        pushes = self._refresh_targets(now, router.has_waiting_calls and shortage)
        self._change_portions(name, router)
        grants = [(name, self._grant(name, router, self._target_slots(name), now))]
        return grants + self._push(pushes, name, now)

    def tick(self, now: float) -> list[tuple[str, Grant]]:
        """Reclaim the portions of routers whose lease has ended.

        :returns: grants with their receivers.
        """
        expired = [
            name
            for name, router in self._routers.items()
            if now >= router.received_at + self.rules.reclaim_s
        ]
        for name in expired:
            self._remove_router(name, now)
        self._apply_settled_loads(now)
        self._update_limits(self._lost_slots.expire(now), self._lost_concurrency.expire(now))
        if not expired or not self._check_ready(now):
            return []
        return self._push(self._refresh_targets(now, True), "", now)

    def routers(self) -> set[str]:
        """Return the routers whose portions have not been reclaimed."""
        return set(self._routers)

    def _apply_settled_loads(self, now: float) -> None:
        reported_at = {name: router.received_at for name, router in self._routers.items()}
        for server, others, lost_before in self._server_loads.pop_settled(now, reported_at):
            if self._lost_slots.cap(server, others, lost_before):
                self._update_limits({server}, set())
        if not self._lost_slots:
            self._server_loads.clear()

    def has_lost_slots(self) -> bool:
        """Whether load reports could show that lost slots are no longer in use."""
        return any(self._lost_slots.total(server) for server in self._window_by_server)

    def is_clean(self) -> bool:
        """Whether no portion is lost, so that a successor need not wait for lost calls to end."""
        return self._ready and not self.has_lost_slots()

    def _is_new(self, report: Report) -> bool:
        """Whether a report is neither old nor repeated."""
        numbers = self._numbers_by_router.get(report.sender)
        if numbers is None:
            return True
        return (report.incarnation, report.seq) > (numbers.incarnation, numbers.seq)

    def _add_router(self, report: Report) -> _Router:
        """Add a router that has sent its first report."""
        name = report.sender
        numbers = self._numbers_by_router.get(name)
        if numbers is not None and numbers.incarnation == report.incarnation:
            # Its report states what it still uses, so no upper bound has to be assumed.
            self._update_limits(
                self._lost_slots.remove_router(name), self._lost_concurrency.remove_router(name)
            )
        else:
            numbers = self._numbers_by_router[name] = _RouterNumbers(report.incarnation)
            self._update_limits(set(), self._lost_concurrency.remove_router(name))
        numbers.number = 1 + max(
            numbers.number, report.applied_grant if report.epoch == self.epoch else 0
        )
        self._routers[name] = _Router(numbers, number=numbers.number)
        if report.granted_epoch:
            self._previously_granted.add(name)
        self._computed_at = -math.inf
        return self._routers[name]

    def _learn_mean_cost(self, router: _Router, report: Report) -> None:
        calls = report.finished - router.finished
        if calls > 0 and router.finished:
            mean = max(0.0, report.finished_cost - router.finished_cost) / calls
            weight = min(1.0, calls * _MEAN_COST_LEARNING_RATE)
            self._mean_cost += weight * (max(mean, 1e-6) - self._mean_cost)
        router.finished, router.finished_cost = report.finished, report.finished_cost

    def _check_ready(self, now: float) -> bool:
        """Whether portions may be moved; counts slots that unreported calls may use as lost."""
        if self._ready:
            return True
        if not self.is_ready(now):
            return False
        self._ready = True
        # A router that was restarted may have left calls at the servers, as may a router that did
        # not report, or one that the previous coordinator had lost.
        all_known = self.previous_clean and self.expected_routers <= self._previously_granted
        if self.expected_routers and not all_known:
            free = self.slots.free_by_name()
            self._lost_slots.add("", free, now, now + self.rules.max_call_s)
            self._update_limits(set(free), set())
        return True

    def _remove_router(self, name: str, now: float, process_ended: bool = False) -> None:
        """End a router's lease; what it may still use counts against windows and limits.

        :param process_ended: whether its process has ended. Then its calls no longer count against
            the members' concurrency, although the servers may still run them.
        """
        del self._routers[name]
        self.totals.remove_router(name)
        until = now + self.rules.max_call_s
        slots = self.slots.remove_router(name)
        self._lost_slots.add(name, slots, now, until)
        concurrency = self.concurrency.remove_router(name)
        if not process_ended:
            self._lost_concurrency.add(name, concurrency, now, until)
        self._update_limits(set(slots), set(concurrency))

    def _server_limit(self, server: str) -> int:
        return max(0, self._window_by_server[server] - self._lost_slots.total(server))

    def _member_limit(self, member: str) -> int:
        return max(0, self._concurrency_by_member[member] - self._lost_concurrency.total(member))

    def _update_limits(self, servers: set[str], members: set[str]) -> None:
        for server in servers & self._window_by_server.keys():
            self.slots.set_limit(server, self._server_limit(server))
            self._computed_at = -math.inf
        for member in members & self._concurrency_by_member.keys():
            self.concurrency.set_limit(member, self._member_limit(member))

    def _refresh_targets(self, now: float, at_once: bool) -> list[str]:
        """Compute the targets if due; return the routers that may need an unsolicited grant."""
        if at_once or now >= self._computed_at + _RECOMPUTE_SLACK * self.rules.report_interval_s:
            self._update_quantum(now)
            self._computed_at = now
            self._targets = self._compute_targets(sum(self.slots.limit_by_name.values()))
            self._dead_band_allowed = not self._is_any_starving()
            return list(self._targets.slots_by_router)
        if not self.slots.has_free():
            return []
        return [name for name, router in self._routers.items() if router.has_waiting_calls]

    def _compute_targets(self, window: int) -> Targets:
        return compute_targets(
            self.totals,
            self.concurrency.limit_by_name,
            self._routers.keys(),
            window,
            self.quantum,
        )

    def _update_quantum(self, now: float) -> None:
        """Set the quantum to the mean cost of a call, or to the highest remaining cost if larger.

        If the quantum is far below the cost of a member's calls, a small lag in virtual time gives
        that member many slots at once, which it keeps for the duration of the calls, so the
        fairness gap oscillates. The quantum therefore rises immediately and decays slowly.
        """
        elapsed = min(_QUANTUM_DECAY_S, now - self._computed_at)
        kept = math.exp(-elapsed / _QUANTUM_DECAY_S) * self.quantum
        self.quantum = max(self._mean_cost, self.totals.max_remaining_cost(), kept)

    def _is_any_starving(self) -> bool:
        """Whether a router with waiting calls and a target above 0 holds no slot."""
        slots_by_router = self._targets.slots_by_router
        waiting = [name for name, router in self._routers.items() if router.has_waiting_calls]
        return any(slots_by_router[name] and not self.slots.granted_total(name) for name in waiting)

    def _target_slots(self, name: str) -> int:
        """Return the number of slots that a router should hold.

        A router with waiting calls may keep one slot above its target, which avoids needless moves,
        unless another router has waiting calls and no slot.
        """
        target_slots = self._targets.slots_by_router.get(name, 0)
        if self._dead_band_allowed and self._routers[name].has_waiting_calls:
            return max(target_slots, min(target_slots + 1, self.slots.granted_total(name)))
        return target_slots

    def _push(self, names: list[str], sender: str, now: float) -> list[tuple[str, Grant]]:
        """Return grants for routers that should learn of a change before their next report."""
        grants = []
        for name in names:
            router = self._routers.get(name)
            if router is None or name == sender or not self._needs_push(name, router, now):
                continue
            self._change_portions(name, router)
            grants.append((name, self._grant(name, router, self._target_slots(name), now)))
        return grants

    def _needs_push(self, name: str, router: _Router, now: float) -> bool:
        if now < router.pushed_at + _MIN_PUSH_INTERVAL_S or router.acknowledged < router.number:
            return False
        held, target_slots = self.slots.granted_total(name), self._target_slots(name)
        if router.has_waiting_calls and target_slots > held and self.slots.has_free():
            return True
        return target_slots < held and target_slots < router.target_slots

    def _grant(self, name: str, router: _Router, target_slots: int, now: float) -> Grant:
        router.pushed_at = now
        router.target_slots = target_slots
        return Grant(
            pool=self.pool,
            sender=self.name,
            epoch=self.epoch,
            number=router.number,
            report_seq=router.numbers.seq,
            incarnation=router.numbers.incarnation,
            lease_s=self.rules.portion_lease_s,
            target_slots=target_slots,
            slots=tuple(sorted(self.slots.granted_to(name).items())),
            concurrency=tuple(sorted(self.concurrency.granted_to(name).items())),
            totals=tuple(self.totals.total(member) for member in router.members),
            contended=self._targets.contended,
            floor=self.totals.floor,
            quantum=self.quantum,
            router_count=len(self._routers),
        )

    def _change_portions(self, name: str, router: _Router) -> None:
        """Change a router's portions, unless it has not yet confirmed the last change."""
        if router.acknowledged < router.number:
            return
        slots_changed = change_slots(self.slots, name, self._target_slots(name))
        concurrency_changed = change_concurrency(
            self.concurrency, self.totals, name, router.members
        )
        if slots_changed or concurrency_changed:
            router.number = router.numbers.number = router.number + 1
