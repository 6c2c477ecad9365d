"""HTTP adapter for the platform's instance list."""

from collections.abc import Callable

import msgspec
from parsleyrudder import BackendError, DocumentError, Instance, decode_document

from .http_client import HttpClient, HttpRequest
from .response_collector import ResponseCollector

__all__ = ["HttpInstanceList"]

_REMEDY = "check the instance list and its address in the settings"
_DECODER = msgspec.json.Decoder(list[Instance])


class HttpInstanceList:
    """Access to the instance list over HTTP; see :class:`parsleyrudder.InstanceList`."""

    def __init__(self, client: HttpClient, address: str, timeout_s: float = 2.0) -> None:
        self._client = client
        self._address = address
        self._timeout_s = timeout_s

    def read(self, done: Callable[[list[Instance] | BackendError], None]) -> None:
        """Read the list and call ``done`` once with its entries or the error."""

        def fail(reason: object) -> None:
            done(BackendError(f"instance list {self._address}: {reason}", _REMEDY))

        def on_response(status: int, headers: dict[str, str], body: bytes) -> None:
            if status != 200:
                fail(f"status {status}")
                return
            try:
                instances = decode_document(_DECODER, body, "response")
            except DocumentError as error:
                fail(error.message)
                return
            done(instances)

        listener = ResponseCollector(on_response, fail)
        request = HttpRequest("GET", "/instances", reuse=True)
        listener.exchange = self._client.send(self._address, request, listener, self._timeout_s)
