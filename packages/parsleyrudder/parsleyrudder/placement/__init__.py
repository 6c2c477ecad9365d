"""Placement of models on engines: wanted and reported state, orders, spare engines."""

from .model import EngineState, Loaded, Order, Placement, PlacementState
from .reconcile import OrderRules, Reconciler, authorise
from .spares import Move, SparePlanner, SpareRules

__all__ = [
    "EngineState",
    "Loaded",
    "Move",
    "Order",
    "OrderRules",
    "Placement",
    "PlacementState",
    "Reconciler",
    "SparePlanner",
    "SpareRules",
    "authorise",
]
