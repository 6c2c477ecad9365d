"""Errors in the handlers of a loop, as log lines; circuits would only print them."""

import logging

from circuits.core import BaseComponent, handler

__all__ = ["HandlerErrors"]

_LOGGER = logging.getLogger(__name__)


class HandlerErrors(BaseComponent):
    """Logs each error of a handler in the loop that it is registered in."""

    channel = "handler-errors"

    @handler("exception", channel="*")
    def _on_exception(self, *args: object, **kwargs: object) -> None:
        error = args[1]
        info = (type(error), error, getattr(error, "__traceback__", None))
        _LOGGER.error("event=handler_failed handler=%s", kwargs.get("handler"), exc_info=info)  # type: ignore[arg-type]
