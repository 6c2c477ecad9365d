"""Client of the fleet: obtains router addresses, sends calls and records their results."""

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
    """Result of one call as its caller received it.

    :ivar outcome: ``answered``, ``not_run`` or ``unknown``; ``lost`` if no complete response was
        received.
    :ivar code: error code of the response, or the kind of a connection failure.
    :ivar tokens: number of tokens received.
    :ivar complete: whether the response was received up to its end.
    :ivar first_token_s: time to the first byte of the body.
    """

    id: str
    member: str
    status: int = 0
    outcome: str = "lost"
    code: str = ""
    tokens: int = 0
    text: str = ""
    complete: bool = False
    first_token_s: float = 0.0
    seconds: float = 0.0
    retry_after_s: float = 0.0
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)


class Caller:
    """Sends the calls of one member.

    :param router_addresses: routers to ask for the addresses that the member may use.
    """

    def __init__(self, member: str, router_addresses: list[str]) -> None:
        self.member = member
        self._router_addresses = router_addresses
        self._assigned_addresses: list[str] = []
        self._assigned_until = 0.0

    async def address(self) -> str:
        """Return the address to use, requesting new addresses once the last ones have expired."""
        if time.monotonic() < self._assigned_until and self._assigned_addresses:
            return self._assigned_addresses[0]
        for router in [*self._assigned_addresses, *self._router_addresses]:
            result = await self.exchange(router, "GET", f"/v1/addresses?caller={self.member}", {})
            if result.status == 200:
                document = json.loads(result.body)
                urls = [item["url"] for item in document["addresses"]]
                self._assigned_addresses = [url.removeprefix("http://") for url in urls]
                self._assigned_until = time.monotonic() + document["ttl_s"]
                return self._assigned_addresses[0]
        raise ConnectionError("no router returned addresses for callers")

    def forget_address(self) -> None:
        """Discard the current address after a failed connection, so that the next one is used."""
        self._assigned_addresses = self._assigned_addresses[1:]
        if not self._assigned_addresses:
            self._assigned_until = 0.0

    async def chat(
        self, id: str, pool: str, prompt: str, max_tokens: int, **options: Any
    ) -> CallResult:
        """Send a chat completion request and read the response.

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
        """Send a call to a service pool.

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
        """Send one request with the member's key and read the response to its end."""
        result = CallResult(id, self.member)
        started_at = time.monotonic()
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
            await self._read_response(parser, reader, result, started_at)
        except (OSError, h11.ProtocolError) as error:
            result.code = result.code or f"connection: {error}"
        finally:
            writer.close()
        result.seconds = time.monotonic() - started_at
        return result

    async def _read_response(
        self,
        parser: h11.Connection,
        reader: asyncio.StreamReader,
        result: CallResult,
        started_at: float,
    ) -> None:
        body = bytearray()
        try:
            await self._read_events(parser, reader, result, body, started_at)
        finally:
            # An interrupted stream ends with an error event, which holds the outcome.
            result.body = bytes(body)
            _parse_outcome(result)

    async def _read_events(
        self,
        parser: h11.Connection,
        reader: asyncio.StreamReader,
        result: CallResult,
        body: bytearray,
        started_at: float,
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
                    result.first_token_s = time.monotonic() - started_at
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                result.complete = True
                break
            else:
                break


def _parse_outcome(result: CallResult) -> None:
    if result.status and result.status < 400 and result.complete:
        result.outcome = result.headers.get("x-rudder-outcome", "answered")
    if result.headers.get("content-type") == "text/event-stream":
        _parse_event_stream(result)
    elif result.status >= 400 and result.complete:
        result.outcome = result.headers.get("x-rudder-outcome", "lost")
        if result.headers.get("content-type", "").startswith("application/json"):
            document = json.loads(result.body)
            result.code = document.get("error", {}).get("code", "") if "error" in document else ""


def _parse_event_stream(result: CallResult) -> None:
    done_seen = False
    contents = []
    for event in result.body.split(b"\n\n"):
        if event == b"data: [DONE]":
            done_seen = True
        elif event.startswith(b"event: error\ndata: "):
            error = json.loads(event.partition(b"data: ")[2])["error"]
            result.code, result.outcome = error["code"], error["outcome"]
        elif event.startswith(b"data: ") and event.endswith(b"}"):
            for choice in json.loads(event[6:])["choices"]:
                content = choice["delta"].get("content")
                if content:
                    contents.append(content)
    result.tokens, result.text = len(contents), "".join(contents)
    if result.outcome == "answered" and not done_seen:
        result.outcome = "lost"
