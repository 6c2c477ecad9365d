"""Connections of callers after they were accepted: direct writes, bounded joins, orderly closes.

circuits' server sends each write through an event and two changes of the poller's registration,
closes at once what a caller half-closed while bytes are buffered, and loses an error answer when
unread input makes the kernel reset the connection. This component owns the accepted sockets.
"""

import contextlib
import socket
import struct
from collections import deque
from dataclasses import dataclass, field
from typing import Protocol

from circuits.core import BaseComponent, Event, handler
from circuits.core.pollers import BasePoller
from circuits.core.utils import findcmp

from .timers import Timers

__all__ = ["CallerSockets", "SocketOwner"]

_READ_BYTES = 65536
_JOIN_BYTES = 262144
_LINGER_S = 2.0
# A caller that takes nothing of its last answer for so long does not keep the connection open.
_STALL_S = 20.0
_RESET = struct.pack("ii", 1, 0)


class SocketOwner(Protocol):
    """Receiver of what happens on the connections."""

    def on_data(self, sock: socket.socket, data: bytes) -> None:
        """Receive bytes of a caller."""
        ...

    def on_eof(self, sock: socket.socket) -> None:
        """Note that a caller sends nothing more."""
        ...

    def on_closed(self, sock: socket.socket) -> None:
        """Note that a connection is closed, by either side."""
        ...


class _Lost(Event):
    """A connection failed while it was written to."""

    name = "caller_lost"


@dataclass(slots=True)
class _Link:
    sock: socket.socket
    out: deque[bytes] = field(default_factory=deque)
    size: int = 0
    reading: bool = False
    writing: bool = False
    closing: bool = False
    lingering: bool = False
    broken: bool = False


class CallerSockets(BaseComponent):
    """Owner of the callers' sockets.

    A failed write is reported by an event, never from within :meth:`write`, so that the code that
    writes an answer is not re-entered.
    """

    channel = "caller-sockets"

    def __init__(self, timers: Timers, owner: SocketOwner) -> None:
        super().__init__()
        self._timers = timers
        self._owner = owner
        self._link_by_sock: dict[socket.socket, _Link] = {}
        self._poller: BasePoller | None = None

    def __len__(self) -> int:
        return len(self._link_by_sock)

    def __bool__(self) -> bool:
        return True

    def adopt(self, sock: socket.socket) -> None:
        """Take over an accepted connection."""
        if self._poller is None:
            self._poller = findcmp(self.root, BasePoller)
        link = self._link_by_sock[sock] = _Link(sock)
        self._watch(link, reading=True)

    def write(self, sock: socket.socket, data: bytes) -> None:
        """Send bytes now, or as soon as the caller takes them."""
        link = self._link_by_sock.get(sock)
        if link is None or link.broken or not data:
            return
        if not link.out:
            try:
                count = sock.send(data)
            except BlockingIOError:
                count = 0
            except OSError:
                self._break(link)
                return
            if count == len(data):
                return
            data = data[count:]
        link.out.append(data)
        link.size += len(data)
        self._watch(link, writing=True)

    def buffered_bytes(self, sock: socket.socket) -> int:
        """Return the bytes that wait for the caller to read."""
        link = self._link_by_sock.get(sock)
        return link.size if link else 0

    def set_reading(self, sock: socket.socket, reading: bool) -> None:
        """Switch reading from a caller on or off."""
        link = self._link_by_sock.get(sock)
        if link is not None and not link.closing:
            self._watch(link, reading=reading)

    def close(self, sock: socket.socket) -> None:
        """Close a connection once its buffer is written."""
        link = self._link_by_sock.get(sock)
        if link is None:
            return
        link.closing = True
        self._watch(link, reading=False)
        if link.out:
            self._check_progress(link, -1)
        else:
            self._close(link)

    def linger(self, sock: socket.socket) -> None:
        """Close a connection whose input has not been read to its end.

        A plain close would make the kernel reset the connection, and the caller could lose the
        answer that was just written. So only the sending side is shut, and input is discarded
        for a while.
        """
        link = self._link_by_sock.get(sock)
        if link is None:
            return
        link.lingering = True
        self._watch(link, reading=True)
        self._timers.after(_LINGER_S, lambda: self.drop(sock))
        if not link.out:
            self._shut(link)

    def drop(self, sock: socket.socket, reset: bool = False) -> None:
        """Close a connection at once.

        :param reset: whether the caller shall see a reset and not an orderly end.
        """
        link = self._link_by_sock.get(sock)
        if link is None:
            return
        if reset:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
        self._close(link)

    @handler("_read", priority=1)
    def _on_read(self, sock: socket.socket) -> None:
        self.on_readable(sock)

    def on_readable(self, sock: socket.socket) -> None:
        """Read what has come; called by the poller."""
        link = self._link_by_sock.get(sock)
        if link is None or not link.reading:
            return
        try:
            data = sock.recv(_READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self._close(link)
            return
        if link.lingering:
            if not data:
                self._close(link)
        elif data:
            self._owner.on_data(sock, data)
        else:
            # The end stays readable for ever: without this the loop would spin on it.
            self._watch(link, reading=False)
            self._owner.on_eof(sock)

    @handler("_write", priority=1)
    def _on_write(self, sock: socket.socket) -> None:
        self.on_writable(sock)

    def on_writable(self, sock: socket.socket) -> None:
        """Send what waits; called by the poller."""
        link = self._link_by_sock.get(sock)
        if link is None or link.broken:
            return
        while link.out:
            data = self._take(link)
            try:
                count = sock.send(data)
            except BlockingIOError:
                count = 0
            except OSError:
                self._close(link)
                return
            if count < len(data):
                link.out.appendleft(data[count:])
                link.size += len(data) - count
                return
        self._watch(link, writing=False)
        if link.closing:
            self._close(link)
        elif link.lingering:
            self._shut(link)

    @handler("_disconnect", "_error", "caller_lost", priority=1)
    def _on_lost(self, sock: socket.socket, *args: object) -> None:
        link = self._link_by_sock.get(sock)
        if link is not None:
            self._close(link)

    @handler("stopped", channel="*")
    def _on_stopped(self, *args: object) -> None:
        for link in list(self._link_by_sock.values()):
            self._close(link)

    def _check_progress(self, link: _Link, size: int) -> None:
        """Drop a closing connection whose caller has read nothing since the last check."""
        if link.size == size:
            self._close(link)
        elif link.sock in self._link_by_sock:
            seen = link.size
            self._timers.after(_STALL_S, lambda: self._check_progress(link, seen))

    def _take(self, link: _Link) -> bytes:
        """Remove buffered chunks, joined up to a bound, since one send costs more than a copy."""
        parts, size = [], 0
        while link.out and size < _JOIN_BYTES:
            parts.append(link.out.popleft())
            size += len(parts[-1])
        link.size -= size
        return parts[0] if len(parts) == 1 else b"".join(parts)

    def _break(self, link: _Link) -> None:
        link.broken = True
        self.fire(_Lost(link.sock), self.channel)

    def _shut(self, link: _Link) -> None:
        with contextlib.suppress(OSError):
            link.sock.shutdown(socket.SHUT_WR)

    def _watch(self, link: _Link, reading: bool | None = None, writing: bool | None = None) -> None:
        assert self._poller is not None
        if reading is not None and reading != link.reading:
            link.reading = reading
            if reading:
                self._poller.addReader(self, link.sock)
            else:
                self._poller.removeReader(link.sock)
        if writing is not None and writing != link.writing:
            link.writing = writing
            if writing:
                self._poller.addWriter(self, link.sock)
            else:
                self._poller.removeWriter(link.sock)

    def _close(self, link: _Link) -> None:
        if self._link_by_sock.pop(link.sock, None) is None:
            return
        assert self._poller is not None
        self._poller.discard(link.sock)
        with contextlib.suppress(OSError):
            link.sock.close()
        self._owner.on_closed(link.sock)
