"""One attempt of a call at a server: receives the response and enforces timeouts on it.

Events that arrive after the call has given up the attempt are ignored.
"""

import time
from typing import TYPE_CHECKING

from parsleyrudder import AttemptEnd, AttemptHandle, ServerInfo
from parsleyrudder_adapters.timers import Timer

if TYPE_CHECKING:
    from .call_task import CallTask

__all__ = ["Attempt"]

_REFUSAL_STATUS = 503
_MAX_BUFFERED_BYTES = 256 * 1024
_RESUME_CHECK_INTERVAL_S = 0.05


class Attempt:
    """Response listener of one attempt; subclasses implement the protocol of the servers.

    :ivar handle: handle of the request; None until it has been started.
    :ivar status: status of the response; 0 until its head has been received.
    """

    def __init__(self, task: "CallTask", number: int, server: ServerInfo) -> None:
        self.task = task
        self.number = number
        self.server = server
        self.handle: AttemptHandle | None = None
        self.status = 0
        self.headers: dict[str, str] = {}
        self.started_at = time.monotonic()
        self._last_activity_at = self.started_at
        self._silence_timer: Timer | None = None
        self._paused = False

    @property
    def is_current(self) -> bool:
        """Whether this is still the current attempt of the call."""
        return self.task.is_current_attempt(self)

    @property
    def sent(self) -> bool:
        """Whether a byte of the call may have reached the server."""
        return self.handle is not None and self.handle.sent

    def receive_head(self) -> None:
        """Process the status and headers, stored in the attributes."""

    def receive(self, data: bytes) -> None:
        """Process a chunk of the body."""
        raise NotImplementedError

    def receive_end(self) -> None:
        """Process the end of a complete response."""
        raise NotImplementedError

    def start_silence_timer(self) -> None:
        """Start the timer that ends the attempt if the server sends nothing for too long."""
        if self.is_current:
            delay_s = self._silence_timeout_s()
            self._silence_timer = self.task.context.timers.after(delay_s, self._on_silence_timer)

    def cancel_silence_timer(self) -> None:
        """Cancel the timer for the server's silence."""
        if self._silence_timer is not None:
            self._silence_timer.cancel()

    def cancel(self) -> None:
        """Disconnect from the server; an engine then cancels the request."""
        self.cancel_silence_timer()
        if self.handle is not None:
            self.handle.cancel()

    def on_head(self, status: int, headers: list[tuple[str, str]]) -> None:
        """See :class:`ResponseListener`."""
        self._last_activity_at = time.monotonic()
        self.status = status
        self.headers = dict(headers)
        if not self.is_current:
            return
        if self.headers.get("x-request-id", self.task.call.id) != self.task.call.id:
            self.task.attempt_failed(
                AttemptEnd.BROKEN, "the response has the X-Request-Id of another request"
            )
            return
        self.receive_head()

    def on_data(self, data: bytes) -> None:
        """See :class:`ResponseListener`."""
        self._last_activity_at = time.monotonic()
        if self.is_current:
            self.receive(data)

    def on_end(self) -> None:
        """See :class:`ResponseListener`."""
        if not self.is_current:
            return
        if self.is_refusal():
            self.task.attempt_failed(AttemptEnd.REFUSED, "the server refused the call")
        else:
            self.receive_end()

    def on_failed(self, sent: bool, reason: str) -> None:
        """See :class:`ResponseListener`."""
        if not self.is_current:
            return
        end = AttemptEnd.BROKEN if sent else AttemptEnd.NOT_SENT
        if self.is_refusal():
            end = AttemptEnd.REFUSED
        self.task.attempt_failed(end, reason)

    def is_refusal(self) -> bool:
        """Whether the response states that the server refused the call without running it."""
        is_marked = self.headers.get("x-not-run", "").lower() == "true"
        return is_marked and self.status == _REFUSAL_STATUS

    def apply_backpressure(self) -> None:
        """Pause reading from the server while too many bytes are buffered for the caller."""
        if self._paused or self.task.exchange.buffered_bytes() < _MAX_BUFFERED_BYTES:
            return
        self._paused = True
        if self.handle is not None:
            self.handle.pause()
        self._check_resume(time.monotonic(), self.task.exchange.buffered_bytes())

    def _check_resume(self, last_progress_at: float, buffered: int) -> None:
        """Resume once the caller has read enough; abort if it reads nothing for ``write_stall_s``.

        :param last_progress_at: time at which the buffer was last seen to shrink.
        :param buffered: number of bytes that were buffered at the previous check.
        """
        if not self.is_current or self.handle is None:
            return
        now, remaining = time.monotonic(), self.task.exchange.buffered_bytes()
        self._last_activity_at = now
        if remaining < _MAX_BUFFERED_BYTES // 2:
            self._paused = False
            self.handle.resume()
            return
        if remaining < buffered:
            last_progress_at = now
        if now - last_progress_at >= self.task.context.settings.router.write_stall_s:
            self.task.abort_stalled_caller()
            return
        timers = self.task.context.timers
        timers.after(
            _RESUME_CHECK_INTERVAL_S, lambda: self._check_resume(last_progress_at, remaining)
        )

    def _silence_timeout_s(self) -> float:
        settings = self.task.pool.settings
        return settings.server_silence_s if self.status else settings.first_byte_s

    def _on_silence_timer(self) -> None:
        if not self.is_current:
            return
        remaining_s = self._last_activity_at + self._silence_timeout_s() - time.monotonic()
        if remaining_s > 0:
            self._silence_timer = self.task.context.timers.after(
                remaining_s, self._on_silence_timer
            )
            return
        reason = f"the server sent nothing for {self._silence_timeout_s():g} s"
        self.on_silent(reason)

    def on_silent(self, reason: str) -> None:
        """End the attempt because the server has sent nothing for too long."""
        end = AttemptEnd.SILENT if self.sent else AttemptEnd.NOT_SENT
        self.task.attempt_failed(AttemptEnd.REFUSED if self.is_refusal() else end, reason)
