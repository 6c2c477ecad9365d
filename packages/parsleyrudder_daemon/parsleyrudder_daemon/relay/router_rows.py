"""Rows in which the routers register to find each other."""

from typing import Annotated

import msgspec
from parsleyrudder import DocumentError, RouterInfo, Row, decode_document
from parsleyrudder_adapters.field_types import Address

__all__ = ["decode_router"]

# Incarnations are Unix times in milliseconds; others that follow this one still fit into messages.
_MAX_INCARNATION = 2**53


class _RouterRow(msgspec.Struct, array_like=True, frozen=True):
    """Row of a router; encoded as :class:`parsleyrudder.RouterInfo`, but with checked values."""

    name: str
    incarnation: Annotated[int, msgspec.Meta(ge=0, le=_MAX_INCARNATION)]
    failure_domain: str
    peer_address: Address
    caller_address: Address


_DECODER = msgspec.msgpack.Decoder(_RouterRow)


def decode_router(row: Row) -> RouterInfo:
    """Return the router that a row describes.

    :raises DocumentError: if it describes none, or another one than its key names.
    """
    source = f"row {row.key!r}"
    router = decode_document(_DECODER, row.value, source)
    if router.name != row.key:
        raise DocumentError(source, f"it names the router {router.name!r}")
    return RouterInfo(
        router.name,
        router.incarnation,
        router.failure_domain,
        router.peer_address,
        router.caller_address,
    )
