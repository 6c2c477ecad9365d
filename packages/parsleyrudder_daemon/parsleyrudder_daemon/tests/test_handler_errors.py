"""Exceptions raised by event handlers must be logged, and the event loop must continue."""

import logging

from circuits.core import BaseComponent, Event, handler
from parsleyrudder_daemon.handler_errors import HandlerErrorLogger


class Fail(Event):
    """Makes the handler raise."""


class App(BaseComponent):
    channel = "app"

    @handler("Fail")
    def _on_fail(self):
        raise RuntimeError("seen in the log")


def test_an_error_in_a_handler_is_logged(caplog):
    app = App()
    HandlerErrorLogger().register(app)
    with caplog.at_level(logging.ERROR):
        app.fire(Fail(), "app")
        for _ in range(10):
            app.tick(timeout=0)
    [record] = [r for r in caplog.records if "event=handler_failed" in r.getMessage()]
    assert "seen in the log" in str(record.exc_info[1])
