"""Which routers sum up the load reports of a large fleet.

In a small fleet each router reports its load to every other one, which costs the square of the
number of routers. In a large one the routers of each failure domain report to two aggregators. One
of these exchanges sums with the aggregators of the other failure domains, and sends the sum of the
whole fleet to the routers of its own.
"""

import functools
import math
from dataclasses import dataclass, field
from enum import Enum

from .rendezvous import rendezvous
from .view import FleetView

__all__ = ["Aggregators", "ReportRole"]

_MAX_DIRECT_ROUTERS = 16
# The second one takes over at once if the first one falls silent.
_AGGREGATORS_PER_DOMAIN = 2
# Report intervals without a digest of the first aggregator after which the second one takes over.
_TAKEOVER_INTERVALS = 2.5
# Report intervals in which the other routers report to a new aggregator, before its first digest.
_COLLECT_INTERVALS = 1.5
# Report intervals without any digest after which a router turns to other aggregators.
_REPLACE_INTERVALS = 5.0
# By then the view of the fleet no longer contains a router that is dead.
_FAILED_EXPIRY_S = 10.0


class ReportRole(Enum):
    """What a router does with load reports."""

    DIRECT = "direct"
    """The fleet is small: reports to all others, and counts what they report."""
    MEMBER = "member"
    """Reports to the aggregators of its failure domain, and counts the sum that they send."""
    AGGREGATOR = "aggregator"
    """Sums up the reports of its failure domain."""


@dataclass(slots=True)
class Aggregators:
    """The aggregators of each failure domain, as one router sees them.

    :ivar interval_s: report interval of fleets with aggregators.
    :ivar role: this router's role since the last :meth:`refresh`.
    """

    view: FleetView
    interval_s: float
    role: ReportRole = ReportRole.DIRECT
    _order_by_domain: dict[str, list[str]] = field(default_factory=dict)
    _failed_until: dict[str, float] = field(default_factory=dict)
    _digest_at_by_sender: dict[str, float] = field(default_factory=dict)
    _domain_by_sender: dict[str, str] = field(default_factory=dict)
    _waits_since: float = math.inf

    @property
    def own_domain(self) -> str:
        """Failure domain of this router."""
        return self.view.own_info.failure_domain

    def refresh(self, now: float) -> None:
        """Determine the aggregators and this router's role from the view of the fleet."""
        names = self.view.active_routers(now)
        if len(self.view.live_routers(now)) <= _MAX_DIRECT_ROUTERS:
            self._set_role(ReportRole.DIRECT, now)
            return
        self._replace_silent(now)
        self._forget_old(now)
        names_by_domain: dict[str, list[str]] = {}
        for name in names:
            info = self.view.info(name)
            if info is not None:
                names_by_domain.setdefault(info.failure_domain, []).append(name)
        self._order_by_domain = {
            domain: self._in_order(members) for domain, members in names_by_domain.items()
        }
        is_own = self.view.own_info.name in self.own()
        self._set_role(ReportRole.AGGREGATOR if is_own else ReportRole.MEMBER, now)

    def own(self) -> list[str]:
        """Return the aggregators of this router's failure domain, the first one before others."""
        return self._order_by_domain.get(self.own_domain, [])[:_AGGREGATORS_PER_DOMAIN]

    def members(self) -> list[str]:
        """Return the other routers of this router's failure domain."""
        names = self._order_by_domain.get(self.own_domain, [])
        return [name for name in names if name != self.view.own_info.name]

    def others(self, now: float) -> list[str]:
        """Return the aggregators of the other failure domains.

        Those that have sent a digest lately are included, as they may have replaced one whose
        failure this router does not know of.
        """
        names: dict[str, None] = {}
        for domain, order in self._order_by_domain.items():
            if domain != self.own_domain:
                names.update(dict.fromkeys(order[:_AGGREGATORS_PER_DOMAIN]))
        limit_s = _REPLACE_INTERVALS * self.interval_s
        for name, at in self._digest_at_by_sender.items():
            if now - at < limit_s and self._domain_by_sender[name] != self.own_domain:
                names[name] = None
        return list(names)

    def record_digest(self, sender: str, domain: str, now: float) -> None:
        """Record a digest of an aggregator.

        If the sender counts as failed, this router was cut off from it, and so perhaps from the
        others that count as failed.
        """
        if sender in self._failed_until:
            self._failed_until = {}
        self._digest_at_by_sender[sender] = now
        self._domain_by_sender[sender] = domain

    def accepts(self, sender: str) -> bool:
        """Whether digests of the whole fleet are taken from a router."""
        return sender in self.own()

    def sends_digests(self, now: float) -> bool:
        """Whether this router is the aggregator that sends the digests of its failure domain."""
        if self.role is not ReportRole.AGGREGATOR:
            return False
        if now - self._waits_since < _COLLECT_INTERVALS * self.interval_s:
            return False
        own = self.own()
        if own[0] == self.view.own_info.name:
            return True
        first_at = max(self._digest_at_by_sender.get(own[0], -math.inf), self._waits_since)
        return now - first_at > _TAKEOVER_INTERVALS * self.interval_s

    def _in_order(self, members: list[str]) -> list[str]:
        """Return the routers of a failure domain, the first aggregator first, failed ones last."""
        order = _order(tuple(members))
        return sorted(order, key=lambda name: name in self._failed_until)

    def _forget_old(self, now: float) -> None:
        self._failed_until = {name: at for name, at in self._failed_until.items() if now < at}
        self._digest_at_by_sender = {
            name: at
            for name, at in self._digest_at_by_sender.items()
            if now - at < _FAILED_EXPIRY_S
        }

    def _set_role(self, role: ReportRole, now: float) -> None:
        if role is not self.role:
            self.role = role
            self._waits_since = now

    def _replace_silent(self, now: float) -> None:
        """Count the aggregators of the own failure domain as failed if no digest has arrived."""
        if self.role is not ReportRole.MEMBER:
            return
        own = self.own()
        newest = max((self._digest_at_by_sender.get(name, -math.inf) for name in own), default=now)
        if now - max(newest, self._waits_since) > _REPLACE_INTERVALS * self.interval_s:
            self._failed_until.update(dict.fromkeys(own, now + _FAILED_EXPIRY_S))
            self._waits_since = now


@functools.lru_cache(maxsize=256)
def _order(names: tuple[str, ...]) -> list[str]:
    return rendezvous("aggregator", names)
