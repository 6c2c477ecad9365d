"""Membership of the fleet: live routers, gossip, addresses for callers."""

from .rendezvous import rendezvous
from .view import FleetView, ViewRules

__all__ = ["FleetView", "ViewRules", "rendezvous"]
