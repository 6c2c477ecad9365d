"""Faults that are planted on purpose, to measure how soon the fuzzer finds them."""

import contextlib
from collections.abc import Callable, Iterator
from unittest import mock

import parsleyrudder as pr

__all__ = ["PLANTS", "planted"]


def _retry_after_first_byte() -> contextlib.AbstractContextManager:
    """Retry every failed attempt as if the call were idempotent."""
    return mock.patch.object(pr.Call, "_may_retry", lambda self, end: end != "timed_out")


def _accept_lower_version() -> contextlib.AbstractContextManager:
    """Put any version in force that differs from the present one."""

    def on_peer_version(state: pr.ConfigState, version: int, now: float) -> pr.ConfigRequest | None:
        return pr.ConfigRequest(state.me, 0) if version != state.config.version else None

    def on_reply(state: pr.ConfigState, reply: pr.ConfigReply, now: float) -> bool:
        if reply.base or reply.version == state.config.version:
            return False
        state.config = pr.apply_difference(pr.Config(), reply.diff, reply.version)
        return True

    stack = contextlib.ExitStack()
    stack.enter_context(mock.patch.object(pr.ConfigState, "on_peer_version", on_peer_version))
    stack.enter_context(mock.patch.object(pr.ConfigState, "on_reply", on_reply))
    return stack


def _send_after_lease() -> contextlib.AbstractContextManager:
    """Send the first byte without a look at the lease."""
    return mock.patch.object(pr.Portions, "is_leased", return_value=True)


def _drop_attempt_id() -> contextlib.AbstractContextManager:
    """Take the answer of any attempt for that of the current one."""
    return mock.patch.object(pr.Call, "is_current", return_value=True)


def _count_portion_twice() -> contextlib.AbstractContextManager:
    """Forget the unacknowledged grant when a report arrives, so that its portion is free again."""
    take = pr.Ledger.reported

    def reported(ledger: pr.Ledger, router: str, holdings: tuple, acknowledged: bool) -> None:
        take(ledger, router, holdings, True)

    return mock.patch.object(pr.Ledger, "reported", reported)


PLANTS: dict[str, Callable[[], contextlib.AbstractContextManager]] = {
    "accept-lower-version": _accept_lower_version,
    "count-portion-twice": _count_portion_twice,
    "drop-attempt-id": _drop_attempt_id,
    "retry-after-first-byte": _retry_after_first_byte,
    "send-after-lease": _send_after_lease,
}


@contextlib.contextmanager
def planted(name: str) -> Iterator[None]:
    """Plant a fault while a block runs.

    :param name: one of ``PLANTS``, or an empty string for none.
    """
    with PLANTS[name]() if name else contextlib.nullcontext():
        yield
