"""Accepted connections of callers: direct writes, bounded write coalescing, graceful closes.

circuits' server handles each write by an event and two changes of the poller's registration. It
closes a connection that the caller has half-closed at once, even if bytes are buffered, and loses
an error response if unread input makes the kernel reset the connection. Therefore this component
takes over the sockets once they are accepted.
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

__all__ = ["CallerSockets", "SocketEventHandler"]

_RECV_BYTES = 65536
_JOIN_LIMIT_BYTES = 262144
_LINGER_S = 2.0
# A connection that is being closed is dropped if the caller reads none of the buffered bytes for
# this time.
_STALL_TIMEOUT_S = 20.0
# SO_LINGER value for a close that resets the connection: enabled, with a timeout of 0.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class SocketEventHandler(Protocol):
    """Receiver of the events of the connections."""

    def on_data(self, sock: socket.socket, data: bytes) -> None:
        """Handle bytes received from a caller."""
        ...

    def on_eof(self, sock: socket.socket) -> None:
        """Handle the end of a caller's input."""
        ...

    def on_closed(self, sock: socket.socket) -> None:
        """Handle the close of a connection, by either side."""
        ...


class _Lost(Event):
    """A write to a connection failed."""

    name = "caller_lost"


@dataclass(slots=True)
class _Connection:
    sock: socket.socket
    send_queue: deque[bytes] = field(default_factory=deque)
    queued_bytes: int = 0
    reading: bool = False
    writing: bool = False
    closing: bool = False
    lingering: bool = False
    write_failed: bool = False


class CallerSockets(BaseComponent):
    """Reads from, writes to and closes the sockets of callers.

    A failed write is reported by an event, not from within :meth:`write`, so that the code that
    writes a response is not re-entered.
    """

    channel = "caller-sockets"

    def __init__(self, timers: Timers, event_handler: SocketEventHandler) -> None:
        super().__init__()
        self._timers = timers
        self._event_handler = event_handler
        self._connection_by_sock: dict[socket.socket, _Connection] = {}
        self._poller: BasePoller | None = None

    def __len__(self) -> int:
        return len(self._connection_by_sock)

    def __bool__(self) -> bool:
        return True

    def add(self, sock: socket.socket) -> None:
        """Take over an accepted connection."""
        if self._poller is None:
            self._poller = findcmp(self.root, BasePoller)
        connection = self._connection_by_sock[sock] = _Connection(sock)
        self._set_interest(connection, reading=True)

    def write(self, sock: socket.socket, data: bytes) -> None:
        """Send bytes; what the socket does not accept now is buffered and sent later."""
        connection = self._connection_by_sock.get(sock)
        if connection is None or connection.write_failed or not data:
            return
        if not connection.send_queue:
            try:
                count = sock.send(data)
            except BlockingIOError:
                count = 0
            except OSError:
                self._report_lost(connection)
                return
            if count == len(data):
                return
            data = data[count:]
        connection.send_queue.append(data)
        connection.queued_bytes += len(data)
        self._set_interest(connection, writing=True)

    @property
    def has_unsent_bytes(self) -> bool:
        """Whether bytes are buffered for any caller."""
        return any(connection.queued_bytes for connection in self._connection_by_sock.values())

    def has_input(self, sock: socket.socket) -> bool:
        """Whether a caller has sent bytes that have not been read yet."""
        try:
            return bool(sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:
            return False

    def buffered_bytes(self, sock: socket.socket) -> int:
        """Return the number of bytes that are buffered for a caller."""
        connection = self._connection_by_sock.get(sock)
        return connection.queued_bytes if connection else 0

    def set_reading(self, sock: socket.socket, reading: bool) -> None:
        """Start or stop reading from a caller."""
        connection = self._connection_by_sock.get(sock)
        if connection is not None and not connection.closing:
            self._set_interest(connection, reading=reading)

    def close(self, sock: socket.socket) -> None:
        """Close a connection once its buffered bytes are sent."""
        connection = self._connection_by_sock.get(sock)
        if connection is None:
            return
        connection.closing = True
        self._set_interest(connection, reading=False)
        if connection.send_queue:
            self._check_progress(connection, -1)
        else:
            self._close(connection)

    def close_lingering(self, sock: socket.socket) -> None:
        """Close a connection whose input has not been read to its end.

        With unread input, a plain close would make the kernel reset the connection, and the caller
        could lose the response that was just written. So only the sending side is shut down, and
        input is read and discarded for ``_LINGER_S`` before the close.
        """
        connection = self._connection_by_sock.get(sock)
        if connection is None:
            return
        connection.lingering = True
        self._set_interest(connection, reading=True)
        self._timers.after(_LINGER_S, lambda: self.drop(sock))
        if not connection.send_queue:
            self._shutdown_sending(connection)

    def drop(self, sock: socket.socket, reset: bool = False) -> None:
        """Close a connection at once and discard its buffered bytes.

        :param reset: whether to reset the connection, so that the caller sees an error.
        """
        connection = self._connection_by_sock.get(sock)
        if connection is None:
            return
        if reset:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
        self._close(connection)

    @handler("_read", priority=1)
    def _on_read(self, sock: socket.socket) -> None:
        self.on_readable(sock)

    def on_readable(self, sock: socket.socket) -> None:
        """Read the available input; called by the poller."""
        connection = self._connection_by_sock.get(sock)
        if connection is None or not connection.reading:
            return
        try:
            data = sock.recv(_RECV_BYTES)
        except BlockingIOError:
            return
        except OSError:
            self._close(connection)
            return
        if connection.lingering:
            if not data:
                self._close(connection)
        elif data:
            self._event_handler.on_data(sock, data)
        else:
            # A socket at the end of its input stays readable: without this the loop would spin.
            self._set_interest(connection, reading=False)
            self._event_handler.on_eof(sock)

    @handler("_write", priority=1)
    def _on_write(self, sock: socket.socket) -> None:
        self.on_writable(sock)

    def on_writable(self, sock: socket.socket) -> None:
        """Send buffered bytes; called by the poller."""
        connection = self._connection_by_sock.get(sock)
        if connection is None or connection.write_failed:
            return
        while connection.send_queue:
            data = self._dequeue(connection)
            try:
                count = sock.send(data)
            except BlockingIOError:
                count = 0
            except OSError:
                self._close(connection)
                return
            if count < len(data):
                connection.send_queue.appendleft(data[count:])
                connection.queued_bytes += len(data) - count
                return
        self._set_interest(connection, writing=False)
        if connection.closing:
            self._close(connection)
        elif connection.lingering:
            self._shutdown_sending(connection)

    @handler("_disconnect", "_error", "caller_lost", priority=1)
    def _on_lost(self, sock: socket.socket, *args: object) -> None:
        connection = self._connection_by_sock.get(sock)
        if connection is not None:
            self._close(connection)

    @handler("stopped", channel="*")
    def _on_stopped(self, *args: object) -> None:
        for connection in list(self._connection_by_sock.values()):
            self._close(connection)

    def _check_progress(self, connection: _Connection, last_queued_bytes: int) -> None:
        """Close a connection at once if its caller has read nothing since the last check."""
        if connection.queued_bytes == last_queued_bytes:
            self._close(connection)
        elif connection.sock in self._connection_by_sock:
            queued_bytes = connection.queued_bytes
            self._timers.after(
                _STALL_TIMEOUT_S, lambda: self._check_progress(connection, queued_bytes)
            )

    def _dequeue(self, connection: _Connection) -> bytes:
        """Remove buffered chunks and join them up to a limit: a send costs more than a copy."""
        parts, size = [], 0
        while connection.send_queue and size < _JOIN_LIMIT_BYTES:
            parts.append(connection.send_queue.popleft())
            size += len(parts[-1])
        connection.queued_bytes -= size
        return parts[0] if len(parts) == 1 else b"".join(parts)

    def _report_lost(self, connection: _Connection) -> None:
        connection.write_failed = True
        self.fire(_Lost(connection.sock), self.channel)

    def _shutdown_sending(self, connection: _Connection) -> None:
        with contextlib.suppress(OSError):
            connection.sock.shutdown(socket.SHUT_WR)

    def _set_interest(
        self, connection: _Connection, reading: bool | None = None, writing: bool | None = None
    ) -> None:
        assert self._poller is not None
        if reading is not None and reading != connection.reading:
            connection.reading = reading
            if reading:
                self._poller.addReader(self, connection.sock)
            else:
                self._poller.removeReader(connection.sock)
        if writing is not None and writing != connection.writing:
            connection.writing = writing
            if writing:
                self._poller.addWriter(self, connection.sock)
            else:
                self._poller.removeWriter(connection.sock)

    def _close(self, connection: _Connection) -> None:
        if self._connection_by_sock.pop(connection.sock, None) is None:
            return
        assert self._poller is not None
        self._poller.discard(connection.sock)
        with contextlib.suppress(OSError):
            connection.sock.close()
        self._event_handler.on_closed(connection.sock)
