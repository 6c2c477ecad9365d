"""Protocols that adapt the relay to the headers and stored documents of a platform."""

from dataclasses import dataclass, field
from typing import Protocol

from parsleyrudder import (
    Failure,
    RequestSize,
    RouterInfo,
    Row,
    Target,
    TargetSignals,
    TrafficConfig,
)
from parsleyrudder_adapters.http_client import ResponseMatch
from parsleyrudder_adapters.http_server import CallerExchange
from parsleyrudder_adapters.request_reader import CallerRequest

__all__ = ["AttemptInfo", "DecodedRequest", "Dialect", "ResponseHead", "StoreDecoder"]


@dataclass(slots=True)
class DecodedRequest:
    """The properties of a caller's request that the relay's decisions depend on.

    :ivar id: id of the request, unique per request of a caller.
    :ivar key: the caller's key, or an empty string.
    :ivar timeout_s: time for which the caller will wait; None if it is not given.
    :ivar last_event_id: last event of the stream that the caller has received; None to send the
        stream from its start.
    :ivar resumes: id of the request that brought the first event of the stream that the caller
        resumes; None if it resumes none.
    """

    id: str
    host: str
    path: str
    key: str
    timeout_s: float | None
    size: RequestSize = field(default_factory=RequestSize)
    last_event_id: int | None = None
    resumes: str | None = None


@dataclass(slots=True, frozen=True)
class AttemptInfo:
    """Information for a target that is sent in addition to the caller's request.

    :ivar remaining_s: time left until the final response is due.
    :ivar organisation: organisation that holds the caller's key, or an empty string.
    :ivar last_event_id: last event that the caller has received; None if there is none.
    """

    target: Target
    remaining_s: float
    organisation: str
    last_event_id: int | None


@dataclass(slots=True, frozen=True)
class ResponseHead:
    """Status and headers of a target's response.

    :ivar is_not_run: whether the target states that it has not run the request.
    :ivar is_event_stream: whether the body is a stream of events.
    :ivar headers: headers to relay to the caller.
    :ivar signals: what the target states about itself.
    :ivar has_not_run_status: whether callers take the status as a promise that the request was not
        run and never will be.
    :ivar is_delimited: whether a length or a last chunk shows the end of the body, and not only the
        close of the connection.
    """

    status: int
    is_not_run: bool
    is_event_stream: bool
    headers: list[tuple[str, str]]
    signals: TargetSignals = field(default_factory=TargetSignals)
    has_not_run_status: bool = False
    is_delimited: bool = True


class Dialect(Protocol):
    """Encoding and decoding of the HTTP headers between callers, relay and targets."""

    def decode_request(self, request: CallerRequest) -> DecodedRequest | Failure:
        """Decode a caller's request, or return why it can't be relayed."""
        ...

    def headers_for_target(
        self, request: CallerRequest, attempt: AttemptInfo
    ) -> list[tuple[str, str]]:
        """Return the headers of the request to a target."""
        ...

    def match_response(self, id: str, headers: list[tuple[str, str]]) -> ResponseMatch:
        """Return whether a response on a connection belongs to the request with the given id."""
        ...

    def decode_response(self, status: int, headers: list[tuple[str, str]]) -> ResponseHead:
        """Decode the head of a target's response."""
        ...

    def refuse(self, exchange: CallerExchange, refusal: Failure) -> None:
        """Respond with the reason why a request is refused or has failed."""
        ...

    def send_addresses(
        self, exchange: CallerExchange, routers: list[RouterInfo], ttl_s: float
    ) -> None:
        """Respond with the addresses of the routers that callers should use.

        :param ttl_s: time for which callers may keep them.
        """
        ...

    def is_address_request(self, request: CallerRequest) -> bool:
        """Whether a request is one for the addresses of the routers."""
        ...

    def is_readiness_request(self, request: CallerRequest) -> bool:
        """Whether a request is a readiness check."""
        ...


class StoreDecoder(Protocol):
    """Decoder of the documents in the store's tables.

    :ivar config_table: table of the traffic configuration.
    :ivar target_table: table of the targets' entries.
    :ivar router_table: table in which the routers register to find each other.
    :ivar quarantine_table: table in which the routers keep quarantines.
    :ivar version_table: table in which they keep the software versions that targets have had.
    :ivar stream_table: table in which they record at which versions streams have begun.
    """

    config_table: str
    target_table: str
    router_table: str
    quarantine_table: str
    version_table: str
    stream_table: str

    def decode_config(self, rows: list[Row]) -> TrafficConfig | None:
        """Return the configuration among the rows, or None if none of them holds one.

        :raises DocumentError: if the row does not hold a valid configuration.
        """
        ...

    def decode_target(self, row: Row) -> Target:
        """Return the target that a row describes.

        :raises DocumentError: if the row does not describe a target.
        """
        ...
