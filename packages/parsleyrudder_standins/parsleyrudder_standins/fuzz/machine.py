"""The state machine by which hypothesis drives the virtual fleet."""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from .fleet import MEMBERS, ROUTERS, SERVERS, Fleet
from .servers import ServerMode
from .world import NetworkRules

__all__ = ["FleetMachine"]

_ROUTER = st.sampled_from(ROUTERS)
_SERVER = st.sampled_from(SERVERS)
_MEMBER = st.sampled_from(MEMBERS)
_NETWORKS = st.sampled_from(
    (
        NetworkRules(),
        NetworkRules(loss=0.3),
        NetworkRules(repeats=0.5, most_delay_s=1.0),
        NetworkRules(most_delay_s=4.0),
        NetworkRules(loss=0.3, repeats=0.3, most_delay_s=2.0),
    )
)
_GROUP = st.frozensets(st.sampled_from((*ROUTERS, "table")), min_size=1, max_size=3)
_WAITS = st.sampled_from((0.05, 0.3, 1.0, 2.5, 5.5, 9.0))
_LOADS = st.sampled_from((3.0, 8.0, 15.0, 0.0))
_OPERATOR = st.integers(0, 1)


class FleetMachine(RuleBasedStateMachine):
    """Calls, faults and operators in any order; the oracle watches."""

    fleet: Fleet

    @initialize(
        seed=st.integers(0, 2**16),
        calls_per_s=_LOADS,
        mode=st.sampled_from((ServerMode.MIXED, ServerMode.WELL)),
        network=_NETWORKS,
    )
    def build(self, seed: int, calls_per_s: float, mode: ServerMode, network: NetworkRules) -> None:
        """Start a fleet that works, with servers and a network that do or do not."""
        self.fleet = Fleet(seed)
        self.fleet.calls_per_s = calls_per_s
        self.fleet.set_network(network)
        for id in SERVERS:
            self.fleet.set_server(id, mode)

    @rule(
        router=_ROUTER,
        member=_MEMBER,
        idempotent=st.booleans(),
        seconds=st.sampled_from((0.05, 0.5, 3.0, 7.0)),
        count=st.integers(1, 6),
    )
    def submit(
        self, router: str, member: str, idempotent: bool, seconds: float, count: int
    ) -> None:
        """Send calls of one member to one router."""
        for _ in range(count):
            self.fleet.submit(router, member, idempotent, seconds)

    @rule(first=_ROUTER, second=_ROUTER, gap_s=st.sampled_from((0.15, 0.3, 0.6)))
    def shift_demand(self, first: str, second: str, gap_s: float) -> None:
        """Move the demand from one router to another while grants and reports are on their way."""
        for router in (first, second, first):
            for member in MEMBERS:
                for _ in range(4):
                    self.fleet.submit(router, member, False, 2.0)
            self.fleet.world.advance(gap_s)

    @rule(calls_per_s=_LOADS)
    def change_load(self, calls_per_s: float) -> None:
        """Let callers send calls of all kinds to all routers."""
        self.fleet.calls_per_s = calls_per_s

    @rule(seconds=_WAITS)
    def wait(self, seconds: float) -> None:
        """Let time pass."""
        self.fleet.world.advance(seconds)

    @rule(network=_NETWORKS)
    def change_network(self, network: NetworkRules) -> None:
        """Lose, repeat, delay and reorder messages."""
        self.fleet.set_network(network)

    @rule(group=_GROUP)
    def partition(self, group: frozenset[str]) -> None:
        """Cut a group of routers, with or without the table, from the rest."""
        self.fleet.partition(group)

    @rule(friend=_ROUTER, seconds=_WAITS)
    def isolate_holder(self, friend: str, seconds: float) -> None:
        """Leave the table to a router that can't reach the coordinator."""
        self.fleet.isolate_holder(friend)
        self.fleet.world.advance(seconds)

    @rule(sender=_ROUTER, receiver=st.sampled_from((*ROUTERS, "table")))
    def cut_one_way(self, sender: str, receiver: str) -> None:
        """Cut one direction of a link."""
        self.fleet.cut(sender, receiver)

    @rule()
    def join(self) -> None:
        """End partitions and network faults."""
        self.fleet.world.heal()

    @rule(name=_ROUTER, seconds=_WAITS)
    def pause_and_resume(self, name: str, seconds: float) -> None:
        """Stop a process for a while, perhaps past its leases."""
        self.fleet.pause(name)
        self.fleet.world.advance(seconds)
        self.fleet.resume(name)

    @rule(name=_ROUTER)
    def pause(self, name: str) -> None:
        """Stop a process; another rule lets it go on."""
        self.fleet.pause(name)

    @rule(name=_ROUTER)
    def resume(self, name: str) -> None:
        """Let a process go on."""
        self.fleet.resume(name)

    @rule(name=_ROUTER)
    def restart(self, name: str) -> None:
        """Replace a process by a new incarnation."""
        self.fleet.restart(name)

    @rule(up=st.booleans(), answers_lost=st.booleans(), late=st.booleans())
    def change_table(self, up: bool, answers_lost: bool, late: bool) -> None:
        """Let the table fail, lose answers, or apply writes late."""
        world = self.fleet.world
        world.table_up, world.answers_lost, world.writes_late = up, answers_lost, late

    @rule(id=_SERVER, mode=st.sampled_from(ServerMode))
    def change_server(self, id: str, mode: ServerMode) -> None:
        """Let a server fail or recover."""
        self.fleet.set_server(id, mode)

    @rule(operator=_OPERATOR)
    def edit_lists(self, operator: int) -> None:
        """Let an operator begin a change."""
        self.fleet.edit(operator)

    @rule(operator=_OPERATOR, change=st.integers(0, 5))
    def submit_lists(self, operator: int, change: int) -> None:
        """Let an operator submit a change, perhaps against a newer version."""
        self.fleet.submit_lists(operator, change)

    @invariant()
    def pass_a_little_time(self) -> None:
        """Let messages arrive between two rules."""
        if hasattr(self, "fleet"):
            self.fleet.world.advance(0.02)

    def teardown(self) -> None:
        """End the faults; everything must be served or refused, and the lists up to date."""
        if hasattr(self, "fleet") and not self.fleet.world.oracle.broken:
            self.fleet.settle()
