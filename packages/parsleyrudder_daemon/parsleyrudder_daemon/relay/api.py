"""Requests of callers: which route and organisation they belong to, and whether they may go on."""

import itertools
import logging
import random
from collections.abc import Callable

from parsleyrudder import Decision, Failure, Organisation, Route, WaitingRequest, failure
from parsleyrudder_adapters.http_server import CallerExchange
from parsleyrudder_adapters.logs import log_event

from .context import RelayContext, now
from .dialect import RelayRequest
from .pools import Pools
from .relay_call import RelayCall

__all__ = ["RelayApi"]

_LOGGER = logging.getLogger(__name__)
_SOON_S = 0.3


class RelayApi:
    """Handler of the callers' requests; see :class:`RequestHandler`.

    :param readiness: returns why this router takes no requests now, or None.
    """

    def __init__(
        self, context: RelayContext, rng: random.Random, readiness: Callable[[], Failure | None]
    ) -> None:
        self._context = context
        self._rng = rng
        self._readiness = readiness
        self._numbers = itertools.count()
        self._call_by_id: dict[str, RelayCall] = {}
        self._longest_allowed_by_route: dict[str, float] = {}
        self.pools = Pools(context, self._on_decision)

    @property
    def calls(self) -> int:
        """Number of requests that are being relayed."""
        return len(self._call_by_id)

    def on_request(self, exchange: CallerExchange) -> None:
        """Begin to relay a request."""
        if self._context.stopping:
            exchange.close_after_response()
        request = self._context.dialect.decode(exchange.request)
        refusal = request if isinstance(request, Failure) else self._readiness()
        if refusal is None and isinstance(request, RelayRequest):
            route = self._route(request)
            if isinstance(route, Route):
                self._relay(exchange, request, route)
                return
            refusal = route
        assert refusal is not None
        self._refuse(exchange, refusal, request)

    def _relay(self, exchange: CallerExchange, request: RelayRequest, route: Route) -> None:
        organisation = self._organisation(request, route)
        if isinstance(organisation, Failure):
            self._refuse(exchange, organisation, request)
            return
        at = now()
        allowed_s = route.timeout_s
        spent_s = 0.0
        if request.allowed_s is not None:
            longest_s = max(request.allowed_s, self._longest_allowed_by_route.get(route.name, 0.0))
            self._longest_allowed_by_route[route.name] = longest_s
            # A caller that comes back after a refusal allows less time than at first.
            spent_s = longest_s - request.allowed_s
            allowed_s = min(allowed_s, request.allowed_s)
        waiting = WaitingRequest(
            id=str(next(self._numbers)),
            organisation=organisation.name if organisation else "",
            size=request.work,
            arrived_at=at,
            response_due_at=at + route.target_latency_s - spent_s,
            deadline=at + allowed_s,
        )
        pool = self.pools.get(route.select_pool(self._rng.random()))
        call = RelayCall(
            self._context, self.pools, pool, exchange, request, route, waiting, self._on_done
        )
        self._call_by_id[call.id] = call
        call.begin()

    def _route(self, request: RelayRequest) -> Route | Failure:
        config = self._context.traffic.config
        if config is None:
            return failure("not_ready", "no configuration has been read yet", _SOON_S)
        route = config.find_route(request.host, request.path)
        if route is not None:
            return route
        if self._context.traffic.may_deny(now()):
            return failure("not_found", "no route of the configuration matches")
        return failure("not_ready", "the configuration may be out of date", _SOON_S)

    def _organisation(self, request: RelayRequest, route: Route) -> Organisation | Failure | None:
        """Return who calls; None if the route needs no key."""
        traffic = self._context.traffic
        config = traffic.config
        assert config is not None
        if route.is_public or not config.organisation_by_key:
            return None
        if not traffic.may_use_keys(now()):
            return failure("cut_off", "keys may have been revoked meanwhile", _SOON_S)
        organisation = config.organisation_by_key.get(request.key)
        if organisation is not None:
            return organisation
        if traffic.may_deny(now()):
            return failure("unauthorized", "the configuration holds no such key")
        return failure("not_ready", "the configuration may be out of date", _SOON_S)

    def _refuse(
        self, exchange: CallerExchange, refusal: Failure, request: RelayRequest | Failure
    ) -> None:
        """Answer a request that is not relayed at all."""
        traffic = self._context.traffic
        log_event(
            _LOGGER,
            "request_denied",
            request=request.id if isinstance(request, RelayRequest) else None,
            outcome=refusal.kind.code,
            reason=refusal.message,
            version=traffic.config.version if traffic.config else None,
            config_age_s=round(traffic.age_s(now()), 3),
        )
        self._context.metrics.count("refused", code=refusal.kind.code)
        self._context.dialect.refuse(exchange, refusal)

    def _on_decision(self, decision: Decision) -> None:
        call = self._call_by_id.get(decision.request.id)
        if call is not None:
            call.decided(decision)

    def _on_done(self, call: RelayCall) -> None:
        self._call_by_id.pop(call.id, None)
