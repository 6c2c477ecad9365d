"""State shared by the tasks of one daemon: settings, clock, adapters, metrics, configuration."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from parsleyrudder import (
    Config,
    EngineClient,
    FleetView,
    InstanceList,
    Message,
    ServiceClient,
    TableService,
)
from parsleyrudder_adapters.settings import Settings
from parsleyrudder_adapters.timers import Timers

from .metrics import Metrics

if TYPE_CHECKING:
    from .key_task import KeyTask

__all__ = ["Context", "TableHealth"]


@dataclass(slots=True)
class TableHealth:
    """Whether the table service is reachable from this router.

    :ivar up: whether the last transaction was answered.
    :ivar changed_at: time at which ``up`` last changed.
    """

    up: bool = True
    changed_at: float = 0.0

    def record_result(self, up: bool) -> bool:
        """Record whether a transaction was answered; return whether the state has changed."""
        if up == self.up:
            return False
        self.up = up
        self.changed_at = time.monotonic()
        return True


@dataclass(slots=True)
class Context:
    """Shared state of one daemon, created by the application object.

    :ivar send: sends a message to a router by name.
    :ivar keys: task that owns the idempotency keys; set by the application object.
    :ivar gone: instances that the instance list has reported before and no longer does.
    :ivar config: the active configuration; replaced as a whole by the configuration task.
    """

    settings: Settings
    timers: Timers
    engines: EngineClient
    services: ServiceClient
    instances: InstanceList
    table: TableService
    view: FleetView
    send: Callable[[str, Message], None]
    metrics: Metrics = field(default_factory=Metrics)
    table_health: TableHealth = field(default_factory=TableHealth)
    gone: frozenset[str] = frozenset()
    config: Config = field(default_factory=Config)
    keys: "KeyTask" = field(init=False)

    @property
    def name(self) -> str:
        """Name of this router."""
        return self.settings.router.name

    @property
    def incarnation(self) -> int:
        """Incarnation of this router."""
        return self.view.own_info.incarnation

    @staticmethod
    def now() -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()
