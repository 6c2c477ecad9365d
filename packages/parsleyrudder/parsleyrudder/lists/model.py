"""Members, plans, and the configuration that consists of both."""

import hashlib
from dataclasses import dataclass, field

import msgspec

__all__ = ["Config", "Member", "Plan", "key_digest"]


class Member(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Member, with its plan and its share of the capacity.

    :ivar plan: name of the member's plan.
    :ivar share: voted weight, relative to the other members' shares.
    :ivar key_digest: SHA-256 of the member's key, in hexadecimal.
    """

    name: str
    plan: str
    share: float
    key_digest: str


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Pools and limits of a plan. Each limit applies per member and pool, fleet-wide.

    :ivar pools: names of the pools that members with the plan may use.
    :ivar concurrency: maximum number of running calls.
    :ivar requests_per_s: maximum rate of admitted calls, per second.
    :ivar cost_per_s: maximum rate of cost units, per second.
    :ivar largest_request: maximum cost of one call.
    :ivar queue_length: maximum number of calls that wait at one router.
    :ivar queue_time_s: maximum wait of a call, in seconds.
    """

    name: str
    pools: tuple[str, ...]
    concurrency: int
    requests_per_s: float
    cost_per_s: float
    largest_request: float
    queue_length: int
    queue_time_s: float


@dataclass(slots=True)
class Config:
    """One accepted version of both lists."""

    version: int = 0
    member_by_name: dict[str, Member] = field(default_factory=dict)
    plan_by_name: dict[str, Plan] = field(default_factory=dict)


def key_digest(key: str) -> str:
    """Return the digest that the list of members holds for a key.

    >>> key_digest("secret")[:12]
    '2bb80d537b1d'
    """
    return hashlib.sha256(key.encode()).hexdigest()
