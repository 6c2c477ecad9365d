"""Listening socket for callers that accepts all waiting connections in one turn of the event loop.

circuits' server accepts one connection a turn and queues up to 5,000. When turns become long, the
queue grows until every caller has given up before its connection is accepted. circuits also ignores
that no descriptor is left, and tries again in each turn.
"""

import errno
import logging
import socket
from collections.abc import Callable

from circuits.net.sockets import TCPServer

from .logs import log_event
from .timers import Timers

__all__ = ["Listener"]

_LOGGER = logging.getLogger(__name__)
# What an overloaded router accepts within the second after which callers give up. Connections
# beyond it are not established, so that their callers soon try another router.
_BACKLOG = 320
# Bounds the work that new connections cause before the loop turns to open ones again.
_MAX_ACCEPTS_PER_TURN = 64
# Errors of a single connection, which is gone.
_CONNECTION_ERRORS = frozenset((errno.ECONNABORTED, errno.EINTR, errno.EPERM, errno.EPROTO))
# Errors of accept when a resource of the process or the instance is exhausted.
_RESOURCE_ERRORS = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
_RESOURCE_RETRY_S = 0.05


class Listener(TCPServer):
    """Accepts connections.

    :param bind: host and port; port 0 selects a free port.
    :param on_accepted: called with each accepted connection, in non-blocking mode.
    """

    channel = "listener"

    def __init__(
        self,
        timers: Timers,
        bind: tuple[str, int],
        on_accepted: Callable[[socket.socket], None],
    ) -> None:
        super().__init__(bind, backlog=_BACKLOG, channel=self.channel)
        self._timers = timers
        self._on_accepted = on_accepted

    def stop_listening(self) -> None:
        """Accept the waiting connections, then close the listening socket."""
        for _ in range(_BACKLOG // _MAX_ACCEPTS_PER_TURN):
            self.on_readable(self._sock)
        self._close(self._sock)

    def on_readable(self, listening_sock: socket.socket) -> None:
        """Accept waiting connections; called by the poller."""
        for _ in range(_MAX_ACCEPTS_PER_TURN):
            try:
                sock, _ = listening_sock.accept()
            except BlockingIOError:
                return
            except OSError as error:
                if error.errno in _CONNECTION_ERRORS:
                    continue
                if error.errno not in _RESOURCE_ERRORS:
                    raise
                self._pause(listening_sock, error)
                return
            sock.setblocking(False)
            self._on_accepted(sock)

    def _pause(self, listening_sock: socket.socket, error: OSError) -> None:
        """Wait for resources; the socket stays readable, so the loop would spin meanwhile."""
        log_event(_LOGGER, "accept_failed", logging.WARNING, reason=error.strerror)
        self._poller.removeReader(listening_sock)
        self._timers.after(_RESOURCE_RETRY_S, lambda: self._resume(listening_sock))

    def _resume(self, listening_sock: socket.socket) -> None:
        if self._sock is listening_sock:
            self._poller.addReader(self, listening_sock)
