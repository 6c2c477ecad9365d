"""Fleet membership: live routers, gossip, addresses for callers, and the configuration state."""

from .config_state import ConfigState
from .hash_ring import HashRing
from .heartbeats import HeartbeatMonitor, next_incarnation
from .rendezvous import rendezvous
from .view import FleetView, ViewRules

__all__ = [
    "ConfigState",
    "FleetView",
    "HashRing",
    "HeartbeatMonitor",
    "ViewRules",
    "next_incarnation",
    "rendezvous",
]
