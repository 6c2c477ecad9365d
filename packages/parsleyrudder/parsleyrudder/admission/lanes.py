"""Targets that take the long prompts, so that the streams at all others keep their pace.

Load that it answers: prompts of very different length at engines that read in chunks beside the
tokens of all running streams. A long prompt slows every stream at its target for as long as it is
read, so long prompts share a few targets. The number of these follows the work that long prompts
bring.
"""

import math
from dataclasses import dataclass, field

from ..membership import rendezvous

__all__ = ["LongLane", "ReadingMix"]

_DECAY_S = 10.0
_REPORT_KEPT_S = 10.0
_MOST_PART = 0.5


@dataclass(slots=True, frozen=True)
class ReadingMix:
    """Recent tokens of prompts at one router.

    :ivar long: tokens of long prompts.
    :ivar all: tokens of all prompts.
    """

    long: float = 0.0
    all: float = 0.0


@dataclass(slots=True)
class LongLane:
    """The targets for long prompts.

    :ivar long_tokens: unread tokens from which a prompt is long; infinite for no lane.
    """

    long_tokens: float = math.inf
    _long: float = 0.0
    _all: float = 0.0
    _decayed_at: float = 0.0
    _reported: dict[str, tuple[float, ReadingMix]] = field(default_factory=dict)
    _others: ReadingMix = ReadingMix()
    _ordered_ids: list[str] = field(default_factory=list)
    _order: list[str] = field(default_factory=list)

    def is_long(self, tokens: int) -> bool:
        """Whether a prompt belongs into the lane."""
        return tokens >= self.long_tokens

    def asked(self, tokens: int, now: float) -> None:
        """Count a prompt that came."""
        self._decay(now)
        self._all += tokens
        if self.is_long(tokens):
            self._long += tokens

    def own_report(self, now: float) -> ReadingMix:
        """Return this router's sums, for the others."""
        self._decay(now)
        return ReadingMix(self._long, self._all)

    def take_report(self, router: str, mix: ReadingMix, now: float) -> None:
        """Take the newest sums of another router."""
        self._reported[router] = (now, mix)

    def refresh(self, now: float) -> None:
        """Sum the reports of the other routers anew."""
        self._reported = {
            router: (at, mix)
            for router, (at, mix) in self._reported.items()
            if now - at < _REPORT_KEPT_S
        }
        mixes = [mix for _, mix in self._reported.values()]
        self._others = ReadingMix(sum(mix.long for mix in mixes), sum(mix.all for mix in mixes))

    def targets(self, ids: list[str], now: float) -> frozenset[str]:
        """Return the targets of the lane; empty if there are no long prompts.

        :param ids: targets that can be used.
        """
        if len(ids) < 2:
            return frozenset()
        self._decay(now)
        long, total = self._long + self._others.long, self._all + self._others.all
        if long <= 0.0:
            return frozenset()
        part = min(_MOST_PART, long / total)
        count = max(1, round(part * len(ids)))
        if ids != self._ordered_ids:
            # The order is asked for with each decision, but changes only with the targets.
            self._ordered_ids = ids
            self._order = rendezvous("long prompts", ids)
        return frozenset(self._order[:count])

    def _decay(self, now: float) -> None:
        elapsed = now - self._decayed_at
        if elapsed > 0.0:
            self._decayed_at = now
            part = math.exp(-elapsed / _DECAY_S)
            self._long *= part
            self._all *= part
