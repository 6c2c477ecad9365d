"""Wanted and reported state of engines, orders to load a model, and rows of spare engines."""

import msgspec

__all__ = ["EngineState", "ModelSpec", "Order", "Placement", "PlacementState"]


class ModelSpec(msgspec.Struct, frozen=True):
    """Model that an engine has loaded, is loading or should load.

    :ivar adapters: names of the adapters to load with the model.
    :ivar role: phases of inference that the engine runs: ``both``, ``prefill`` or ``decode``.
    """

    model: str
    version: str = ""
    adapters: tuple[str, ...] = ()
    role: str = "both"


class EngineState(msgspec.Struct, frozen=True):
    """State that an engine last reported; it may be out of date.

    :ivar loaded: model that is loaded, or None.
    :ivar loading: model that is being loaded, or None.
    :ivar running: number of running calls.
    """

    loaded: ModelSpec | None
    loading: ModelSpec | None = None
    running: int = 0


class Order(msgspec.Struct, frozen=True):
    """Order to one engine to load a model.

    It states the wanted state rather than an action, so it is idempotent and can be sent again.

    :ivar server: id of the engine.
    :ivar fence: fencing number: epoch of the lease under which the order is sent; it increases with
        each lease holder.
    :ivar wanted: model that the engine should load.
    """

    server: str
    fence: int
    wanted: ModelSpec


class PlacementState:
    """States of a spare engine's placement."""

    DRAINING = "draining"
    LOADING = "loading"
    SERVING = "serving"


class Placement(msgspec.Struct, frozen=True):
    """Row of a spare engine in the table.

    :ivar pool: pool that the engine serves, is loading for or is draining from; empty for none.
    :ivar state: one of :class:`PlacementState`.
    :ivar next: while draining, the pool that the engine is assigned to afterwards.
    """

    pool: str = ""
    state: str = PlacementState.SERVING
    next: str = ""
