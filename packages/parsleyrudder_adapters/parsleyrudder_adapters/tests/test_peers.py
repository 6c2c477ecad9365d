"""Connections between routers: those to replaced routers must be closed."""

import contextlib
import socket

import pytest
import zmq
from parsleyrudder import ConfigRequest
from parsleyrudder_adapters.peers import PeerLink

LIMIT_S = 10.0


@pytest.fixture
def servers():
    with contextlib.ExitStack() as stack:
        listeners = [stack.enter_context(socket.create_server(("127.0.0.1", 0))) for _ in range(2)]
        for listener in listeners:
            listener.settimeout(LIMIT_S)
        yield listeners


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
