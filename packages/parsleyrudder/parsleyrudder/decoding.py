"""Decoding of documents that another program may have written."""

from typing import Protocol, TypeVar

import msgspec

from .errors import DocumentError

__all__ = ["DocumentDecoder", "decode_document"]

_T = TypeVar("_T")
_T_co = TypeVar("_T_co", covariant=True)


class DocumentDecoder(Protocol[_T_co]):
    """Decoder of one type of document, such as :class:`msgspec.json.Decoder`."""

    def decode(self, data: bytes, /) -> _T_co:
        """Return the document that the bytes hold."""
        ...


def decode_document(decoder: DocumentDecoder[_T], data: bytes, source: str) -> _T:
    """Return the document that bytes from another program hold.

    :param source: where the bytes are from, for the message of the error.
    :raises DocumentError: if they hold no valid document of the decoder's type.

    >>> decode_document(msgspec.json.Decoder(int), b"7", "a row")
    7
    """
    try:
        return decoder.decode(data)
    except RecursionError as error:
        raise DocumentError(source, "it is nested too deeply") from error
    except (msgspec.MsgspecError, ValueError) as error:
        raise DocumentError(source, str(error)) from error
