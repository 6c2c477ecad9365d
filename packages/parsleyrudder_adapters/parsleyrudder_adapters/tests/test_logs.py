"""The log handler that drops lines instead of waiting for its reader."""

import logging
import os

import pytest
from parsleyrudder_adapters.logs import BoundedLogHandler


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


@pytest.mark.parametrize(
    ("logger", "level", "expected"),
    [("state", logging.INFO, 1), ("requests", logging.INFO, 0), ("requests", logging.ERROR, 1)],
)
def test_lines_on_requests_do_not_displace_the_state_of_an_overloaded_router(
    pipe, logger, level, expected
):
    reader, writer = pipe
    handler = BoundedLogHandler(writer)

    def emit(name, level, text):
        record = logging.LogRecord(name, level, "", 0, text, None, None)
        record.created = 1000.0
        handler.emit(record)

    for _ in range(1000):
        emit("requests", logging.INFO, "request")
    emit(logger, level, "last")
    assert os.read(reader, 1 << 20).count(b"last") == expected
