"""Router that forwards requests unchanged, by routes and targets that are declared in a store."""

from .app import RelayApp
from .dialect import AttemptInfo, Dialect, RelayRequest, ResponseHead, StoreDecoder
from .settings import RelaySettings, load_relay_settings

__all__ = [
    "AttemptInfo",
    "Dialect",
    "RelayApp",
    "RelayRequest",
    "RelaySettings",
    "ResponseHead",
    "StoreDecoder",
    "load_relay_settings",
]
