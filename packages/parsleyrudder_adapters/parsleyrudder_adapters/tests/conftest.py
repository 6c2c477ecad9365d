"""Fixtures for tests over real sockets: an event loop and stand-in servers, each in a thread."""

import threading
import time

import pytest
from circuits.core import BaseComponent, Event, handler
from parsleyrudder_adapters.http_client import HttpClient
from parsleyrudder_adapters.poller import LoopPoller
from parsleyrudder_adapters.timers import Timers
from parsleyrudder_standins.threaded import StandInServer

WAIT_TIMEOUT_S = 20.0


class _RunInLoop(Event):
    name = "run_in_loop"


class Loop(BaseComponent):
    """A circuits event loop; :meth:`call` runs a function in its thread."""

    channel = "loop"

    def __init__(self):
        super().__init__()
        self.poller = LoopPoller().register(self)
        self.timers = Timers().register(self)
        self.errors = []

    def call(self, function):
        done, results = threading.Event(), []

        def run():
            try:
                results.append(function())
            finally:
                done.set()

        self.fire(_RunInLoop(run), "loop")
        assert done.wait(WAIT_TIMEOUT_S), self.errors
        assert results, self.errors
        return results[0]

    def wait_until(self, condition):
        """Wait for a condition; the time limit only ends a test that would hang."""
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        while not condition():
            assert time.monotonic() < deadline, self.errors
            time.sleep(0.002)

    @handler("run_in_loop")
    def _on_run_in_loop(self, function):
        function()

    @handler("exception", channel="*")
    def _on_exception(self, *args, **kwargs):
        self.errors.append(args)


@pytest.fixture
def loop():
    loop = Loop()
    loop.start()
    loop.wait_until(lambda: loop.running)
    yield loop
    loop.stop()
    loop.join()
    assert not loop.errors


@pytest.fixture
def client(loop):
    client = loop.call(lambda: HttpClient(loop.timers, connect_timeout_s=2.0).register(loop))
    yield client
    loop.call(client.close_idle)


@pytest.fixture
def start_server():
    """Return a function that starts a stand-in server, which runs until the end of the test."""
    servers = []

    def start(handler, *background):
        servers.append(StandInServer(handler, background))
        return servers[-1]

    yield start
    for server in servers:
        server.close()
