"""What the relay needs to know of the headers and documents of the systems around it."""

from dataclasses import dataclass, field
from typing import Protocol

from parsleyrudder import Failure, RequestSize, RouterInfo, Row, Target, TrafficConfig
from parsleyrudder_adapters.http_server import CallerExchange
from parsleyrudder_adapters.request_reader import CallerRequest

__all__ = ["AnswerHead", "Dialect", "RelayRequest", "Send", "StoreDecoder"]


@dataclass(slots=True)
class RelayRequest:
    """A caller's request as far as the relay decides by it.

    :ivar id: id of the request, unique per request of a caller.
    :ivar key: the caller's key, or an empty string.
    :ivar allowed_s: time that the caller will wait; None if it did not say.
    :ivar last_event_id: last event of the stream that the caller has got; None for all.
    """

    id: str
    host: str
    path: str
    key: str
    allowed_s: float | None
    work: RequestSize = field(default_factory=RequestSize)
    last_event_id: int | None = None


@dataclass(slots=True, frozen=True)
class Send:
    """What is told to a target beside the caller's request.

    :ivar left_s: time left until the final answer is due.
    :ivar organisation: organisation that holds the caller's key, or an empty string.
    :ivar last_event_id: last event that the caller has got.
    """

    target: Target
    left_s: float
    organisation: str
    last_event_id: int | None


@dataclass(slots=True, frozen=True)
class AnswerHead:
    """Head of a target's answer.

    :ivar is_not_run: whether the target says that it has not run the request.
    :ivar is_event_stream: whether the body is a stream of events.
    :ivar headers: headers to pass on to the caller.
    """

    status: int
    is_not_run: bool
    is_event_stream: bool
    headers: list[tuple[str, str]]


class Dialect(Protocol):
    """Headers between callers, relay and targets."""

    def decode(self, request: CallerRequest) -> RelayRequest | Failure:
        """Return what the relay decides by, or why the request can't be relayed."""
        ...

    def headers_for_target(self, request: CallerRequest, send: Send) -> list[tuple[str, str]]:
        """Return the headers that a target gets."""
        ...

    def is_answer_to(self, id: str, status: int, headers: list[tuple[str, str]]) -> bool:
        """Whether an answer on a connection belongs to a request."""
        ...

    def decode_answer(self, status: int, headers: list[tuple[str, str]]) -> AnswerHead:
        """Return the head of a target's answer."""
        ...

    def refuse(self, exchange: CallerExchange, refusal: Failure) -> None:
        """Answer a request that the relay gives up."""
        ...

    def answer_addresses(
        self, exchange: CallerExchange, routers: list[RouterInfo], ttl_s: float
    ) -> None:
        """Answer which routers a caller should use."""
        ...

    def is_address_request(self, request: CallerRequest) -> bool:
        """Whether a request asks for the addresses."""
        ...

    def is_ready_request(self, request: CallerRequest) -> bool:
        """Whether a request asks if this router is ready."""
        ...


class StoreDecoder(Protocol):
    """Documents in the store's tables, and the names of these tables.

    :ivar config_table: table of the traffic configuration.
    :ivar target_table: table of the targets' entries.
    :ivar router_table: table in which the routers find each other.
    """

    config_table: str
    target_table: str
    router_table: str

    def decode_config(self, rows: list[Row]) -> TrafficConfig | None:
        """Return the configuration among the rows, or None if none of them holds one.

        :raises ValueError: if the row is no configuration.
        """
        ...

    def decode_target(self, row: Row) -> Target:
        """Return the target that a row describes.

        :raises ValueError: if the row describes none.
        """
        ...
