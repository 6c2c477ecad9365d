"""Sums of load reports: made by an aggregator, and read by a router that they include.

Designed for fleets in which a report of each router to each other one would cost more than the
requests do. See :class:`Aggregators` for who sends what to whom.
"""

import math
from collections import OrderedDict
from collections.abc import Hashable, Mapping
from dataclasses import dataclass, field

import msgspec

from ..messages import (
    LoadDigest,
    LoadMessage,
    LoadReport,
    MemberState,
    OrganisationUsage,
    SentParts,
    SuspectCrashes,
    TargetLimit,
)

__all__ = ["LoadAggregator", "OwnReports"]

# More of this router's reports than there can be under way to an aggregator and back.
_MAX_OWN_REPORTS = 32


@dataclass(slots=True)
class _Sums:
    load_by_target: dict[str, LoadReport] = field(default_factory=dict)
    usage_by_organisation: dict[str, OrganisationUsage] = field(default_factory=dict)
    long_prompt_tokens: float = 0.0
    all_prompt_tokens: float = 0.0

    def add(self, report: LoadMessage | LoadDigest, decay: float) -> None:
        """Add a report or a digest.

        :param decay: factor by which decaying sums have decayed since the report.
        """
        for id, load in report.load_by_target.items():
            known = self.load_by_target.get(id)
            self.load_by_target[id] = load if known is None else _sum_of_loads(known, load)
        for name, usage in report.usage_by_organisation.items():
            total = self.usage_by_organisation.get(name, OrganisationUsage(0.0, 0.0))
            self.usage_by_organisation[name] = OrganisationUsage(
                round(total.demand + decay * usage.demand),
                round(total.usage + decay * usage.usage),
            )
        self.long_prompt_tokens += report.long_prompt_tokens
        self.all_prompt_tokens += report.all_prompt_tokens


@dataclass(slots=True)
class _News:
    """What reports contain once or a few times, and is passed on in the next digest."""

    parts: dict[SentParts, None] = field(default_factory=dict)
    suspects: dict[Hashable, tuple[SuspectCrashes, float]] = field(default_factory=dict)
    limit_by_lifetime: dict[str, tuple[TargetLimit, float]] = field(default_factory=dict)
    leaving: set[str] = field(default_factory=set)

    def add(self, report: LoadMessage | LoadDigest, now: float) -> None:
        self.parts.update(dict.fromkeys(report.sent_parts))
        for suspect in report.suspect_crashes:
            self.suspects.setdefault(_content_key(suspect), (suspect, now))
        for limit in report.target_limits:
            stated_at = now - limit.age_ms / 1000
            known = self.limit_by_lifetime.get(limit.lifetime)
            if known is None or known[1] < stated_at:
                self.limit_by_lifetime[limit.lifetime] = (limit, stated_at)
        self.leaving.update(report.leaving_targets)

    def aged_suspects(self, now: float) -> tuple[SuspectCrashes, ...]:
        """Return what may crash targets, with the ages as of now."""
        return tuple(
            _aged(suspect, _age_ms(received_at, now))
            for suspect, received_at in self.suspects.values()
        )

    def aged_limits(self, now: float) -> tuple[TargetLimit, ...]:
        """Return the newest limits, with their ages as of now."""
        return tuple(
            msgspec.structs.replace(limit, age_ms=_age_ms(stated_at, now))
            for limit, stated_at in self.limit_by_lifetime.values()
        )


@dataclass(slots=True)
class LoadAggregator:
    """Sums the load reports of the routers of one failure domain, and those of all domains.

    :ivar expiry_s: age at which a report or a digest no longer counts.
    :ivar replace_s: age at which a digest of a failure domain gives way to one of another sender,
        even if that covers fewer routers.
    :ivar usage_decay_s: time constant of the decay of demand and usage.
    """

    domain: str
    expiry_s: float
    replace_s: float
    usage_decay_s: float
    _report_by_router: dict[str, tuple[float, LoadMessage]] = field(default_factory=dict)
    _digest_by_domain: dict[str, tuple[float, LoadDigest]] = field(default_factory=dict)
    _domain_news: _News = field(default_factory=_News)
    _fleet_news: _News = field(default_factory=_News)

    def add_report(self, report: LoadMessage, now: float) -> None:
        """Replace the report of a router of the own failure domain by a newer one."""
        self._report_by_router[report.sender] = (now, report)
        self._domain_news.add(report, now)
        self._fleet_news.add(report, now)

    def add_digest(self, digest: LoadDigest, now: float) -> bool:
        """Replace the digest of another failure domain by a newer one; return whether it counts.

        While two routers send digests of one failure domain, the one that covers more routers does.
        """
        self._fleet_news.add(digest, now)
        known_at, known = self._digest_by_domain.get(digest.domain, (-math.inf, digest))
        if (
            known.sender != digest.sender
            and now - known_at <= self.replace_s
            and len(known.members) > len(digest.members)
        ):
            return False
        self._digest_by_domain[digest.domain] = (now, digest)
        return True

    def take_digests(self, sender: str, now: float) -> tuple[LoadDigest, LoadDigest]:
        """Return the digest of the own failure domain and that of all, with what is new in each."""
        self._expire(now)
        sums, members = _Sums(), {}
        for received_at, report in self._report_by_router.values():
            sums.add(report, self._decay(now - received_at))
            members[report.sender] = MemberState(
                report.sequence,
                _age_ms(received_at, now),
                report.accepts_requests,
                report.entitled_demand,
            )
        domain = _digest(sender, self.domain, False, members, sums, self._domain_news, now)
        for received_at, digest in self._digest_by_domain.values():
            sums.add(digest, self._decay(now - received_at))
            wait_ms = _age_ms(received_at, now)
            for name, state in digest.members.items():
                members[name] = msgspec.structs.replace(state, age_ms=state.age_ms + wait_ms)
        fleet = _digest(sender, self.domain, True, members, sums, self._fleet_news, now)
        self.drop_news()
        return domain, fleet

    def drop_news(self) -> None:
        """Forget what the next digest would have passed on, as another aggregator does."""
        self._domain_news, self._fleet_news = _News(), _News()

    def _expire(self, now: float) -> None:
        self._report_by_router = {
            router: entry
            for router, entry in self._report_by_router.items()
            if now - entry[0] < self.expiry_s
        }
        self._digest_by_domain = {
            domain: entry
            for domain, entry in self._digest_by_domain.items()
            if now - entry[0] < self.expiry_s
        }

    def _decay(self, age_s: float) -> float:
        return math.exp(-max(0.0, age_s) / self.usage_decay_s)


@dataclass(slots=True)
class OwnReports:
    """This router's recent load reports, which a digest of the whole fleet includes."""

    _report_by_sequence: OrderedDict[int, LoadMessage] = field(default_factory=OrderedDict)

    def record(self, report: LoadMessage) -> None:
        """Record a report that this router sends."""
        self._report_by_sequence[report.sequence] = report
        if len(self._report_by_sequence) > _MAX_OWN_REPORTS:
            self._report_by_sequence.popitem(last=False)

    def without_own(self, digest: LoadDigest, own_name: str) -> LoadDigest:
        """Return a digest less the report of this router that it includes."""
        state = digest.members.get(own_name)
        own = self._report_by_sequence.get(state.sequence) if state is not None else None
        if own is None:
            return digest
        return msgspec.structs.replace(
            digest,
            load_by_target=_less_loads(digest.load_by_target, own.load_by_target),
            usage_by_organisation=_less_usage(
                digest.usage_by_organisation, own.usage_by_organisation
            ),
            long_prompt_tokens=max(0.0, digest.long_prompt_tokens - own.long_prompt_tokens),
            all_prompt_tokens=max(0.0, digest.all_prompt_tokens - own.all_prompt_tokens),
        )


def _digest(
    sender: str,
    domain: str,
    covers_fleet: bool,
    members: Mapping[str, MemberState],
    sums: _Sums,
    news: _News,
    now: float,
) -> LoadDigest:
    return LoadDigest(
        sender=sender,
        domain=domain,
        covers_fleet=covers_fleet,
        members=dict(members),
        load_by_target=dict(sums.load_by_target),
        usage_by_organisation=dict(sums.usage_by_organisation),
        long_prompt_tokens=sums.long_prompt_tokens,
        all_prompt_tokens=sums.all_prompt_tokens,
        sent_parts=tuple(news.parts),
        suspect_crashes=news.aged_suspects(now),
        target_limits=news.aged_limits(now),
        leaving_targets=tuple(sorted(news.leaving)),
    )


def _age_ms(at: float, now: float) -> int:
    return max(0, round(1000 * (now - at)))


def _content_key(suspect: SuspectCrashes) -> Hashable:
    """Return a key that is equal for reports that state the same, but for the ages."""
    return (
        suspect.pool,
        suspect.kind,
        suspect.id,
        frozenset(suspect.crash_age_ms_by_lifetime),
        suspect.cleared_age_ms is None,
        suspect.trial_age_ms is None,
    )


def _aged(suspect: SuspectCrashes, wait_ms: int) -> SuspectCrashes:
    """Return a report on a suspect that has waited for some milliseconds."""
    cleared, trial = suspect.cleared_age_ms, suspect.trial_age_ms
    return msgspec.structs.replace(
        suspect,
        crash_age_ms_by_lifetime={
            lifetime: age_ms + wait_ms
            for lifetime, age_ms in suspect.crash_age_ms_by_lifetime.items()
        },
        cleared_age_ms=None if cleared is None else cleared + wait_ms,
        trial_age_ms=None if trial is None else trial + wait_ms,
    )


def _sum_of_loads(a: LoadReport, b: LoadReport) -> LoadReport:
    return LoadReport(a.running + b.running, a.pending_prefill_tokens + b.pending_prefill_tokens)


def _less_loads(
    total_by_target: Mapping[str, LoadReport], own_by_target: Mapping[str, LoadReport]
) -> dict[str, LoadReport]:
    none = LoadReport(0, 0)
    return {
        id: LoadReport(
            max(0, total.running - own_by_target.get(id, none).running),
            max(
                0, total.pending_prefill_tokens - own_by_target.get(id, none).pending_prefill_tokens
            ),
        )
        for id, total in total_by_target.items()
    }


def _less_usage(
    total_by_name: Mapping[str, OrganisationUsage], own_by_name: Mapping[str, OrganisationUsage]
) -> dict[str, OrganisationUsage]:
    none = OrganisationUsage(0.0, 0.0)
    return {
        name: OrganisationUsage(
            max(0.0, total.demand - own_by_name.get(name, none).demand),
            max(0.0, total.usage - own_by_name.get(name, none).usage),
        )
        for name, total in total_by_name.items()
    }
