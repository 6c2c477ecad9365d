"""Guards ``explain`` on logs that are mixed, truncated, incomplete, or of other requests."""

import pytest
from parsleyctl.exits import Exit
from parsleyctl.explain import LogFileError, explain, parse_line, trace_request
from parsleyctl.output import Output

STAMP = "time=2026-12-04T05:00:{:06.3f}Z level=info router={} "
REFUSED = (
    "event=request_finished request=q outcome=no_server "
    'reason="no target can begin it in time" position=1.8 took_ms=0'
)
FAILED = 'event=send_failed request=q target=t1 end=broken reason="reset"'
UNKNOWN = 'event=request_finished request=q outcome=server_failed reason="the send ended" tried=t1'
DENIED = 'event=request_denied request=q outcome=unauthorized reason="no such key" version=7'
TIMED_OUT = "event=request_finished request=q outcome=deadline_exceeded tried=t1 took_ms=900"


def line(timestamp, text, router="r1"):
    return STAMP.format(timestamp, router) + text


def trace_of(*texts):
    lines = [parse_line(text) for text in texts]
    return trace_request("q", [parsed for parsed in lines if parsed is not None])


@pytest.mark.parametrize(
    ("texts", "cause"),
    [
        ([line(1, REFUSED)], ("no_server", "above its share")),
        ([line(2, UNKNOWN), line(1, FAILED)], ("server_failed", "t1 ended broken (reset)")),
        ([line(1, DENIED)], ("unauthorized", "no such key")),
        ([line(1, TIMED_OUT)], ("deadline_exceeded", "no part of an answer")),
        ([line(1, FAILED)], ("its end is not in these logs",)),
        ([line(1, REFUSED.replace("request=q", "request=p"))], ("no line of the request",)),
    ],
)
def test_cause_is_named(texts, cause):
    trace = trace_of(*texts)
    assert all(part in trace.cause for part in cause)


def test_context_holds_only_events_of_the_same_router():
    trace = trace_of(
        line(1, "event=state targets=4"),
        line(2, "event=state targets=0"),
        line(2.5, 'event=store_lost reason="no answer"'),
        line(2.6, 'event=store_lost reason="no answer"', router="r2"),
        line(2.7, "event=send_failed request=p target=t1"),
        line(3, REFUSED),
        line(9, "event=store_back"),
    )
    assert [(entry.event, entry.fields.get("targets")) for entry in trace.context] == [
        ("state", "0"),
        ("store_lost", None),
    ]


@pytest.mark.parametrize(
    ("later", "missing"),
    [
        (line(3, "event=relay_started pid=1"), "started anew"),
        (line(3, "event=log_lines_dropped count=9"), "dropped 9 lines"),
        (line(3, "event=relay_started pid=1", router="r2"), "the logs end before"),
    ],
)
def test_missing_end_is_explained(later, missing):
    assert missing in trace_of(line(1, FAILED), later).missing[0]


def test_logs_truncated_at_any_byte_are_read(tmp_path, capsys):
    whole = "\n".join([line(1, FAILED), line(2, UNKNOWN), ""]).encode()
    log = tmp_path / "r1.log"
    for cut in range(len(whole)):
        log.write_bytes(whole[:cut] + b"\xff")
        assert explain(Output(True), "q", [log]) in (Exit.OK, Exit.INCOMPLETE)
    log.write_bytes(whole)
    capsys.readouterr()
    assert explain(Output(False), "q", [log]) is Exit.OK
    assert "cause: server_failed" in capsys.readouterr().out


def test_quoted_value_can_not_forge_a_field():
    parsed = parse_line(line(1, 'event=e reason="x request=q \\"y\\" event=f" request=p'))
    assert parsed is not None
    assert parsed.event == "e"
    assert parsed.fields["request"] == "p"
    assert parsed.fields["reason"] == 'x request=q "y" event=f'


@pytest.mark.parametrize(
    ("text", "cut"),
    [(REFUSED, "position=1."), (REFUSED, "position=x"), (REFUSED, "position=")],
)
def test_a_damaged_number_does_not_end_the_explanation(text, cut):
    """A line that was cut within a number ended it with a ValueError."""
    assert "no_server" in trace_of(line(1, text.replace("position=1.8", cut))).cause


def test_a_damaged_count_of_dropped_lines_is_left_out():
    dropped = [
        line(1, "event=log_lines_dropped count=3"),
        line(2, "event=log_lines_dropped count=-x"),
    ]
    assert "3 lines were dropped by the bound on log lines" in trace_of(*dropped).missing


def test_a_log_that_can_not_be_read_is_named_with_the_remedy(tmp_path):
    """It gave the exit code of a table service that does not answer."""
    with pytest.raises(LogFileError, match="no-such.log.*name files"):
        explain(Output(False), "q", [tmp_path / "no-such.log"])


def test_escaped_characters_of_a_value_are_restored():
    text = 'time=2026-12-04T05:00:00Z router=r event=e reason="a\\tb\\r\\n\\"c\\"\\\\"'
    parsed = parse_line(text)
    assert parsed is not None
    assert parsed.fields["reason"] == 'a\tb\r\n"c"\\'
