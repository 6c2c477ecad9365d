"""Parsing and validation of the two lists. One pass reports all errors of a list."""

import math
import re
import tomllib
from collections.abc import Callable, Collection, Iterator
from typing import TypeVar

from ..errors import ListError
from ..struct_conversion import convert_struct
from .model import Config, Member, Plan

__all__ = ["MEMBERS_FILE", "PLANS_FILE", "check_config", "parse_members", "parse_plans"]

MEMBERS_FILE = "members.toml"
PLANS_FILE = "plans.toml"
_NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
_DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")
_T = TypeVar("_T", Member, Plan)


def parse_members(text: str, file: str = MEMBERS_FILE) -> list[Member]:
    """Parse the list of members.

    :param text: TOML with one ``[[member]]`` table per member.
    :param file: file name for error messages.
    :raises ExceptionGroup: with one :class:`ListError` per fault; no part of the list is returned.

    >>> digest = "0" * 64
    >>> row = f'name = "a"\\nplan = "p"\\nshare = 2.0\\nkey_digest = "{digest}"'
    >>> parse_members("[[member]]\\n" + row)[0].share
    2.0
    """
    return _parse_rows(text, file, "member", Member, _member_faults)


def parse_plans(text: str, file: str = PLANS_FILE) -> list[Plan]:
    """Parse the list of plans; see :func:`parse_members`."""
    return _parse_rows(text, file, "plan", Plan, _plan_faults)


def check_config(
    members: list[Member], plans: list[Plan], pools: Collection[str] | None = None
) -> Config:
    """Validate both lists against each other; return them as a configuration of version 0.

    :param pools: names of the fleet's pools; None skips the check of pool names.
    :raises ExceptionGroup: with one :class:`ListError` per fault.
    """
    plan_by_name = {plan.name: plan for plan in plans}
    errors = [
        ListError(
            f"{MEMBERS_FILE}: member {member.name}",
            f"plan {member.plan!r} is not listed",
            f"use one of {', '.join(sorted(plan_by_name)) or 'the plans, after defining them'}",
        )
        for member in members
        if member.plan not in plan_by_name
    ]
    errors += _duplicate_key_errors(members)
    if pools is not None:
        errors += [
            ListError(
                f"{PLANS_FILE}: plan {plan.name}",
                f"pool {pool!r} does not exist",
                f"use one of {', '.join(sorted(pools))}",
            )
            for plan in plans
            for pool in plan.pools
            if pool not in pools
        ]
    if errors:
        raise ExceptionGroup("the lists are refused", errors)
    return Config(0, {member.name: member for member in members}, plan_by_name)


def _parse_rows(
    text: str,
    file: str,
    key: str,
    row_type: type[_T],
    faults: Callable[[_T], Iterator[tuple[str, str, str]]],
) -> list[_T]:
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        fault = ListError(file, str(error), "correct the TOML syntax")
        raise ExceptionGroup(f"{file} is refused", [fault]) from None
    errors = [
        ListError(f"{file}: {name}", "unknown key", f"use only [[{key}]] tables")
        for name in document
        if name != key
    ]
    rows: list[_T] = []
    index_by_name: dict[str, int] = {}
    raw_rows = document.get(key, [])
    if not isinstance(raw_rows, list):
        errors.append(ListError(f"{file}: {key}", "not an array of tables", f"write [[{key}]]"))
        raw_rows = []
    for index, raw in enumerate(raw_rows):
        path = f"{file}: {key}[{index}]"
        row, row_faults = convert_struct(raw, path, row_type)
        errors += [ListError(fault.path, fault.message, fault.remedy) for fault in row_faults]
        if row is None:
            continue
        errors += [ListError(f"{path}.{field}", *rest) for field, *rest in faults(row)]
        if row.name in index_by_name:
            message = f"{row.name!r} is already defined in {key}[{index_by_name[row.name]}]"
            errors.append(ListError(f"{path}.name", message, "remove one of the two"))
        index_by_name.setdefault(row.name, index)
        rows.append(row)
    if errors:
        raise ExceptionGroup(f"{file} is refused", errors)
    return rows


def _member_faults(member: Member) -> Iterator[tuple[str, str, str]]:
    yield from _name_faults("name", member.name)
    yield from _number_faults("share", member.share)
    if not _DIGEST_PATTERN.fullmatch(member.key_digest):
        yield "key_digest", "not a SHA-256 digest", "write 64 lower-case hexadecimal digits"


def _plan_faults(plan: Plan) -> Iterator[tuple[str, str, str]]:
    yield from _name_faults("name", plan.name)
    for field in ("concurrency", "requests_per_s", "cost_per_s", "largest_request"):
        yield from _number_faults(field, getattr(plan, field))
    for field in ("queue_length", "queue_time_s"):
        yield from _number_faults(field, getattr(plan, field))
    for pool in plan.pools:
        yield from _name_faults("pools", pool)


def _name_faults(field: str, name: str) -> Iterator[tuple[str, str, str]]:
    if not _NAME_PATTERN.fullmatch(name):
        remedy = "use 1 to 63 of a-z, 0-9, '.', '_' and '-', with a letter or digit first"
        yield field, f"{name!r} is not a name", remedy


def _number_faults(field: str, value: float) -> Iterator[tuple[str, str, str]]:
    if not (math.isfinite(value) and value > 0):
        yield field, f"{value} is out of range", "use a finite number above 0"


def _duplicate_key_errors(members: list[Member]) -> list[ListError]:
    errors = []
    owner_by_digest: dict[str, str] = {}
    for member in members:
        owner = owner_by_digest.setdefault(member.key_digest, member.name)
        if owner != member.name:
            path = f"{MEMBERS_FILE}: member {member.name}.key_digest"
            errors.append(
                ListError(path, f"same key as member {owner}", "use a separate key for each member")
            )
    return errors
