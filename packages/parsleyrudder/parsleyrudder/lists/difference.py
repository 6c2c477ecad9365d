"""Differences between two versions of the configuration."""

from collections.abc import Iterator, Mapping
from typing import TypeVar

import msgspec

from .model import Config, Member, Plan

__all__ = [
    "Difference",
    "apply_difference",
    "compose_differences",
    "describe_difference",
    "difference",
]

_T = TypeVar("_T")


class Difference(msgspec.Struct, frozen=True, omit_defaults=True):
    """Changes to both lists.

    :ivar members: members to add or replace.
    :ivar plans: plans to add or replace.
    :ivar removed_members: names of the members to remove.
    :ivar removed_plans: names of the plans to remove.
    """

    members: tuple[Member, ...] = ()
    plans: tuple[Plan, ...] = ()
    removed_members: tuple[str, ...] = ()
    removed_plans: tuple[str, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.members or self.plans or self.removed_members or self.removed_plans)


def difference(old: Config, new: Config) -> Difference:
    """Return the difference that turns one configuration into another.

    >>> plan = Plan("p", ("chat",), 1, 1.0, 1.0, 1.0, 1, 1.0)
    >>> difference(Config(), Config(1, {}, {"p": plan})).plans[0].name
    'p'
    """
    return Difference(
        tuple(_changed_rows(old.member_by_name, new.member_by_name)),
        tuple(_changed_rows(old.plan_by_name, new.plan_by_name)),
        tuple(sorted(old.member_by_name.keys() - new.member_by_name.keys())),
        tuple(sorted(old.plan_by_name.keys() - new.plan_by_name.keys())),
    )


def apply_difference(config: Config, diff: Difference, version: int) -> Config:
    """Apply a difference to a configuration and return the result under a new version number."""
    members = dict(config.member_by_name)
    plans = dict(config.plan_by_name)
    for name in diff.removed_members:
        members.pop(name, None)
    for name in diff.removed_plans:
        plans.pop(name, None)
    members.update((member.name, member) for member in diff.members)
    plans.update((plan.name, plan) for plan in diff.plans)
    return Config(version, members, plans)


def compose_differences(first: Difference, second: Difference) -> Difference:
    """Return one difference with the effect of two that are applied one after the other."""
    members = {row.name: row for row in first.members if row.name not in second.removed_members}
    plans = {row.name: row for row in first.plans if row.name not in second.removed_plans}
    members.update((row.name, row) for row in second.members)
    plans.update((row.name, row) for row in second.plans)
    removed_members = {*first.removed_members, *second.removed_members} - members.keys()
    removed_plans = {*first.removed_plans, *second.removed_plans} - plans.keys()
    return Difference(
        tuple(members.values()),
        tuple(plans.values()),
        tuple(sorted(removed_members)),
        tuple(sorted(removed_plans)),
    )


def describe_difference(diff: Difference, old: Config | None = None) -> list[str]:
    """Return one line per changed row.

    :param old: configuration before the change. If it contains a changed row, the row's line
        lists the changed fields.
    """
    old = old or Config()
    lines = [
        _describe_row("member", member, old.member_by_name.get(member.name))
        for member in diff.members
    ]
    lines += [_describe_row("plan", plan, old.plan_by_name.get(plan.name)) for plan in diff.plans]
    lines += [f"- member {name}" for name in diff.removed_members]
    lines += [f"- plan {name}" for name in diff.removed_plans]
    return lines


def _changed_rows(old: Mapping[str, _T], new: Mapping[str, _T]) -> Iterator[_T]:
    return (row for name, row in sorted(new.items()) if old.get(name) != row)


def _describe_row(kind: str, row: Member | Plan, old: Member | Plan | None) -> str:
    if old is None:
        return f"+ {kind} {row.name}"
    changes = [
        f"{field}: {getattr(old, field)} -> {getattr(row, field)}"
        for field in row.__struct_fields__
        if getattr(old, field) != getattr(row, field)
    ]
    return f"~ {kind} {row.name} ({', '.join(changes)})"
