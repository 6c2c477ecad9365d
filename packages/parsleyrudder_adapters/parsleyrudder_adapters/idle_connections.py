"""Connections of the HTTP client that wait for another request."""

import socket
import time
from collections.abc import Callable

from .http_exchange import Connection

__all__ = ["IdleConnections"]

_MAX_IDLE_PER_ADDRESS = 8


class IdleConnections:
    """Idle connections by address, in the order in which they became idle.

    :param close: closes a connection; it calls :meth:`discard`.
    """

    def __init__(self, close: Callable[[Connection], None]) -> None:
        self._close = close
        self._by_address: dict[str, list[Connection]] = {}

    def add(self, connection: Connection) -> bool:
        """Add a connection unless its server has enough; return whether it was added."""
        idle = self._by_address.setdefault(connection.address, [])
        if len(idle) >= _MAX_IDLE_PER_ADDRESS:
            return False
        connection.used_at = time.monotonic()
        connection.is_reused = True
        idle.append(connection)
        return True

    def pop(self, address: str, max_idle_s: float) -> Connection | None:
        """Remove and return a connection that the server is not known to have closed.

        :param max_idle_s: maximum time for which it may have been idle.
        """
        idle = self._by_address.get(address)
        # The last one is the one that was used last.
        while idle and time.monotonic() - idle[-1].used_at <= max_idle_s:
            connection = idle.pop()
            if time.monotonic() < connection.idle_until and _is_open(connection.sock):
                return connection
            self._close(connection)
        return None

    def discard(self, connection: Connection) -> None:
        """Remove a connection that is being closed, if it is idle."""
        idle = self._by_address.get(connection.address, [])
        if connection in idle:
            idle.remove(connection)

    def close_unused_since(self, address: str, at: float) -> None:
        """Close the connections to a server that have been idle since a time.

        They may have gone silent together with one that got no response since then.
        """
        for connection in list(self._by_address.get(address, ())):
            if connection.used_at <= at:
                self._close(connection)

    def close_all(self) -> None:
        """Close all idle connections."""
        for connections in list(self._by_address.values()):
            for connection in list(connections):
                self._close(connection)


def _is_open(sock: socket.socket) -> bool:
    """Whether an idle connection has no input; the end of the input or bytes make it useless."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        pass
    return False
