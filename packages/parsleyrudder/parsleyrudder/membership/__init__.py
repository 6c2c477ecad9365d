"""Membership of the fleet: live routers, gossip, addresses for callers, spread of the lists."""

from .rendezvous import rendezvous
from .rows import RowWatcher, next_incarnation
from .spread import ConfigState
from .view import FleetView, ViewRules

__all__ = [
    "ConfigState",
    "FleetView",
    "RowWatcher",
    "ViewRules",
    "next_incarnation",
    "rendezvous",
]
