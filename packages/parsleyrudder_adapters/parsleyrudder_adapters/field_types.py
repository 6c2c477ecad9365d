"""Field types shared by several kinds of settings files."""

from typing import Annotated

from msgspec import Meta

__all__ = ["HOST_PATTERN", "PORT_PATTERN", "Address"]

_OCTET = r"(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"
HOST_PATTERN = rf"{_OCTET}(\.{_OCTET}){{3}}"
PORT_PATTERN = (
    r"([1-9][0-9]{0,3}|[1-5][0-9]{4}|6[0-4][0-9]{3}|65[0-4][0-9]{2}|655[0-2][0-9]|6553[0-5])"
)
Address = Annotated[
    str,
    Meta(
        pattern=rf"^{HOST_PATTERN}:{PORT_PATTERN}\Z",
        description="write an IPv4 address and a port from 1 to 65535, such as 127.0.0.1:8100",
    ),
]
