"""Exchange of load reports between the routers of a fleet; see :class:`Aggregators`."""

import logging
from collections.abc import Iterable

from parsleyrudder import (
    Aggregators,
    LoadAggregator,
    LoadDigest,
    LoadMessage,
    Message,
    OwnReports,
    PromptVolume,
    ReportRole,
    SentParts,
)
from parsleyrudder_adapters.logs import log_event
from parsleyrudder_adapters.peers import PeerLink

from .context import RelayContext, now
from .crash_reports import CrashReports

__all__ = ["LoadReports"]

_LOGGER = logging.getLogger(__name__)
_MIN_REPORT_INTERVAL_S = 0.1
# Above this number of routers the report interval grows in proportion, so that the number of
# messages that a router receives per second stays bounded.
_ROUTERS_PER_REPORT_INTERVAL = 10
# With aggregators, a router receives one message per interval.
_AGGREGATED_INTERVAL_S = 0.25
# A report passes through two aggregators.
_HOPS = 3
_MIN_REFRESH_INTERVAL_S = 0.15
# Fraction of a report interval after which sums are recomputed, if it exceeds the minimum.
_REFRESH_FRACTION = 0.5
_MIN_SILENCE_LIMIT_S = 1.0
# Number of report intervals without a message after which callers are referred to other routers.
_SILENCE_LIMIT_INTERVALS = 2.5
# As this, with aggregators; longer than the second one of a failure domain takes to take over.
_AGGREGATED_SILENCE_LIMIT_S = 1.75
# Number of report intervals after which a router's reported load expires.
_REPORT_EXPIRY_INTERVALS = 4.0
# Name under which the sum of the whole fleet is counted.
_FLEET = "fleet"


class LoadReports:
    """Sends this router's load to others, and counts what others report.

    :ivar accepts_requests: whether callers may be referred to this router.
    :ivar unready_routers: names of the other routers that callers should not be referred to.
    """

    def __init__(self, context: RelayContext, crash_reports: CrashReports) -> None:
        self._context = context
        self._crash_reports = crash_reports
        self._sequence = 0
        self._sequence_by_router: dict[str, tuple[int, int]] = {}
        self._aggregators = Aggregators(context.view, _AGGREGATED_INTERVAL_S)
        self._sums = LoadAggregator(
            domain=context.view.own_info.failure_domain,
            expiry_s=_REPORT_EXPIRY_INTERVALS * _AGGREGATED_INTERVAL_S,
            replace_s=_SILENCE_LIMIT_INTERVALS * _AGGREGATED_INTERVAL_S,
            usage_decay_s=context.usage.decay_s,
        )
        self._own_reports = OwnReports()
        self._sources: set[str] = set()
        self._former_sources: set[str] = set()
        self._entitled_by_router: dict[str, float] = {}
        self.link: PeerLink | None = None
        self.accepts_requests = False
        self.unready_routers: set[str] = set()

    def start(self) -> None:
        """Start to report periodically."""
        self._crash_reports.start()
        self._report()
        self._refresh()

    def silence_limit_s(self) -> float:
        """Return the silence after which callers are referred to other routers, in seconds."""
        if self._aggregators.role is not ReportRole.DIRECT:
            return _AGGREGATED_SILENCE_LIMIT_S
        return max(_MIN_SILENCE_LIMIT_S, _SILENCE_LIMIT_INTERVALS * self._interval_s())

    def on_message(self, message: Message) -> None:
        """Handle a message from another router."""
        if isinstance(message, LoadMessage):
            self._on_report(message)
        elif isinstance(message, LoadDigest):
            self._on_digest(message)

    def send(self) -> None:
        """Send a report now."""
        at = now()
        report = self._make_report(at)
        own_name = report.sender
        if self._aggregators.role is ReportRole.DIRECT:
            self._send(self._context.view.live_routers(at), report)
            return
        self._own_reports.record(report)
        self._send(self._aggregators.own(), report)
        if self._aggregators.role is not ReportRole.AGGREGATOR:
            return
        self._sums.add_report(report, at)
        if self._aggregators.sends_digests(at):
            domain_digest, fleet_digest = self._sums.take_digests(own_name, at)
            self._send(self._aggregators.others(at), domain_digest)
            self._send(self._aggregators.members(), fleet_digest)
        else:
            self._sums.drop_news()

    def _report(self) -> None:
        self._update_role()
        interval_s = self._interval_s()
        self._context.timers.after(interval_s, self._report)
        hops = 1 if self._aggregators.role is ReportRole.DIRECT else _HOPS
        expiry_s = _REPORT_EXPIRY_INTERVALS * interval_s * hops
        self._context.loads.expire_reports(now(), expiry_s)
        self.send()

    def _update_role(self) -> None:
        former = self._aggregators.role
        self._aggregators.refresh(now())
        role = self._aggregators.role
        if role is former:
            return
        # What was counted so far stays until the first report that replaces it.
        self._former_sources |= self._sources
        self._sources = set()
        log_event(_LOGGER, "report_role_changed", role=role.value, former=former.value)

    def _interval_s(self) -> float:
        if self._aggregators.role is not ReportRole.DIRECT:
            return _AGGREGATED_INTERVAL_S
        routers = len(self._context.view.live_routers(now()))
        return _MIN_REPORT_INTERVAL_S * max(1.0, routers / _ROUTERS_PER_REPORT_INTERVAL)

    def _refresh(self) -> None:
        """Recompute the sums of the reports.

        This runs periodically and not for each report, because a fleet sends many.
        """
        interval_s = max(_MIN_REFRESH_INTERVAL_S, _REFRESH_FRACTION * self._interval_s())
        self._context.timers.after(interval_s, self._refresh)
        view, at = self._context.view, now()
        self._context.usage.refresh(at)
        self._context.long_prompt_targets.refresh(at)
        entitled = self._context.usage.entitled_by_router(view.own_info.name)
        if self._aggregators.role is not ReportRole.DIRECT:
            entitled = {**self._entitled_by_router, view.own_info.name: self._own_entitled()}
        demand_by_router = {name: entitled.get(name, 0.0) for name in view.active_routers(at)}
        self._context.rate_limits.set_routers(view.own_info.name, demand_by_router, at)

    def _own_entitled(self) -> float:
        name = self._context.view.own_info.name
        return self._context.usage.entitled_by_router(name)[name]

    def _make_report(self, at: float) -> LoadMessage:
        self._sequence += 1
        unreported = self._context.prompt_cache.take_unreported()
        volume = self._context.long_prompt_targets.local_report(at)
        is_direct = self._aggregators.role is ReportRole.DIRECT
        return LoadMessage(
            sender=self._context.view.own_info.name,
            incarnation=self._context.view.own_info.incarnation,
            sequence=self._sequence,
            accepts_requests=self.accepts_requests,
            load_by_target=self._context.loads.local_report(),
            usage_by_organisation=self._context.usage.local_report(at),
            long_prompt_tokens=volume.long_prompt_tokens,
            all_prompt_tokens=volume.all_prompt_tokens,
            sent_parts=tuple(SentParts(lifetime, parts) for lifetime, parts in unreported),
            suspect_crashes=self._crash_reports.prepare(at),
            target_limits=self._context.rate_limits.report(at),
            leaving_targets=self._context.notices.report(at),
            entitled_demand=0.0 if is_direct else round(self._own_entitled()),
        )

    def _on_report(self, report: LoadMessage) -> None:
        view, at = self._context.view, now()
        newest = self._sequence_by_router.get(report.sender, (0, 0))
        if (
            report.incarnation,
            report.sequence,
        ) <= newest or report.sender == view.own_info.name:
            return
        self._sequence_by_router[report.sender] = (report.incarnation, report.sequence)
        view.record_alive(report.sender, report.incarnation, at)
        self._set_ready(report.sender, report.accepts_requests)
        self._apply_news(report, at)
        info = view.info(report.sender)
        if self._aggregators.role is ReportRole.AGGREGATOR:
            if info is None or info.failure_domain != self._aggregators.own_domain:
                return
            self._sums.add_report(report, at)
            self._entitled_by_router[report.sender] = report.entitled_demand
        elif self._aggregators.role is ReportRole.MEMBER:
            return
        self._count(report.sender, report, at)

    def _on_digest(self, digest: LoadDigest) -> None:
        at = now()
        aggregators = self._aggregators
        own_name = self._context.view.own_info.name
        if digest.sender == own_name:
            return
        aggregators.record_digest(digest.sender, digest.domain, at)
        self._apply_members(digest, at)
        self._apply_news(digest, at)
        if digest.covers_fleet:
            if aggregators.role is ReportRole.MEMBER and aggregators.accepts(digest.sender):
                self._count(_FLEET, self._own_reports.without_own(digest, own_name), at)
        elif (
            aggregators.role is ReportRole.AGGREGATOR
            and digest.domain != aggregators.own_domain
            and self._sums.add_digest(digest, at)
        ):
            self._count(f"domain {digest.domain}", digest, at)

    def _apply_members(self, digest: LoadDigest, at: float) -> None:
        """Record that the routers that a digest includes are alive, and what it states of them."""
        view = self._context.view
        for name, state in digest.members.items():
            info = view.info(name)
            if info is None or name == view.own_info.name:
                continue
            view.record_alive(name, info.incarnation, at - state.age_ms / 1000)
            self._set_ready(name, state.accepts_requests)
            self._entitled_by_router[name] = state.entitled_demand
        oldest_ms = max((state.age_ms for state in digest.members.values()), default=0)
        self._context.metrics.set_gauge("load_report_age_seconds", oldest_ms / 1000)

    def _set_ready(self, router: str, is_ready: bool) -> None:
        if is_ready:
            self.unready_routers.discard(router)
        else:
            self.unready_routers.add(router)

    def _count(self, source: str, report: LoadMessage | LoadDigest, at: float) -> None:
        """Replace what a source has reported, and what was counted in another role."""
        self._sources.add(source)
        for former in self._former_sources - self._sources:
            self._context.loads.remove_report(former)
            self._context.usage.remove_report(former)
            self._context.long_prompt_targets.remove_report(former)
        self._former_sources = set()
        volume = PromptVolume(report.long_prompt_tokens, report.all_prompt_tokens)
        self._context.loads.record_report(source, report.load_by_target, at)
        self._context.usage.record_report(source, report.usage_by_organisation, at)
        self._context.long_prompt_targets.record_report(source, volume, at)

    def _apply_news(self, report: LoadMessage | LoadDigest, at: float) -> None:
        """Apply what a report states about targets and prompts; repeats change nothing."""
        for entry in report.sent_parts:
            self._context.prompt_cache.record_reported(entry.lifetime, entry.parts)
        self._crash_reports.receive(report.suspect_crashes, at)
        for limit in report.target_limits:
            if self._context.rate_limits.record_report(limit, at):
                log_event(
                    _LOGGER,
                    "target_limit_reported",
                    lifetime=limit.lifetime,
                    per_s=limit.requests_per_s,
                    reported_by=report.sender,
                )
        self._context.notices.record_report(report.leaving_targets)

    def _send(self, names: Iterable[str], message: Message) -> None:
        """Send a message to the routers of the given names, except this one."""
        view = self._context.view
        infos = [view.info(name) for name in names if name != view.own_info.name]
        if self.link is not None:
            self.link.send_all([info.peer_address for info in infos if info is not None], message)
