"""Life cycle of one call at a simulated router; corresponds to the daemon's call task."""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import parsleyrudder as pr

from .servers import Execution

if TYPE_CHECKING:
    from .router import SimulatedRouter

__all__ = ["SimulatedCall"]

_CONNECT_S = 0.001
_SLOW_CONNECT_S = 3.0
_SLOW_CONNECT_PROBABILITY = 0.05


@dataclass(slots=True)
class SimulatedCall:
    """One call and its attempts on servers.

    :param execution_s: duration of each execution by a server.
    """

    id: str
    router: "SimulatedRouter"
    waiting: pr.WaitingCall
    call: pr.Call
    execution_s: float
    _execution: Execution | None = None
    _server: str = ""
    _started_at: float = field(default=0.0)

    def start(self, server: str) -> None:
        """Start an attempt on a server."""
        number = self.call.start_attempt(self.router.budget)
        simulation = self.router.simulation
        simulation.oracle.attempt_started(self.id, number)
        self._server = server
        self._started_at = self.router.now()
        execution = Execution(
            self.id,
            number,
            self.execution_s,
            lambda end: self._run_on_router(lambda: self._on_attempt_end(end, number)),
        )
        self._execution = execution
        is_slow = simulation.rng.random() < _SLOW_CONNECT_PROBABILITY
        delay_s = _SLOW_CONNECT_S * simulation.rng.random() if is_slow else _CONNECT_S
        simulation.schedule(delay_s, lambda: self.router.run(lambda: self._on_connected(execution)))

    def check_deadline(self, now: float) -> None:
        """End the call if its deadline has passed."""
        if now < self.call.deadline:
            return
        if self._execution is not None:
            self._attempt_failed(pr.AttemptEnd.TIMED_OUT)
        else:
            self.router.scheduler.cancel(self.waiting)
            self.refuse("deadline")

    def accrue(self, now: float) -> None:
        """Charge the call for the time since its attempt started."""
        if self._execution is not None:
            self.router.scheduler.charge(self.waiting, (now - self._started_at) * 100)

    def refuse(self, reason: str) -> None:
        """End a call that is waiting for a slot."""
        self.end("unknown" if self.call.may_have_run else "not_run")

    def end(self, outcome: str, attempt: int = 0) -> None:
        """Send the final answer to the caller.

        :param attempt: attempt that the answer belongs to; 0 if it belongs to none.
        """
        self.router.call_by_id.pop(self.id, None)
        self.router.simulation.oracle.call_answered(self.id, outcome, attempt)

    def _run_on_router(self, action: object) -> None:
        self.router.run(action)  # type: ignore[arg-type]

    def _on_connected(self, execution: Execution) -> None:
        """Send the first byte if the server accepts it and the portion lease is still valid."""
        if execution is not self._execution:
            return
        server = self.router.servers[self._server]
        now = self.router.now()
        if not server.accepts() or not self.router.scheduler.slots.is_leased(now):
            self._attempt_failed(pr.AttemptEnd.NOT_SENT)
            return
        self.router.simulation.oracle.first_byte_sent(self.router, now)
        server.start(execution)

    def _on_attempt_end(self, end: pr.AttemptEnd | None, attempt: int) -> None:
        if self.id not in self.router.call_by_id or not self.call.is_current(attempt):
            return
        if self._execution is None:
            return
        if end is not None:
            self._attempt_failed(end)
            return
        self._stop_execution()
        self.accrue(self.router.now())
        self.router.load_balancer.record_call_end(self.waiting.server, False, self.router.now())
        self.router.scheduler.finish(self.waiting, self.router.now())
        self.end("answered", attempt)
        self.router.dispatch()

    def _attempt_failed(self, end: pr.AttemptEnd) -> None:
        now = self.router.now()
        self._stop_execution()
        self.router.load_balancer.record_call_end(
            self._server, end is not pr.AttemptEnd.TIMED_OUT, now
        )
        decision = self.call.on_failed(end, self.router.budget, now)
        if isinstance(decision, pr.Retry):
            self.router.scheduler.requeue(self.waiting, self._server, now)
        else:
            self.router.scheduler.finish(self.waiting, now, learn=False)
            self.end(decision.outcome)
        self.router.dispatch()

    def _stop_execution(self) -> None:
        execution, self._execution = self._execution, None
        if execution is not None:
            self.router.servers[self._server].stop(execution)
