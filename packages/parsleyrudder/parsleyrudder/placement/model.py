"""What engines should hold, what they hold, and the orders between the two."""

import msgspec

__all__ = ["EngineState", "Loaded", "Order", "Placement", "PlacementState"]


class Loaded(msgspec.Struct, frozen=True):
    """What an engine holds, or should hold.

    :ivar role: ``both``, ``prefill`` or ``decode``.
    """

    model: str
    version: str = ""
    adapters: tuple[str, ...] = ()
    role: str = "both"


class EngineState(msgspec.Struct, frozen=True):
    """What an engine says of itself; it lags.

    :ivar loading: what it is loading, or None.
    :ivar running: calls that it is running.
    """

    loaded: Loaded | None
    loading: Loaded | None = None
    running: int = 0


class Order(msgspec.Struct, frozen=True):
    """An order to one engine.

    It states the wanted result and no step towards it, so that repeating it does no harm.

    :ivar fence: epoch of the lease under which it is given; grows with each holder.
    """

    server: str
    fence: int
    wanted: Loaded


class PlacementState:
    """States of a spare server's placement."""

    DRAINING = "draining"
    LOADING = "loading"
    SERVING = "serving"


class Placement(msgspec.Struct, frozen=True):
    """Row of a spare server in the table.

    :ivar pool: pool that it serves, or will serve; empty for none.
    :ivar next: while draining, the pool that it will go to.
    """

    pool: str = ""
    state: str = PlacementState.SERVING
    next: str = ""
