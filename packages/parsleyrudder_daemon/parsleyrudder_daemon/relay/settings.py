"""Settings of the relay: a TOML file that is validated completely before any socket is opened."""

from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta
from parsleyrudder import SettingsError
from parsleyrudder_adapters.field_types import Address

__all__ = ["RelayBounds", "RelaySettings", "load_relay_settings"]

_REMEDY = "correct the settings file and start again"
# Descriptors for files, listening sockets, the store and the other routers.
_RESERVED_DESCRIPTORS = 400
_MIN_CALLER_CONNECTIONS = 16
_Seconds = Annotated[float, Meta(ge=0, le=86400)]


class RelayBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Bounds on times and retries that were promised to the users.

    :ivar apply_s: time within which a new configuration is active on all routers.
    :ivar drain_s: time after which a target that is leaving gets no new requests.
    :ivar revoke_s: time after which every router rejects a revoked key, even a router that can
        reach neither the store nor other routers.
    :ivar stop_s: time between SIGTERM and SIGKILL.
    :ivar retry_ratio: number of retries per request that the fleet may send to a pool.
    :ivar retry_least: number of retries that it may send in addition, whatever the number of
        requests.
    :ivar retry_window_s: length of the sliding window in which both are counted.
    :ivar addresses_s: maximum time for which callers keep a list of router addresses.
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
    """Settings that a relay reads at startup.

    :ivar name: name of this router.
    :ivar failure_domain: failure domain of the instance that this router runs on.
    :ivar callers: address to listen on for requests.
    :ivar ready: address to listen on for readiness checks.
    :ivar addresses: address to listen on for requests for the router addresses.
    :ivar peers: address to listen on for messages from other routers.
    :ivar seeds: ``peers`` addresses of routers to contact while no peer is known; they may be down.
    :ivar store: address of the store.
    :ivar metrics: address to listen on for requests for the metrics.
    :ivar descriptors: number of descriptors that the process may have open.
    :ivar first_start: whether the whole fleet starts for the first time, so that nothing that an
        earlier router has done has to be taken into account.
    :ivar log_level: minimum level of logged events.
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
    descriptors: Annotated[int, Meta(ge=64)] = 8192
    first_start: bool = False
    log_level: str = "INFO"
    bounds: RelayBounds = msgspec.field(default_factory=RelayBounds)

    @property
    def max_caller_connections(self) -> int:
        """Number of callers' connections that leave enough descriptors to serve them.

        Each request that is relayed needs a second connection, to its target.
        """
        available = (self.descriptors - _RESERVED_DESCRIPTORS) // 2
        return max(_MIN_CALLER_CONNECTIONS, available)


def load_relay_settings(path: str) -> RelaySettings:
    """Load the settings from a file.

    :raises SettingsError: with the file, the field, the invalid value and the remedy.
    """
    try:
        return msgspec.toml.decode(Path(path).read_bytes(), type=RelaySettings)
    except (OSError, msgspec.MsgspecError) as error:
        raise SettingsError(f"{path}: {error}", _REMEDY) from error
