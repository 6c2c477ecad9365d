"""Completely received requests of callers, and the limits enforced on them."""

import re
from dataclasses import dataclass
from typing import Annotated

import msgspec

__all__ = ["CallerRequest", "RequestLimits", "origin_form"]

_ABSOLUTE_FORM_PREFIX = re.compile(r"https?://[^/?#]*", re.IGNORECASE)
_CONNECTIONS_DESCRIPTION = "write a whole number from 1 to 65536"
_Bytes = Annotated[
    int,
    msgspec.Meta(ge=256, le=1 << 28, description="write a whole number from 256 to 268435456"),
]
_Seconds = Annotated[
    float,
    msgspec.Meta(gt=0, le=86400, description="write seconds above 0, at most 86400"),
]


class RequestLimits(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Limits on the requests and connections of callers.

    :ivar header_bytes: maximum size of request line and headers together.
    :ivar target_bytes: maximum size of path and query.
    :ivar body_bytes: maximum size of the body after chunked decoding.
    :ivar connections: maximum number of open connections.
    :ivar request_s: time within which a complete request must arrive.
    :ivar idle_s: time after which a connection without a request is closed.
    """

    header_bytes: _Bytes = 16384
    target_bytes: _Bytes = 4096
    body_bytes: _Bytes = 1 << 20
    connections: Annotated[
        int, msgspec.Meta(ge=1, le=65536, description=_CONNECTIONS_DESCRIPTION)
    ] = 4096
    request_s: _Seconds = 10.0
    idle_s: _Seconds = 60.0


@dataclass(slots=True)
class CallerRequest:
    """A completely received request of a caller, within all limits.

    :ivar target: path and query as sent, without scheme and host of an absolute target.
    :ivar headers: values by lower-case name; of a repeated header, the last value.
    :ivar keep_alive: whether the connection stays open after the response.
    :ivar raw_headers: all headers in the order and spelling in which they were sent.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    keep_alive: bool
    http_1_0: bool = False
    raw_headers: tuple[tuple[str, str], ...] = ()


def origin_form(target: str) -> str:
    """Return path and query of a target; servers must accept absolute form (RFC 9112, 3.2.2)."""
    match = _ABSOLUTE_FORM_PREFIX.match(target)
    if match is None:
        return target
    rest = target[match.end() :]
    return rest if rest.startswith("/") else "/" + rest
