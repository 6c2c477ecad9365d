"""Fleet membership: live routers, gossip, addresses for callers, and the configuration state."""

from .aggregators import Aggregators, ReportRole
from .config_state import ConfigState
from .hash_ring import HashRing
from .heartbeats import HeartbeatMonitor, next_incarnation
from .rendezvous import rendezvous
from .view import FleetView, ViewRules

__all__ = [
    "Aggregators",
    "ConfigState",
    "FleetView",
    "HashRing",
    "HeartbeatMonitor",
    "ReportRole",
    "ViewRules",
    "next_incarnation",
    "rendezvous",
]
