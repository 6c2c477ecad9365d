"""Serialization of requests to servers, and the Keep-Alive header of their responses."""

import math
import re
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import h11

__all__ = [
    "ONE_REQUEST_CONNECTION",
    "HttpRequest",
    "ResponseMatch",
    "max_idle_s",
    "serialize_request",
]

# Header of a request whose response does not name it. No other request gets its connection, where a
# second copy of the response would be taken for the next one.
ONE_REQUEST_CONNECTION = ("Connection", "close")

# Fraction of the idle timeout announced by the server after which a connection is not reused, so
# that a request is not sent while the server closes the connection.
_IDLE_TIMEOUT_FRACTION = 0.6
_KEEP_ALIVE = re.compile(r"timeout\s*=\s*([0-9]{1,9})", re.IGNORECASE)


class ResponseMatch(Enum):
    """Whether a response belongs to the request that is waiting for one."""

    OWN = "own"
    OTHER = "other"
    """It belongs to an earlier request on the connection, and is skipped."""
    UNKNOWN = "unknown"
    """It names no request, so it is accepted only as the first and last one on its connection."""


@dataclass(slots=True)
class HttpRequest:
    """A request to send.

    :ivar reuse: whether an idle connection may be used. The server may have closed it, which may
        show only after the request was sent, so set this only if the request may be repeated.
    :ivar max_idle_s: maximum time for which a reused connection may have been idle; it may have
        gone silent since, which only the lack of a response shows.
    :ivar may_send: called just before the first byte is sent; if it returns False, the request
        fails without having been sent.
    :ivar match_response: called with the headers of each response.
    """

    method: str
    target: str
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""
    reuse: bool = False
    max_idle_s: float = math.inf
    may_send: Callable[[], bool] | None = None
    match_response: Callable[[list[tuple[str, str]]], ResponseMatch] | None = None


def serialize_request(parser: h11.Connection, address: str, request: HttpRequest) -> bytes:
    """Return the bytes of a request, and put the parser into the state after sending it.

    :raises h11.LocalProtocolError: if the method, the target or a header is not valid.
    """
    headers = list(request.headers)
    if not any(name.lower() == "host" for name, _ in headers):
        headers.insert(0, ("Host", address))
    if request.body or request.method in ("POST", "PUT", "PATCH"):
        headers.append(("Content-Length", str(len(request.body))))
    event = h11.Request(method=request.method, target=request.target, headers=headers)
    parts = [parser.send(event)]
    if request.body:
        parts.append(parser.send(h11.Data(data=request.body)))
    parts.append(parser.send(h11.EndOfMessage()))
    return b"".join(part for part in parts if part)


def max_idle_s(headers: list[tuple[str, str]]) -> float:
    """Return the longest idle time after which a connection may still be reused.

    :param headers: headers of the last response on the connection.

    >>> max_idle_s([("Keep-Alive", "timeout=10")])
    6.0
    >>> max_idle_s([])
    inf
    """
    for name, value in headers:
        match = _KEEP_ALIVE.search(value) if name.lower() == "keep-alive" else None
        if match is not None:
            return _IDLE_TIMEOUT_FRACTION * int(match[1])
    return math.inf
