"""Settings of the router daemon: a TOML file, fully validated before any socket is opened."""

import tomllib
from collections.abc import Iterator
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta
from parsleyrudder import FieldError, OrderRules, SettingsError, convert_struct

from .field_types import HOST_PATTERN, PORT_PATTERN, Address
from .request_reader import RequestLimits

__all__ = [
    "InstanceListSettings",
    "OrderSettings",
    "PeerSettings",
    "PoolSettings",
    "RouteSettings",
    "RouterSettings",
    "Seed",
    "ServerSettings",
    "SpareSettings",
    "Settings",
    "TableSettings",
    "load_settings",
    "parse_settings",
]

_Z85_CHAR = r"[0-9a-zA-Z.\-:+=^!/*?&<>()\[\]{}@%$#]"
# Upper bound of times; a longer time is most likely given in the wrong unit.
_MAX_TIME_S = 86400
_Url = Annotated[
    str,
    Meta(
        pattern=rf"^https?://{HOST_PATTERN}(:{PORT_PATTERN})?\Z",
        description="write a URL with an IPv4 address, such as http://127.0.0.1:8100",
    ),
]
# Minimum time left of the coordinator's lease when an order is sent. The lease lasts 3 s and is
# renewed every second, so at least 2 s are left unless a renewal fails.
_FENCED_MARGIN_S = 1.0
_UNFENCED_MARGIN_S = 1.8
_Name = Annotated[
    str,
    Meta(
        pattern=r"^[a-z0-9][a-z0-9._-]{0,62}\Z",
        description="use 1 to 63 of a-z, 0-9, '.', '_' and '-', with a letter or digit first",
    ),
]
_Seconds = Annotated[
    float, Meta(gt=0, le=_MAX_TIME_S, description="write seconds above 0, at most 86400")
]
_NonNegative = Annotated[float, Meta(ge=0, le=1e12, description="write a number from 0 to 1e12")]
_Positive = Annotated[float, Meta(gt=0, le=1e12, description="write a number above 0, up to 1e12")]
_Count = Annotated[int, Meta(ge=1, le=65536, description="write a whole number from 1 to 65536")]
_Fraction = Annotated[float, Meta(ge=0, lt=1, description="write a number from 0 to below 1")]
_PublicKey = Annotated[
    str,
    Meta(pattern=rf"^{_Z85_CHAR}{{40}}\Z", description="write the 40 characters of a CURVE key"),
]
_SecretKey = Annotated[
    str,
    Meta(
        pattern=rf"^{_Z85_CHAR}{{40}}\Z",
        description="write the 40 characters of a CURVE key",
        extra={"secret": True},
    ),
]
_Method = Annotated[
    str, Meta(pattern=r"^[A-Z]{1,20}\Z", description="write an HTTP method, such as POST")
]
_Path = Annotated[
    str, Meta(pattern=r"^/[\x21-\x7e]*\Z", description="write a path that begins with a slash")
]


class _Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base class of the sections; rejects unknown fields."""


class RouterSettings(_Section, frozen=True):
    """Settings of the router process.

    :ivar caller_bind: ``host:port`` to listen on for callers.
    :ivar caller_url: URL at which callers reach this router, as returned by address lookups.
    :ivar peer_bind: ``host:port`` to listen on for other routers, which connect to this address.
    :ivar address_ttl_s: time for which callers may cache the result of an address lookup.
    :ivar stop_timeout_s: time after SIGTERM after which calls still in flight are aborted.
    :ivar key_ttl_s: time for which the result of a call is stored under its idempotency key.
    :ivar key_wait_s: time that a call waits for the table service to store its idempotency key.
    """

    name: _Name
    failure_domain: _Name
    caller_bind: Address
    caller_url: _Url
    peer_bind: Address
    address_ttl_s: _Seconds = 5.0
    stop_timeout_s: _Seconds = 120.0
    config_max_age_s: _Seconds = 600.0
    default_deadline_s: _Seconds = 60.0
    write_stall_s: _Seconds = 20.0
    key_ttl_s: _Seconds = 86400.0
    key_wait_s: _Seconds = 1.0
    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


class TableSettings(_Section, frozen=True):
    """The platform's table service."""

    address: Address
    timeout_s: _Seconds = 2.0


class InstanceListSettings(_Section, frozen=True):
    """The platform's instance list."""

    address: Address
    interval_s: _Seconds = 1.0


class Seed(_Section, frozen=True):
    """A router to contact first when joining the fleet."""

    name: _Name
    address: Address
    caller_url: _Url


class PeerSettings(_Section, frozen=True):
    """Settings of the messaging between routers.

    :ivar public_key: the fleet's CURVE public key, Z85.
    :ivar secret_key: the fleet's CURVE secret key, Z85.
    """

    public_key: _PublicKey
    secret_key: _SecretKey
    seeds: tuple[Seed, ...] = ()
    gossip_interval_s: _Seconds = 0.5
    gossip_fan_out: _Count = 2


class RouteSettings(_Section, frozen=True):
    """Override of whether calls are idempotent, which their HTTP method decides by default."""

    method: _Method
    path_prefix: _Path
    idempotent: bool


class ServerSettings(_Section, frozen=True):
    """A server of a pool."""

    id: _Name
    address: Address
    failure_domain: _Name
    window: _Count


class PoolSettings(_Section, frozen=True):
    """A pool of servers.

    :ivar kind: ``engine`` or ``service``.
    :ivar default_cost: expected cost of a call as long as none has finished.
    :ivar largest_cost: maximum cost of one call.
    :ivar first_byte_s: timeout from the start of an attempt to the first byte of its response.
    :ivar server_silence_s: timeout between two consecutive parts of a response.
    :ivar interactive_reserve: fraction of the slots reserved for interactive calls, 0 to below 1.
    :ivar policy: scheduling policy for slots; all but ``fair`` are baselines for measurements.
    :ivar window_min: minimum window of an engine whose own queue is not empty.
    :ivar cache_interval_s: interval between reads of an engine's cache events; 0 disables them.
    :ivar model: model that the engines should load; the pool's name if empty.
    :ivar version: version of the model that the engines should load.
    :ivar adapters: adapters that the engines should load.
    :ivar orders_fenced: whether the engines refuse orders with an old fencing number.
    """

    name: _Name
    kind: Literal["engine", "service"]
    servers: tuple[ServerSettings, ...]
    prompt_weight: _NonNegative = 0.1
    token_weight: _NonNegative = 1.0
    default_cost: _Positive = 100.0
    largest_cost: _Positive = 8000.0
    report_interval_s: _Seconds = 0.1
    portion_lease_s: _Seconds = 5.0
    max_call_s: _Seconds = 120.0
    first_byte_s: _Seconds = 30.0
    server_silence_s: _Seconds = 20.0
    interactive_reserve: _Fraction = 0.0
    policy: Literal["fair", "fifo", "local-fair", "static"] = "fair"
    load_interval_s: _Seconds = 1.0
    window_min: _Count = 1
    cache_interval_s: _NonNegative = 2.0
    model: str = ""
    version: str = ""
    adapters: tuple[str, ...] = ()
    orders_fenced: bool = True
    routes: tuple[RouteSettings, ...] = ()


class SpareSettings(ServerSettings, frozen=True):
    """An engine that serves one of several pools at a time.

    :ivar pools: pools that it may serve.
    """

    pools: tuple[_Name, ...]


class OrderSettings(_Section, frozen=True):
    """Limits on orders to engines, and the thresholds for placing spare engines.

    :ivar loads_per_minute: model loads that may start per minute, to limit the weight store's rate.
    :ivar loads_at_once: maximum number of engines of one pool that load a model at the same time.
    :ivar high_backlog: waiting calls per slot from which a pool requests a spare.
    :ivar low_backlog: waiting calls per slot up to which a spare may be taken from a pool.
    :ivar backlog_hold_s: time for which the backlog must stay at or beyond a threshold.
    :ivar spare_stay_s: minimum time that a spare stays in a pool.
    """

    loads_per_minute: _Positive = 6.0
    loads_at_once: _Count = 1
    high_backlog: _Positive = 1.0
    low_backlog: _NonNegative = 0.1
    backlog_hold_s: _Seconds = 15.0
    spare_stay_s: _Seconds = 120.0

    def rules(self, fenced: bool) -> OrderRules:
        """Return the limits on orders.

        :param fenced: whether the engines refuse orders with an old fencing number. If they do not,
            only the lease prevents an outdated order, so an order is sent only while more time of
            the lease is left.
        """
        margin_s = _FENCED_MARGIN_S if fenced else _UNFENCED_MARGIN_S
        return OrderRules(self.loads_per_minute, self.loads_at_once, send_margin_s=margin_s)


class Settings(_Section, frozen=True, kw_only=True):
    """All settings of one daemon."""

    router: RouterSettings
    table: TableSettings
    instances: InstanceListSettings
    peers: PeerSettings
    pools: tuple[PoolSettings, ...]
    spares: tuple[SpareSettings, ...] = ()
    orders: OrderSettings = OrderSettings()
    limits: RequestLimits = RequestLimits()


_DEFAULT_BY_NAME = {
    field.name: field.default
    for section in (RouterSettings, PoolSettings)
    for field in msgspec.structs.fields(section)
}


def load_settings(path: str) -> Settings:
    """Read and check a settings file.

    :raises SettingsError: if the file can't be read or is not valid TOML.
    :raises ExceptionGroup: with one :class:`SettingsError` per invalid field.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {error}", "name a readable UTF-8 file") from None
    return parse_settings(text, path)


def parse_settings(text: str, path: str = "settings") -> Settings:
    """Parse and check the text of a settings file; see :func:`load_settings`."""
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(f"{path}: {error}", "correct the TOML syntax") from None
    settings, faults = convert_struct(document, "", Settings)
    faults += _cross_field_faults(document)
    if faults or settings is None:
        errors = [
            SettingsError(f"{path}: {fault.path}: {fault.message}", fault.remedy)
            for fault in faults
        ]
        raise ExceptionGroup(f"{path} is refused", errors)
    return settings


def _cross_field_faults(document: dict[str, Any]) -> Iterator[FieldError]:
    """Check constraints across fields.

    This uses the raw document, so that invalid fields elsewhere do not hide these faults.
    """
    pools = list(_subtables(document, "pools", ""))
    seeds = list(_subtables(_subtable(document, "peers"), "seeds", "peers."))
    servers = [row for path, pool in pools for row in _subtables(pool, "servers", f"{path}.")]
    spares = list(_subtables(document, "spares", ""))
    servers += spares
    names = {pool.get("name") for _, pool in pools}
    for path, spare in spares:
        unknown = [name for name in spare.get("pools", ()) if name not in names]
        if unknown:
            yield FieldError(f"{path}.pools", f"found {unknown[0]!r}", "name pools of this file")
    if document.get("pools") == []:
        yield FieldError("pools", "found []", "describe at least one pool")
    yield from _duplicate_faults(pools, "name")
    yield from _duplicate_faults(seeds, "name")
    yield from _duplicate_faults(seeds, "address")
    yield from _duplicate_faults(servers, "id")
    yield from _duplicate_faults(servers, "address")
    router = _subtable(document, "router")
    if router.get("caller_bind") == router.get("peer_bind") is not None:
        text = f"found {router['peer_bind']!r}, which is caller_bind too"
        yield FieldError("router.peer_bind", text, "give each its own port")
    for path, seed in seeds:
        if seed.get("name") == router.get("name") is not None:
            yield FieldError(f"{path}.name", f"found {seed['name']!r}, this router", "remove it")
    for path, pool in pools:
        yield from _pool_faults(path, pool)
        yield from _key_ttl_faults(path, pool, router)
    limits = {f.name: f.default for f in msgspec.structs.fields(RequestLimits)}
    limits |= _subtable(document, "limits")
    yield from _ordering_faults("limits", limits, "target_bytes", "header_bytes")


def _pool_faults(path: str, pool: dict[str, Any]) -> Iterator[FieldError]:
    if pool.get("servers") == []:
        yield FieldError(f"{path}.servers", "found []", "name at least one server")
    defaults = {f.name: f.default for f in msgspec.structs.fields(PoolSettings)}
    yield from _ordering_faults(path, defaults | pool, "default_cost", "largest_cost")
    yield from _ordering_faults(path, defaults | pool, "report_interval_s", "portion_lease_s")
    found: dict[tuple[object, object], str] = {}
    for route_path, route in _subtables(pool, "routes", f"{path}."):
        key = (str(route.get("method")), str(route.get("path_prefix")))
        first = found.setdefault(key, route_path)
        if first != route_path:
            yield FieldError(
                route_path, f"found {' '.join(key)}, as in {first}", "remove one of the two"
            )


def _key_ttl_faults(
    path: str, pool: dict[str, Any], router: dict[str, Any]
) -> Iterator[FieldError]:
    """Check that no idempotency key expires during its call, as a retry would then run it again."""
    ttl_s = router.get("key_ttl_s", _DEFAULT_BY_NAME["key_ttl_s"])
    max_call_s = pool.get("max_call_s", _DEFAULT_BY_NAME["max_call_s"])
    are_numbers = all(isinstance(value, int | float) for value in (ttl_s, max_call_s))
    if are_numbers and ttl_s < 2 * max_call_s:
        remedy = f"use at least twice {path}.max_call_s, {2 * max_call_s:g}"
        yield FieldError("router.key_ttl_s", f"found {ttl_s!r}", remedy)


def _ordering_faults(path: str, row: dict[str, Any], low: str, high: str) -> Iterator[FieldError]:
    """Check that the field ``low`` is at most the field ``high``."""
    if not all(isinstance(row.get(name), int | float) for name in (low, high)):
        return
    if row[low] > row[high]:
        text = f"found {row[low]!r}, more than {high} ({row[high]!r})"
        yield FieldError(f"{path}.{low}", text, f"lower it or raise {high}")


def _duplicate_faults(rows: list[tuple[str, dict[str, Any]]], field: str) -> Iterator[FieldError]:
    found: dict[str, str] = {}
    for path, row in rows:
        value = row.get(field)
        if isinstance(value, str):
            first = found.setdefault(value, path)
            if first != path:
                text = f"found {value!r}, as in {first}.{field}"
                yield FieldError(f"{path}.{field}", text, "give each its own")


def _subtable(row: dict[str, Any], field: str) -> dict[str, Any]:
    value = row.get(field)
    return value if isinstance(value, dict) else {}


def _subtables(
    row: dict[str, Any], field: str, prefix: str
) -> Iterator[tuple[str, dict[str, Any]]]:
    value = row.get(field)
    for index, item in enumerate(value if isinstance(value, list) else []):
        if isinstance(item, dict):
            yield f"{prefix}{field}[{index}]", item
