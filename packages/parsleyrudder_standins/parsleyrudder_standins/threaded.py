"""Runs a stand-in in a separate thread, for tests with real sockets."""

import asyncio
import http.client
import json
import threading
from collections.abc import Coroutine, Iterable
from typing import Any

from .web import Handler, serve

__all__ = ["StandInServer", "http_connection"]

_TIMEOUT_S = 20.0


class StandInServer:
    """Server of a stand-in in a separate thread.

    :param background: coroutines that run in the same event loop.
    :ivar address: ``host:port`` on which it listens.
    """

    def __init__(
        self, handler: Handler, background: Iterable[Coroutine[Any, Any, object]] = ()
    ) -> None:
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self._server = self._run(serve(handler, 0))
        for coroutine in background:
            asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    def post(self, path: str, document: object) -> Any:
        """Post a JSON document and return that of the response."""
        connection = http_connection(self.address)
        try:
            connection.request("POST", path, json.dumps(document))
            return json.loads(connection.getresponse().read())
        finally:
            connection.close()

    def set_fault(self, mode: str, **parameters: object) -> None:
        """Set a fault of the stand-in."""
        self.post("/standin/fault", {"mode": mode, **parameters})

    def stop_listening(self) -> None:
        """Stop accepting connections; open ones are still served."""
        self._run(self._close_server())

    def close(self) -> None:
        """Stop the server and its tasks."""
        self.stop_listening()
        self._run(self._cancel_tasks())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def _run(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(_TIMEOUT_S)

    async def _close_server(self) -> None:
        self._server.close()

    async def _cancel_tasks(self) -> None:
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def http_connection(address: str) -> http.client.HTTPConnection:
    """Return a new connection to a stand-in."""
    return http.client.HTTPConnection(address, timeout=_TIMEOUT_S)
