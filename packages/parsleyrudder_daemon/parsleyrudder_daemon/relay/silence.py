"""Time after which an idempotent request is retried at another target."""

from parsleyrudder import Route, RouteKind

__all__ = ["silence_limit_s"]

# An idempotent request is retried at another target if nothing is received from its target for this
# multiple of the target latency, within the bounds below.
_SILENCE_LATENCY_FACTOR = 2.5
_MIN_SILENCE_S = 0.4
_MAX_SILENCE_S = 1.8


def silence_limit_s(route: Route) -> float:
    """Return the time without data from a target after which a request is retried, in seconds.

    >>> silence_limit_s(Route("r", "h", "/", RouteKind.SAFE, 5.0, {"p": 1.0}, target_latency_s=0.4))
    1.0
    """
    if route.kind is RouteKind.STREAM:
        return _MAX_SILENCE_S
    limit_s = _SILENCE_LATENCY_FACTOR * route.target_latency_s
    return min(_MAX_SILENCE_S, max(_MIN_SILENCE_S, limit_s))
