"""Selects the targets that serve long prompts, so that streams elsewhere are not slowed.

Engines prefill prompts in chunks, interleaved with token generation for the running streams. A
long prompt therefore slows every stream at its target for as long as its prefill takes. Where
prompt lengths differ widely, long prompts are confined to a few targets; the number of these
follows the fraction of prompt tokens that long prompts account for.
"""

import math
from dataclasses import dataclass, field

from ..membership import rendezvous

__all__ = ["LongPromptTargets", "PromptVolume"]

_DECAY_TIME_CONSTANT_S = 10.0
_REPORT_EXPIRY_S = 10.0
_MAX_TARGET_FRACTION = 0.5


@dataclass(slots=True, frozen=True)
class PromptVolume:
    """Exponentially decaying sums of prompt tokens that arrived at one or more routers.

    :ivar long_prompt_tokens: tokens of long prompts.
    :ivar all_prompt_tokens: tokens of all prompts.
    """

    long_prompt_tokens: float = 0.0
    all_prompt_tokens: float = 0.0


@dataclass(slots=True)
class LongPromptTargets:
    """Selection of the targets that serve long prompts.

    :ivar min_long_prompt_tokens: number of tokens from which a prompt, or its uncached part, counts
        as long; infinite to treat no prompt as long.
    """

    min_long_prompt_tokens: float = math.inf
    _long_prompt_tokens: float = 0.0
    _all_prompt_tokens: float = 0.0
    _decayed_at: float = 0.0
    _report_by_router: dict[str, tuple[float, PromptVolume]] = field(default_factory=dict)
    _reported_volume: PromptVolume = PromptVolume()
    _ordered_ids: list[str] = field(default_factory=list)
    _order: list[str] = field(default_factory=list)

    def is_long(self, tokens: int) -> bool:
        """Whether a prompt with this number of tokens is long."""
        return tokens >= self.min_long_prompt_tokens

    def record_prompt(self, tokens: int, now: float) -> None:
        """Count a prompt that has arrived at this router."""
        self._decay(now)
        self._all_prompt_tokens += tokens
        if self.is_long(tokens):
            self._long_prompt_tokens += tokens

    def local_report(self, now: float) -> PromptVolume:
        """Return this router's sums, to report to other routers."""
        self._decay(now)
        return PromptVolume(self._long_prompt_tokens, self._all_prompt_tokens)

    def record_report(self, router: str, volume: PromptVolume, now: float) -> None:
        """Store the newest report of another router; :meth:`refresh` applies it."""
        self._report_by_router[router] = (now, volume)

    def remove_report(self, router: str) -> None:
        """Remove the report of another router, which is counted by other means now."""
        self._report_by_router.pop(router, None)

    def refresh(self, now: float) -> None:
        """Drop expired reports and recompute the sums of the other routers."""
        self._report_by_router = {
            router: (received_at, volume)
            for router, (received_at, volume) in self._report_by_router.items()
            if now - received_at < _REPORT_EXPIRY_S
        }
        volumes = [volume for _, volume in self._report_by_router.values()]
        self._reported_volume = PromptVolume(
            sum(volume.long_prompt_tokens for volume in volumes),
            sum(volume.all_prompt_tokens for volume in volumes),
        )

    def select(self, ids: list[str], now: float) -> frozenset[str]:
        """Return the targets that serve long prompts; empty if none have arrived recently.

        :param ids: ids of the usable targets.
        """
        if len(ids) < 2:
            return frozenset()
        self._decay(now)
        long, total = (
            self._long_prompt_tokens + self._reported_volume.long_prompt_tokens,
            self._all_prompt_tokens + self._reported_volume.all_prompt_tokens,
        )
        if long <= 0.0:
            return frozenset()
        fraction = min(_MAX_TARGET_FRACTION, long / total)
        count = max(1, round(fraction * len(ids)))
        if ids != self._ordered_ids:
            # Each decision needs the order, but it changes only when the targets change.
            self._ordered_ids = ids
            self._order = rendezvous("long prompts", ids)
        return frozenset(self._order[:count])

    def _decay(self, now: float) -> None:
        elapsed = now - self._decayed_at
        if elapsed > 0.0:
            self._decayed_at = now
            factor = math.exp(-elapsed / _DECAY_TIME_CONSTANT_S)
            self._long_prompt_tokens *= factor
            self._all_prompt_tokens *= factor
