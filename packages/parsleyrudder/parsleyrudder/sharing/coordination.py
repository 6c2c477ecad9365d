"""The coordinator of one pool: divides the slots of the pool's servers between routers.

It owns the ledger of portions and the service totals of its pool. It never sees a call.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from ..messages import Grant, Report
from .ordering import Claim, allocate, split
from .portions import Ledger, LostPortions
from .totals import ServiceTotals

__all__ = ["Coordinator", "PoolRules"]

_PUSH_GAP_S = 0.02
_MEAN_RATE = 0.05


@dataclass(slots=True, frozen=True)
class PoolRules:
    """Settings of a pool that its coordinator needs.

    :ivar portion_lease_s: time for which a router may use its portions after a report.
    :ivar lease_margin: part of the lease that is waited in addition, for clocks that differ.
    :ivar max_call_s: longest time that a call may run.
    :ivar default_cost: expected cost of a call as long as none has finished.
    :ivar largest_cost: largest cost that one call may have.
    """

    portion_lease_s: float = 5.0
    lease_margin: float = 0.25
    max_call_s: float = 120.0
    default_cost: float = 100.0
    largest_cost: float = 8000.0

    @property
    def reclaim_s(self) -> float:
        """Time after a router's last report at which its portions return."""
        return self.portion_lease_s * (1 + self.lease_margin)


@dataclass(slots=True)
class _Router:
    """What the coordinator knows of one router."""

    incarnation: int
    seq: int = 0
    received_at: float = 0.0
    number: int = 0
    acknowledged: int = 0
    pushed_at: float = 0.0
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
    _incarnations: dict[str, int] = field(default_factory=dict)
    _numbers: dict[str, int] = field(default_factory=dict)
    _used_by_server: dict[str, dict[str, int]] = field(default_factory=dict)
    _past_counted: bool = False

    def __post_init__(self) -> None:
        self.quantum = self.quantum or self.rules.default_cost

    def set_servers(self, window_by_server: Mapping[str, int]) -> None:
        """Set the window of each server; servers left out are leaving or gone."""
        self._window_by_server = dict(window_by_server)
        self._update_limits()

    def set_members(
        self, share_by_member: Mapping[str, float], concurrency_by_member: Mapping[str, int]
    ) -> None:
        """Set shares (normalised to average 1) and concurrency limits from the lists."""
        self.totals.share_by_member = dict(share_by_member)
        self._concurrency_by_member = dict(concurrency_by_member)
        self._update_limits()

    def server_load(self, server: str, running: int) -> None:
        """Take a server's load report: lost slots that it does not show as running return.

        The calls that routers report are not deducted from the load, because they may have ended
        between report and load report, and calls of lost routers would be taken for them.
        """
        if self._lost_slots.total(server):
            self._lost_slots.limit(server, running)
            self._update_limits()

    def is_ready(self, now: float) -> bool:
        """Whether the portions of all earlier grants are known or have ended."""
        return self.expected <= self._routers.keys() or (
            now >= self.started_at + self.rules.reclaim_s
        )

    def on_report(self, report: Report, now: float) -> list[tuple[str, Grant]]:
        """Take a router's report.

        :returns: grants with their receivers: the sender, and others whose portions change.
        """
        router = self._accept(report, now)
        if router is None:
            return []
        self.totals.add(report.sender, report.incarnation, report.members, report.carried)
        acknowledged = report.epoch == self.epoch and report.grant >= router.number
        self.slots.reported(report.sender, report.slots, acknowledged)
        self.concurrency.reported(report.sender, report.concurrency, acknowledged)
        if report.epoch == self.epoch:
            router.acknowledged = max(router.acknowledged, report.grant)
        self._note_use(report)
        self._learn_quantum(router, report)
        router.members = tuple(member.member for member in report.members)
        router.waits = any(member.waiting for member in report.members)
        if not self.is_ready(now):
            held = {report.sender: sum(self.slots.held_by(report.sender).values())}
            return [(report.sender, self._grant(report.sender, router, held, {}, False, now))]
        self._count_past(now)
        return self._regrant(now, report.sender)

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
        if self.is_ready(now):
            self._count_past(now)
        self._lost_slots.expire(now)
        self._lost_concurrency.expire(now)
        self._update_limits()
        return self._regrant(now) if gone and self.is_ready(now) else []

    def routers(self) -> set[str]:
        """Return the routers whose portions have not returned."""
        return set(self._routers)

    def router_left(self, name: str) -> None:
        """Forget a router that has stopped after finishing its calls."""
        self._routers.pop(name, None)
        self.totals.drop_router(name)
        self.slots.remove_router(name)
        self.concurrency.remove_router(name)
        self._drop_use(name)

    def _accept(self, report: Report, now: float) -> _Router | None:
        """Return the sender's record, or None for a report that is old or repeated."""
        if report.incarnation < self._incarnations.get(report.sender, 0):
            return None
        router = self._routers.get(report.sender)
        if router is not None and router.incarnation < report.incarnation:
            self._lose(report.sender, now, ended=True)
            router = None
        if router is None:
            returning = self._incarnations.get(report.sender) == report.incarnation
            self._incarnations[report.sender] = report.incarnation
            # Numbers go on after a loss; the router takes a lower one for an old grant.
            number = self._numbers.get(report.sender, 0) if returning else 0
            router = _Router(report.incarnation, number=number)
            self._routers[report.sender] = router
            if returning:
                owner = f"{report.sender}:{report.incarnation}"
                self._lost_slots.remove(owner)
                self._lost_concurrency.remove(owner)
                self._cap_debt()
        if report.seq <= router.seq:
            return None
        router.seq = report.seq
        router.received_at = now
        return router

    def _count_past(self, now: float) -> None:
        """Count slots that no router reports as lost under the previous coordinator, once.

        Routers that died with it, or before it, may have left calls at the servers.
        """
        if self._past_counted:
            return
        self._past_counted = True
        known = self.clean and self.expected <= self._routers.keys()
        if known or not self.expected:
            return
        until = now + self.rules.max_call_s
        for server, window in self._window_by_server.items():
            unknown = window - self.slots.assigned(server)
            if unknown > 0:
                self._lost_slots.add({server: unknown}, until)
        self._update_limits()

    def has_lost_slots(self) -> bool:
        """Whether load reports could return slots."""
        return any(self._lost_slots.total(server) for server in self._window_by_server)

    def is_clean(self) -> bool:
        """Whether no portion is lost, so that a successor need not wait for calls of the past."""
        return self._past_counted and not self.has_lost_slots()

    def _cap_debt(self) -> None:
        self.totals.cap(2 * self.rules.largest_cost)

    def _note_use(self, report: Report) -> None:
        self._drop_use(report.sender)
        for holding in report.slots:
            self._used_by_server.setdefault(holding.name, {})[report.sender] = holding.used

    def _drop_use(self, name: str) -> None:
        for used in self._used_by_server.values():
            used.pop(name, None)

    def _learn_quantum(self, router: _Router, report: Report) -> None:
        calls = report.finished - router.finished
        if calls > 0 and router.finished:
            mean = max(0.0, report.finished_cost - router.finished_cost) / calls
            weight = min(1.0, calls * _MEAN_RATE)
            self.quantum += weight * (max(mean, 1e-6) - self.quantum)
        router.finished, router.finished_cost = report.finished, report.finished_cost

    def _lose(self, name: str, now: float, ended: bool = False) -> None:
        """End a router's lease; what it may still use counts against windows and limits.

        :param ended: whether its process has ended, so that none of its calls counts any more for
            the members; the servers may go on with them.
        """
        router = self._routers.pop(name)
        self._numbers[name] = router.number
        owner = "" if ended else f"{name}:{router.incarnation}"
        self.totals.drop_router(name)
        until = now + self.rules.max_call_s
        self._lost_slots.add(self.slots.remove_router(name), until, owner)
        concurrency = self.concurrency.remove_router(name)
        if not ended:
            self._lost_concurrency.add(concurrency, until, owner)
        self._drop_use(name)
        self._update_limits()

    def _update_limits(self) -> None:
        self.slots.limit_by_name = {
            server: max(0, window - self._lost_slots.total(server))
            for server, window in self._window_by_server.items()
        }
        self.concurrency.limit_by_name = {
            member: max(0, limit - self._lost_concurrency.total(member))
            for member, limit in self._concurrency_by_member.items()
        }

    def _regrant(self, now: float, sender: str = "") -> list[tuple[str, Grant]]:
        targets, wanted, contended = self._targets()
        grants = []
        for name in sorted(self._routers, key=lambda n: (n != sender, n)):
            router = self._routers[name]
            if name != sender and not self._needs_push(name, router, targets, now):
                continue
            grants.append((name, self._grant(name, router, targets, wanted, contended, now)))
        return grants

    def _targets(self) -> tuple[dict[str, int], dict[str, dict[str, int]], bool]:
        """Return target slots by router, wanted calls by member and router, and contention."""
        window = sum(self.slots.limit_by_name.values())
        claims = []
        for member in self.totals.active():
            limit = self.concurrency.limit_by_name.get(member, 0)
            demand = min(self.totals.demand(member), limit)
            claims.append(Claim(member, self.totals.vt(member), self.totals.share(member), demand))
        wanted = {
            member: split(count, self.totals.running(member), self.totals.waiting(member))
            for member, count in allocate(claims, window, self.quantum).items()
        }
        targets = dict.fromkeys(self._routers, 0)
        for by_router in wanted.values():
            for name, count in by_router.items():
                targets[name] = targets.get(name, 0) + count
        contended = sum(claim.demand for claim in claims) > window
        spare = window - sum(targets.values())
        for index, name in enumerate(sorted(self._routers)):
            part, rest = divmod(spare, len(self._routers))
            targets[name] += part + (index < rest)
        return targets, wanted, contended

    def _needs_push(
        self, name: str, router: _Router, targets: Mapping[str, int], now: float
    ) -> bool:
        """Whether a router should hear of a change before its next report."""
        if now < router.pushed_at + _PUSH_GAP_S or router.acknowledged < router.number:
            return False
        held = sum(self.slots.held_by(name).values())
        if router.waits and targets[name] > held and self._has_free_slot():
            return True
        return targets[name] < held and targets[name] < router.target

    def _has_free_slot(self) -> bool:
        return any(self.slots.free(server) for server in self.slots.limit_by_name)

    def _grant(
        self,
        name: str,
        router: _Router,
        targets: Mapping[str, int],
        wanted: Mapping[str, Mapping[str, int]],
        contended: bool,
        now: float,
    ) -> Grant:
        if router.acknowledged >= router.number:
            self._set_slots(name, targets[name])
            self._set_concurrency(name, router, wanted)
        router.number += 1
        router.pushed_at = now
        router.target = targets[name]
        return Grant(
            pool=self.pool,
            sender=self.name,
            epoch=self.epoch,
            number=router.number,
            answers=router.seq,
            incarnation=router.incarnation,
            lease_s=self.rules.portion_lease_s,
            target=targets[name],
            slots=tuple(sorted(self.slots.granted_to(name).items())),
            concurrency=tuple(sorted(self.concurrency.granted_to(name).items())),
            totals=tuple(self.totals.total(member) for member in router.members),
            contended=contended,
            floor=self.totals.floor,
            quantum=self.quantum,
        )

    def _set_slots(self, name: str, target: int) -> None:
        """Grant unassigned slots up to the target, from the server with most of them first."""
        held = self.slots.held_by(name)
        for server, count in held.items():
            excess = self.slots.excess(server)
            if excess:
                self.slots.grant(server, name, max(0, count - excess))
        missing = target - sum(held.values())
        while missing > 0:
            server = max(self.slots.limit_by_name, key=self.slots.free, default="")
            if not server or not self.slots.free(server):
                break
            self.slots.grant(server, name, self.slots.held(server, name) + 1)
            missing -= 1

    def _set_concurrency(
        self, name: str, router: _Router, wanted: Mapping[str, Mapping[str, int]]
    ) -> None:
        """Grant what the router's calls can use; take idle parts back where others need them."""
        for member in router.members:
            useful = wanted.get(member, {}).get(name, 0)
            held = self.concurrency.held(member, name)
            if useful > held:
                raised = held + min(useful - held, self.concurrency.free(member))
                self.concurrency.grant(member, name, raised)
            elif self.totals.demand(member) >= self.concurrency.limit_by_name.get(member, 0):
                self.concurrency.grant(member, name, useful)
