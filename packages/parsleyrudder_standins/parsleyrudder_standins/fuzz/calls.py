"""The course of one call at a virtual router, as the daemon's call task has it."""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import parsleyrudder as pr

from .servers import Execution

if TYPE_CHECKING:
    from .router import VirtualRouter

__all__ = ["VirtualCall"]

_CONNECT_S = 0.001
_SLOW_CONNECT_S = 3.0
_SLOW_CONNECTS = 0.05


@dataclass(slots=True)
class VirtualCall:
    """One call and its attempts.

    :param seconds: length of an execution.
    """

    id: str
    router: "VirtualRouter"
    waiting: pr.WaitingCall
    call: pr.Call
    seconds: float
    _execution: Execution | None = None
    _server: str = ""
    _started_at: float = field(default=0.0)

    def start(self, server: str) -> None:
        """Begin an attempt."""
        number = self.call.start_attempt(self.router.budget)
        world = self.router.world
        world.oracle.attempted(self.id, number)
        self._server = server
        self._started_at = self.router.now()
        execution = Execution(
            self.id,
            number,
            self.seconds,
            lambda end: self._later(lambda: self._on_end(end, number)),
        )
        self._execution = execution
        slow = world.rng.random() < _SLOW_CONNECTS
        delay_s = _SLOW_CONNECT_S * world.rng.random() if slow else _CONNECT_S
        world.after(delay_s, lambda: self.router.run(lambda: self._connected(execution)))

    def check_deadline(self, now: float) -> None:
        """End the call if its deadline has passed."""
        if now < self.call.deadline:
            return
        if self._execution is not None:
            self._attempt_failed(pr.AttemptEnd.TIMED_OUT)
        else:
            self.router.scheduler.cancel(self.waiting)
            self.end_waiting("deadline")

    def accrue(self, now: float) -> None:
        """Charge the time that the server has spent."""
        if self._execution is not None:
            self.router.scheduler.charge(self.waiting, (now - self._started_at) * 100)

    def end_waiting(self, reason: str) -> None:
        """End a call that waited for a slot."""
        self.end("unknown" if self.call.may_have_run else "not_run")

    def end(self, outcome: str, attempt: int = 0) -> None:
        """Give the caller the final answer."""
        self.router.call_by_id.pop(self.id, None)
        self.router.world.oracle.answered(self.id, outcome, attempt)

    def _later(self, action: object) -> None:
        self.router.run(action)  # type: ignore[arg-type]

    def _connected(self, execution: Execution) -> None:
        """Send the first byte; the lease is checked just before."""
        if execution is not self._execution:
            return
        server = self.router.servers[self._server]
        now = self.router.now()
        if not server.accepts() or not self.router.scheduler.slots.is_leased(now):
            self._attempt_failed(pr.AttemptEnd.NOT_SENT)
            return
        self.router.world.oracle.first_byte(self.router, now)
        server.begin(execution)

    def _on_end(self, end: pr.AttemptEnd | None, attempt: int) -> None:
        if self.id not in self.router.call_by_id or not self.call.is_current(attempt):
            return
        if self._execution is None:
            return
        if end is not None:
            self._attempt_failed(end)
            return
        self._drop_execution()
        self.accrue(self.router.now())
        self.router.routing.record_call_end(self.waiting.server, False, self.router.now())
        self.router.scheduler.finish(self.waiting, self.router.now())
        self.end("answered", attempt)
        self.router.dispatch()

    def _attempt_failed(self, end: pr.AttemptEnd) -> None:
        now = self.router.now()
        self._drop_execution()
        self.router.routing.record_call_end(self._server, end is not pr.AttemptEnd.TIMED_OUT, now)
        decision = self.call.on_failed(end, self.router.budget, now)
        if isinstance(decision, pr.Retry):
            self.router.scheduler.requeue(self.waiting, self._server, now)
        else:
            self.router.scheduler.finish(self.waiting, now, learn=False)
            self.end(decision.outcome)
        self.router.dispatch()

    def _drop_execution(self) -> None:
        execution, self._execution = self._execution, None
        if execution is not None:
            self.router.servers[self._server].stop(execution)
