"""The two lists as files for version control.

The first line of a fetched file is a comment with the version that it was fetched from. A
submission takes this version as its base.
"""

import re
from collections.abc import Mapping
from pathlib import Path

import msgspec
import tomli_w
from parsleyrudder import Config, ListError, check_config, parse_members, parse_plans
from parsleyrudder.lists.parse import MEMBERS_FILE, PLANS_FILE

__all__ = ["base_version", "read_lists", "render_members", "render_plans", "write_lists"]

_VERSION_LINE = re.compile(r"# version (\d+)\b")


def read_lists(folder: Path, pools: frozenset[str] | None = None) -> Config:
    """Read and check both lists.

    :param folder: folder with ``members.toml`` and ``plans.toml``.
    :param pools: pools that the fleet serves; with None, pool names are not checked.
    :raises ExceptionGroup: with one :class:`ListError` per fault. Pools and references between the
        lists are checked only if both lists can be parsed.
    """
    faults: list[Exception] = []
    members, plans = [], []
    try:
        members = parse_members(_read_text(folder / MEMBERS_FILE))
    except* ListError as group:
        faults += group.exceptions
    try:
        plans = parse_plans(_read_text(folder / PLANS_FILE))
    except* ListError as group:
        faults += group.exceptions
    if faults:
        raise ExceptionGroup("the lists are refused", faults)
    return check_config(members, plans, pools)


def base_version(folder: Path) -> int | None:
    """Return the version that both files were fetched from, or None if neither names one.

    :raises ListError: if the files name different versions.
    """
    versions = set()
    for name in (MEMBERS_FILE, PLANS_FILE):
        version_match = _VERSION_LINE.match(_read_text(folder / name))
        if version_match:
            versions.add(int(version_match.group(1)))
    if len(versions) > 1:
        message = f"the files were fetched from different versions {sorted(versions)}"
        raise ListError(str(folder), message, "fetch both again and repeat the change")
    return versions.pop() if versions else None


def write_lists(folder: Path, config: Config) -> None:
    """Write both lists of a configuration."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / MEMBERS_FILE).write_text(render_members(config), encoding="utf-8")
    (folder / PLANS_FILE).write_text(render_plans(config), encoding="utf-8")


def render_members(config: Config) -> str:
    """Return ``members.toml``, sorted by name to keep diffs small."""
    return _render("member", config.version, config.member_by_name)


def render_plans(config: Config) -> str:
    """Return ``plans.toml``, sorted by name."""
    return _render("plan", config.version, config.plan_by_name)


def _render(key: str, version: int, row_by_name: Mapping[str, msgspec.Struct]) -> str:
    rows = [msgspec.to_builtins(row_by_name[name]) for name in sorted(row_by_name)]
    return f"# version {version}\n\n" + tomli_w.dumps({key: rows})


def _read_text(path: Path) -> str:
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        fault = ListError(str(path), str(error), "name a folder with both lists, in UTF-8")
        raise ExceptionGroup("the lists are refused", [fault]) from None
