"""How long a request waits for a silent target, and a stream for a target that goes on with it."""

from parsleyrudder import Route, RouteKind

__all__ = ["RESUMPTION_WAIT_S", "silence_limit_s"]

# An idempotent request is retried at another target if nothing is received from its target for this
# multiple of the target latency, within the bounds below.
_SILENCE_LATENCY_FACTOR = 2.5
_MIN_SILENCE_S = 0.4
_MAX_SILENCE_S = 1.8
# Time within which a target must take a request that goes on with a stream. Callers abandon a
# stream that is silent for 2 s or more, and the target has yet to prefill its prompt.
RESUMPTION_WAIT_S = 1.5


def silence_limit_s(route: Route) -> float:
    """Return the time without data from a target after which a request is retried, in seconds.

    >>> silence_limit_s(Route("r", "h", "/", RouteKind.SAFE, 5.0, {"p": 1.0}, target_latency_s=0.4))
    1.0
    """
    if route.kind is RouteKind.STREAM:
        return _MAX_SILENCE_S
    limit_s = _SILENCE_LATENCY_FACTOR * route.target_latency_s
    return min(_MAX_SILENCE_S, max(_MIN_SILENCE_S, limit_s))
