"""Routing of calls to servers: affinity, load, health."""

from .choice import RoutingRules, ServerInfo, ServerTable

__all__ = ["RoutingRules", "ServerInfo", "ServerTable"]
