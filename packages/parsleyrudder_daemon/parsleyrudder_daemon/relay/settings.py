"""Settings of the relay: a TOML file, checked as a whole before any socket opens."""

from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta
from parsleyrudder import SettingsError
from parsleyrudder_adapters.field_types import Address

__all__ = ["RelayBounds", "RelaySettings", "load_relay_settings"]

_REMEDY = "correct the settings file and start again"
_Seconds = Annotated[float, Meta(ge=0, le=86400)]


class RelayBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Time bounds that the users were promised.

    :ivar apply_s: a new configuration is in force everywhere after this time.
    :ivar drain_s: a target that leaves gets nothing new after this time.
    :ivar revoke_s: a revoked key is dead everywhere after this time, also on a router that reaches
        nobody.
    :ivar stop_s: time between SIGTERM and SIGKILL.
    :ivar retry_ratio: repeats per request that the fleet may send to a pool.
    :ivar retry_least: repeats that it may send in any case.
    :ivar retry_window_s: window of the two.
    :ivar addresses_s: longest time for which callers keep an address answer.
    """

    apply_s: _Seconds = 2.0
    drain_s: _Seconds = 2.0
    revoke_s: _Seconds = 5.0
    stop_s: _Seconds = 8.0
    retry_ratio: Annotated[float, Meta(ge=0, le=10)] = 0.1
    retry_least: Annotated[float, Meta(ge=0)] = 0.0
    retry_window_s: _Seconds = 10.0
    addresses_s: _Seconds = 2.0


class RelaySettings(msgspec.Struct, frozen=True, kw_only=True):
    """Everything that a relay learns at its start.

    :ivar name: name of this router.
    :ivar failure_domain: failure domain of its instance.
    :ivar callers: address for requests.
    :ivar ready: address for readiness checks.
    :ivar addresses: address for address answers.
    :ivar peers: address for other routers.
    :ivar seeds: ``peers`` addresses of routers that may be up.
    :ivar store: address of the store.
    :ivar metrics: address of the metrics.
    :ivar log_level: lowest level that is logged.
    """

    name: str
    failure_domain: str
    callers: Address
    ready: Address
    addresses: Address
    peers: Address
    store: Address
    metrics: Address
    seeds: list[Address] = []
    log_level: str = "INFO"
    bounds: RelayBounds = msgspec.field(default_factory=RelayBounds)


def load_relay_settings(path: str) -> RelaySettings:
    """Return the settings in a file.

    :raises SettingsError: with file, field, what was found and the remedy.
    """
    try:
        return msgspec.toml.decode(Path(path).read_bytes(), type=RelaySettings)
    except (OSError, msgspec.MsgspecError) as error:
        raise SettingsError(f"{path}: {error}", _REMEDY) from error
