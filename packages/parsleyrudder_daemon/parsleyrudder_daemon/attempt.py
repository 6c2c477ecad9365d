"""One attempt of a call at a server: listens to the answer and watches for silence.

What comes after the attempt has been abandoned reaches nobody.
"""

import time
from typing import TYPE_CHECKING

from parsleyrudder import AttemptEnd, AttemptHandle, ServerInfo
from parsleyrudder_adapters.timers import Timer

if TYPE_CHECKING:
    from .call_task import CallTask

__all__ = ["Attempt"]

_STATUS_NOT_RUN = 503
_PAUSE_BYTES = 256 * 1024
_RESUME_CHECK_S = 0.05


class Attempt:
    """Listener of one attempt; subclasses know the protocol of the servers."""

    def __init__(self, task: "CallTask", number: int, server: ServerInfo) -> None:
        self.task = task
        self.number = number
        self.server = server
        self.exchange: AttemptHandle | None = None
        self.status = 0
        self.headers: dict[str, str] = {}
        self.started_at = time.monotonic()
        self._heard_at = self.started_at
        self._timer: Timer | None = None
        self._paused = False

    @property
    def is_current(self) -> bool:
        """Whether the call still waits for this attempt."""
        return self.task.is_attempt(self)

    @property
    def sent(self) -> bool:
        """Whether a byte of the call may have reached the server."""
        return self.exchange is not None and self.exchange.sent

    def receive_head(self) -> None:
        """Take status and headers."""

    def receive(self, data: bytes) -> None:
        """Take a part of the body."""
        raise NotImplementedError

    def receive_end(self) -> None:
        """Take the end of a whole answer."""
        raise NotImplementedError

    def watch(self) -> None:
        """Begin to watch for silence."""
        if self.is_current:
            delay_s = self._limit_s()
            self._timer = self.task.context.timers.after(delay_s, self._on_watch)

    def unwatch(self) -> None:
        """Stop to watch for silence."""
        if self._timer is not None:
            self._timer.cancel()

    def cancel(self) -> None:
        """Drop the connection; an engine takes that as the cancellation of the request."""
        self.unwatch()
        if self.exchange is not None:
            self.exchange.cancel()

    def on_head(self, status: int, headers: list[tuple[str, str]]) -> None:
        """See :class:`ResponseListener`."""
        self._heard_at = time.monotonic()
        self.status = status
        self.headers = dict(headers)
        if not self.is_current:
            return
        if self.headers.get("x-request-id", self.task.call.id) != self.task.call.id:
            self.task.attempt_failed(AttemptEnd.BROKEN, "the server answered another request")
            return
        self.receive_head()

    def on_data(self, data: bytes) -> None:
        """See :class:`ResponseListener`."""
        self._heard_at = time.monotonic()
        if self.is_current:
            self.receive(data)

    def on_end(self) -> None:
        """See :class:`ResponseListener`."""
        if not self.is_current:
            return
        if self.said_not_run():
            self.task.attempt_failed(AttemptEnd.REFUSED, "server refused")
        else:
            self.receive_end()

    def on_failed(self, sent: bool, reason: str) -> None:
        """See :class:`ResponseListener`."""
        if not self.is_current:
            return
        end = AttemptEnd.BROKEN if sent else AttemptEnd.NOT_SENT
        if self.said_not_run():
            end = AttemptEnd.REFUSED
        self.task.attempt_failed(end, reason)

    def said_not_run(self) -> bool:
        """Whether the server refused the call without running it."""
        stated = self.headers.get("x-not-run", "").lower() == "true"
        return stated and self.status == _STATUS_NOT_RUN

    def bound_buffer(self) -> None:
        """Pause the server's answer while the caller reads too slowly."""
        if self._paused or self.task.exchange.buffered_bytes() < _PAUSE_BYTES:
            return
        self._paused = True
        if self.exchange is not None:
            self.exchange.pause()
        self._check_resume(time.monotonic(), self.task.exchange.buffered_bytes())

    def _check_resume(self, moved_at: float, buffered: int) -> None:
        """Go on once the caller has read enough; cut it off when it reads nothing at all."""
        if not self.is_current or self.exchange is None:
            return
        now, left = time.monotonic(), self.task.exchange.buffered_bytes()
        self._heard_at = now
        if left < _PAUSE_BYTES // 2:
            self._paused = False
            self.exchange.resume()
            return
        if left < buffered:
            moved_at = now
        if now - moved_at >= self.task.context.settings.router.write_stall_s:
            self.task.stall()
            return
        timers = self.task.context.timers
        timers.after(_RESUME_CHECK_S, lambda: self._check_resume(moved_at, left))

    def _limit_s(self) -> float:
        settings = self.task.pool.settings
        return settings.server_silence_s if self.status else settings.first_byte_s

    def _on_watch(self) -> None:
        if not self.is_current:
            return
        left_s = self._heard_at + self._limit_s() - time.monotonic()
        if left_s > 0:
            self._timer = self.task.context.timers.after(left_s, self._on_watch)
            return
        reason = f"nothing was received for {self._limit_s():g} s"
        self.on_silent(reason)

    def on_silent(self, reason: str) -> None:
        """End an attempt whose server says nothing."""
        end = AttemptEnd.SILENT if self.sent else AttemptEnd.NOT_SENT
        self.task.attempt_failed(AttemptEnd.REFUSED if self.said_not_run() else end, reason)
