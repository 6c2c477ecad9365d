"""Routing of calls to servers: affinity, load, health."""

from .choice import RoutingRules, ServerInfo, ServerTable
from .hints import CacheEvent, CacheEvents, CacheHints, prefix_digest

__all__ = [
    "CacheEvent",
    "CacheEvents",
    "CacheHints",
    "RoutingRules",
    "ServerInfo",
    "ServerTable",
    "prefix_digest",
]
