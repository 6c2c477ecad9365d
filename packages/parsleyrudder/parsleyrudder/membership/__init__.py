"""Membership of the fleet: live routers, gossip, addresses for callers, spread of the lists."""

from .rendezvous import rendezvous
from .spread import ConfigState
from .view import FleetView, ViewRules

__all__ = ["ConfigState", "FleetView", "ViewRules", "rendezvous"]
