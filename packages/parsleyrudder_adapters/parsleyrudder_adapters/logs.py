"""Logging of events as lines of ``key=value`` pairs."""

import logging
import os
import time
from collections import Counter

__all__ = ["BoundedLogHandler", "log_event", "set_up_logging"]

_MAX_LINES_PER_S_AND_LOGGER = 200
# Writes to a pipe are atomic up to PIPE_BUF, 4096 bytes on Linux.
_MAX_LINE_BYTES = 4096
_CHARS_TO_QUOTE = frozenset(' "=\\\n\r\t')
_ESCAPES = str.maketrans({"\\": "\\\\", '"': '\\"', "\n": "\\n", "\r": "\\r", "\t": "\\t"})


def set_up_logging(router: str, level: str = "INFO", fd: int | None = None) -> None:
    """Configure the root logger to write one line per record.

    :param router: name of the router, included in every line.
    :param level: name of the lowest level that is logged.
    :param fd: file descriptor to write to through a :class:`BoundedLogHandler`; if it is None,
        lines go to standard error without a rate limit.
    """
    handler = logging.StreamHandler() if fd is None else BoundedLogHandler(fd)
    handler.setFormatter(_LineFormatter(router))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)


class BoundedLogHandler(logging.Handler):
    """Writes lines to a file descriptor without blocking, and drops those that can't be written.

    Lines below the level WARNING are also limited in number per second and logger, so that lines on
    single requests do not displace those on the state of the router. The number of dropped lines is
    logged in the next second in which a record arrives.

    :param fd: file descriptor; it is set to non-blocking mode.
    :ivar dropped: number of lines dropped so far.
    """

    def __init__(self, fd: int) -> None:
        super().__init__()
        self._fd = fd
        self._second = 0
        self._lines_this_second_by_logger: Counter[str] = Counter()
        self._unreported = 0
        # Whether the last line was written in part only, so that the next one has to end it.
        self._is_line_open = False
        self.dropped = 0
        os.set_blocking(fd, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record as a line, or drop it and count it."""
        second = int(record.created)
        if second != self._second:
            self._second = second
            self._lines_this_second_by_logger.clear()
            self._report_dropped(record)
        self._lines_this_second_by_logger[record.name] += 1
        lines = self._lines_this_second_by_logger[record.name]
        if lines > _MAX_LINES_PER_S_AND_LOGGER and record.levelno < logging.WARNING:
            self._drop()
        else:
            self._write(self.format(record))

    def _report_dropped(self, record: logging.LogRecord) -> None:
        if self._unreported:
            count, self._unreported = self._unreported, 0
            message = f"event=log_lines_dropped count={count}"
            line = logging.LogRecord(record.name, logging.WARNING, "", 0, message, None, None)
            self._write(self.format(line))

    def _write(self, line: str) -> None:
        data = (b"\n" if self._is_line_open else b"") + line.encode("utf-8", "replace")
        if len(data) >= _MAX_LINE_BYTES:
            # A character that is cut at the end is left out.
            data = data[: _MAX_LINE_BYTES - 1].decode("utf-8", "ignore").encode()
        data += b"\n"
        try:
            count = os.write(self._fd, data)
        except OSError:
            self._drop()
            return
        self._is_line_open = count < len(data)
        if self._is_line_open:
            self._drop()

    def _drop(self) -> None:
        self._unreported += 1
        self.dropped += 1


def log_event(
    logger: logging.Logger, event: str, level: int = logging.INFO, **fields: object
) -> None:
    """Log an event with its fields.

    :param event: name of the event, such as ``call_finished``.
    :param fields: values to log; those that are None are omitted. Members' keys and the bodies of
        requests and responses must not be logged.
    """
    if logger.isEnabledFor(level):
        pairs = "".join(f" {k}={_format_value(v)}" for k, v in fields.items() if v is not None)
        logger.log(level, "event=%s%s", event, pairs)


class _LineFormatter(logging.Formatter):
    def __init__(self, router: str) -> None:
        super().__init__()
        self._router = router

    def format(self, record: logging.LogRecord) -> str:
        timestamp = time.strftime("%Y-%m-%dT%H:%M:%S", time.gmtime(record.created))
        head = f"time={timestamp}.{int(record.msecs):03d}Z level={record.levelname.lower()}"
        line = f"{head} router={self._router} {record.getMessage()}"
        if record.exc_info:
            line += f" trace={_format_value(self.formatException(record.exc_info))}"
        return line.replace("\n", "\\n").replace("\r", "\\r")


def _format_value(value: object) -> str:
    text = f"{value:.6g}" if isinstance(value, float) else str(value)
    if text and not _CHARS_TO_QUOTE.intersection(text):
        return text
    return f'"{text.translate(_ESCAPES)}"'
