"""Base classes of the messages between routers; both are encoded as arrays to save bytes."""

import msgspec

__all__ = ["BaseMessage", "MessagePart"]


class MessagePart(msgspec.Struct, array_like=True, frozen=True):
    """Base class of the structs nested in messages."""


class BaseMessage(msgspec.Struct, array_like=True, frozen=True, tag=True):
    """Base class of the messages."""
