"""What callers and operators can ask a router over HTTP."""

import uuid
from collections.abc import Callable
from urllib.parse import parse_qs

import msgspec
from parsleyrudder import Call, Failure, Member, WaitingCall, failure, key_digest
from parsleyrudder_adapters.http_server import CallerExchange
from parsleyrudder_adapters.settings import PoolSettings

from .call_task import CallTask
from .context import Context
from .engine_call import ChatRequest, EngineCall, prompt_of
from .pool_task import PoolTask
from .service_call import ServiceCall

__all__ = ["CallerApi"]

_IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})
_AFFINITY_CHARS = 256
_LONGEST_REQUEST_ID = 128


class CallerApi:
    """Routes requests of callers.

    :param readiness: returns why the router takes no calls now, or None.
    :param status: returns the document of ``/status``.
    """

    def __init__(
        self,
        context: Context,
        pool_by_name: dict[str, PoolTask],
        readiness: Callable[[], Failure | None],
        status: Callable[[], object],
    ) -> None:
        self._context = context
        self._pool_by_name = pool_by_name
        self._readiness = readiness
        self._status = status
        self._member_by_digest: dict[str, Member] = {}
        self._get_by_path: dict[str, Callable[[CallerExchange, str], None]] = {
            "/healthz": self._healthz,
            "/readyz": self._readyz,
            "/metrics": self._metrics,
            "/status": self._show_status,
            "/v1/addresses": self._addresses,
        }

    def config_changed(self) -> None:
        """Enforce the context's configuration."""
        members = self._context.config.member_by_name.values()
        self._member_by_digest = {member.key_digest: member for member in members}

    def on_request(self, exchange: CallerExchange) -> None:
        """Begin to answer a request; see :class:`RequestHandler`."""
        request = exchange.request
        path, _, query = request.target.partition("?")
        given = request.headers.get("x-request-id", "")
        usable = given.isascii() and given.isprintable() and len(given) <= _LONGEST_REQUEST_ID
        exchange.request_id = given if given and usable else uuid.uuid4().hex
        page = self._get_by_path.get(path)
        if page is not None:
            if request.method in ("GET", "HEAD"):
                page(exchange, query)
            else:
                exchange.fail(failure("bad_method", f"{request.method} {path}"))
            return
        refused = self._readiness()
        if refused is not None:
            self._refuse(exchange, refused)
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
            chat = msgspec.json.decode(exchange.request.body, type=ChatRequest)
        except msgspec.DecodeError as error:
            self._refuse(exchange, failure("bad_request", str(error)))
            return
        pool = self._pool_by_name.get(chat.model)
        if pool is None or pool.settings.kind != "engine":
            self._refuse(exchange, failure("not_found", f"no model {chat.model!r}"))
            return
        prompt = prompt_of(chat)
        waiting = self._waiting(exchange, member, pool, "chat", prompt[:_AFFINITY_CHARS])
        if isinstance(waiting, Failure):
            self._refuse(exchange, waiting)
            return
        call = Call(exchange.request_id, True, True, waiting.deadline)
        body = exchange.request.body
        EngineCall(self._context, pool, exchange, waiting, call, chat, body).begin()

    def _plan(self, exchange: CallerExchange, member: Member) -> None:
        """Answer which limits this router enforces for the member."""
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
        waiting = self._waiting(exchange, member, pool, kind, "")
        if isinstance(waiting, Failure):
            self._refuse(exchange, waiting)
            return
        idempotent = _is_idempotent(pool.settings, method, path)
        call = Call(exchange.request_id, idempotent, False, waiting.deadline)
        task: CallTask = ServiceCall(self._context, pool, exchange, waiting, call, path)
        task.begin()

    def _waiting(
        self, exchange: CallerExchange, member: Member, pool: PoolTask, kind: str, prompt: str
    ) -> WaitingCall | Failure:
        """Return the call as the pool's scheduler sees it."""
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

    def _refuse(self, exchange: CallerExchange, reason: Failure) -> None:
        code = reason.kind.code
        self._context.metrics.count("refused", outcome=reason.outcome, code=code)
        exchange.fail(reason)

    def _addresses(self, exchange: CallerExchange, query: str) -> None:
        """Answer which routers a caller should use."""
        caller = parse_qs(query).get("caller", [""])[0]
        caller = caller or exchange.request.headers.get("authorization", "")
        infos = self._context.view.routers_for_caller(caller, self._context.now())
        addresses = [
            {"router": i.name, "url": i.caller_url, "failure_domain": i.failure_domain}
            for i in infos
        ]
        ttl_s = self._context.settings.router.address_ttl_s
        body = msgspec.json.encode({"addresses": addresses, "ttl_s": ttl_s})
        exchange.respond_json(200, body, [("Cache-Control", f"max-age={ttl_s:g}")])

    def _healthz(self, exchange: CallerExchange, query: str) -> None:
        exchange.respond(200, b"ok\n", [("Content-Type", "text/plain")])

    def _readyz(self, exchange: CallerExchange, query: str) -> None:
        refused = self._readiness()
        if refused is None:
            exchange.respond(200, b"ready\n", [("Content-Type", "text/plain")])
        else:
            exchange.fail(refused)

    def _metrics(self, exchange: CallerExchange, query: str) -> None:
        body = self._context.metrics.text().encode()
        exchange.respond(200, body, [("Content-Type", "text/plain; version=0.0.4")])

    def _show_status(self, exchange: CallerExchange, query: str) -> None:
        exchange.respond_json(200, msgspec.json.encode(self._status()))


def _is_idempotent(settings: PoolSettings, method: str, path: str) -> bool:
    """Return whether a call may run more than once: by the longest matching route, or method."""
    matching = [
        route
        for route in settings.routes
        if route.method == method and path.startswith(route.path_prefix)
    ]
    if matching:
        return max(matching, key=lambda route: len(route.path_prefix)).idempotent
    return method in _IDEMPOTENT_METHODS
