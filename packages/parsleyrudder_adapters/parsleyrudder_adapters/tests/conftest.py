"""An event loop and stand-ins in threads, for tests over real sockets."""

import asyncio
import http.client
import json
import threading
import time

import pytest
from circuits.core import BaseComponent, Event, handler
from parsleyrudder_adapters.http_client import HttpClient
from parsleyrudder_adapters.poller import LoopPoller
from parsleyrudder_adapters.timers import Timers
from parsleyrudder_standins.web import serve

LIMIT_S = 20.0


class _Run(Event):
    name = "run_in_loop"


class Loop(BaseComponent):
    """A circuits loop; :meth:`call` runs a function in its thread."""

    channel = "loop"

    def __init__(self):
        super().__init__()
        LoopPoller().register(self)
        self.timers = Timers().register(self)
        self.errors = []

    def call(self, function):
        done, box = threading.Event(), []

        def run():
            try:
                box.append(function())
            finally:
                done.set()

        self.fire(_Run(run), "loop")
        assert done.wait(LIMIT_S), self.errors
        assert box, self.errors
        return box[0]

    def until(self, condition):
        """Wait for a condition; the limit only ends a test that would hang."""
        until = time.monotonic() + LIMIT_S
        while not condition():
            assert time.monotonic() < until, self.errors
            time.sleep(0.002)

    @handler("run_in_loop")
    def _on_run(self, function):
        function()

    @handler("exception", channel="*")
    def _on_exception(self, *args, **kwargs):
        self.errors.append(args)


@pytest.fixture
def loop():
    loop = Loop()
    loop.start()
    loop.until(lambda: loop.running)
    yield loop
    loop.stop()
    loop.join()
    assert not loop.errors


@pytest.fixture
def client(loop):
    client = loop.call(lambda: HttpClient(loop.timers, connect_timeout_s=2.0).register(loop))
    yield client
    loop.call(client.close_idle)


class StandInServer:
    """A stand-in that serves in a thread of its own."""

    def __init__(self, handler, background=()):
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._server = self._run(serve(handler, 0))
        for coroutine in background:
            asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def post(self, path, document):
        connection = http_connection(self.address)
        try:
            connection.request("POST", path, json.dumps(document))
            return json.loads(connection.getresponse().read())
        finally:
            connection.close()

    def fault(self, mode, **parameters):
        self.post("/standin/fault", {"mode": mode, **parameters})

    def stop_listening(self):
        self._run(self._close_server())

    def close(self):
        self.stop_listening()
        self._run(self._cancel_tasks())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def _run(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(LIMIT_S)

    async def _close_server(self):
        self._server.close()

    async def _cancel_tasks(self):
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def http_connection(address):
    return http.client.HTTPConnection(address, timeout=LIMIT_S)


@pytest.fixture
def serving():
    """Return a function that serves a stand-in until the end of the test."""
    servers = []

    def start(handler, *background):
        servers.append(StandInServer(handler, background))
        return servers[-1]

    yield start
    for server in servers:
        server.close()
