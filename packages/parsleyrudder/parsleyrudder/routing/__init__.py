"""Selection of the server for a call, by cache affinity, load and health."""

from .cache_hints import CacheEvent, CacheEvents, CacheHints, prefix_digest
from .load_balancer import LoadBalancer, RoutingRules, ServerInfo

__all__ = [
    "CacheEvent",
    "CacheEvents",
    "CacheHints",
    "LoadBalancer",
    "RoutingRules",
    "ServerInfo",
    "prefix_digest",
]
