"""State of one connection of a caller, and of the request that is being received on it."""

import math
from dataclasses import dataclass, field

import h11

from .chunk_sizes import ChunkSizeParser
from .timers import Timer

__all__ = ["CallerConnection"]


@dataclass(slots=True)
class CallerConnection:
    """State of one connection and of the request that is being received on it.

    :ivar input: bytes received and not parsed yet.
    :ivar scanned_bytes: number of bytes of ``input`` already searched for the end of the head.
    :ivar head_bytes: length of the head at the start of ``input``, until it is parsed.
    :ivar chunk_sizes: parser of the chunk sizes, if the body is chunked.
    :ivar parser: parser of the request, once its head has been received.
    :ivar responding: whether a request was delivered and its response is not complete.
    :ivar refused: whether an error response was sent and further input is ignored.
    :ivar deadline: time by which the caller must send; infinite while responding.
    :ivar timer_due: time at which the timer fires; if the deadline is later, it is set again then.
    """

    input: bytearray = field(default_factory=bytearray)
    scanned_bytes: int = 0
    head_bytes: int = 0
    chunk_sizes: ChunkSizeParser | None = None
    parser: h11.Connection | None = None
    request: h11.Request | None = None
    body: bytearray = field(default_factory=bytearray)
    keep_alive: bool = False
    responding: bool = False
    refused: bool = False
    deadline: float = math.inf
    timer: Timer | None = None
    timer_due: float = math.inf

    @property
    def is_receiving(self) -> bool:
        """Whether a request has begun whose response is not complete."""
        return self.responding or bool(self.input) or self.parser is not None
