"""The coordinator of one pool: divides the slots of the pool's servers between routers.

It owns the ledger of portions and the service totals of its pool. It never sees a call.
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

_PUSH_GAP_S = 0.02
_MEAN_RATE = 0.05
_QUANTUM_FADE_S = 10.0
# Reports come at the report interval with some jitter; without slack every second one would come
# just before the targets are due.
_RECOMPUTE_SLACK = 0.9
# Reports of the calls that a load report counts come at most so many intervals after it.
_SETTLE_INTERVALS = 5


@dataclass(slots=True)
class _Seen:
    """Numbers of a router that outlive its record, so that nothing old is taken for new."""

    incarnation: int
    seq: int = 0
    number: int = 0


@dataclass(slots=True)
class _Router:
    """What the coordinator knows of one router that holds portions.

    :ivar number: number of its last grant.
    :ivar target: target of its last grant.
    """

    seen: _Seen
    received_at: float = 0.0
    number: int = 0
    acknowledged: int = 0
    pushed_at: float = -math.inf
    target: int = 0
    finished: int = 0
    finished_cost: float = 0.0
    waits: bool = False
    members: tuple[str, ...] = ()


@dataclass(slots=True)
class Coordinator:
    """Divides the slots of one pool.

    :param name: name of the router that coordinates.
    :param epoch: epoch of its lease.
    :param started_at: monotonic time at which it took over.
    :param expected: routers whose reports it waits for before it moves portions, at most
        ``rules.reclaim_s``: until then they may hold portions of the previous coordinator. In the
        meantime it renews what the reporting routers hold.
    :param clean: whether the previous coordinator ended with no lost portions and none of its own;
        then slots that no router reports are free, once all expected routers have reported.
    """

    name: str
    pool: str
    epoch: int
    rules: PoolRules
    started_at: float
    expected: set[str] = field(default_factory=set)
    clean: bool = False
    totals: ServiceTotals = field(default_factory=ServiceTotals)
    slots: Ledger = field(default_factory=Ledger)
    concurrency: Ledger = field(default_factory=Ledger)
    quantum: float = 0.0
    _window_by_server: dict[str, int] = field(default_factory=dict)
    _concurrency_by_member: dict[str, int] = field(default_factory=dict)
    _lost_slots: LostPortions = field(default_factory=LostPortions)
    _lost_concurrency: LostPortions = field(default_factory=LostPortions)
    _routers: dict[str, _Router] = field(default_factory=dict)
    _seen: dict[str, _Seen] = field(default_factory=dict)
    _targets: Targets = field(default_factory=Targets)
    _computed_at: float = -math.inf
    _dead_band: bool = False
    _ready: bool = False
    _veterans: set[str] = field(default_factory=set)
    _mean_cost: float = field(init=False)
    _loads: ServerLoads = field(init=False)

    def __post_init__(self) -> None:
        settle_s = _SETTLE_INTERVALS * self.rules.report_interval_s
        self._loads = ServerLoads(self.rules.load_lag_s, settle_s)
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
        """Set shares (normalised to average 1) and concurrency limits from the lists."""
        self.totals.share_by_member = dict(share_by_member)
        self.totals.limit_by_member = self._concurrency_by_member = dict(concurrency_by_member)
        self.concurrency.set_limits(
            {member: self._member_limit(member) for member in self._concurrency_by_member}
        )
        self._computed_at = -math.inf

    def server_load(self, server: str, running: int, now: float) -> None:
        """Take a server's load report: lost slots that it does not show as in use return.

        It is judged some reports later, by :meth:`tick`.

        :param running: calls that the server runs or has queued.
        """
        if self._lost_slots.total(server):
            self._loads.take(server, running, now)

    def is_ready(self, now: float) -> bool:
        """Whether the portions of all earlier grants are known or have ended."""
        return self.expected <= self._routers.keys() or (
            now >= self.started_at + self.rules.reclaim_s
        )

    def on_report(self, report: Report, now: float) -> list[tuple[str, Grant]]:
        """Take a router's report.

        :returns: grants with their receivers: the sender, and others whose portions change.
        """
        if not self._is_new(report):
            return []
        name = report.sender
        router = self._routers.get(name)
        if router is not None and router.seen.incarnation != report.incarnation:
            self._lose(name, now, ended=True)
            router = None
        joins = router is None
        if router is None:
            router = self._join(report)
        router.seen.seq = report.seq
        router.received_at = now
        self.totals.add(name, report.incarnation, report.members, report.carried, report.floor)
        if joins:
            self.totals.cap(2 * self.rules.largest_cost)
        if report.epoch == self.epoch:
            router.acknowledged = max(router.acknowledged, report.grant)
        acknowledged = router.acknowledged >= router.number and not joins
        if self._lost_slots:
            self._loads.note(name, report.slots, now)
        self.slots.reported(name, report.slots, acknowledged)
        self.concurrency.reported(name, report.concurrency, acknowledged)
        if joins:
            self.slots.adopt(name)
            self.concurrency.adopt(name)
        self._learn_quantum(router, report)
        router.members = tuple(member.member for member in report.members)
        router.waits = any(member.waiting for member in report.members)
        if not self._check_ready(now):
            return [(name, self._grant(name, router, self.slots.granted_total(name), now))]
        shortage = not self._targets.contended or not self.slots.granted_total(name)
        pushes = self._refresh_targets(now, router.waits and shortage)
        self._change_portions(name, router)
        grants = [(name, self._grant(name, router, self._target(name), now))]
        return grants + self._push(pushes, name, now)

    def tick(self, now: float) -> list[tuple[str, Grant]]:
        """Take portions back from routers whose lease has ended.

        :returns: grants with their receivers.
        """
        gone = [
            name
            for name, router in self._routers.items()
            if now >= router.received_at + self.rules.reclaim_s
        ]
        for name in gone:
            self._lose(name, now)
        self._judge_loads(now)
        self._limits_changed(self._lost_slots.expire(now), self._lost_concurrency.expire(now))
        if not gone or not self._check_ready(now):
            return []
        return self._push(self._refresh_targets(now, True), "", now)

    def routers(self) -> set[str]:
        """Return the routers whose portions have not returned."""
        return set(self._routers)

    def _judge_loads(self, now: float) -> None:
        heard_at = {name: router.received_at for name, router in self._routers.items()}
        for server, others, lost_before in self._loads.settled(now, heard_at):
            if self._lost_slots.limit(server, others, lost_before):
                self._limits_changed({server}, set())
        if not self._lost_slots:
            self._loads.clear()

    def has_lost_slots(self) -> bool:
        """Whether load reports could return slots."""
        return any(self._lost_slots.total(server) for server in self._window_by_server)

    def is_clean(self) -> bool:
        """Whether no portion is lost, so that a successor need not wait for calls of the past."""
        return self._ready and not self.has_lost_slots()

    def _is_new(self, report: Report) -> bool:
        """Whether a report is neither old nor repeated."""
        seen = self._seen.get(report.sender)
        if seen is None:
            return True
        return (report.incarnation, report.seq) > (seen.incarnation, seen.seq)

    def _join(self, report: Report) -> _Router:
        """Begin a record of a router."""
        name = report.sender
        seen = self._seen.get(name)
        if seen is not None and seen.incarnation == report.incarnation:
            # Its report says what it still uses, so nothing has to be assumed any more.
            self._limits_changed(
                self._lost_slots.remove_router(name), self._lost_concurrency.remove_router(name)
            )
        else:
            seen = self._seen[name] = _Seen(report.incarnation)
            self._limits_changed(set(), self._lost_concurrency.remove_router(name))
        seen.number = 1 + max(seen.number, report.grant if report.epoch == self.epoch else 0)
        self._routers[name] = _Router(seen, number=seen.number)
        if report.granted_epoch:
            self._veterans.add(name)
        self._computed_at = -math.inf
        return self._routers[name]

    def _learn_quantum(self, router: _Router, report: Report) -> None:
        calls = report.finished - router.finished
        if calls > 0 and router.finished:
            mean = max(0.0, report.finished_cost - router.finished_cost) / calls
            weight = min(1.0, calls * _MEAN_RATE)
            self._mean_cost += weight * (max(mean, 1e-6) - self._mean_cost)
        router.finished, router.finished_cost = report.finished, report.finished_cost

    def _check_ready(self, now: float) -> bool:
        """Whether portions may be moved; notes what routers that never reported may still use."""
        if self._ready:
            return True
        if not self.is_ready(now):
            return False
        self._ready = True
        # A router that has been started anew may have left calls at the servers, as a missing one,
        # and so may a router that the previous coordinator had lost.
        known = self.clean and self.expected <= self._veterans
        if self.expected and not known:
            free = self.slots.free_by_name()
            self._lost_slots.add("", free, now, now + self.rules.max_call_s)
            self._limits_changed(set(free), set())
        return True

    def _lose(self, name: str, now: float, ended: bool = False) -> None:
        """End a router's lease; what it may still use counts against windows and limits.

        :param ended: whether its process has ended, so that none of its calls counts any more for
            the members; the servers may go on with them.
        """
        del self._routers[name]
        self.totals.drop_router(name)
        until = now + self.rules.max_call_s
        slots = self.slots.remove_router(name)
        self._lost_slots.add(name, slots, now, until)
        concurrency = self.concurrency.remove_router(name)
        if not ended:
            self._lost_concurrency.add(name, concurrency, now, until)
        self._limits_changed(set(slots), set(concurrency))

    def _server_limit(self, server: str) -> int:
        return max(0, self._window_by_server[server] - self._lost_slots.total(server))

    def _member_limit(self, member: str) -> int:
        return max(0, self._concurrency_by_member[member] - self._lost_concurrency.total(member))

    def _limits_changed(self, servers: set[str], members: set[str]) -> None:
        for server in servers & self._window_by_server.keys():
            self.slots.set_limit(server, self._server_limit(server))
            self._computed_at = -math.inf
        for member in members & self._concurrency_by_member.keys():
            self.concurrency.set_limit(member, self._member_limit(member))

    def _refresh_targets(self, now: float, at_once: bool) -> list[str]:
        """Compute the targets if they are due; return the routers that may need a push."""
        if at_once or now >= self._computed_at + _RECOMPUTE_SLACK * self.rules.report_interval_s:
            self._update_quantum(now)
            self._computed_at = now
            self._targets = self._compute_targets(sum(self.slots.limit_by_name.values()))
            self._dead_band = not self._is_any_starving()
            return list(self._targets.slots_by_router)
        if not self.slots.has_free():
            return []
        return [name for name, router in self._routers.items() if router.waits]

    def _compute_targets(self, window: int) -> Targets:
        return compute_targets(
            self.totals,
            self.concurrency.limit_by_name,
            self._routers.keys(),
            window,
            self.quantum,
        )

    def _update_quantum(self, now: float) -> None:
        """Follow the mean cost of a call, or the longest running calls where these are longer.

        With a quantum far below the cost of a member's calls, a small lag gives that member many
        slots at once, which it keeps as long as the calls run; the gap then swings. So the quantum
        rises at once and falls slowly.
        """
        elapsed = min(_QUANTUM_FADE_S, now - self._computed_at)
        kept = math.exp(-elapsed / _QUANTUM_FADE_S) * self.quantum
        self.quantum = max(self._mean_cost, self.totals.longest_rest(), kept)

    def _is_any_starving(self) -> bool:
        """Whether calls wait at a router that holds no slot and should."""
        part_by_router = self._targets.slots_by_router
        waiting = [name for name, router in self._routers.items() if router.waits]
        return any(part_by_router[name] and not self.slots.granted_total(name) for name in waiting)

    def _target(self, name: str) -> int:
        """Return the slots that a router should hold.

        A router with waiting calls may keep one slot more than its part, which avoids needless
        moves, unless another router has none.
        """
        target = self._targets.slots_by_router.get(name, 0)
        if self._dead_band and self._routers[name].waits:
            return max(target, min(target + 1, self.slots.granted_total(name)))
        return target

    def _push(self, names: list[str], sender: str, now: float) -> list[tuple[str, Grant]]:
        """Return grants for the routers that should hear of a change before their next report."""
        grants = []
        for name in names:
            router = self._routers.get(name)
            if router is None or name == sender or not self._needs_push(name, router, now):
                continue
            self._change_portions(name, router)
            grants.append((name, self._grant(name, router, self._target(name), now)))
        return grants

    def _needs_push(self, name: str, router: _Router, now: float) -> bool:
        if now < router.pushed_at + _PUSH_GAP_S or router.acknowledged < router.number:
            return False
        held, target = self.slots.granted_total(name), self._target(name)
        if router.waits and target > held and self.slots.has_free():
            return True
        return target < held and target < router.target

    def _grant(self, name: str, router: _Router, target: int, now: float) -> Grant:
        router.pushed_at = now
        router.target = target
        return Grant(
            pool=self.pool,
            sender=self.name,
            epoch=self.epoch,
            number=router.number,
            answers=router.seen.seq,
            incarnation=router.seen.incarnation,
            lease_s=self.rules.portion_lease_s,
            target=target,
            slots=tuple(sorted(self.slots.granted_to(name).items())),
            concurrency=tuple(sorted(self.concurrency.granted_to(name).items())),
            totals=tuple(self.totals.total(member) for member in router.members),
            contended=self._targets.contended,
            floor=self.totals.floor,
            quantum=self.quantum,
            routers=len(self._routers),
        )

    def _change_portions(self, name: str, router: _Router) -> None:
        """Change a router's portions, unless it has not confirmed the last change yet."""
        if router.acknowledged < router.number:
            return
        slots_changed = change_slots(self.slots, name, self._target(name))
        concurrency_changed = change_concurrency(
            self.concurrency, self.totals, name, router.members
        )
        if slots_changed or concurrency_changed:
            router.number = router.seen.number = router.number + 1
