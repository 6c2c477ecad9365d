"""The poller of the event loop, over real sockets."""

import socket
import time

import pytest
from circuits.core import BaseComponent, handler
from parsleyrudder_adapters.poller import LoopPoller


class SocketComponent(BaseComponent):
    """Records ready sockets; it is notified by method calls if ``direct``, otherwise by events."""

    channel = "owner"

    def __init__(self, direct):
        super().__init__()
        self.recorded = []
        self.on_first = lambda: None
        if direct:
            self.on_readable = lambda sock: self.record("read", sock)
            self.on_writable = lambda sock: self.record("write", sock)

    def record(self, event, sock):
        self.recorded.append((event, sock))
        if len(self.recorded) == 1:
            self.on_first()

    @handler("_read")
    def _on_read(self, sock):
        self.record("read", sock)

    @handler("_write")
    def _on_write(self, sock):
        self.record("write", sock)

    @handler("_disconnect")
    def _on_disconnect(self, sock):
        self.record("disconnect", sock)


@pytest.fixture(params=["direct", "events"])
def poller_setup(request):
    """A poller, a component that registers sockets, and a function that iterates the loop."""
    root = BaseComponent()
    poller = LoopPoller().register(root)
    component = SocketComponent(request.param == "direct").register(root)
    root.flush()
    root._running = True

    def run_loop():
        root.flush()  # Handle events that were fired before the monitored sockets changed.
        component.recorded.clear()
        for _ in range(3):
            root.tick(0.01)
        return {(event, sock) for event, sock in component.recorded}

    yield poller, component, run_loop
    root._running = False


def test_only_monitored_events_are_reported(poller_setup):
    """Guards against lost or unwanted events after a change of the monitored events."""
    poller, component, run_loop = poller_setup
    left, right = socket.socketpair()
    with left, right:
        right.sendall(b"x")
        assert run_loop() == set()
        poller.addReader(component, left)
        assert run_loop() == {("read", left)}
        poller.addWriter(component, left)
        poller.addWriter(component, left)
        assert run_loop() == {("read", left), ("write", left)}
        assert (poller.isReading(left), poller.isWriting(left)) == (True, True)
        poller.removeReader(left)
        assert run_loop() == {("write", left)}
        poller.removeWriter(left)
        assert run_loop() == set()
        poller.addReader(component, left)
        poller.discard(left)
        poller.discard(left)
        assert run_loop() == set()
        assert not poller.isReading(left)


def test_reused_descriptor_gets_no_events_of_closed_socket(poller_setup):
    """Guards against events of a closed socket delivered for the next one with its descriptor."""
    poller, component, run_loop = poller_setup
    old, peer = socket.socketpair()
    poller.addReader(component, old)
    descriptor = old.fileno()
    old.close()  # Without discard: the kernel has removed the registration.
    poller.discard(old)
    peer.close()
    new, other = socket.socketpair()
    with new, other:
        assert descriptor in (new.fileno(), other.fileno())
        sock, far = (new, other) if new.fileno() == descriptor else (other, new)
        poller.addReader(component, sock)
        far.sendall(b"x")
        assert run_loop() == {("read", sock)}


@pytest.mark.parametrize("poller_setup", ["direct"], indirect=True)
def test_socket_closed_during_dispatch_is_not_reported(poller_setup):
    """Guards against a read of a socket that was closed earlier in the same iteration."""
    poller, component, run_loop = poller_setup
    pairs = [socket.socketpair() for _ in range(2)]
    for near, far in pairs:
        poller.addReader(component, near)
        far.sendall(b"x")

    def close_both():
        for near, _ in pairs:
            poller.discard(near)
            near.close()

    component.on_first = close_both
    assert len(run_loop()) == 1
    for _, far in pairs:
        far.close()


def test_disconnect_is_reported_without_read_interest(poller_setup):
    """Guards against connections that stay open after their peer has closed them."""
    poller, component, run_loop = poller_setup
    left, right = socket.socketpair()
    with left:
        poller.addWriter(component, left)
        right.close()
        assert ("disconnect", left) in run_loop()
        assert run_loop() == set()


def test_a_long_turn_of_the_loop_is_measured_once(loop):
    """Guards against a router that is late without a metric that shows it."""
    loop.call(loop.poller.take_longest_turn_s)
    loop.call(lambda: time.sleep(0.5))
    longest = loop.call(loop.poller.take_longest_turn_s)
    assert longest >= 0.5
    assert loop.call(loop.poller.take_longest_turn_s) < longest
