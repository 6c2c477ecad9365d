"""One attempt at a target, with a scripted response."""

from types import SimpleNamespace
from typing import Any

import pytest
from parsleyrudder import SendEnd, TargetSignals
from parsleyrudder_daemon.relay.attempt import Attempt


class Owner:
    """Records the events of an attempt."""

    def __init__(self):
        self.received_bytes = 0
        self.ends = []

    def on_signals(self, signals):
        self.signals = signals

    def on_attempt_head(self, head):
        pass

    def on_attempt_data(self, data):
        self.received_bytes += len(data)

    def on_attempt_end(self):
        self.ends.append(None)

    def on_attempt_failed(self, end, reason):
        self.ends.append(end)


@pytest.mark.parametrize(("is_not_run", "ends"), [(True, [SendEnd.REFUSED]), (False, [])])
def test_refusal_with_an_endless_body_is_used_without_waiting_for_its_end(is_not_run, ends):
    """Guards against a caller that waits until its deadline although the target has refused."""
    cancelled = []
    owner: Any = Owner()
    head = SimpleNamespace(status=503, is_not_run=is_not_run, signals=TargetSignals())
    dialect: Any = SimpleNamespace(decode_response=lambda status, headers: head)
    target: Any = SimpleNamespace(id="t")
    attempt = Attempt(owner, dialect, target)
    exchange: Any = SimpleNamespace(cancel=lambda: cancelled.append(True), sent=True)
    attempt.exchange = exchange
    attempt.on_head(503, [])
    for _ in range(100):
        attempt.on_data(b"x" * 1000)
    assert owner.ends == ends
    assert bool(cancelled) == is_not_run
