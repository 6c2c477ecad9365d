"""Settings of the router daemon: a TOML file, checked as a whole before any socket opens."""

import re
import tomllib
from pathlib import Path
from typing import Any

import msgspec
from parsleyrudder import SettingsError

from .guard import GuardLimits

__all__ = [
    "InstanceListSettings",
    "PeerSettings",
    "PoolSettings",
    "RouteSettings",
    "RouterSettings",
    "Seed",
    "ServerSettings",
    "Settings",
    "TableSettings",
    "load_settings",
    "parse_settings",
]

_ADDRESS = re.compile(r"\d{1,3}(\.\d{1,3}){3}:\d{1,5}")
_NAME = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")


class _Section(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base of the sections; unknown fields are errors."""


class RouterSettings(_Section, frozen=True):
    """The daemon itself.

    :ivar caller_bind: ``host:port`` to listen on for callers.
    :ivar caller_url: address that callers are told to use.
    :ivar peer_bind: ``host:port`` to listen on for other routers, and where they reach this one.
    :ivar address_ttl_s: time for which callers may keep an answer to "which address".
    :ivar stop_timeout_s: time after SIGTERM at which calls still in flight are cut.
    """

    name: str
    failure_domain: str
    caller_bind: str
    caller_url: str
    peer_bind: str
    address_ttl_s: float = 5.0
    stop_timeout_s: float = 120.0
    config_max_age_s: float = 600.0
    default_deadline_s: float = 60.0
    write_stall_s: float = 20.0
    log_level: str = "INFO"


class TableSettings(_Section, frozen=True):
    """The platform's table service."""

    address: str
    timeout_s: float = 2.0


class InstanceListSettings(_Section, frozen=True):
    """The platform's instance list."""

    address: str
    interval_s: float = 1.0


class Seed(_Section, frozen=True):
    """A router to ask first."""

    name: str
    address: str
    caller_url: str


class PeerSettings(_Section, frozen=True):
    """Messages between routers.

    :ivar public_key: the fleet's CURVE public key, Z85.
    :ivar secret_key: the fleet's CURVE secret key, Z85.
    """

    public_key: str
    secret_key: str
    seeds: tuple[Seed, ...] = ()
    gossip_interval_s: float = 0.5
    gossip_fan_out: int = 2


class RouteSettings(_Section, frozen=True):
    """Exception to the rule that the method decides whether a call is idempotent."""

    method: str
    path_prefix: str
    idempotent: bool


class ServerSettings(_Section, frozen=True):
    """A server of a pool."""

    id: str
    address: str
    failure_domain: str
    window: int


class PoolSettings(_Section, frozen=True):
    """A pool of servers.

    :ivar kind: ``engine`` or ``service``.
    :ivar default_cost: expected cost of a call as long as nothing is known.
    :ivar largest_cost: largest cost that one call may have.
    :ivar interactive_reserve: part of the slots kept for interactive calls, 0 to 1.
    :ivar window_min: smallest window that load reports may shrink a server's window to.
    :ivar orders_fenced: whether the engines refuse orders with an old fencing number.
    """

    name: str
    kind: str
    servers: tuple[ServerSettings, ...]
    prompt_weight: float = 0.1
    token_weight: float = 1.0
    default_cost: float = 100.0
    largest_cost: float = 8000.0
    report_interval_s: float = 0.1
    portion_lease_s: float = 5.0
    max_call_s: float = 120.0
    interactive_reserve: float = 0.0
    load_interval_s: float = 1.0
    window_min: int = 1
    orders_fenced: bool = True
    routes: tuple[RouteSettings, ...] = ()


class Settings(_Section, frozen=True, kw_only=True):
    """All settings of one daemon."""

    router: RouterSettings
    table: TableSettings
    instances: InstanceListSettings
    peers: PeerSettings
    pools: tuple[PoolSettings, ...]
    limits: GuardLimits = GuardLimits()


def load_settings(path: str) -> Settings:
    """Read and check a settings file.

    :raises SettingsError: if the file can't be read or is no TOML.
    :raises ExceptionGroup: with one :class:`SettingsError` per wrong field.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(f"{path}: {error}", "name a readable UTF-8 file") from None
    return parse_settings(text, path)


def parse_settings(text: str, path: str = "settings") -> Settings:
    """Check the text of a settings file; see :func:`load_settings`."""
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(f"{path}: {error}", "correct the TOML syntax") from None
    errors: list[SettingsError] = []
    settings = _convert(document, path, errors)
    if settings is not None:
        errors += _faults(settings, path)
    if errors or settings is None:
        raise ExceptionGroup(f"{path} is refused", errors)
    return settings


def _convert(document: dict[str, Any], path: str, errors: list[SettingsError]) -> Settings | None:
    try:
        return msgspec.convert(document, Settings)
    except msgspec.ValidationError as error:
        text = str(error).replace("`", "")
        errors.append(SettingsError(f"{path}: {text}", "correct the field, see docs/operations.md"))
        return None


def _faults(settings: Settings, path: str) -> list[SettingsError]:
    errors = []

    def check(valid: bool, field: str, found: object, remedy: str) -> None:
        if not valid:
            errors.append(SettingsError(f"{path}: {field}: found {found!r}", remedy))

    router = settings.router
    for field in ("name", "failure_domain"):
        value = getattr(router, field)
        check(bool(_NAME.fullmatch(value)), f"router.{field}", value, "use a-z, 0-9, '.', '-', '_'")
    addresses = {
        "router.caller_bind": router.caller_bind,
        "router.peer_bind": router.peer_bind,
        "table.address": settings.table.address,
        "instances.address": settings.instances.address,
    }
    for i, seed in enumerate(settings.peers.seeds):
        addresses[f"peers.seeds[{i}].address"] = seed.address
    for i, pool in enumerate(settings.pools):
        place = f"pools[{i}]"
        kinds = ("engine", "service")
        check(pool.kind in kinds, f"{place}.kind", pool.kind, "use engine or service")
        check(bool(pool.servers), f"{place}.servers", [], "name at least one server")
        reserve = pool.interactive_reserve
        check(0 <= reserve < 1, f"{place}.interactive_reserve", reserve, "use 0 up to below 1")
        check(pool.window_min > 0, f"{place}.window_min", pool.window_min, "use a number above 0")
        for j, server in enumerate(pool.servers):
            addresses[f"{place}.servers[{j}].address"] = server.address
            field = f"{place}.servers[{j}].window"
            check(server.window > 0, field, server.window, "use a number above 0")
    for field, address in addresses.items():
        remedy = "write an IP number and a port, such as 127.0.0.1:8100"
        check(bool(_ADDRESS.fullmatch(address)), field, address, remedy)
    for field in ("public_key", "secret_key"):
        value = getattr(settings.peers, field)
        check(len(value) == 40, f"peers.{field}", f"{len(value)} characters", "use 40 of Z85")
    names = [pool.name for pool in settings.pools]
    check(len(set(names)) == len(names), "pools", names, "give each pool its own name")
    return errors
