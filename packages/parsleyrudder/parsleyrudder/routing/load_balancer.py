"""Load balancing and outlier ejection over the servers of one pool."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from ..membership import rendezvous
from .cache_hints import CacheHints, prefix_digest

__all__ = ["LoadBalancer", "RoutingRules", "ServerInfo"]


@dataclass(slots=True, frozen=True)
class ServerInfo:
    """A server of a pool, as described by the settings and the instance list.

    :ivar address: ``host:port``.
    :ivar window: maximum number of calls that the server may run concurrently.
    """

    id: str
    pool: str
    address: str
    failure_domain: str
    window: int


@dataclass(slots=True, frozen=True)
class RoutingRules:
    """Settings of the load balancer.

    :ivar affinity_prefix_chars: length of the prompt prefix that determines affinity.
    :ivar load_factor: a server with affinity is skipped if its load exceeds this multiple of the
        mean load by more than one call.
    :ivar ejection_threshold: number of consecutive failures that ejects a server.
    :ivar base_ejection_s: duration of the first ejection; each consecutive one doubles it.
    :ivar max_ejection_s: upper limit of the duration of an ejection.
    """

    affinity_prefix_chars: int = 256
    load_factor: float = 1.25
    ejection_threshold: int = 3
    base_ejection_s: float = 1.0
    max_ejection_s: float = 30.0


@dataclass(slots=True)
class _ServerState:
    """Load and health of one server.

    :ivar in_flight: calls from this router that have not ended.
    :ivar reported_running: running calls in the server's latest load report.
    :ivar ejections: consecutive ejections; a successful call resets it.
    :ivar probe_in_flight: whether the single call allowed after an ejection is still running.
    """

    in_flight: int = 0
    reported_running: int = 0
    consecutive_failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    probe_in_flight: bool = False

    def is_ejected(self, now: float) -> bool:
        """Whether the server gets no calls: it is ejected, or its probe call is in flight."""
        return now < self.ejected_until or (self.ejections > 0 and self.probe_in_flight)


@dataclass(slots=True)
class LoadBalancer:
    """Selects servers of one pool by the health and load that this router observes."""

    failure_domain: str
    rules: RoutingRules = field(default_factory=RoutingRules)
    server_by_id: dict[str, ServerInfo] = field(default_factory=dict)
    leaving: set[str] = field(default_factory=set)
    hints: CacheHints = field(default_factory=CacheHints)
    _states: dict[str, _ServerState] = field(default_factory=dict)

    def set_servers(self, servers: Iterable[ServerInfo], leaving: Iterable[str]) -> None:
        """Replace the servers of the pool, keeping the state of those that remain."""
        self.server_by_id = {server.id: server for server in servers}
        self.leaving = set(leaving)
        self._states = {
            server_id: self._states.get(server_id) or _ServerState()
            for server_id in self.server_by_id
        }
        self.hints.retain_servers(self.server_by_id)

    def choose(self, prompt: str, candidates: Mapping[str, int], now: float) -> str | None:
        """Select a server for a call, or return None if no candidate is usable.

        Prefers the first two servers in the order of the cache hints and then of the rendezvous
        hash of the prompt prefix, unless they are overloaded; otherwise the least loaded server.

        :param prompt: beginning of the prompt; empty for calls without affinity.
        :param candidates: number of idle slots by server.
        """
        usable = [server_id for server_id in candidates if self.is_usable(server_id, now)]
        if not usable:
            return None
        if prompt:
            prefix = prompt[: self.rules.affinity_prefix_chars]
            usable_servers = self._usable_servers(now)
            hinted = self.hints.servers_with(prefix_digest(prefix))
            order = rendezvous(prefix, usable_servers)
            order.sort(key=lambda server_id: server_id not in hinted)
            # Servers after the first two are no more likely to have the prefix cached than any
            # other server.
            for server_id in order[:2]:
                if server_id in usable and not self._is_overloaded(server_id, usable_servers):
                    return server_id
        return min(usable, key=self._load_key)

    def is_usable(self, server_id: str, now: float) -> bool:
        """Whether a server may receive a call now."""
        state = self._states.get(server_id)
        return state is not None and server_id not in self.leaving and not state.is_ejected(now)

    def ejected_servers(self, now: float) -> set[str]:
        """Return the servers that get no calls because of failures; see :meth:`is_usable`."""
        return {server_id for server_id, state in self._states.items() if state.is_ejected(now)}

    def record_call_start(self, server_id: str) -> None:
        """Record that a call is being sent to a server."""
        state = self._states.setdefault(server_id, _ServerState())
        state.in_flight += 1
        state.probe_in_flight = state.ejections > 0

    def record_call_end(self, server_id: str, failed: bool | None, now: float) -> bool:
        """Record the end of a call.

        :param failed: whether the server caused a failure; None if the outcome says nothing about
            the server, such as when the caller disconnected.
        :returns: whether this call ejected the server.
        """
        state = self._states.get(server_id)
        if state is None:
            return False
        state.in_flight -= 1
        if failed is None:
            state.probe_in_flight = False
            return False
        if now < state.ejected_until:
            # The call began before the ejection, so its outcome is no new information.
            return False
        if not failed:
            state.consecutive_failures = state.ejections = 0
            state.probe_in_flight = False
            return False
        state.consecutive_failures += 1
        if state.consecutive_failures < self.rules.ejection_threshold and not state.probe_in_flight:
            return False
        length = self.rules.base_ejection_s * 2.0 ** min(state.ejections, 16)
        state.ejected_until = now + min(self.rules.max_ejection_s, length)
        state.ejections += 1
        state.consecutive_failures = 0
        state.probe_in_flight = False
        return True

    def on_load(self, server_id: str, running: int) -> None:
        """Apply a server's load report, which is older than this router's own counts."""
        if server_id in self._states:
            self._states[server_id].reported_running = running

    def windows(self) -> dict[str, int]:
        """Return the concurrency window of each server that is not leaving."""
        servers = self.server_by_id.values()
        return {server.id: server.window for server in servers if server.id not in self.leaving}

    def _usable_servers(self, now: float) -> list[str]:
        return [server_id for server_id in self._states if self.is_usable(server_id, now)]

    def _is_overloaded(self, server_id: str, usable_servers: Sequence[str]) -> bool:
        """Whether a server's calls exceed the load factor times the mean by more than one call."""
        mean = sum(self._states[other].in_flight for other in usable_servers) / len(usable_servers)
        return self._states[server_id].in_flight > self.rules.load_factor * mean + 1

    def _load_key(self, server_id: str) -> tuple[float, int, bool, str]:
        """Return the sort key that puts the least loaded server first.

        This router's own counts come before load reports, which lag; ties go to servers in the
        router's failure domain.
        """
        state, server = self._states[server_id], self.server_by_id[server_id]
        local = server.failure_domain == self.failure_domain
        return state.in_flight / max(1, server.window), state.reported_running, not local, server_id
