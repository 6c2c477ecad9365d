"""Messages between routers over pyzmq, encrypted and authenticated by CURVE if there are keys.

Each router binds one ROUTER socket and connects one DEALER socket to each peer that it writes to.
Messages to a peer that does not read are dropped once its queue is full: every message between
routers may be lost.
"""

import logging
from collections.abc import Callable, Iterable

import msgspec
import zmq
import zmq.auth.thread
from circuits.core import BaseComponent, handler
from circuits.core.pollers import BasePoller
from circuits.core.utils import findcmp
from parsleyrudder import Message, decode_message, encode_message

from .logs import log_event

__all__ = ["PeerKeys", "PeerLink"]

_LOGGER = logging.getLogger(__name__)
_QUEUE_MESSAGES = 100
_HEARTBEAT_MS = 500
_SILENCE_MS = 1500
_LARGEST_MESSAGE_BYTES = 4 << 20


class PeerKeys:
    """Key pair of the fleet, in Z85 text; whoever holds it is a router of the fleet."""

    __slots__ = ("public", "secret")

    def __init__(self, public: str, secret: str) -> None:
        self.public = public.encode()
        self.secret = secret.encode()


class _FleetKeyOnly:
    """Credentials provider that lets in nobody but holders of the fleet's key."""

    def __init__(self, public: bytes) -> None:
        self._public = public

    def callback(self, domain: str, key: bytes) -> bool:
        return key == self._public


class PeerLink(BaseComponent):
    """Sends and receives messages, and owns the sockets for them.

    :param bind: ``host:port`` of this router.
    :param keys: the fleet's keys; None on a network that only the fleet's instances can reach.
    :param on_message: called with each message received.
    :ivar bytes_in: payload bytes received.
    :ivar bytes_out: payload bytes sent.
    """

    channel = "peers"

    def __init__(
        self, bind: str, keys: PeerKeys | None, on_message: Callable[[Message], None]
    ) -> None:
        super().__init__()
        self._keys = keys
        self._on_message = on_message
        self._context = zmq.Context()
        self._authenticator: zmq.auth.thread.ThreadAuthenticator | None = None
        self._router = self._context.socket(zmq.ROUTER)
        if keys is not None:
            self._require_key(keys)
        self._router.maxmsgsize = _LARGEST_MESSAGE_BYTES
        self._router.bind(f"tcp://{bind}")
        self._dealer_by_address: dict[str, zmq.Socket] = {}
        self._poller: BasePoller | None = None
        self.bytes_in = 0
        self.bytes_out = 0

    def send(self, address: str, message: Message) -> None:
        """Send a message to a router, or drop it if the router does not read.

        :param address: ``host:port`` of the router's peer socket.
        """
        self._send(address, encode_message(message))

    def send_all(self, addresses: Iterable[str], message: Message) -> None:
        """Send a message to several routers; see :meth:`send`."""
        data = encode_message(message)
        for address in addresses:
            self._send(address, data)

    def _send(self, address: str, data: bytes) -> None:
        dealer = self._dealer_by_address.get(address)
        if dealer is None:
            dealer = self._dealer_by_address[address] = self._connect(address)
        try:
            dealer.send(data, zmq.NOBLOCK)
        except zmq.Again:
            return
        self.bytes_out += len(data)

    def keep(self, addresses: set[str]) -> None:
        """Close the sockets to all other addresses, such as those of routers that were replaced."""
        for address in self._dealer_by_address.keys() - addresses:
            self._dealer_by_address.pop(address).close(0)

    def close(self) -> None:
        """Close all sockets; messages already handed over are still sent for a moment."""
        if self._poller is not None:
            self._poller.discard(self._router.getsockopt(zmq.FD))
        for dealer in self._dealer_by_address.values():
            dealer.close(200)
        self._router.close(0)
        if self._authenticator is not None:
            self._authenticator.stop()
        self._context.term()

    @handler("started", channel="*")
    def _on_started(self, component: object) -> None:
        self._poller = findcmp(self.root, BasePoller)
        self._poller.addReader(self, self._router.getsockopt(zmq.FD))
        self._drain()

    @handler("_read", priority=1)
    def _on_read(self, fd: int) -> None:
        self._drain()

    def _require_key(self, keys: PeerKeys) -> None:
        self._authenticator = zmq.auth.thread.ThreadAuthenticator(self._context)
        self._authenticator.start()
        provider = _FleetKeyOnly(keys.public)
        self._authenticator.configure_curve_callback(credentials_provider=provider)
        self._router.curve_server = True
        self._router.curve_publickey = keys.public
        self._router.curve_secretkey = keys.secret

    def _drain(self) -> None:
        """Read all messages: the descriptor reports only the first of several."""
        while int(self._router.getsockopt(zmq.EVENTS)) & zmq.POLLIN:
            parts = self._router.recv_multipart(zmq.NOBLOCK)
            data = parts[-1]
            self.bytes_in += len(data)
            try:
                message = decode_message(data)
            except msgspec.DecodeError as error:
                log_event(_LOGGER, "peer_message_refused", logging.WARNING, reason=error)
                continue
            self._on_message(message)

    def _connect(self, address: str) -> zmq.Socket:
        dealer = self._context.socket(zmq.DEALER)
        if self._keys is not None:
            dealer.curve_serverkey = self._keys.public
            dealer.curve_publickey = self._keys.public
            dealer.curve_secretkey = self._keys.secret
        # A connection to a peer behind a partition hangs without heartbeats.
        dealer.heartbeat_ivl = _HEARTBEAT_MS
        dealer.heartbeat_timeout = _SILENCE_MS
        dealer.connect_timeout = _SILENCE_MS
        dealer.reconnect_ivl_max = _SILENCE_MS
        dealer.sndhwm = _QUEUE_MESSAGES
        dealer.linger = 0
        dealer.connect(f"tcp://{address}")
        return dealer
