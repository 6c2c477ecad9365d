"""HTTP interface of a router for callers and operators."""

import uuid
from collections.abc import Callable
from urllib.parse import parse_qs

import msgspec
from parsleyrudder import (
    Call,
    DocumentError,
    Failure,
    Member,
    WaitingCall,
    decode_document,
    failure,
    key_digest,
)
from parsleyrudder_adapters.http_server import CallerExchange
from parsleyrudder_adapters.settings import PoolSettings

from .call_task import CallTask
from .context import Context
from .engine_call import ChatRequest, EngineCall, prompt_text
from .pool_task import PoolTask
from .service_call import ServiceCall

__all__ = ["CallerApi"]

_IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})
_AFFINITY_PREFIX_CHARS = 256
_MAX_REQUEST_ID_LENGTH = 128
_CHAT_DECODER = msgspec.json.Decoder(ChatRequest)


class CallerApi:
    """Dispatches requests of callers and operators by path.

    :param unready_reason: returns the refusal of all calls while the router is not ready, or None.
    :param status: returns the document served at ``/status``.
    """

    def __init__(
        self,
        context: Context,
        pool_by_name: dict[str, PoolTask],
        unready_reason: Callable[[], Failure | None],
        status: Callable[[], object],
    ) -> None:
        self._context = context
        self._pool_by_name = pool_by_name
        self._unready_reason = unready_reason
        self._status = status
        self._member_by_digest: dict[str, Member] = {}
        self._handler_by_path: dict[str, Callable[[CallerExchange, str], None]] = {
            "/healthz": self._healthz,
            "/readyz": self._readyz,
            "/metrics": self._metrics,
            "/status": self._show_status,
            "/v1/addresses": self._addresses,
        }

    def config_changed(self) -> None:
        """Apply the configuration in the context."""
        members = self._context.config.member_by_name.values()
        self._member_by_digest = {member.key_digest: member for member in members}

    def on_request(self, exchange: CallerExchange) -> None:
        """Start handling a request; see :class:`RequestHandler`."""
        request = exchange.request
        path, _, query = request.target.partition("?")
        given_id = request.headers.get("x-request-id", "")
        is_usable = (
            given_id.isascii()
            and given_id.isprintable()
            and len(given_id) <= _MAX_REQUEST_ID_LENGTH
        )
        exchange.request_id = given_id if given_id and is_usable else uuid.uuid4().hex
        handler = self._handler_by_path.get(path)
        if handler is not None:
            if request.method in ("GET", "HEAD"):
                handler(exchange, query)
            else:
                exchange.fail(failure("bad_method", f"{request.method} {path}"))
            return
        refusal = self._unready_reason()
        if refusal is not None:
            self._refuse(exchange, refusal)
            return
        member = self._authenticate(exchange)
        if member is None:
            self._refuse(exchange, failure("unauthorized", "no listed key was given"))
        elif path == "/v1/chat/completions":
            self._chat(exchange, member)
        elif path == "/v1/plan":
            self._plan(exchange, member)
        elif path.startswith("/svc/"):
            self._service(exchange, member, request.target)
        else:
            self._refuse(exchange, failure("not_found", path))

    def _authenticate(self, exchange: CallerExchange) -> Member | None:
        scheme, _, key = exchange.request.headers.get("authorization", "").partition(" ")
        if scheme.lower() != "bearer" or not key:
            return None
        return self._member_by_digest.get(key_digest(key.strip()))

    def _chat(self, exchange: CallerExchange, member: Member) -> None:
        if exchange.request.method != "POST":
            self._refuse(exchange, failure("bad_method", exchange.request.method))
            return
        try:
            chat = decode_document(_CHAT_DECODER, exchange.request.body, "body")
        except DocumentError as error:
            self._refuse(exchange, failure("bad_request", error.message))
            return
        pool = self._pool_by_name.get(chat.model)
        if pool is None or pool.settings.kind != "engine":
            self._refuse(exchange, failure("not_found", f"no model {chat.model!r}"))
            return
        prompt = prompt_text(chat)
        waiting = self._waiting_call(
            exchange, member, pool, "chat", prompt[:_AFFINITY_PREFIX_CHARS]
        )
        if isinstance(waiting, Failure):
            self._refuse(exchange, waiting)
            return
        call = Call(exchange.request_id, True, True, waiting.deadline)
        body = exchange.request.body
        EngineCall(self._context, pool, exchange, waiting, call, chat, body).begin()

    def _plan(self, exchange: CallerExchange, member: Member) -> None:
        """Respond with the limits that this router enforces for the member."""
        config = self._context.config
        document = {
            "member": member.name,
            "share": member.share,
            "config_version": config.version,
            "plan": config.plan_by_name[member.plan],
        }
        exchange.respond_json(200, msgspec.json.encode(document))

    def _service(self, exchange: CallerExchange, member: Member, target: str) -> None:
        name, _, rest = target.removeprefix("/svc/").partition("/")
        pool = self._pool_by_name.get(name)
        if pool is None or pool.settings.kind != "service":
            self._refuse(exchange, failure("not_found", f"no service {name!r}"))
            return
        method = exchange.request.method
        path = "/" + rest
        kind = f"{method} {path.partition('?')[0].partition('/')[2].partition('/')[0]}"
        waiting = self._waiting_call(exchange, member, pool, kind, "")
        if isinstance(waiting, Failure):
            self._refuse(exchange, waiting)
            return
        idempotent = _is_idempotent(pool.settings, method, path)
        call = Call(exchange.request_id, idempotent, False, waiting.deadline)
        task: CallTask = ServiceCall(self._context, pool, exchange, waiting, call, path)
        task.begin()

    def _waiting_call(
        self, exchange: CallerExchange, member: Member, pool: PoolTask, kind: str, prompt: str
    ) -> WaitingCall | Failure:
        """Return the call in the form that the pool's scheduler takes, or why it is refused."""
        headers = exchange.request.headers
        now = self._context.now()
        try:
            default_s = min(
                self._context.settings.router.default_deadline_s, pool.settings.max_call_s
            )
            deadline_s = float(headers.get("x-deadline-s", default_s))
            hint = float(headers["x-cost-hint"]) if "x-cost-hint" in headers else None
        except ValueError as error:
            return failure("bad_request", f"X-Deadline-S or X-Cost-Hint: {error}")
        if not 0 < deadline_s <= pool.settings.max_call_s:
            limit = pool.settings.max_call_s
            return failure("bad_request", f"X-Deadline-S must be above 0 and at most {limit:g}")
        interactive = headers.get("x-class", "interactive") != "batch"
        kind = f"{kind} {'interactive' if interactive else 'batch'}"
        plan = self._context.config.plan_by_name[member.plan]
        return WaitingCall(
            id=uuid.uuid4().hex,
            member=member.name,
            kind=kind,
            interactive=interactive,
            estimate=pool.scheduler.estimator.estimate(member.name, kind, hint),
            queue_until=now + plan.queue_time_s,
            deadline=now + deadline_s,
            prompt=prompt,
        )

    def _refuse(self, exchange: CallerExchange, refusal: Failure) -> None:
        code = refusal.kind.code
        self._context.metrics.count("refused", outcome=refusal.outcome, code=code)
        exchange.fail(refusal)

    def _addresses(self, exchange: CallerExchange, query: str) -> None:
        """Respond with the routers that a caller should use."""
        caller = parse_qs(query).get("caller", [""])[0]
        caller = caller or exchange.request.headers.get("authorization", "")
        routers = self._context.view.routers_for_caller(caller, self._context.now())
        addresses = [
            {
                "router": router.name,
                "url": router.caller_url,
                "failure_domain": router.failure_domain,
            }
            for router in routers
        ]
        ttl_s = self._context.settings.router.address_ttl_s
        body = msgspec.json.encode({"addresses": addresses, "ttl_s": ttl_s})
        exchange.respond_json(200, body, [("Cache-Control", f"max-age={ttl_s:g}")])

    def _healthz(self, exchange: CallerExchange, query: str) -> None:
        exchange.respond(200, b"ok\n", [("Content-Type", "text/plain")])

    def _readyz(self, exchange: CallerExchange, query: str) -> None:
        refusal = self._unready_reason()
        if refusal is None:
            exchange.respond(200, b"ready\n", [("Content-Type", "text/plain")])
        else:
            exchange.fail(refusal)

    def _metrics(self, exchange: CallerExchange, query: str) -> None:
        body = self._context.metrics.text().encode()
        exchange.respond(200, body, [("Content-Type", "text/plain; version=0.0.4")])

    def _show_status(self, exchange: CallerExchange, query: str) -> None:
        exchange.respond_json(200, msgspec.json.encode(self._status()))


def _is_idempotent(settings: PoolSettings, method: str, path: str) -> bool:
    """Return whether a call may run more than once.

    The matching route with the longest prefix decides; if there is none, the method does.
    """
    matching = [
        route
        for route in settings.routes
        if route.method == method and path.startswith(route.path_prefix)
    ]
    if matching:
        return max(matching, key=lambda route: len(route.path_prefix)).idempotent
    return method in _IDEMPOTENT_METHODS
