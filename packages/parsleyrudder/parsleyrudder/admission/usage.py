"""How much of a pool each organisation asks for and gets, over the whole fleet."""

import math
from dataclasses import dataclass, field

from ..messages import OrganisationUsage

__all__ = ["UsageLedger"]

# Reports of a router that is gone still count what its requests used, until they have decayed.
_REPORT_KEPT_S = 10.0
# Part of what an organisation asked for that it has to miss before it counts as waiting for more.
_UNMET_PART = 0.1


@dataclass(slots=True)
class _Decaying:
    asked: float = 0.0
    got: float = 0.0


@dataclass(slots=True)
class UsageLedger:
    """Decaying sums of cost by organisation.

    :ivar decay_s: time in which a sum falls to 1/e.
    :ivar capacity_per_s: declared capacity that the organisations share; 0 if it is not known,
        and what they got in sum is shared.
    """

    decay_s: float = 3.0
    capacity_per_s: float = 0.0
    _own: dict[str, _Decaying] = field(default_factory=dict)
    _reported: dict[str, tuple[float, dict[str, OrganisationUsage]]] = field(default_factory=dict)
    _decayed_at: float = 0.0
    _level: float = 0.0
    _got_level: float = 0.0
    _others: dict[str, _Decaying] = field(default_factory=dict)
    _wanting: frozenset[str] = frozenset()

    def asked(self, organisation: str, cost: float, now: float) -> None:
        """Count a request that came."""
        self._decay(now)
        self._own.setdefault(organisation, _Decaying()).asked += cost

    def got(self, organisation: str, cost: float, now: float) -> None:
        """Count a request that was placed; a negative cost takes it back."""
        self._decay(now)
        own = self._own.setdefault(organisation, _Decaying())
        own.got = max(0.0, own.got + cost)

    def own_report(self, now: float) -> dict[str, OrganisationUsage]:
        """Return this router's sums, for the others."""
        self._decay(now)
        # Whole numbers take less room in the messages.
        return {
            name: OrganisationUsage(round(u.asked), round(u.got)) for name, u in self._own.items()
        }

    def take_report(self, router: str, usage: dict[str, OrganisationUsage], now: float) -> None:
        """Take the newest sums of another router; :meth:`refresh` makes them count."""
        self._reported[router] = (now, usage)

    def refresh(self, now: float) -> None:
        """Sum the reports anew, and work out the level of the max-min share."""
        self._decay(now)
        asked_by_name: dict[str, float] = {}
        got_by_name: dict[str, float] = {}
        for router in list(self._reported):
            at, usage = self._reported[router]
            if now - at > _REPORT_KEPT_S:
                del self._reported[router]
                continue
            part = math.exp(-(now - at) / self.decay_s)
            for name, reported in usage.items():
                asked_by_name[name] = asked_by_name.get(name, 0.0) + part * reported.asked
                got_by_name[name] = got_by_name.get(name, 0.0) + part * reported.got
        others = {
            name: _Decaying(asked, got_by_name[name]) for name, asked in asked_by_name.items()
        }
        self._others = others
        sums = {name: self._sum(name) for name in self._own.keys() | others.keys()}
        asked = [both.asked for both in sums.values()]
        got = sum(both.got for both in sums.values())
        self._wanting = frozenset(
            name for name, both in sums.items() if both.asked - both.got > _UNMET_PART * both.asked
        )
        self._level = _max_min_level(asked, self.capacity_per_s * self.decay_s or got)
        self._got_level = _max_min_level(asked, got)

    def position(self, organisation: str) -> float:
        """Return what an organisation has got, as a multiple of the highest max-min share.

        An organisation above 1 has got all that it is owed. 0 if it has got nothing, or as long as
        nothing is known of the others.
        """
        if self._level <= 0.0:
            return 0.0
        return self._sum(organisation).got / self._level

    def spare_position(self, organisation: str) -> float:
        """Return what an organisation has got, as a multiple of a fair part of what all got.

        It divides capacity beyond the declared one: below 1 an organisation has got less of it
        than others that asked for as much.
        """
        if self._got_level <= 0.0:
            return 0.0
        return self._sum(organisation).got / self._got_level

    def others_want(self, organisation: str) -> bool:
        """Whether any other organisation has asked for more than it got."""
        return len(self._wanting) > (organisation in self._wanting)

    def _sum(self, name: str) -> _Decaying:
        own, others = self._own.get(name), self._others.get(name)
        if own is None or others is None:
            return own or others or _Decaying()
        return _Decaying(own.asked + others.asked, own.got + others.got)

    def _decay(self, now: float) -> None:
        elapsed = now - self._decayed_at
        if elapsed <= 0.0:
            return
        self._decayed_at = now
        part = math.exp(-elapsed / self.decay_s)
        for own in self._own.values():
            own.asked *= part
            own.got *= part


def _max_min_level(asked: list[float], total: float) -> float:
    """Return the level up to which all are served alike if they share a total.

    >>> _max_min_level([1.0, 4.0, 9.0], 9.0)
    4.0
    """
    left = total
    ordered = sorted(asked)
    for index, amount in enumerate(ordered):
        level = left / (len(ordered) - index)
        if amount >= level:
            return level
        left -= amount
    return max(ordered, default=0.0)
