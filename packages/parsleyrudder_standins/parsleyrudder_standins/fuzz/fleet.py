"""A virtual fleet under faults: routers, servers, table, operators, and the actions on them."""

import random
from dataclasses import dataclass, field

import parsleyrudder as pr

from .calls import VirtualCall
from .oracle import Oracle
from .router import POOL, Clock, VirtualRouter
from .servers import ServerMode, VirtualServer
from .world import NetworkRules, World

__all__ = ["MEMBERS", "ROUTERS", "SERVERS", "Fleet"]

ROUTERS = ("r1", "r2", "r3")
SERVERS = ("s1", "s2")
MEMBERS = ("m1", "m2")
_WINDOW = 3
_CONCURRENCY = 4
_RULES = pr.PoolRules(max_call_s=8.0, default_cost=50.0)
_QUEUE_S = 6.0
_DEADLINE_S = 8.0
_SETTLE_S = 30.0
_LOAD_STEP_S = 0.05
_BURST = 6
_CLOCKS = (Clock(0.0, 1.0), Clock(5000.0, 1.05), Clock(100.0, 0.95))


@dataclass(slots=True)
class _Draft:
    """An operator's change, based on a version that may be stale when it is submitted."""

    base: pr.Config
    revision: int


@dataclass(slots=True)
class Fleet:
    """The fleet and its world.

    :param seed: seed of everything random that the actions do not choose themselves.
    """

    seed: int
    world: World = field(init=False)
    servers: dict[str, VirtualServer] = field(init=False)
    routers: dict[str, VirtualRouter] = field(default_factory=dict)
    calls_per_s: float = 0.0
    _drafts: dict[int, _Draft] = field(default_factory=dict)
    _calls: int = 0
    _starts: int = 0
    _submissions: int = 0

    def __post_init__(self) -> None:
        oracle = Oracle(dict.fromkeys(SERVERS, _WINDOW), dict.fromkeys(MEMBERS, _CONCURRENCY))
        self.world = World(random.Random(self.seed), oracle)
        self.servers = {id: VirtualServer(id, self.world) for id in SERVERS}
        self.edit(0)
        self.submit_lists(0, 1)
        for name in ROUTERS:
            self.start(name)
        self.world.advance(6.0)
        self._load()

    def start(self, name: str) -> None:
        """Start a router's process, with a new incarnation."""
        self._starts += 1
        clock = _CLOCKS[ROUTERS.index(name)]
        router = VirtualRouter(
            name,
            self._starts,
            clock,
            self.world,
            self.servers,
            _RULES,
            dict.fromkeys(SERVERS, _WINDOW),
        )
        self.routers[name] = self.world.hosts[name] = router
        router.start(ROUTERS)

    def restart(self, name: str) -> None:
        """End a router's process and start the next."""
        self.routers[name].end()
        self.start(name)

    def pause(self, name: str) -> None:
        """Stop a router's process for a while."""
        self.routers[name].paused = True

    def resume(self, name: str) -> None:
        """Let a paused process go on."""
        self.routers[name].resume()

    def submit(self, router: str, member: str, idempotent: bool, seconds: float) -> None:
        """Let a caller send a call to a router."""
        target = self.routers[router]
        if target.paused or not target.state.config.version:
            return
        self._calls += 1
        id, now = f"c{self._calls}", target.now()
        deadline = now + _DEADLINE_S
        waiting = pr.WaitingCall(id, member, "k", True, 50.0, now + _QUEUE_S, deadline)
        call = VirtualCall(id, target, waiting, pr.Call(id, idempotent, False, deadline), seconds)
        self.world.oracle.submitted(id, member, target, idempotent)
        target.submit(call)

    def _load(self) -> None:
        """Send calls of one kind to one router, then wait: bursts move demand between routers."""
        rng = self.world.rng
        count = rng.choice((1, _BURST))
        if rng.random() < self.calls_per_s * _LOAD_STEP_S / count:
            router, member = rng.choice(ROUTERS), rng.choice(MEMBERS)
            idempotent, seconds = rng.random() < 0.5, rng.choice((0.05, 0.3, 1.0, 4.0))
            for _ in range(count):
                self.submit(router, member, idempotent, seconds)
        self.world.after(_LOAD_STEP_S, self._load)

    def set_server(self, id: str, mode: ServerMode) -> None:
        """Change what a server does."""
        self.servers[id].mode = mode

    def partition(self, group: frozenset[str]) -> None:
        """Cut the links between a group of routers, or the table, and the others."""
        others = {*ROUTERS, "table"} - group
        for a in group:
            for b in others:
                self.world.cut |= {(a, b), (b, a)}

    def isolate_holder(self, friend: str) -> None:
        """Cut the coordinator and another router from the table, and both from the rest."""
        holders = [name for name in ROUTERS if self.routers[name].lease.is_acting()]
        group = {*holders, friend}
        for name in group:
            self.world.cut.add((name, "table"))
            for other in {*ROUTERS} - group:
                self.world.cut |= {(name, other), (other, name)}

    def cut(self, sender: str, receiver: str) -> None:
        """Cut one direction between two routers, or from a router to the table."""
        self.world.cut.add((sender, receiver))

    def set_network(self, rules: NetworkRules) -> None:
        """Change what the network does to messages."""
        self.world.network = rules

    def edit(self, operator: int) -> None:
        """Let an operator read the lists that it will change."""
        config, revision = pr.decode_config(self.world.table.apply(pr.read_config_txn()))
        self._drafts[operator] = _Draft(config, revision)

    def submit_lists(self, operator: int, change: int) -> None:
        """Let an operator submit a change; a lost answer is replaced by a read of the log."""
        draft = self._drafts.get(operator)
        if draft is None or not self.world.table_up:
            return
        self._submissions += 1
        submission = f"o{operator}.{self._submissions}"
        new = _changed(draft.base, change)
        txn = pr.submit_txn(draft.base, draft.revision, new, "operator", 0.0, submission)
        result = self.world.table.apply(txn)
        if self.world.answers_lost:
            # The operator's tool repeats the transaction, then reads what became of it.
            result = self.world.table.apply(txn)
        answer = pr.submit_result(result, submission)
        version = answer.version if isinstance(answer, pr.Accepted) else None
        self.world.oracle.told(submission, version)

    def settle(self) -> None:
        """End all faults, wait, and check that nothing was left behind."""
        self.world.heal()
        self.calls_per_s = 0.0
        for server in self.servers.values():
            server.mode = ServerMode.WELL
        for router in self.routers.values():
            router.resume()
        self.world.advance(_SETTLE_S)
        for router in self.routers.values():
            self.world.oracle.settled(router, _SETTLE_S)
        self._check_served()

    def _check_served(self) -> None:
        """Check that the routers get slots again: a new call of each member is answered."""
        first = self._calls + 1
        for name in ROUTERS:
            for member in MEMBERS:
                self.submit(name, member, True, 0.1)
        self.world.advance(_DEADLINE_S)
        for number in range(first, self._calls + 1):
            self.world.oracle.served(f"c{number}")


def _changed(base: pr.Config, change: int) -> pr.Config:
    plan = pr.Plan("p", (POOL,), _CONCURRENCY, 1e3, 1e6, 1e6, 20 + change, _QUEUE_S)
    members = {
        name: pr.Member(name, "p", 1.0 + (change + index) % 3, "00")
        for index, name in enumerate(MEMBERS)
    }
    return pr.Config(base.version, members, {"p": plan})
