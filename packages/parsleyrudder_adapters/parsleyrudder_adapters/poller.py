"""Epoll poller of the event loop that calls the components of ready sockets directly.

circuits' ``EPoll`` fires an event per ready socket, keeps its sockets in lists that it searches on
every change, and registers the socket anew (two system calls) on each change. This poller calls
``on_readable`` and ``on_writable`` of components that have these methods, without an event; for
other components it fires the usual events.
"""

import contextlib
import os
import select
import time
from collections.abc import Callable
from typing import Any

from circuits.core.pollers import BasePoller, _disconnect, _read, _write

__all__ = ["LoopPoller"]

_DISCONNECTED = select.EPOLLHUP | select.EPOLLERR


class _Registration:
    """A monitored socket.

    :ivar fd: socket or file descriptor, as passed to the poller.
    :ivar fileno: file descriptor.
    :ivar mask: monitored epoll events.
    :ivar source: component that handles the events.
    """

    __slots__ = ("fd", "mask", "fileno", "source")

    def __init__(self, fd: Any, fileno: int, source: Any) -> None:
        self.fd = fd
        self.fileno = fileno
        self.source = source
        self.mask = 0


class LoopPoller(BasePoller):
    """Monitors sockets by epoll.

    :ivar polled_at: time at which the sockets were last polled, in seconds of monotonic time.
    :ivar longest_recent_turn_s: longest turn of the event loop since it was last taken, without the
        time in which the loop waited for events.
    :ivar on_turn: called at the end of each turn with its duration and the time, both in seconds.
    """

    channel = "loop-poller"

    def __init__(self) -> None:
        super().__init__()
        self._epoll = select.epoll()
        self._registration_by_fd: dict[Any, _Registration] = {}
        self._registration_by_fileno: dict[int, _Registration] = {}
        self._epoll.register(self._ctrl_recv, select.EPOLLIN)
        self.polled_at = time.monotonic()
        self.longest_recent_turn_s = 0.0
        self.on_turn: Callable[[float, float], None] | None = None

    def take_longest_turn_s(self) -> float:
        """Return the longest recent turn, and start to measure anew."""
        longest, self.longest_recent_turn_s = self.longest_recent_turn_s, 0.0
        return longest

    def addReader(self, source: Any, fd: Any) -> None:  # noqa: N802
        """Start monitoring a socket for input."""
        self._update_mask(source, fd, select.EPOLLIN, 0)

    def addWriter(self, source: Any, fd: Any) -> None:  # noqa: N802
        """Start monitoring a socket for writability."""
        self._update_mask(source, fd, select.EPOLLOUT, 0)

    def removeReader(self, fd: Any) -> None:  # noqa: N802
        """Stop monitoring a socket for input."""
        self._update_mask(None, fd, 0, select.EPOLLIN)

    def removeWriter(self, fd: Any) -> None:  # noqa: N802
        """Stop monitoring a socket for writability."""
        self._update_mask(None, fd, 0, select.EPOLLOUT)

    def isReading(self, fd: Any) -> bool:  # noqa: N802
        """Whether a socket is monitored for input."""
        return self._is_monitored(fd, select.EPOLLIN)

    def isWriting(self, fd: Any) -> bool:  # noqa: N802
        """Whether a socket is monitored for writability."""
        return self._is_monitored(fd, select.EPOLLOUT)

    def discard(self, fd: Any) -> None:
        """Stop monitoring a socket; it must still be open."""
        self._update_mask(None, fd, 0, select.EPOLLIN | select.EPOLLOUT)

    def getTarget(self, fd: Any) -> Any:  # noqa: N802
        """Return the channel of the component that registered a socket."""
        registration = self._registration_by_fd.get(fd)
        return getattr(registration.source, "channel", "*") if registration else self.parent

    def _is_monitored(self, fd: Any, bit: int) -> bool:
        registration = self._registration_by_fd.get(fd)
        return registration is not None and bool(registration.mask & bit)

    def _update_mask(self, source: Any, fd: Any, add: int, remove: int) -> None:
        registration = self._registration_by_fd.get(fd)
        if registration is None:
            if not add:
                return
            fileno = fd if isinstance(fd, int) else fd.fileno()
            registration = _Registration(fd, fileno, source)
        mask = (registration.mask | add) & ~remove
        if mask == registration.mask:
            return
        if not registration.mask:
            self._epoll.register(registration.fileno, mask)
            self._registration_by_fd[fd] = self._registration_by_fileno[registration.fileno] = (
                registration
            )
        elif mask:
            self._epoll.modify(registration.fileno, mask)
        else:
            self._remove_registration(registration)
        registration.mask = mask

    def _remove_registration(self, registration: _Registration) -> None:
        self._registration_by_fd.pop(registration.fd, None)
        if self._registration_by_fileno.get(registration.fileno) is registration:
            del self._registration_by_fileno[registration.fileno]
            # The kernel has already removed a socket that was closed.
            with contextlib.suppress(OSError):
                self._epoll.unregister(registration.fileno)

    def _generate_events(self, event: Any) -> None:
        timeout = event.time_left
        now = time.monotonic()
        turn_s = now - self.polled_at
        self.longest_recent_turn_s = max(self.longest_recent_turn_s, turn_s)
        if self.on_turn is not None:
            self.on_turn(turn_s, now)
        try:
            ready = self._epoll.poll(None if timeout < 0 else timeout)
        except InterruptedError:
            return
        finally:
            self.polled_at = time.monotonic()
        for fileno, events in ready:
            if fileno == self._ctrl_recv:
                os.read(self._ctrl_recv, 1)
                continue
            # An earlier call in this loop may have closed the socket and reused its descriptor.
            registration = self._registration_by_fileno.get(fileno)
            if registration is not None:
                self._dispatch(registration, events)

    def _dispatch(self, registration: _Registration, events: int) -> None:
        source, fd = registration.source, registration.fd
        if events & _DISCONNECTED and not events & select.EPOLLIN:
            registration.mask = 0
            self._remove_registration(registration)
            self.fire(_disconnect(fd), getattr(source, "channel", "*"))
            return
        if not hasattr(source, "on_readable"):
            if events & select.EPOLLIN:
                self.fire(_read(fd), source.channel)
            if events & select.EPOLLOUT:
                self.fire(_write(fd), source.channel)
            return
        if events & select.EPOLLIN and registration.mask & select.EPOLLIN:
            source.on_readable(fd)
        if events & select.EPOLLOUT and registration.mask & select.EPOLLOUT:
            source.on_writable(fd)
