"""Messaging between routers over ZeroMQ, encrypted and authenticated by CURVE if keys are given.

Each router binds one ROUTER socket and connects one DEALER socket to each peer that it sends to.
Messages to a peer that does not read are dropped once its send queue is full, so delivery is not
guaranteed for any message between routers.
"""

import logging
from collections.abc import Callable, Iterable

import zmq
import zmq.auth.thread
from circuits.core import BaseComponent, handler
from circuits.core.pollers import BasePoller
from circuits.core.utils import findcmp
from parsleyrudder import DocumentError, Message, decode_message, encode_message

from .logs import log_event

__all__ = ["PeerKeys", "PeerLink"]

_LOGGER = logging.getLogger(__name__)
_SEND_QUEUE_MESSAGES = 100
_HEARTBEAT_MS = 500
_TIMEOUT_MS = 1500
# A router that is reachable again is connected to within the sum of both, so that questions that
# wait for its reply for a second still get it.
_CONNECT_TIMEOUT_MS = 500
_MAX_RECONNECT_INTERVAL_MS = 400
_MAX_MESSAGE_BYTES = 4 << 20


class PeerKeys:
    """CURVE key pair of the fleet, in Z85; a router authenticates by holding it."""

    __slots__ = ("public", "secret")

    def __init__(self, public: str, secret: str) -> None:
        self.public = public.encode()
        self.secret = secret.encode()


class _FleetKeyProvider:
    """CURVE credentials provider that accepts only the fleet's public key."""

    def __init__(self, public: bytes) -> None:
        self._public = public

    def callback(self, domain: str, key: bytes) -> bool:
        return key == self._public


class PeerLink(BaseComponent):
    """Sends messages to other routers and receives theirs, over sockets that it owns.

    :param bind: ``host:port`` to listen on.
    :param keys: the fleet's keys; None disables CURVE, for a network that only the fleet's
        instances can reach.
    :param on_message: called with each message received.
    :ivar bytes_in: payload bytes received.
    :ivar bytes_out: payload bytes handed to ZeroMQ for sending.
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
        self._router_socket = self._context.socket(zmq.ROUTER)
        if keys is not None:
            self._enable_curve(keys)
        self._router_socket.maxmsgsize = _MAX_MESSAGE_BYTES
        self._router_socket.bind(f"tcp://{bind}")
        self._dealer_by_address: dict[str, zmq.Socket] = {}
        self._invalid_addresses: set[str] = set()
        self._poller: BasePoller | None = None
        self.bytes_in = 0
        self.bytes_out = 0

    def send(self, address: str, message: Message) -> None:
        """Send a message to a router, or drop it if the send queue to that router is full.

        :param address: ``host:port`` of the router's peer socket.
        """
        self._send(address, encode_message(message))

    def send_all(self, addresses: Iterable[str], message: Message) -> None:
        """Send a message to several routers; see :meth:`send`."""
        data = encode_message(message)
        for address in addresses:
            self._send(address, data)

    def _send(self, address: str, data: bytes) -> None:
        if self._context.closed:
            return
        dealer = self._dealer(address)
        if dealer is None:
            return
        try:
            dealer.send(data, zmq.NOBLOCK)
        except zmq.Again:
            return
        self.bytes_out += len(data)

    def _dealer(self, address: str) -> zmq.Socket | None:
        """Return the socket to an address, or None if the address is not valid."""
        dealer = self._dealer_by_address.get(address)
        if dealer is not None or address in self._invalid_addresses:
            return dealer
        try:
            dealer = self._dealer_by_address[address] = self._connect(address)
        except (zmq.ZMQError, ValueError) as error:
            self._invalid_addresses.add(address)
            log_event(
                _LOGGER, "peer_address_refused", logging.WARNING, address=address, reason=error
            )
        return dealer

    def disconnect(self, address: str) -> None:
        """Close the socket to an address, so that the next message connects at once.

        An open socket to a router that has started again waits before it connects anew.
        """
        dealer = self._dealer_by_address.pop(address, None)
        if dealer is not None:
            dealer.close(0)

    def disconnect_all_except(self, addresses: set[str]) -> None:
        """Close the sockets to all addresses but these, such as those to replaced routers."""
        for address in self._dealer_by_address.keys() - addresses:
            self._dealer_by_address.pop(address).close(0)
        self._invalid_addresses &= addresses

    def close(self) -> None:
        """Close all sockets; queued messages are still sent for up to 200 ms.

        Messages that are sent later are dropped.
        """
        if self._poller is not None:
            self._poller.discard(self._router_socket.getsockopt(zmq.FD))
        for dealer in self._dealer_by_address.values():
            dealer.close(200)
        self._router_socket.close(0)
        if self._authenticator is not None:
            self._authenticator.stop()
        self._context.term()

    @handler("started", channel="*")
    def _on_started(self, component: object) -> None:
        self._poller = findcmp(self.root, BasePoller)
        self._poller.addReader(self, self._router_socket.getsockopt(zmq.FD))
        self._receive_all()

    @handler("_read", priority=1)
    def _on_read(self, fd: int) -> None:
        self._receive_all()

    def _enable_curve(self, keys: PeerKeys) -> None:
        self._authenticator = zmq.auth.thread.ThreadAuthenticator(self._context)
        self._authenticator.start()
        provider = _FleetKeyProvider(keys.public)
        self._authenticator.configure_curve_callback(credentials_provider=provider)
        self._router_socket.curve_server = True
        self._router_socket.curve_publickey = keys.public
        self._router_socket.curve_secretkey = keys.secret

    def _receive_all(self) -> None:
        """Receive all pending messages, as ZeroMQ's descriptor is edge-triggered."""
        while int(self._router_socket.getsockopt(zmq.EVENTS)) & zmq.POLLIN:
            parts = self._router_socket.recv_multipart(zmq.NOBLOCK)
            data = parts[-1]
            self.bytes_in += len(data)
            try:
                message = decode_message(data)
            except DocumentError as error:
                log_event(_LOGGER, "peer_message_refused", logging.WARNING, reason=error)
                continue
            self._handle(message)

    def _handle(self, message: Message) -> None:
        try:
            self._on_message(message)
        except Exception:
            # An error must not leave the messages after this one in the socket.
            _LOGGER.exception("event=peer_message_failed type=%s", type(message).__name__)

    def _connect(self, address: str) -> zmq.Socket:
        """Return a new socket that connects to an address.

        :raises zmq.ZMQError: if the address is not valid.
        :raises ValueError: if it contains a NUL.
        """
        dealer = self._context.socket(zmq.DEALER)
        if self._keys is not None:
            dealer.curve_serverkey = self._keys.public
            dealer.curve_publickey = self._keys.public
            dealer.curve_secretkey = self._keys.secret
        # Without heartbeats, a connection to a peer behind a network partition hangs.
        dealer.heartbeat_ivl = _HEARTBEAT_MS
        dealer.heartbeat_timeout = _TIMEOUT_MS
        dealer.connect_timeout = _CONNECT_TIMEOUT_MS
        dealer.reconnect_ivl_max = _MAX_RECONNECT_INTERVAL_MS
        dealer.sndhwm = _SEND_QUEUE_MESSAGES
        dealer.linger = 0
        try:
            dealer.connect(f"tcp://{address}")
        except (zmq.ZMQError, ValueError):
            # A socket that stays open would keep the context from terminating.
            dealer.close(0)
            raise
        return dealer
