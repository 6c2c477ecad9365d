"""Members, plans and the configuration that they form together."""

import hashlib
from dataclasses import dataclass, field

import msgspec

__all__ = ["Config", "Member", "Plan", "key_digest"]


class Member(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A member and the plan that it holds.

    :ivar share: voted weight, relative to the other members' shares.
    :ivar key_digest: SHA-256 of the member's key, in hexadecimal.
    """

    name: str
    plan: str
    share: float
    key_digest: str


class Plan(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a plan may use. Each limit holds per member and pool, fleet-wide.

    :ivar pools: names of the pools that the plan may use.
    :ivar concurrency: calls that may run at the same time.
    :ivar requests_per_s: admitted calls per second.
    :ivar cost_per_s: cost units per second.
    :ivar largest_request: largest cost of one call.
    :ivar queue_length: calls that may wait at one router.
    :ivar queue_time_s: longest wait of a call, in seconds.
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
    """Return the digest under which a member's key is listed.

    >>> key_digest("secret")[:12]
    '2bb80d537b1d'
    """
    return hashlib.sha256(key.encode()).hexdigest()
