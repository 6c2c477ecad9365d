"""Assigns callers' requests to routes and organisations, and rejects those that match none."""

import itertools
import logging
import random
from collections.abc import Callable
from dataclasses import dataclass

from parsleyrudder import (
    Decision,
    Failure,
    Organisation,
    Route,
    RouteKind,
    StreamStart,
    Suspect,
    SuspectKind,
    WaitingRequest,
    failure,
    repeat_digest,
)
from parsleyrudder_adapters.http_server import CallerExchange
from parsleyrudder_adapters.logs import log_event

from .context import RelayContext, now
from .dialect import DecodedRequest
from .origin_task import OriginTask
from .pools import Pools
from .relay_call import RelayCall
from .silence import RESUMPTION_WAIT_S

__all__ = ["RelayApi"]

_LOGGER = logging.getLogger(__name__)
_RETRY_AFTER_S = 0.3
_UNKNOWN_ORIGIN_RETRY_AFTER_S = 1.0
# Range of the time after which callers of an overloaded router may return; spread, so that they do
# not return at the same moment.
_OVERLOAD_RETRY_AFTER_S = (0.5, 1.5)


@dataclass(slots=True, frozen=True)
class _AcceptedRequest:
    """A request that is to be relayed.

    :ivar organisation: name of the caller's organisation, or an empty string.
    :ivar at: time of its arrival.
    """

    exchange: CallerExchange
    request: DecodedRequest
    route: Route
    organisation: str
    at: float

    @property
    def is_resumption(self) -> bool:
        """Whether the caller has a part of the stream, and asks for the rest."""
        return self.request.last_event_id is not None and self._is_resumable

    @property
    def stream_id(self) -> str:
        """Id by which the caller can resume the stream, or an empty string."""
        if not self._is_resumable:
            return ""
        return (self.request.resumes if self.is_resumption else None) or self.request.id

    @property
    def _is_resumable(self) -> bool:
        return self.route.kind is RouteKind.STREAM and self.route.is_resumable


class RelayApi:
    """Handler of the callers' requests; see :class:`RequestHandler`.

    :param origins: knows where streams began that callers resume.
    :param request_refusal: returns why this router accepts no requests now, or None if it does.
    """

    def __init__(
        self,
        context: RelayContext,
        origins: OriginTask,
        rng: random.Random,
        request_refusal: Callable[[], Failure | None],
    ) -> None:
        self._context = context
        self._origins = origins
        self._rng = rng
        self._request_refusal = request_refusal
        self._id_counter = itertools.count()
        self._call_by_id: dict[str, RelayCall] = {}
        self._max_timeout_by_route: dict[str, float] = {}
        self.pools = Pools(context, origins, self._on_decision)

    @property
    def active_calls(self) -> int:
        """Number of requests in progress."""
        return len(self._call_by_id)

    def on_request(self, exchange: CallerExchange) -> None:
        """Start to relay a request, or refuse it."""
        request = self._context.dialect.decode_request(exchange.request)
        refusal = request if isinstance(request, Failure) else self._request_refusal()
        if refusal is None and isinstance(request, DecodedRequest):
            route = self._find_route(request)
            if isinstance(route, Route):
                self._start_call(exchange, request, route)
                return
            refusal = route
        assert refusal is not None
        self._refuse(exchange, refusal, request)

    def stop(self) -> None:
        """End the requests that are still in progress, each with a response."""
        for call in list(self._call_by_id.values()):
            call.stop()

    def _start_call(self, exchange: CallerExchange, request: DecodedRequest, route: Route) -> None:
        organisation = self._find_organisation(request, route)
        if isinstance(organisation, Failure):
            self._refuse(exchange, organisation, request)
            return
        if not self._context.load_shedder.admits(organisation.name if organisation else ""):
            retry_after_s = self._rng.uniform(*_OVERLOAD_RETRY_AFTER_S)
            refusal = failure("overloaded", "too many requests for this router", retry_after_s)
            self._refuse(exchange, refusal, request)
            return
        name = organisation.name if organisation else ""
        accepted = _AcceptedRequest(exchange, request, route, name, now())
        pool = route.select_pool(self._rng.random())
        if accepted.is_resumption:
            self._origins.find(
                request.resumes, pool, lambda start: self._resume(accepted, pool, start)
            )
        else:
            self._relay(accepted, pool, required_version=None)

    def _resume(self, accepted: "_AcceptedRequest", pool: str, start: StreamStart | None) -> None:
        """Relay a request that resumes a stream, now that it is known where the stream began."""
        if accepted.exchange.is_gone():
            return
        if start is None:
            text = "it is not known which software version began the stream"
            refusal = failure("origin_unknown", text, _UNKNOWN_ORIGIN_RETRY_AFTER_S)
            self._refuse(accepted.exchange, refusal, accepted.request)
        elif start.pool in accepted.route.weight_by_pool:
            self._relay(accepted, start.pool, start.version)
        else:
            # The route has moved to another pool, whose versions are not comparable.
            self._relay(accepted, pool, required_version=None)

    def _relay(
        self, accepted: "_AcceptedRequest", pool_name: str, required_version: str | None
    ) -> None:
        request, route = accepted.request, accepted.route
        pool = self.pools.get(pool_name)
        timeout_s = route.timeout_s
        elapsed_s = 0.0
        if request.timeout_s is not None:
            timeout_s = min(route.timeout_s, request.timeout_s)
            longest_s = max(timeout_s, self._max_timeout_by_route.get(route.name, 0.0))
            # Beyond the route's timeout, one caller's value would make all later ones look late.
            max_timeout_s = min(route.timeout_s, longest_s)
            self._max_timeout_by_route[route.name] = max_timeout_s
            # A caller that retries after a refusal sends a shorter timeout than at first, so the
            # difference to the longest timeout seen on this route is the time already elapsed.
            elapsed_s = max_timeout_s - timeout_s
        due_s = route.target_latency_s - elapsed_s
        resume_by = None
        if accepted.is_resumption:
            # The caller has its first event, and waits for the next one.
            due_s = route.target_event_interval_s
            resume_by = accepted.at + RESUMPTION_WAIT_S
        digest = _digest(accepted)
        waiting_request = WaitingRequest(
            id=str(next(self._id_counter)),
            organisation=accepted.organisation,
            size=request.size,
            arrived_at=accepted.at,
            response_due_at=accepted.at + due_s,
            deadline=accepted.at + timeout_s,
            digest=digest,
            suspects=_suspects(pool.name, digest, request),
            stream_id=accepted.stream_id,
            required_version=required_version,
            resume_by=resume_by,
            was_admitted=accepted.is_resumption and self._origins.knows(request.resumes),
        )
        call = RelayCall(
            self._context,
            self.pools,
            pool,
            accepted.exchange,
            request,
            route,
            waiting_request,
            self._on_call_done,
        )
        self._call_by_id[call.id] = call
        call.begin()

    def _find_route(self, request: DecodedRequest) -> Route | Failure:
        config = self._context.active_config.config
        if config is None:
            return failure("not_ready", "no configuration has been read yet", _RETRY_AFTER_S)
        route = config.find_route(request.host, request.path)
        if route is not None:
            return route
        if self._context.active_config.may_deny(now()):
            return failure("not_found", "no route of the configuration matches")
        return failure("not_ready", "the configuration may be out of date", _RETRY_AFTER_S)

    def _find_organisation(
        self, request: DecodedRequest, route: Route
    ) -> Organisation | Failure | None:
        """Return the organisation of the caller's key; None if the route needs no key."""
        active_config = self._context.active_config
        config = active_config.config
        assert config is not None
        if route.is_public or not config.requires_keys:
            return None
        if not active_config.may_use_keys(now()):
            return failure("cut_off", "keys may have been revoked meanwhile", _RETRY_AFTER_S)
        organisation = config.organisation_by_key.get(request.key)
        if organisation is not None:
            return organisation
        if active_config.may_deny(now()):
            return failure("unauthorized", "the configuration holds no such key")
        return failure("not_ready", "the configuration may be out of date", _RETRY_AFTER_S)

    def _refuse(
        self, exchange: CallerExchange, refusal: Failure, request: DecodedRequest | Failure
    ) -> None:
        """Refuse a request before any admission decision."""
        active_config = self._context.active_config
        log_event(
            _LOGGER,
            "request_denied",
            request=request.id if isinstance(request, DecodedRequest) else None,
            resumes=request.resumes if isinstance(request, DecodedRequest) else None,
            outcome=refusal.kind.code,
            reason=refusal.message,
            version=active_config.config.version if active_config.config else None,
            config_age_s=round(active_config.age_s(now()), 3),
        )
        self._context.metrics.count("refused", code=refusal.kind.code)
        self._context.dialect.refuse(exchange, refusal)

    def _on_decision(self, decision: Decision) -> None:
        call = self._call_by_id.get(decision.request.id)
        if call is not None:
            call.on_decision(decision)

    def _on_call_done(self, call: RelayCall) -> None:
        self._call_by_id.pop(call.id, None)


def _digest(accepted: "_AcceptedRequest") -> str:
    received = accepted.exchange.request
    return repeat_digest(
        received.method,
        accepted.request.host,
        received.target,
        accepted.organisation,
        received.body,
    )


def _suspects(pool: str, digest: str, request: DecodedRequest) -> tuple[Suspect, ...]:
    """Return what targets of a pool may crash on."""
    parts = (Suspect(pool, SuspectKind.PART, part.id) for part in request.size.shared_parts)
    return (Suspect(pool, SuspectKind.REQUEST, digest), *parts)
