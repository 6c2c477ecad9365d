"""Faults that can be injected into the decision code, to measure how soon the fuzzer finds them."""

import contextlib
from collections.abc import Callable, Iterator
from unittest import mock

import msgspec
import parsleyrudder as pr

__all__ = ["PLANTS", "planted"]

_LATEST_GRANT = 10**9


def _retry_after_first_byte() -> contextlib.AbstractContextManager:
    """Retry every failed attempt as if the call were idempotent."""
    return mock.patch.object(pr.Call, "_may_retry", lambda self, end: end != "timed_out")


def _accept_lower_version() -> contextlib.AbstractContextManager:
    """Activate any configuration version that differs from the active one, also a lower one."""

    def on_peer_version(state: pr.ConfigState, version: int, now: float) -> pr.ConfigRequest | None:
        return pr.ConfigRequest(state.own_name, 0) if version != state.config.version else None

    def on_reply(state: pr.ConfigState, reply: pr.ConfigReply, now: float) -> bool:
        if reply.base_version or reply.version == state.config.version:
            return False
        state.config = pr.apply_difference(pr.Config(), reply.diff, reply.version)
        return True

    stack = contextlib.ExitStack()
    stack.enter_context(mock.patch.object(pr.ConfigState, "on_peer_version", on_peer_version))
    stack.enter_context(mock.patch.object(pr.ConfigState, "on_reply", on_reply))
    return stack


def _send_after_lease() -> contextlib.AbstractContextManager:
    """Send the first byte without checking the portion lease."""
    return mock.patch.object(pr.Portions, "is_leased", return_value=True)


def _drop_attempt_id() -> contextlib.AbstractContextManager:
    """Accept the answer of any attempt as that of the current one."""
    return mock.patch.object(pr.Call, "is_current", return_value=True)


def _count_portion_twice() -> contextlib.AbstractContextManager:
    """Treat every grant as applied, so that portions in transit to a router count as free."""
    original = pr.Coordinator.on_report

    def on_report(coordinator: pr.Coordinator, report: pr.Report, now: float) -> list:
        return original(
            coordinator, msgspec.structs.replace(report, applied_grant=_LATEST_GRANT), now
        )

    return mock.patch.object(pr.Coordinator, "on_report", on_report)


PLANTS: dict[str, Callable[[], contextlib.AbstractContextManager]] = {
    "accept-lower-version": _accept_lower_version,
    "count-portion-twice": _count_portion_twice,
    "drop-attempt-id": _drop_attempt_id,
    "retry-after-first-byte": _retry_after_first_byte,
    "send-after-lease": _send_after_lease,
}


@contextlib.contextmanager
def planted(name: str) -> Iterator[None]:
    """Inject a fault while the ``with`` block runs.

    :param name: one of ``PLANTS``, or an empty string for none.
    """
    with PLANTS[name]() if name else contextlib.nullcontext():
        yield
