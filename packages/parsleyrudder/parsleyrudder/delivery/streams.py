"""Server-sent events of one attempt at an engine: which of them the caller still needs.

A stream that goes on at another engine must neither repeat nor miss a token. An engine that honours
``X-Resume-From`` says so with ``X-Resumed-From: <tokens>``; the stream of any other engine starts
at the first token, and the tokens that the caller has are skipped by their index.
"""

from dataclasses import dataclass, field

import msgspec

from .event_buffer import EventBuffer

__all__ = ["EventStream", "StreamPart"]

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


@dataclass(slots=True)
class StreamPart:
    """What one read from the engine brought.

    :ivar events: bytes to relay.
    :ivar texts: contents of the new tokens.
    """

    events: bytes = b""
    texts: list[str] = field(default_factory=list)
    finish_reason: str = ""


@dataclass(slots=True)
class EventStream:
    """The event stream of one attempt.

    :ivar request_id: id that the engine was given; its chunks must end with it.
    :ivar relayed: tokens that the caller had before this attempt.
    :ivar done: whether the end mark has come.
    :ivar fault: why the stream can't be used, or an empty string.
    """

    request_id: str
    relayed: int = 0
    done: bool = False
    fault: str = ""
    _skip: int = 0
    _buffer: EventBuffer = field(default_factory=EventBuffer)

    def begin(self, resumed_from: str | None) -> None:
        """Take the head of the answer.

        :param resumed_from: value of ``X-Resumed-From``, or None if the engine did not send it.
        """
        first = int(resumed_from) if resumed_from and resumed_from.isdecimal() else 0
        if first > self.relayed:
            self.fault = f"the engine resumed at token {first} instead of {self.relayed}"
        self._skip = max(0, self.relayed - first)

    def feed(self, data: bytes) -> StreamPart:
        """Take received bytes and return what is new to the caller.

        >>> stream = EventStream("r1", relayed=1)
        >>> stream.begin(None)
        >>> chunk = b'data: {"id":"r1","choices":[{"delta":{"content":"%s"}}]}\\n\\n'
        >>> stream.feed(chunk % b"a" + chunk % b"b").texts
        ['b']
        """
        part = StreamPart()
        kept = []
        for event in self._buffer.feed(data):
            if self.done or self.fault:
                break
            if event == _DONE:
                self.done = True
            elif self._keeps(event, part):
                kept.append(event)
        if self._buffer.is_too_long:
            self.fault = "an event is too large"
        if kept:
            part.events = b"\n\n".join(kept) + b"\n\n"
        return part

    def _keeps(self, event: bytes, part: StreamPart) -> bool:
        """Whether the caller needs an event."""
        if not event.startswith(b"data: "):
            return not self._skip
        try:
            chunk = msgspec.json.decode(event[6:], type=_Chunk)
        except msgspec.MsgspecError:
            self.fault = "an event is no chunk of a completion"
            return False
        if chunk.id and not chunk.id.endswith(self.request_id):
            self.fault = "the engine answered another request"
            return False
        if bytes(chunk.error) not in (b"", b"null"):
            self.fault = "the engine reported an error"
            return False
        contents = [choice.delta.content for choice in chunk.choices if choice.delta.content]
        if self._skip:
            if len(contents) > self._skip:
                self.fault = "the engine sent several tokens in one event"
            self._skip -= len(contents)
            return False
        part.texts += contents
        for choice in chunk.choices:
            part.finish_reason = choice.finish_reason or part.finish_reason
        return True
