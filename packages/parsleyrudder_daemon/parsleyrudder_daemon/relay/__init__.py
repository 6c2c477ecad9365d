"""Router that relays requests unchanged, by routes and targets that are declared in a store."""

from .app import RelayApp
from .dialect import AttemptInfo, DecodedRequest, Dialect, ResponseHead, StoreDecoder
from .settings import RelaySettings, load_relay_settings

__all__ = [
    "AttemptInfo",
    "DecodedRequest",
    "Dialect",
    "RelayApp",
    "RelaySettings",
    "ResponseHead",
    "StoreDecoder",
    "load_relay_settings",
]
