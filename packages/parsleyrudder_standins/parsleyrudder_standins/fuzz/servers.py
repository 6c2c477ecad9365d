"""Simulated servers that execute attempts, and their faults."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

from parsleyrudder import AttemptEnd

from .simulation import Simulation

__all__ = ["Execution", "ServerMode", "SimulatedServer"]

_MAX_EXECUTION_S = 8.0


class ServerMode(StrEnum):
    """How a server handles attempts."""

    WELL = "well"
    DOWN = "down"
    """Accepts no connections."""
    REFUSE = "refuse"
    """Answers that it did not run the call."""
    CUT = "cut"
    """Breaks the connection during the execution; the answer may still arrive."""
    FAIL = "fail"
    """Answers with a failure after the execution."""
    HANG = "hang"
    """Never answers."""
    MIXED = "mixed"
    """Selects one of the modes at random for each attempt."""


@dataclass(slots=True)
class Execution:
    """Execution of one attempt on a server.

    :ivar on_end: called with the kind of failure, or with None for a complete answer.
    """

    call: str
    attempt: int
    duration_s: float
    on_end: Callable[[AttemptEnd | None], None]
    running: bool = False


@dataclass(slots=True)
class SimulatedServer:
    """Simulated server.

    :ivar executions: running executions.
    """

    id: str
    simulation: Simulation
    mode: ServerMode = ServerMode.WELL
    executions: list[Execution] = field(default_factory=list)

    def accepts(self) -> bool:
        """Whether a connection to the server succeeds now."""
        return self._current_mode() is not ServerMode.DOWN

    def start(self, execution: Execution) -> None:
        """Start to execute an attempt whose first byte has arrived."""
        mode = self._current_mode()
        if mode is ServerMode.REFUSE:
            self.simulation.schedule(0.001, lambda: execution.on_end(AttemptEnd.REFUSED))
            return
        execution.running = True
        self.executions.append(execution)
        self.simulation.oracle.execution_started(execution.call, execution.attempt, self.id)
        if mode is ServerMode.HANG:
            self.simulation.schedule(_MAX_EXECUTION_S, lambda: self.stop(execution))
            return
        if mode is ServerMode.CUT:
            self.simulation.schedule(
                execution.duration_s / 2, lambda: self._break_connection(execution)
            )
            self.simulation.schedule(execution.duration_s, lambda: execution.on_end(None))
            return
        end = AttemptEnd.FAILED if mode is ServerMode.FAIL else None
        self.simulation.schedule(execution.duration_s, lambda: self._finish(execution, end))

    def stop(self, execution: Execution) -> None:
        """Stop an execution, for example because the router has closed the connection."""
        if execution.running:
            execution.running = False
            self.executions.remove(execution)
            self.simulation.oracle.execution_stopped(execution.call, execution.attempt)

    def _current_mode(self) -> ServerMode:
        if self.mode is not ServerMode.MIXED:
            return self.mode
        return self.simulation.rng.choice((*ServerMode, *[ServerMode.WELL] * len(ServerMode)))

    def _break_connection(self, execution: Execution) -> None:
        if execution.running:
            self.stop(execution)
            execution.on_end(AttemptEnd.BROKEN)

    def _finish(self, execution: Execution, end: AttemptEnd | None) -> None:
        if execution.running:
            self.stop(execution)
            self.simulation.schedule(0.001, lambda: execution.on_end(end))
