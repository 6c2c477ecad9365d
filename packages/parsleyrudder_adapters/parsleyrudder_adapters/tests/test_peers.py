"""Connections between routers: those to replaced routers must be closed."""

import contextlib
import logging
import socket

import pytest
import zmq
from parsleyrudder import ConfigRequest, Message, encode_message
from parsleyrudder_adapters.peers import PeerLink

LIMIT_S = 10.0


@pytest.fixture
def servers():
    with contextlib.ExitStack() as stack:
        listeners = [stack.enter_context(socket.create_server(("127.0.0.1", 0))) for _ in range(2)]
        for listener in listeners:
            listener.settimeout(LIMIT_S)
        yield listeners


@pytest.fixture
def received() -> list[Message]:
    return []


@pytest.fixture
def link(received):
    link = PeerLink("127.0.0.1:*", None, received.append)
    yield link
    link.close()


def read_until_closed(connection):
    """Read until the peer closes."""
    while connection.recv(4096):
        pass


def test_a_router_that_is_reachable_again_is_connected_to_within_a_second(servers):
    """Its replies came too late for the callers that resumed their streams after a cut."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        own = f"127.0.0.1:{listener.getsockname()[1]}"
    link = PeerLink(own, None, lambda message: None)
    address = f"127.0.0.1:{servers[0].getsockname()[1]}"
    link.send(address, ConfigRequest("r", 1))
    [dealer] = link._dealer_by_address.values()
    options = (zmq.CONNECT_TIMEOUT, zmq.RECONNECT_IVL_MAX)
    longest_ms = sum(int(dealer.getsockopt(option)) for option in options)
    link.close()
    assert 0 < longest_ms < 1000


def test_connections_to_other_addresses_are_closed(servers):
    with socket.create_server(("127.0.0.1", 0)) as listener:
        own = f"127.0.0.1:{listener.getsockname()[1]}"
    link = PeerLink(own, None, lambda message: None)
    addresses = [f"127.0.0.1:{server.getsockname()[1]}" for server in servers]
    link.send_all(addresses, ConfigRequest("r", 1))
    kept, replaced = [server.accept()[0] for server in servers]
    with kept, replaced:
        link.disconnect_all_except({addresses[0]})
        replaced.settimeout(LIMIT_S)
        with contextlib.suppress(ConnectionError):
            read_until_closed(replaced)
        kept.settimeout(0.3)
        with pytest.raises(TimeoutError):
            read_until_closed(kept)
        link.close()


@pytest.mark.parametrize("is_known", [True, False])
def test_a_message_after_the_close_is_dropped(servers, is_known):
    """A timer that fired in the last turn of a loop failed, and those after it did not fire."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        own = f"127.0.0.1:{listener.getsockname()[1]}"
    link = PeerLink(own, None, lambda message: None)
    address = f"127.0.0.1:{servers[0].getsockname()[1]}"
    if is_known:
        link.send(address, ConfigRequest("r", 1))
    link.close()
    link.send(address, ConfigRequest("r", 2))


@pytest.mark.parametrize("odd", ["10.0.0.1:99999", "10.0.0.1", "", "a\x00b:1", "[:1", "10.0.0.1:x"])
def test_an_odd_address_does_not_keep_messages_from_other_routers(servers, link, caplog, odd):
    """The error of the connection ended the loop, so that the routers after it got no message."""
    address = f"127.0.0.1:{servers[0].getsockname()[1]}"
    with caplog.at_level(logging.WARNING):
        for _ in range(3):
            link.send_all([odd, address], ConfigRequest("r", 1))
    servers[0].accept()[0].close()
    assert len(caplog.records) <= 1


# A message with one element more than its type has.
NESTED = b"\x9a\xa6Gossip\xa1a\x00\xc2\xc2\x90\x90\x90\xc2" + b"\x91" * 5000 + b"\xc0"
ODD_MESSAGES = [b"", b"\xc1", b"\x91\xa6Gossip", NESTED]


@pytest.mark.parametrize("odd", ODD_MESSAGES, ids=["empty", "invalid", "short", "nested"])
def test_an_odd_message_does_not_keep_a_router_from_receiving_the_next_one(link, received, odd):
    router_socket = link._router_socket
    with zmq.Context() as context, context.socket(zmq.DEALER) as sender:
        sender.connect(router_socket.getsockopt(zmq.LAST_ENDPOINT).decode())
        sender.send(odd)
        sender.send(encode_message(ConfigRequest("r", 1)))
        while not received and router_socket.poll(1000 * LIMIT_S):
            link._receive_all()
    assert received == [ConfigRequest("r", 1)]


def test_an_error_in_the_handling_of_a_message_does_not_hold_up_the_next_one(link, received):
    """The descriptor is edge-triggered, so the next message waited for a further one to arrive."""

    def handle(message):
        received.append(message)
        if len(received) == 1:
            raise RuntimeError("the handler failed")

    link._on_message = handle
    router_socket = link._router_socket
    with zmq.Context() as context, context.socket(zmq.DEALER) as sender:
        sender.connect(router_socket.getsockopt(zmq.LAST_ENDPOINT).decode())
        for version in (1, 2):
            sender.send(encode_message(ConfigRequest("r", version)))
        while len(received) < 2 and router_socket.poll(1000 * LIMIT_S):
            link._receive_all()
    assert received == [ConfigRequest("r", 1), ConfigRequest("r", 2)]
