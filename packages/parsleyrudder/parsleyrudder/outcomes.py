"""Error responses to callers: outcome, error code, HTTP status and remedy."""

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["FAILURE_KIND_BY_CODE", "Failure", "FailureKind", "Outcome", "failure"]


class Outcome(StrEnum):
    """What is known about the execution of a call by a server."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@dataclass(slots=True, frozen=True)
class FailureKind:
    """Fixed part of an error response."""

    code: str
    status: int
    outcome: Outcome
    remedy: str


@dataclass(slots=True, frozen=True)
class Failure:
    """Error response to one call.

    :ivar retry_after_s: seconds after which the caller may retry, or None.
    """

    kind: FailureKind
    message: str
    retry_after_s: float | None = None

    @property
    def outcome(self) -> Outcome:
        """Outcome of the call."""
        return self.kind.outcome


_NOT_RUN, _UNKNOWN = Outcome.NOT_RUN, Outcome.UNKNOWN
_KINDS = (
    FailureKind("bad_request", 400, _NOT_RUN, "correct the request"),
    FailureKind("unauthorized", 401, _NOT_RUN, "send a key of a member as a bearer token"),
    FailureKind("pool_not_allowed", 403, _NOT_RUN, "ask an operator to add the pool to the plan"),
    FailureKind("not_found", 404, _NOT_RUN, "use one of the documented paths and a known pool"),
    FailureKind("bad_method", 405, _NOT_RUN, "use a method that the path accepts"),
    FailureKind("request_timeout", 408, _NOT_RUN, "send the whole request within the time limit"),
    FailureKind("still_running", 409, _UNKNOWN, "repeat with the same key later"),
    FailureKind("key_reused", 422, _NOT_RUN, "use a new idempotency key for another request"),
    FailureKind("body_too_large", 413, _NOT_RUN, "send a smaller body"),
    FailureKind("request_too_costly", 413, _NOT_RUN, "ask for less, or for a larger plan"),
    FailureKind("uri_too_long", 414, _NOT_RUN, "send a shorter path"),
    FailureKind("headers_too_large", 431, _NOT_RUN, "send fewer or shorter headers"),
    FailureKind("rate_limited", 429, _NOT_RUN, "repeat after the time in Retry-After"),
    FailureKind("queue_full", 429, _NOT_RUN, "repeat after the time in Retry-After"),
    FailureKind("queue_timeout", 503, _NOT_RUN, "repeat after the time in Retry-After"),
    FailureKind("deadline_unreachable", 503, _NOT_RUN, "repeat later or allow more time"),
    FailureKind("no_server", 503, _NOT_RUN, "repeat after the time in Retry-After"),
    FailureKind("quarantined", 503, _NOT_RUN, "send the prompt without the part that is named"),
    FailureKind("request_quarantined", 503, _NOT_RUN, "do not repeat the request unchanged"),
    FailureKind("version_unavailable", 503, _NOT_RUN, "repeat later, or begin the stream anew"),
    FailureKind("origin_unknown", 503, _NOT_RUN, "begin the stream anew, without Last-Event-Id"),
    FailureKind("cut_off", 503, _NOT_RUN, "ask for the addresses again and use another router"),
    FailureKind("draining", 503, _NOT_RUN, "ask for the addresses again and use another router"),
    FailureKind("not_ready", 503, _NOT_RUN, "use another router"),
    FailureKind("table_down", 503, _NOT_RUN, "repeat with the same key after Retry-After"),
    FailureKind("overloaded", 503, _NOT_RUN, "ask for the addresses again and use another router"),
    FailureKind("too_many_connections", 503, _NOT_RUN, "use another router"),
    FailureKind("server_failed", 502, _UNKNOWN, "check the effect of the call before repeating it"),
    FailureKind("result_lost", 502, _UNKNOWN, "check the effect of the call before repeating it"),
    FailureKind("deadline_exceeded", 504, _UNKNOWN, "check the effect before repeating the call"),
    FailureKind("internal_error", 500, _UNKNOWN, "report the request id to the operators"),
)

FAILURE_KIND_BY_CODE = {kind.code: kind for kind in _KINDS}


def failure(code: str, message: str, retry_after_s: float | None = None) -> Failure:
    """Return an error response of a known kind.

    :param code: one of the keys of ``FAILURE_KIND_BY_CODE``.
    :param message: description of the failure.
    :param retry_after_s: seconds after which the caller may retry.
    :raises KeyError: if the code is unknown.

    >>> failure("queue_full", "10 calls of this member are already waiting", 1.0).kind.status
    429
    """
    return Failure(FAILURE_KIND_BY_CODE[code], message, retry_after_s)
