"""Hypothesis state machine that drives the simulated fleet.

The names of the rules and of their parameters are printed with each failure. Hypothesis also orders
the rules by the number of their parameters and by name, so a renamed rule can change what a seed
draws.
"""

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from .fleet import MEMBERS, ROUTERS, SERVERS, Fleet
from .servers import ServerMode
from .simulation import NetworkRules

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
    """Applies calls, faults and configuration changes in any order."""

    fleet: Fleet

    @initialize(
        seed=st.integers(0, 2**16),
        calls_per_s=_LOADS,
        mode=st.sampled_from((ServerMode.MIXED, ServerMode.WELL)),
        network=_NETWORKS,
    )
    def build(self, seed: int, calls_per_s: float, mode: ServerMode, network: NetworkRules) -> None:
        """Start a fleet, then set the load, the mode of all servers and the network faults."""
        self.fleet = Fleet(seed)
        self.fleet.calls_per_s = calls_per_s
        self.fleet.set_network(network)
        for id in SERVERS:
            self.fleet.set_server_mode(id, mode)

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
        """Move demand between two routers while grants and reports are in transit."""
        for router in (first, second, first):
            for member in MEMBERS:
                for _ in range(4):
                    self.fleet.submit(router, member, False, 2.0)
            self.fleet.simulation.advance(gap_s)

    @rule(calls_per_s=_LOADS)
    def change_load(self, calls_per_s: float) -> None:
        """Set the rate of the generated calls."""
        self.fleet.calls_per_s = calls_per_s

    @rule(seconds=_WAITS)
    def wait(self, seconds: float) -> None:
        """Advance the simulated time."""
        self.fleet.simulation.advance(seconds)

    @rule(network=_NETWORKS)
    def change_network(self, network: NetworkRules) -> None:
        """Set how messages are lost, duplicated, delayed and reordered."""
        self.fleet.set_network(network)

    @rule(group=_GROUP)
    def partition(self, group: frozenset[str]) -> None:
        """Cut a group off from the others; it may include the table."""
        self.fleet.partition(group)

    @rule(friend=_ROUTER, seconds=_WAITS)
    def isolate_holder(self, friend: str, seconds: float) -> None:
        """Isolate the coordinator and a second router; the others still reach the table."""
        self.fleet.isolate_holder(friend)
        self.fleet.simulation.advance(seconds)

    @rule(sender=_ROUTER, receiver=st.sampled_from((*ROUTERS, "table")))
    def cut_one_way(self, sender: str, receiver: str) -> None:
        """Cut one direction of a link."""
        self.fleet.cut_link(sender, receiver)

    @rule()
    def join(self) -> None:
        """End partitions and the faults of the network and the table."""
        self.fleet.simulation.clear_faults()

    @rule(name=_ROUTER, seconds=_WAITS)
    def pause_and_resume(self, name: str, seconds: float) -> None:
        """Suspend a process for some time, possibly until its leases have expired."""
        self.fleet.pause(name)
        self.fleet.simulation.advance(seconds)
        self.fleet.resume(name)

    @rule(name=_ROUTER)
    def pause(self, name: str) -> None:
        """Suspend a process until it is resumed by another rule."""
        self.fleet.pause(name)

    @rule(name=_ROUTER)
    def resume(self, name: str) -> None:
        """Resume a process."""
        self.fleet.resume(name)

    @rule(name=_ROUTER)
    def restart(self, name: str) -> None:
        """Replace a process with a new incarnation."""
        self.fleet.restart(name)

    @rule(up=st.booleans(), answers_lost=st.booleans(), late=st.booleans())
    def change_table(self, up: bool, answers_lost: bool, late: bool) -> None:
        """Set whether the table is up, loses answers, or applies writes late."""
        simulation = self.fleet.simulation
        simulation.table_up, simulation.answers_lost, simulation.writes_late = (
            up,
            answers_lost,
            late,
        )

    @rule(id=_SERVER, mode=st.sampled_from(ServerMode))
    def change_server(self, id: str, mode: ServerMode) -> None:
        """Set the mode of a server."""
        self.fleet.set_server_mode(id, mode)

    @rule(operator=_OPERATOR)
    def edit_lists(self, operator: int) -> None:
        """Begin an operator's change of the configuration."""
        self.fleet.begin_change(operator)

    @rule(operator=_OPERATOR, change=st.integers(0, 5))
    def submit_lists(self, operator: int, change: int) -> None:
        """Submit an operator's change, possibly based on an outdated version."""
        self.fleet.submit_change(operator, change)

    @invariant()
    def pass_a_little_time(self) -> None:
        """Advance the time slightly between two rules, so that messages can arrive."""
        if hasattr(self, "fleet"):
            self.fleet.simulation.advance(0.02)

    def teardown(self) -> None:
        """End the faults; every call must be answered and every configuration up to date."""
        if hasattr(self, "fleet") and not self.fleet.simulation.oracle.broken:
            self.fleet.check_recovery()
