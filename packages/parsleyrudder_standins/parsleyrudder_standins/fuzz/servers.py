"""Virtual servers that execute attempts of calls, with their faults."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from parsleyrudder import AttemptEnd

from .world import World

__all__ = ["Execution", "ServerMode", "VirtualServer"]

_MOST_EXECUTION_S = 8.0


class ServerMode(StrEnum):
    """What a server does with the attempts that reach it."""

    WELL = "well"
    DOWN = "down"
    """It accepts no connection."""
    REFUSE = "refuse"
    """It says that it did not run the call."""
    CUT = "cut"
    """It breaks the connection during the execution; its answer may still arrive."""
    FAIL = "fail"
    """It answers that it failed, after the execution."""
    HANG = "hang"
    """It never answers."""
    MIXED = "mixed"
    """It does any of these, by chance, with each attempt."""


@dataclass(slots=True)
class Execution:
    """One attempt at a server.

    :ivar on_end: called with how the attempt failed, or None for the whole answer.
    """

    call: str
    attempt: int
    seconds: float
    on_end: Callable[[AttemptEnd | None], None]
    running: bool = False


@dataclass(slots=True)
class VirtualServer:
    """One server."""

    id: str
    world: World
    mode: ServerMode = ServerMode.WELL
    executions: list[Execution] = field(default_factory=list)

    def accepts(self) -> bool:
        """Whether a connection to the server succeeds now."""
        return self._mode_now() is not ServerMode.DOWN

    def begin(self, execution: Execution) -> None:
        """Take an attempt, of which the first byte has arrived."""
        mode = self._mode_now()
        if mode is ServerMode.REFUSE:
            self.world.after(0.001, lambda: execution.on_end(AttemptEnd.REFUSED))
            return
        execution.running = True
        self.executions.append(execution)
        self.world.oracle.executed(execution.call, execution.attempt, self.id)
        if mode is ServerMode.HANG:
            self.world.after(_MOST_EXECUTION_S, lambda: self.stop(execution))
            return
        if mode is ServerMode.CUT:
            self.world.after(execution.seconds / 2, lambda: self._break(execution))
            self.world.after(execution.seconds, lambda: execution.on_end(None))
            return
        end = AttemptEnd.FAILED if mode is ServerMode.FAIL else None
        self.world.after(execution.seconds, lambda: self._finish(execution, end))

    def stop(self, execution: Execution) -> None:
        """End an execution, as when its router has closed the connection."""
        if execution.running:
            execution.running = False
            self.executions.remove(execution)
            self.world.oracle.stopped(execution.call, execution.attempt)

    def _mode_now(self) -> ServerMode:
        if self.mode is not ServerMode.MIXED:
            return self.mode
        return self.world.rng.choice((*ServerMode, *[ServerMode.WELL] * len(ServerMode)))

    def _break(self, execution: Execution) -> None:
        if execution.running:
            self.stop(execution)
            execution.on_end(AttemptEnd.BROKEN)

    def _finish(self, execution: Execution, end: AttemptEnd | None) -> None:
        if execution.running:
            self.stop(execution)
            self.world.after(0.001, lambda: execution.on_end(end))
