"""Traffic configuration: routes, pools, organisations and their keys, and the active version."""

from .active_config import ActiveTrafficConfig
from .model import (
    CallerLimits,
    EngineSpec,
    Organisation,
    PoolSpec,
    Route,
    RouteKind,
    TrafficConfig,
)

__all__ = [
    "ActiveTrafficConfig",
    "CallerLimits",
    "EngineSpec",
    "Organisation",
    "PoolSpec",
    "Route",
    "RouteKind",
    "TrafficConfig",
]
