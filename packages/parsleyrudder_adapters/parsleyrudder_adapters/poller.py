"""Poller of the event loop: calls the owners of ready sockets directly.

circuits' ``EPoll`` fires an event per ready socket, keeps its sockets in lists that it searches on
every change, and registers a socket anew (two system calls) for each. Owners that have
``on_readable`` and ``on_writable`` are called instead; for others the usual events are fired.
"""

import contextlib
import os
import select
from typing import Any

from circuits.core.pollers import BasePoller, _disconnect, _read, _write

__all__ = ["LoopPoller"]

_LOST = select.EPOLLHUP | select.EPOLLERR


class _Watched:
    __slots__ = ("fd", "mask", "number", "source")

    def __init__(self, fd: Any, number: int, source: Any) -> None:
        self.fd = fd
        self.number = number
        self.source = source
        self.mask = 0


class LoopPoller(BasePoller):
    """Watches sockets by epoll."""

    channel = "loop-poller"

    def __init__(self) -> None:
        super().__init__()
        self._epoll = select.epoll()
        self._watched_by_fd: dict[Any, _Watched] = {}
        self._watched_by_number: dict[int, _Watched] = {}
        self._epoll.register(self._ctrl_recv, select.EPOLLIN)

    def addReader(self, source: Any, fd: Any) -> None:  # noqa: N802
        """Begin to watch for input."""
        self._change(source, fd, select.EPOLLIN, 0)

    def addWriter(self, source: Any, fd: Any) -> None:  # noqa: N802
        """Begin to watch for room for output."""
        self._change(source, fd, select.EPOLLOUT, 0)

    def removeReader(self, fd: Any) -> None:  # noqa: N802
        """Stop watching for input."""
        self._change(None, fd, 0, select.EPOLLIN)

    def removeWriter(self, fd: Any) -> None:  # noqa: N802
        """Stop watching for room for output."""
        self._change(None, fd, 0, select.EPOLLOUT)

    def isReading(self, fd: Any) -> bool:  # noqa: N802
        """Whether a socket is watched for input."""
        return self._has(fd, select.EPOLLIN)

    def isWriting(self, fd: Any) -> bool:  # noqa: N802
        """Whether a socket is watched for room for output."""
        return self._has(fd, select.EPOLLOUT)

    def discard(self, fd: Any) -> None:
        """Stop watching a socket; it must still be open."""
        self._change(None, fd, 0, select.EPOLLIN | select.EPOLLOUT)

    def getTarget(self, fd: Any) -> Any:  # noqa: N802
        """Return the channel of a socket's owner."""
        watched = self._watched_by_fd.get(fd)
        return getattr(watched.source, "channel", "*") if watched else self.parent

    def _has(self, fd: Any, bit: int) -> bool:
        watched = self._watched_by_fd.get(fd)
        return watched is not None and bool(watched.mask & bit)

    def _change(self, source: Any, fd: Any, add: int, remove: int) -> None:
        watched = self._watched_by_fd.get(fd)
        if watched is None:
            if not add:
                return
            number = fd if isinstance(fd, int) else fd.fileno()
            watched = _Watched(fd, number, source)
        mask = (watched.mask | add) & ~remove
        if mask == watched.mask:
            return
        if not watched.mask:
            self._epoll.register(watched.number, mask)
            self._watched_by_fd[fd] = self._watched_by_number[watched.number] = watched
        elif mask:
            self._epoll.modify(watched.number, mask)
        else:
            self._forget(watched)
        watched.mask = mask

    def _forget(self, watched: _Watched) -> None:
        self._watched_by_fd.pop(watched.fd, None)
        if self._watched_by_number.get(watched.number) is watched:
            del self._watched_by_number[watched.number]
            # A socket that was closed before is not registered any more.
            with contextlib.suppress(OSError):
                self._epoll.unregister(watched.number)

    def _generate_events(self, event: Any) -> None:
        timeout = event.time_left
        try:
            ready = self._epoll.poll(None if timeout < 0 else timeout)
        except InterruptedError:
            return
        for number, bits in ready:
            if number == self._ctrl_recv:
                os.read(self._ctrl_recv, 1)
                continue
            # A socket may have been closed, and its number used again, by an earlier one's owner.
            watched = self._watched_by_number.get(number)
            if watched is not None:
                self._dispatch(watched, bits)

    def _dispatch(self, watched: _Watched, bits: int) -> None:
        source, fd = watched.source, watched.fd
        if bits & _LOST and not bits & select.EPOLLIN:
            watched.mask = 0
            self._forget(watched)
            self.fire(_disconnect(fd), getattr(source, "channel", "*"))
            return
        if not hasattr(source, "on_readable"):
            if bits & select.EPOLLIN:
                self.fire(_read(fd), source.channel)
            if bits & select.EPOLLOUT:
                self.fire(_write(fd), source.channel)
            return
        if bits & select.EPOLLIN and watched.mask & select.EPOLLIN:
            source.on_readable(fd)
        if bits & select.EPOLLOUT and watched.mask & select.EPOLLOUT:
            source.on_writable(fd)
