"""Fleet membership: live routers, gossip, addresses for callers, and the configuration state."""

from .config_state import ConfigState
from .heartbeats import HeartbeatMonitor, next_incarnation
from .rendezvous import rendezvous
from .view import FleetView, ViewRules

__all__ = [
    "ConfigState",
    "FleetView",
    "HeartbeatMonitor",
    "ViewRules",
    "next_incarnation",
    "rendezvous",
]
