"""Deployment read from the folder ``deployments/<name>/``."""

from dataclasses import dataclass
from pathlib import Path

import msgspec
from parsleyrudder import Member, Plan, parse_members, parse_plans

__all__ = ["Deployment", "PoolSpec", "load_deployment", "member_key"]


class PoolSpec(msgspec.Struct, forbid_unknown_fields=True):
    """A pool and the stand-ins that serve it.

    :ivar kind: ``engine`` or ``service``.

    :ivar servers: number of servers.
    :ivar window: calls that a server may run at the same time.
    :ivar token_s: time per token of an engine, in seconds.
    :ivar call_s: time per call of a plain service, in seconds.
    :ivar max_call_s: longest time that a call may take, in seconds.
    """

    name: str
    kind: str
    servers: int
    window: int
    token_s: float = 0.01
    call_s: float = 0.03
    interactive_reserve: float = 0.0
    max_call_s: float = 120.0


class _Document(msgspec.Struct, forbid_unknown_fields=True):
    name: str
    failure_domains: list[str]
    pools: list[PoolSpec]


@dataclass(slots=True)
class Deployment:
    """A deployment with its lists of members and plans, as text and parsed."""

    name: str
    failure_domains: list[str]
    pools: list[PoolSpec]
    members_text: str
    plans_text: str
    members: list[Member]
    plans: list[Plan]

    def pool(self, kind: str) -> PoolSpec:
        """Return the first pool of a kind."""
        return next(pool for pool in self.pools if pool.kind == kind)


def load_deployment(name: str) -> Deployment:
    """Read a deployment of this repository.

    :raises FileNotFoundError: if there is no deployment of this name.
    """
    folder = Path(__file__).resolve().parents[3] / "deployments" / name
    document = msgspec.toml.decode((folder / "deployment.toml").read_bytes(), type=_Document)
    members_text = (folder / "members.toml").read_text()
    plans_text = (folder / "plans.toml").read_text()
    return Deployment(
        document.name,
        document.failure_domains,
        document.pools,
        members_text,
        plans_text,
        parse_members(members_text),
        parse_plans(plans_text),
    )


def member_key(member: str) -> str:
    """Return the API key of a member in the demo deployments.

    >>> member_key("lab-cariri")
    'demo-lab-cariri'
    """
    return f"demo-{member}"
