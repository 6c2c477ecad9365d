"""Guards the check before the first byte is sent: a lease may end while the client connects."""

import socket
import time

import pytest
from circuits.core import Component
from circuits.core.pollers import EPoll
from parsleyrudder_adapters.http_client import HttpClient, HttpRequest
from parsleyrudder_adapters.timers import Timers


class Listener:
    """Records whether a failed request may have been sent."""

    def __init__(self):
        self.failures: list[bool] = []

    def on_head(self, status, headers):
        raise AssertionError("unexpected response")

    on_data = on_end = on_head

    def on_failed(self, sent, reason):
        self.failures.append(sent)


@pytest.mark.parametrize(("allowed", "sent"), [(True, True), (False, False)])
def test_request_is_sent_only_if_may_send_allows_it(allowed, sent):
    root = Component()
    # Otherwise tick() does not poll; run() would block.
    root._running = True
    EPoll().register(root)
    client = HttpClient(Timers().register(root)).register(root)
    with socket.create_server(("127.0.0.1", 0)) as server:
        server.settimeout(10.0)
        request = HttpRequest("POST", "/orders", body=b"{}", may_send=lambda: allowed)
        listener = Listener()
        client.send(f"127.0.0.1:{server.getsockname()[1]}", request, listener)
        peer, _ = server.accept()
        with peer:
            peer.settimeout(0.01)
            received = b""
            deadline = time.monotonic() + 10.0
            while not listener.failures and not received and time.monotonic() < deadline:
                root.tick(0.01)
                try:
                    received = peer.recv(4096)
                except TimeoutError:
                    continue
            assert bool(received) == sent
            assert listener.failures == ([] if sent else [False])
