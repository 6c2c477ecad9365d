"""The log handler that drops lines instead of waiting for its reader."""

import logging
import os

import pytest
from parsleyrudder_adapters import logs
from parsleyrudder_adapters.logs import BoundedLogHandler, log_event


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


def emit(handler, text):
    handler.emit(logging.LogRecord("requests", logging.INFO, "", 0, text, None, None))


@pytest.mark.parametrize(("text", "length"), [("x", 4095), ("\u00e9", 4094), ("\u6c34", 4095)])
def test_a_long_line_is_cut_to_what_a_pipe_takes_at_once(pipe, text, length):
    """It was cut by characters, so that a line of others than ASCII could be split."""
    reader, writer = pipe
    emit(BoundedLogHandler(writer), text * 5000)
    line = os.read(reader, 1 << 20)
    assert (len(line), line[-1:]) == (length + 1, b"\n")
    assert set(line.decode()) == {text, "\n"}


def test_a_line_that_is_written_in_part_counts_as_dropped(pipe, monkeypatch):
    """The next line was appended to it, and neither was counted."""
    reader, writer = pipe
    handler = BoundedLogHandler(writer)
    write = os.write
    monkeypatch.setattr(logs.os, "write", lambda fd, data: write(fd, data[:5]))
    emit(handler, "first line")
    monkeypatch.undo()
    assert handler.dropped == 1
    emit(handler, "second line")
    emit(handler, "third line")
    assert os.read(reader, 1 << 20) == b"first\nsecond line\nthird line\n"


def test_control_characters_do_not_break_a_line(caplog):
    caplog.set_level(logging.INFO)
    log_event(logging.getLogger("requests"), "e", reason='a\tb\r\n"c"\\')
    assert caplog.messages == ['event=e reason="a\\tb\\r\\n\\"c\\"\\\\"']
