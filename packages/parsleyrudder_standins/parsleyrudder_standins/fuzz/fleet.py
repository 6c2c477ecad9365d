"""Simulated fleet: routers, servers, table and operators, and the actions and faults on them."""

import random
from dataclasses import dataclass, field

import parsleyrudder as pr

from .calls import SimulatedCall
from .oracle import Oracle
from .router import POOL, Clock, SimulatedRouter
from .servers import ServerMode, SimulatedServer
from .simulation import NetworkRules, Simulation

__all__ = ["MEMBERS", "ROUTERS", "SERVERS", "Fleet"]

ROUTERS = ("r1", "r2", "r3")
SERVERS = ("s1", "s2")
MEMBERS = ("m1", "m2")
_WINDOW = 3
_CONCURRENCY = 4
_POOL_RULES = pr.PoolRules(max_call_s=8.0, default_cost=50.0)
_QUEUE_TIME_S = 6.0
_DEADLINE_S = 8.0
_RECOVERY_S = 30.0
_LOAD_INTERVAL_S = 0.05
_BURST_SIZE = 6
_CLOCKS = (Clock(0.0, 1.0), Clock(5000.0, 1.05), Clock(100.0, 0.95))


@dataclass(slots=True)
class _Draft:
    """Configuration on which an operator bases a change; may be outdated at submission."""

    base: pr.Config
    revision: int


@dataclass(slots=True)
class Fleet:
    """Routers and servers in a simulation.

    :param seed: seed of the random choices that are not arguments of an action.
    :ivar calls_per_s: mean rate of the generated calls.
    """

    seed: int
    simulation: Simulation = field(init=False)
    servers: dict[str, SimulatedServer] = field(init=False)
    routers: dict[str, SimulatedRouter] = field(default_factory=dict)
    calls_per_s: float = 0.0
    _draft_by_operator: dict[int, _Draft] = field(default_factory=dict)
    _call_count: int = 0
    _start_count: int = 0
    _submission_count: int = 0

    def __post_init__(self) -> None:
        oracle = Oracle(dict.fromkeys(SERVERS, _WINDOW), dict.fromkeys(MEMBERS, _CONCURRENCY))
        self.simulation = Simulation(random.Random(self.seed), oracle)
        self.servers = {id: SimulatedServer(id, self.simulation) for id in SERVERS}
        self.begin_change(0)
        self.submit_change(0, 1)
        for name in ROUTERS:
            self.start(name)
        self.simulation.advance(6.0)
        self._generate_load()

    def start(self, name: str) -> None:
        """Start a router process with a new incarnation."""
        self._start_count += 1
        clock = _CLOCKS[ROUTERS.index(name)]
        router = SimulatedRouter(
            name,
            self._start_count,
            clock,
            self.simulation,
            self.servers,
            _POOL_RULES,
            dict.fromkeys(SERVERS, _WINDOW),
        )
        self.routers[name] = self.simulation.host_by_name[name] = router
        router.start(ROUTERS)

    def restart(self, name: str) -> None:
        """End a router process and start a new one."""
        self.routers[name].end()
        self.start(name)

    def pause(self, name: str) -> None:
        """Suspend a router process."""
        self.routers[name].paused = True

    def resume(self, name: str) -> None:
        """Resume a paused router process."""
        self.routers[name].resume()

    def submit(self, router: str, member: str, idempotent: bool, execution_s: float) -> None:
        """Send a call to a router; nothing is sent if it is paused or has no configuration."""
        receiver = self.routers[router]
        if receiver.paused or not receiver.config_state.config.version:
            return
        self._call_count += 1
        id, now = f"c{self._call_count}", receiver.now()
        deadline = now + _DEADLINE_S
        waiting = pr.WaitingCall(id, member, "k", True, 50.0, now + _QUEUE_TIME_S, deadline)
        call = SimulatedCall(
            id, receiver, waiting, pr.Call(id, idempotent, False, deadline), execution_s
        )
        self.simulation.oracle.call_submitted(id, member, receiver, idempotent)
        receiver.submit(call)

    def _generate_load(self) -> None:
        """Send calls of one kind to one router at random; bursts move demand between routers."""
        rng = self.simulation.rng
        count = rng.choice((1, _BURST_SIZE))
        if rng.random() < self.calls_per_s * _LOAD_INTERVAL_S / count:
            router, member = rng.choice(ROUTERS), rng.choice(MEMBERS)
            idempotent, execution_s = rng.random() < 0.5, rng.choice((0.05, 0.3, 1.0, 4.0))
            for _ in range(count):
                self.submit(router, member, idempotent, execution_s)
        self.simulation.schedule(_LOAD_INTERVAL_S, self._generate_load)

    def set_server_mode(self, id: str, mode: ServerMode) -> None:
        """Set the mode of a server."""
        self.servers[id].mode = mode

    def partition(self, group: frozenset[str]) -> None:
        """Cut the links between a group, which may include the table, and the others."""
        others = {*ROUTERS, "table"} - group
        for inside in group:
            for outside in others:
                self.simulation.cut_links |= {(inside, outside), (outside, inside)}

    def isolate_holder(self, companion: str) -> None:
        """Cut the coordinator and another router off from the table and the other routers."""
        coordinators = [name for name in ROUTERS if self.routers[name].lease.is_acting()]
        group = {*coordinators, companion}
        for name in group:
            self.simulation.cut_links.add((name, "table"))
            for other in {*ROUTERS} - group:
                self.simulation.cut_links |= {(name, other), (other, name)}

    def cut_link(self, sender: str, receiver: str) -> None:
        """Cut one direction of a link between two routers, or from a router to the table."""
        self.simulation.cut_links.add((sender, receiver))

    def set_network(self, rules: NetworkRules) -> None:
        """Set the faults of the network."""
        self.simulation.network = rules

    def begin_change(self, operator: int) -> None:
        """Read the configuration on which an operator bases its next change."""
        config, revision = pr.decode_config(self.simulation.table.apply(pr.read_config_txn()))
        self._draft_by_operator[operator] = _Draft(config, revision)

    def submit_change(self, operator: int, change: int) -> None:
        """Submit an operator's change; if the answer is lost, the transaction is repeated."""
        draft = self._draft_by_operator.get(operator)
        if draft is None or not self.simulation.table_up:
            return
        self._submission_count += 1
        submission = f"o{operator}.{self._submission_count}"
        new = _changed_config(draft.base, change)
        txn = pr.submit_txn(draft.base, draft.revision, new, "operator", 0.0, submission)
        result = self.simulation.table.apply(txn)
        if self.simulation.answers_lost:
            # The operator's tool repeats the transaction and reads the outcome from its result.
            result = self.simulation.table.apply(txn)
        answer = pr.submit_result(result, submission)
        version = answer.version if isinstance(answer, pr.Accepted) else None
        self.simulation.oracle.submission_answered(submission, version)

    def check_recovery(self) -> None:
        """End all faults, wait, and check that every router has recovered."""
        self.simulation.clear_faults()
        self.calls_per_s = 0.0
        for server in self.servers.values():
            server.mode = ServerMode.WELL
        for router in self.routers.values():
            router.resume()
        self.simulation.advance(_RECOVERY_S)
        for router in self.routers.values():
            self.simulation.oracle.check_recovered(router, _RECOVERY_S)
        self._check_new_calls_answered()

    def _check_new_calls_answered(self) -> None:
        """Check that routers get slots again: a new call of each member to each is answered."""
        first = self._call_count + 1
        for name in ROUTERS:
            for member in MEMBERS:
                self.submit(name, member, True, 0.1)
        self.simulation.advance(_DEADLINE_S)
        for number in range(first, self._call_count + 1):
            self.simulation.oracle.check_answered(f"c{number}")


def _changed_config(base: pr.Config, change: int) -> pr.Config:
    plan = pr.Plan("p", (POOL,), _CONCURRENCY, 1e3, 1e6, 1e6, 20 + change, _QUEUE_TIME_S)
    members = {
        name: pr.Member(name, "p", 1.0 + (change + index) % 3, "00")
        for index, name in enumerate(MEMBERS)
    }
    return pr.Config(base.version, members, {"p": plan})
