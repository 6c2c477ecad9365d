"""Logging of exceptions raised by event handlers, which circuits would only print."""

import logging

from circuits.core import BaseComponent, handler

__all__ = ["HandlerErrorLogger"]

_LOGGER = logging.getLogger(__name__)


class HandlerErrorLogger(BaseComponent):
    """Logs each exception raised by a handler of the event loop that it is registered in."""

    channel = "handler-errors"

    @handler("exception", channel="*")
    def _on_exception(self, *args: object, **kwargs: object) -> None:
        error = args[1]
        info = (type(error), error, getattr(error, "__traceback__", None))
        _LOGGER.error("event=handler_failed handler=%s", kwargs.get("handler"), exc_info=info)  # type: ignore[arg-type]
