"""Objects that the tasks of one relay share."""

import time
from dataclasses import dataclass, field

from parsleyrudder import (
    ActiveTrafficConfig,
    CrashSuspects,
    FleetView,
    LoadShedder,
    LongPromptTargets,
    PromptCacheIndex,
    TargetDirectory,
    TargetLoads,
    TargetNotices,
    TargetRateLimits,
    UsageLedger,
)
from parsleyrudder_adapters.http_client import HttpClient
from parsleyrudder_adapters.timers import Timers

from ..metrics import Metrics
from .dialect import Dialect
from .settings import RelaySettings

__all__ = ["RelayContext", "now"]


def now() -> float:
    """Return monotonic time in seconds, including time for which the instance is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(slots=True)
class RelayContext:
    """Shared objects of one relay, owned by the application object.

    :ivar is_stopping: whether this router has been told to stop, by SIGTERM or SIGINT.
    """

    settings: RelaySettings
    timers: Timers
    client: HttpClient
    dialect: Dialect
    view: FleetView
    active_config: ActiveTrafficConfig
    targets: TargetDirectory = field(default_factory=TargetDirectory)
    loads: TargetLoads = field(default_factory=TargetLoads)
    usage: UsageLedger = field(default_factory=UsageLedger)
    prompt_cache: PromptCacheIndex = field(default_factory=PromptCacheIndex)
    long_prompt_targets: LongPromptTargets = field(default_factory=LongPromptTargets)
    crash_suspects: CrashSuspects = field(default_factory=CrashSuspects)
    rate_limits: TargetRateLimits = field(default_factory=TargetRateLimits)
    load_shedder: LoadShedder = field(default_factory=LoadShedder)
    metrics: Metrics = field(default_factory=Metrics)
    is_stopping: bool = False
    notices: TargetNotices = field(init=False)

    def __post_init__(self) -> None:
        self.notices = TargetNotices(drain_s=self.settings.bounds.drain_s)

    def router_count(self) -> int:
        """Return the number of known routers, including this one and those that are silent."""
        return len(self.view.peers(now())) + 1
