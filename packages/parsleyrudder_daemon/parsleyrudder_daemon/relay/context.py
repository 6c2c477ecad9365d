"""What the tasks of one relay share."""

import time
from dataclasses import dataclass, field

from parsleyrudder import (
    ActiveTrafficConfig,
    FleetView,
    LongPromptTargets,
    PromptCacheIndex,
    TargetDirectory,
    TargetLoads,
    UsageLedger,
)
from parsleyrudder_adapters.http_client import HttpClient
from parsleyrudder_adapters.timers import Timers

from ..metrics import Metrics
from .dialect import Dialect
from .settings import RelaySettings

__all__ = ["RelayContext", "now"]


def now() -> float:
    """Return the steady time in seconds, which also counts while the instance is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(slots=True)
class RelayContext:
    """Shared parts of one relay; each is owned by the application object.

    :ivar stopping: whether SIGTERM has come.
    """

    settings: RelaySettings
    timers: Timers
    client: HttpClient
    dialect: Dialect
    view: FleetView
    traffic: ActiveTrafficConfig
    targets: TargetDirectory = field(default_factory=TargetDirectory)
    loads: TargetLoads = field(default_factory=TargetLoads)
    usage: UsageLedger = field(default_factory=UsageLedger)
    cache: PromptCacheIndex = field(default_factory=PromptCacheIndex)
    lane: LongPromptTargets = field(default_factory=LongPromptTargets)
    metrics: Metrics = field(default_factory=Metrics)
    stopping: bool = False

    def routers(self) -> int:
        """Return the number of routers that are known, this one included, also silent ones."""
        return len(self.view.peers(now())) + 1
