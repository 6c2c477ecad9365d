"""Traffic configuration as declared by operators: routes, pools, limits and organisations."""

from dataclasses import dataclass, field
from enum import StrEnum

__all__ = [
    "CallerLimits",
    "EngineSpec",
    "Organisation",
    "PoolSpec",
    "Route",
    "RouteKind",
    "TrafficConfig",
]


class RouteKind(StrEnum):
    """Whether requests on a route may be repeated."""

    SAFE = "safe"
    """Idempotent: requests may be executed more than once."""
    UNSAFE = "unsafe"
    """A request is executed at most once."""
    STREAM = "stream"
    """The response is an event stream; a request may be repeated only if the route is resumable."""


@dataclass(slots=True, frozen=True)
class Route:
    """Route for the requests to one host under one path prefix.

    :ivar timeout_s: maximum time that a caller waits for a response.
    :ivar weight_by_pool: pools that the route's requests are split across, with their weights.
    :ivar target_latency_s: latency objective for the response or, for a stream, its first event.
    :ivar target_event_interval_s: objective for the interval between two events of a stream.
    :ivar priority: priority of the route; 0 is the highest.
    :ivar max_attempts: maximum number of targets that one request may be sent to.
    :ivar is_public: whether requests need no key.
    :ivar is_resumable: whether an interrupted stream can be resumed.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    timeout_s: float
    weight_by_pool: dict[str, float]
    target_latency_s: float = 1.0
    target_event_interval_s: float = 1.0
    priority: int = 0
    max_attempts: int = 1
    is_public: bool = False
    is_resumable: bool = False

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may be sent again although it may already have been executed."""
        return self.kind is RouteKind.SAFE or (self.kind is RouteKind.STREAM and self.is_resumable)

    def select_pool(self, fraction: float) -> str:
        """Select a pool for a request by weight.

        :param fraction: position in the weighted split, drawn uniformly from [0, 1) per request.

        >>> route = Route("r", "h", "/", RouteKind.SAFE, 1.0, {"a": 9, "b": 1})
        >>> route.select_pool(0.5), route.select_pool(0.95)
        ('a', 'b')
        """
        remainder = fraction * sum(self.weight_by_pool.values())
        for pool, weight in self.weight_by_pool.items():
            remainder -= weight
            if remainder < 0:
                return pool
        return next(reversed(self.weight_by_pool))


@dataclass(slots=True, frozen=True)
class EngineSpec:
    """Properties shared by all inference engines of a pool.

    :ivar slots: maximum number of requests that an engine runs concurrently.
    :ivar kv_cache_tokens: capacity of an engine's KV cache in tokens.
    """

    slots: int
    kv_cache_tokens: int


@dataclass(slots=True, frozen=True)
class PoolSpec:
    """A pool of targets.

    :ivar max_connections: number of connections that a target accepts from all routers combined.
    :ivar engine: properties of the inference engines; None for a plain service.
    """

    name: str
    max_connections: int
    engine: EngineSpec | None = None


@dataclass(slots=True, frozen=True)
class CallerLimits:
    """Limits on the size of callers' requests and on slow or idle connections."""

    header_bytes: int = 16384
    body_bytes: int = 1 << 20
    header_timeout_s: float = 10.0
    idle_timeout_s: float = 60.0


@dataclass(slots=True, frozen=True)
class Organisation:
    """A customer that shares the fleet's capacity.

    :ivar keys: API keys of the organisation.
    """

    name: str
    keys: tuple[str, ...]
    priority: int = 0


@dataclass(slots=True, frozen=True)
class TrafficConfig:
    """One version of the complete traffic configuration.

    :ivar tokens_per_s: combined throughput of the engines of all pools, where a prompt token counts
        once and a generated token twice; 0 if unknown.
    :ivar requires_keys: whether requests need a key, unless their route is public; organisations
        may be declared although none of them holds a key.
    :ivar organisation_by_key: organisations by API key.
    """

    version: int
    routes: tuple[Route, ...]
    pool_by_name: dict[str, PoolSpec]
    limits: CallerLimits = field(default_factory=CallerLimits)
    tokens_per_s: float = 0.0
    requires_keys: bool = False
    organisation_by_key: dict[str, Organisation] = field(default_factory=dict)
    _routes_by_host: dict[str, list[Route]] = field(init=False, default_factory=dict)

    def __post_init__(self) -> None:
        for route in sorted(self.routes, key=lambda route: len(route.prefix), reverse=True):
            self._routes_by_host.setdefault(route.host, []).append(route)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the host's route with the longest prefix that matches the path, or None."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def min_target_latency_s(self, pool: str) -> float:
        """Return the lowest target latency of the routes to a pool; 1 s if no route uses it."""
        latencies = [r.target_latency_s for r in self.routes if pool in r.weight_by_pool]
        return min(latencies, default=1.0)
