"""Parser of the server-sent events of one attempt at an engine.

A stream that continues on another engine must neither repeat nor miss a token. An engine that
honours ``X-Resume-From`` confirms it with ``X-Resumed-From: <tokens>``; the stream of any other
engine starts at the first token, and the tokens that the caller already has are skipped by index.
"""

from dataclasses import dataclass, field

import msgspec

from ..decoding import decode_document
from ..errors import DocumentError
from .event_buffer import EventBuffer

__all__ = ["CompletionStream", "StreamPart"]

_DONE = b"data: [DONE]"


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta = msgspec.field(default_factory=_Delta)
    finish_reason: str | None = None


class _Chunk(msgspec.Struct):
    id: str = ""
    choices: list[_Choice] = []
    error: msgspec.Raw = msgspec.Raw(b"")


_CHUNK_DECODER = msgspec.json.Decoder(_Chunk)


@dataclass(slots=True)
class StreamPart:
    """New events and tokens found in one read from the engine.

    :ivar events: bytes to relay to the caller.
    :ivar texts: text of each new token.
    """

    events: bytes = b""
    texts: list[str] = field(default_factory=list)
    finish_reason: str = ""


@dataclass(slots=True)
class CompletionStream:
    """Event stream of a chat completion, as sent in one attempt.

    :ivar request_id: id sent to the engine; the ids of its chunks must end with it.
    :ivar relayed_tokens: number of tokens relayed to the caller before this attempt.
    :ivar done: whether the ``[DONE]`` marker has been received.
    :ivar error: why the stream is unusable, or an empty string.
    """

    request_id: str
    relayed_tokens: int = 0
    done: bool = False
    error: str = ""
    _tokens_to_skip: int = 0
    _buffer: EventBuffer = field(default_factory=EventBuffer)

    def begin(self, resumed_from: str | None) -> None:
        """Start reading the response.

        :param resumed_from: value of ``X-Resumed-From``, or None if the engine did not send it.
        """
        first = int(resumed_from) if resumed_from and resumed_from.isdecimal() else 0
        if first > self.relayed_tokens:
            self.error = f"the engine resumed at token {first} instead of {self.relayed_tokens}"
        self._tokens_to_skip = max(0, self.relayed_tokens - first)

    def feed(self, data: bytes) -> StreamPart:
        """Parse received bytes and return the events and tokens that are new to the caller.

        >>> stream = CompletionStream("r1", relayed_tokens=1)
        >>> stream.begin(None)
        >>> chunk = b'data: {"id":"r1","choices":[{"delta":{"content":"%s"}}]}\\n\\n'
        >>> stream.feed(chunk % b"a" + chunk % b"b").texts
        ['b']
        """
        part = StreamPart()
        kept = []
        for event in self._buffer.feed(data):
            if self.done or self.error:
                break
            if event == _DONE:
                self.done = True
            elif self._should_relay(event, part):
                kept.append(event)
        if self._buffer.is_too_long:
            self.error = "an event is too large"
        if kept:
            part.events = b"\n\n".join(kept) + b"\n\n"
        return part

    def _should_relay(self, event: bytes, part: StreamPart) -> bool:
        """Whether an event has to be relayed; adds its tokens to ``part``."""
        if not event.startswith(b"data: "):
            return not self._tokens_to_skip
        try:
            chunk = decode_document(_CHUNK_DECODER, event[6:], "event")
        except DocumentError:
            self.error = "an event is not a valid chat completion chunk"
            return False
        if chunk.id and not chunk.id.endswith(self.request_id):
            self.error = "the engine sent a chunk of another request"
            return False
        if bytes(chunk.error) not in (b"", b"null"):
            self.error = "the engine reported an error"
            return False
        contents = [choice.delta.content for choice in chunk.choices if choice.delta.content]
        if self._tokens_to_skip:
            if len(contents) > self._tokens_to_skip:
                self.error = "the engine sent several tokens in one event"
            self._tokens_to_skip -= len(contents)
            return False
        part.texts += contents
        for choice in chunk.choices:
            part.finish_reason = choice.finish_reason or part.finish_reason
        return True
