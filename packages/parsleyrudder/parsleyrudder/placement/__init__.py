"""Placement of models on engines: load orders, and assignment of spare engines to pools."""

from .model import EngineState, ModelSpec, Order, Placement, PlacementState
from .reconcile import OrderRules, Reconciler, order_authorisation_txn
from .spares import SpareMove, SparePlanner, SpareRules

__all__ = [
    "EngineState",
    "ModelSpec",
    "Order",
    "OrderRules",
    "Placement",
    "PlacementState",
    "Reconciler",
    "SpareMove",
    "SparePlanner",
    "SpareRules",
    "order_authorisation_txn",
]
