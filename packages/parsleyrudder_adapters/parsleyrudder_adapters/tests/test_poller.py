"""The event loop's poller over real sockets."""

import socket

import pytest
from circuits.core import BaseComponent, handler
from parsleyrudder_adapters.poller import LoopPoller


class Owner(BaseComponent):
    """Notes ready sockets; ``direct`` ones are told by calls, others by events."""

    channel = "owner"

    def __init__(self, direct):
        super().__init__()
        self.seen = []
        self.on_first = lambda: None
        if direct:
            self.on_readable = lambda sock: self.note("read", sock)
            self.on_writable = lambda sock: self.note("write", sock)

    def note(self, what, sock):
        self.seen.append((what, sock))
        if len(self.seen) == 1:
            self.on_first()

    @handler("_read")
    def _on_read(self, sock):
        self.note("read", sock)

    @handler("_write")
    def _on_write(self, sock):
        self.note("write", sock)

    @handler("_disconnect")
    def _on_disconnect(self, sock):
        self.note("disconnect", sock)


@pytest.fixture(params=["direct", "events"])
def watched(request):
    """A poller, an owner of sockets, and a function that runs one turn of the loop."""
    root = BaseComponent()
    poller = LoopPoller().register(root)
    owner = Owner(request.param == "direct").register(root)
    root.flush()
    root._running = True

    def turn():
        root.flush()  # Events of the last turn were fired before what is watched has changed.
        owner.seen.clear()
        for _ in range(3):
            root.tick(0.01)
        return {(what, sock) for what, sock in owner.seen}

    yield poller, owner, turn
    root._running = False


def test_only_what_is_watched_is_told(watched):
    """Guards against lost and unwanted events after changes of what is watched."""
    poller, owner, turn = watched
    left, right = socket.socketpair()
    with left, right:
        right.sendall(b"x")
        assert turn() == set()
        poller.addReader(owner, left)
        assert turn() == {("read", left)}
        poller.addWriter(owner, left)
        poller.addWriter(owner, left)
        assert turn() == {("read", left), ("write", left)}
        assert (poller.isReading(left), poller.isWriting(left)) == (True, True)
        poller.removeReader(left)
        assert turn() == {("write", left)}
        poller.removeWriter(left)
        assert turn() == set()
        poller.addReader(owner, left)
        poller.discard(left)
        poller.discard(left)
        assert turn() == set()
        assert not poller.isReading(left)


def test_closed_socket_and_its_number_used_again(watched):
    """Guards against events of a closed socket that reach the next one with its number."""
    poller, owner, turn = watched
    old, peer = socket.socketpair()
    poller.addReader(owner, old)
    number = old.fileno()
    old.close()  # Without discard: the kernel has ended its registration.
    poller.discard(old)
    peer.close()
    new, other = socket.socketpair()
    with new, other:
        assert number in (new.fileno(), other.fileno())
        sock, far = (new, other) if new.fileno() == number else (other, new)
        poller.addReader(owner, sock)
        far.sendall(b"x")
        assert turn() == {("read", sock)}


@pytest.mark.parametrize("watched", ["direct"], indirect=True)
def test_owner_that_drops_another_ready_socket_hears_no_more_of_it(watched):
    """Guards against a read of a socket that was closed earlier in the same turn."""
    poller, owner, turn = watched
    pairs = [socket.socketpair() for _ in range(2)]
    for near, far in pairs:
        poller.addReader(owner, near)
        far.sendall(b"x")

    def drop_both():
        for near, _ in pairs:
            poller.discard(near)
            near.close()

    owner.on_first = drop_both
    assert len(turn()) == 1
    for _, far in pairs:
        far.close()


def test_reset_is_told_although_nothing_is_read(watched):
    """Guards against a peer that is gone and keeps a connection for ever."""
    poller, owner, turn = watched
    left, right = socket.socketpair()
    with left:
        poller.addWriter(owner, left)
        right.close()
        assert ("disconnect", left) in turn()
        assert turn() == set()
