"""Which server of a pool a call goes to."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from ..membership import rendezvous
from .hints import CacheHints, prefix_digest

__all__ = ["RoutingRules", "ServerInfo", "ServerTable"]


@dataclass(slots=True, frozen=True)
class ServerInfo:
    """A server of a pool, as settings and instance list describe it.

    :ivar address: ``host:port``.
    :ivar window: calls that it may run at the same time.
    """

    id: str
    pool: str
    address: str
    failure_domain: str
    window: int


@dataclass(slots=True, frozen=True)
class RoutingRules:
    """Settings of the choice.

    :ivar affinity_chars: length of the prompt's prefix that decides affinity.
    :ivar load_factor: affinity yields when the server's load is over this multiple of the mean.
    :ivar eject_after: consecutive failures after which a server is ejected.
    :ivar eject_s: length of the first ejection; doubles with each one that follows.
    :ivar eject_most_s: longest ejection.
    """

    affinity_chars: int = 256
    load_factor: float = 1.25
    eject_after: int = 3
    eject_s: float = 1.0
    eject_most_s: float = 30.0


@dataclass(slots=True)
class _State:
    running: int = 0
    reported: int = 0
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    trial: bool = False

    def is_spared(self, now: float) -> bool:
        """Whether the server gets no call because of its failures."""
        return now < self.ejected_until or (self.ejections > 0 and self.trial)


@dataclass(slots=True)
class ServerTable:
    """The servers of one pool with their health and load, as one router sees them."""

    failure_domain: str
    rules: RoutingRules = field(default_factory=RoutingRules)
    server_by_id: dict[str, ServerInfo] = field(default_factory=dict)
    leaving: set[str] = field(default_factory=set)
    hints: CacheHints = field(default_factory=CacheHints)
    _states: dict[str, _State] = field(default_factory=dict)

    def set_servers(self, servers: Iterable[ServerInfo], leaving: Iterable[str]) -> None:
        """Replace the servers of the pool; what is known of those that stay is kept."""
        self.server_by_id = {server.id: server for server in servers}
        self.leaving = set(leaving)
        self._states = {id: self._states.get(id) or _State() for id in self.server_by_id}
        self.hints.keep(self.server_by_id)

    def choose(self, prompt: str, candidates: Mapping[str, int], now: float) -> str | None:
        """Return the server that a call should go to, or None if none will do.

        :param prompt: start of the prompt, or an empty string.
        :param candidates: idle slots by server.
        """
        usable = [id for id in candidates if self.is_usable(id, now)]
        if not usable:
            return None
        if prompt:
            prefix = prompt[: self.rules.affinity_chars]
            healthy = self._healthy(now)
            hinted = self.hints.servers_of(prefix_digest(prefix))
            order = rendezvous(prefix, healthy)
            order.sort(key=lambda id: id not in hinted)
            # Only the first two: further ones hold the prefix no more than any other server.
            for id in order[:2]:
                if id in usable and not self._is_overloaded(id, healthy):
                    return id
        return min(usable, key=self._rank)

    def is_usable(self, id: str, now: float) -> bool:
        """Whether a server may get a call now."""
        state = self._states.get(id)
        return state is not None and id not in self.leaving and not state.is_spared(now)

    def spared(self, now: float) -> set[str]:
        """Return the servers that failed and get no call now; see :meth:`is_usable`."""
        return {id for id, state in self._states.items() if state.is_spared(now)}

    def started(self, id: str) -> None:
        """Count a call that is being sent."""
        state = self._states.setdefault(id, _State())
        state.running += 1
        state.trial = state.ejections > 0

    def ended(self, id: str, failed: bool | None, now: float) -> bool:
        """Count the end of a call.

        :param failed: whether the server is to blame; None if the end says nothing about it, as
            when the caller has left.
        :returns: whether the server has just been ejected.
        """
        state = self._states.get(id)
        if state is None:
            return False
        state.running -= 1
        if failed is None:
            state.trial = False
            return False
        if now < state.ejected_until:
            # A call from before the ejection; it tells nothing new.
            return False
        if not failed:
            state.failures = state.ejections = 0
            state.trial = False
            return False
        state.failures += 1
        if state.failures < self.rules.eject_after and not state.trial:
            return False
        length = self.rules.eject_s * 2.0 ** min(state.ejections, 16)
        state.ejected_until = now + min(self.rules.eject_most_s, length)
        state.ejections += 1
        state.failures = 0
        state.trial = False
        return True

    def on_load(self, id: str, running: int) -> None:
        """Take a server's load report, which lags."""
        if id in self._states:
            self._states[id].reported = running

    def windows(self) -> dict[str, int]:
        """Return the window of each server that is not leaving."""
        servers = self.server_by_id.values()
        return {server.id: server.window for server in servers if server.id not in self.leaving}

    def _healthy(self, now: float) -> list[str]:
        return [id for id in self._states if self.is_usable(id, now)]

    def _is_overloaded(self, id: str, healthy: Sequence[str]) -> bool:
        """Whether a server has more than its part of the calls; one call more is never too much."""
        mean = sum(self._states[other].running for other in healthy) / len(healthy)
        return self._states[id].running > self.rules.load_factor * mean + 1

    def _rank(self, id: str) -> tuple[float, int, bool, str]:
        state, server = self._states[id], self.server_by_id[id]
        local = server.failure_domain == self.failure_domain
        return state.running / max(1, server.window), state.reported, not local, id
