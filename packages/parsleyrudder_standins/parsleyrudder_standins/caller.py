"""A caller: asks for addresses, connects there, and records what became of each call."""

import asyncio
import json
import time
from dataclasses import dataclass, field
from typing import Any

import h11

from .deployment import member_key

__all__ = ["Caller", "CallResult"]

_READ_BYTES = 65536


@dataclass(slots=True)
class CallResult:
    """What a caller saw of one call.

    :ivar outcome: ``answered``, ``not_run``, ``unknown``; ``lost`` if no whole answer came.
    :ivar tokens: tokens received.
    :ivar whole: whether the answer was complete.
    """

    id: str
    member: str
    status: int = 0
    outcome: str = "lost"
    code: str = ""
    tokens: int = 0
    text: str = ""
    whole: bool = False
    first_token_s: float = 0.0
    seconds: float = 0.0
    retry_after_s: float = 0.0
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)


class Caller:
    """One member's caller.

    :param entry: addresses of routers to ask first.
    """

    def __init__(self, member: str, entry: list[str]) -> None:
        self.member = member
        self._entry = entry
        self._addresses: list[str] = []
        self._until = 0.0

    async def address(self) -> str:
        """Return the address to use now, asking again once the last answer is too old."""
        if time.monotonic() < self._until and self._addresses:
            return self._addresses[0]
        for entry in [*self._addresses, *self._entry]:
            result = await self.exchange(entry, "GET", f"/v1/addresses?caller={self.member}", {})
            if result.status == 200:
                document = json.loads(result.body)
                urls = [item["url"] for item in document["addresses"]]
                self._addresses = [url.removeprefix("http://") for url in urls]
                self._until = time.monotonic() + document["ttl_s"]
                return self._addresses[0]
        raise ConnectionError("no router answers")

    def forget_address(self) -> None:
        """Use the next address, after the first has failed."""
        self._addresses = self._addresses[1:]
        if not self._addresses:
            self._until = 0.0

    async def chat(
        self, id: str, pool: str, prompt: str, max_tokens: int, **options: Any
    ) -> CallResult:
        """Send a chat completion and read its stream.

        :param options: ``address``, ``exact``, ``batch``, ``stream``, ``key`` (idempotency key).
        """
        body = {
            "model": pool,
            "user": self.member,
            "stream": options.get("stream", True),
            "max_tokens": max_tokens,
            "exact_tokens": options.get("exact", False),
            "messages": [{"role": "user", "content": prompt}],
        }
        headers = {"X-Class": "batch" if options.get("batch") else "interactive"}
        headers |= {"Idempotency-Key": options["key"]} if options.get("key") else {}
        data = json.dumps(body).encode()
        address = options.get("address") or await self.address()
        return await self.exchange(address, "POST", "/v1/chat/completions", headers, data, id)

    async def service(
        self, id: str, method: str, pool: str, path: str, **options: Any
    ) -> CallResult:
        """Call a plain service.

        :param options: ``address``, ``key`` (idempotency key), ``body``.
        """
        headers = {"Idempotency-Key": options["key"]} if options.get("key") else {}
        address = options.get("address") or await self.address()
        body = options.get("body", b"{}") if method == "POST" else b""
        return await self.exchange(address, method, f"/svc/{pool}{path}", headers, body, id)

    async def exchange(
        self,
        address: str,
        method: str,
        target: str,
        headers: dict[str, str] | None = None,
        body: bytes = b"",
        id: str = "",
    ) -> CallResult:
        """Send one request with the member's key and read the whole answer."""
        result = CallResult(id, self.member)
        begun = time.monotonic()
        host, _, port = address.partition(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            result.code, result.outcome = "connect", "not_run"
            return result
        try:
            fields = {
                "Host": address,
                "Authorization": f"Bearer {member_key(self.member)}",
                "Content-Length": str(len(body)),
                "Connection": "close",
                **(headers or {}),
            }
            if id:
                fields["X-Request-Id"] = id
            parser = h11.Connection(h11.CLIENT)
            request = h11.Request(method=method, target=target, headers=list(fields.items()))
            data = parser.send(request) or b""
            if body:
                data += parser.send(h11.Data(data=body)) or b""
            data += parser.send(h11.EndOfMessage()) or b""
            writer.write(data)
            await self._receive(parser, reader, result, begun)
        except (OSError, h11.ProtocolError) as error:
            result.code = result.code or f"connection: {error}"
        finally:
            writer.close()
        result.seconds = time.monotonic() - begun
        return result

    async def _receive(
        self, parser: h11.Connection, reader: asyncio.StreamReader, result: CallResult, begun: float
    ) -> None:
        body = bytearray()
        try:
            await self._read_body(parser, reader, result, body, begun)
        finally:
            # A stream that is cut ends with an error event.
            result.body = bytes(body)
            _read_outcome(result)

    async def _read_body(
        self,
        parser: h11.Connection,
        reader: asyncio.StreamReader,
        result: CallResult,
        body: bytearray,
        begun: float,
    ) -> None:
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(await reader.read(_READ_BYTES))
            elif isinstance(event, h11.Response):
                result.status = event.status_code
                result.headers = {k.decode(): v.decode() for k, v in event.headers}
                result.retry_after_s = float(result.headers.get("retry-after", 0))
            elif isinstance(event, h11.Data):
                if not body:
                    result.first_token_s = time.monotonic() - begun
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                result.whole = True
                break
            else:
                break


def _read_outcome(result: CallResult) -> None:
    if result.status and result.status < 400 and result.whole:
        result.outcome = result.headers.get("x-rudder-outcome", "answered")
    if result.headers.get("content-type") == "text/event-stream":
        _read_events(result)
    elif result.status >= 400 and result.whole:
        result.outcome = result.headers.get("x-rudder-outcome", "lost")
        if result.headers.get("content-type", "").startswith("application/json"):
            document = json.loads(result.body)
            result.code = document.get("error", {}).get("code", "") if "error" in document else ""


def _read_events(result: CallResult) -> None:
    done = False
    parts = []
    for event in result.body.split(b"\n\n"):
        if event == b"data: [DONE]":
            done = True
        elif event.startswith(b"event: error\ndata: "):
            error = json.loads(event.partition(b"data: ")[2])["error"]
            result.code, result.outcome = error["code"], error["outcome"]
        elif event.startswith(b"data: ") and event.endswith(b"}"):
            for choice in json.loads(event[6:])["choices"]:
                content = choice["delta"].get("content")
                if content:
                    parts.append(content)
    result.tokens, result.text = len(parts), "".join(parts)
    if result.outcome == "answered" and not done:
        result.outcome = "lost"
