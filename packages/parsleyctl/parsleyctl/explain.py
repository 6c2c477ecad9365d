"""Trace of one request and the cause of its end, from the logs of the routers."""

import re
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import UTC, datetime
from pathlib import Path

from parsleyrudder import RudderError

from .exits import Exit
from .output import Output

__all__ = ["LogFileError", "LogLine", "RequestTrace", "explain", "parse_line", "trace_request"]

_PAIR = re.compile(r'(?:^|\s)([a-z_0-9]+)=(?:"((?:[^"\\]|\\.)*)"|([^\s"]*))')
_ESCAPED = re.compile(r"\\(.)")
_CHAR_BY_ESCAPE = {"n": "\n", "r": "\r", "t": "\t"}
# Time before and after a request whose events are shown as its context.
_CONTEXT_BEFORE_S = 3.0
_CONTEXT_AFTER_S = 0.5
_END_EVENTS = frozenset({"request_finished", "request_denied"})
# Events that can help to explain a request on the same router.
_CONTEXT_EVENTS = frozenset(
    {
        "config_in_force",
        "feed_gap",
        "handler_failed",
        "log_lines_dropped",
        "quarantine_began",
        "quarantine_ended",
        "readiness_changed",
        "registration_lost",
        "relay_started",
        "relay_stopped",
        "relay_stopping",
        "state",
        "store_back",
        "store_lost",
        "stream_origin_unknown",
        "target_ejected",
        "target_leaving",
        "target_paused",
        "versions_read",
    }
)
_CAUSE_BY_OUTCOME = {
    "answered": "a target answered it",
    "passed_on": "a target failed it, and its answer was passed on",
    "caller_left": "the caller left before the answer was whole",
    "no_server": "it was given up before any target ran it",
    "deadline_unreachable": "it waited for a place until its deadline",
    "deadline_exceeded": "a target had it when its deadline passed; it may have run",
    "server_failed": "a target failed it after it was sent; it may have run",
    "unauthorized": "the configuration in force held no such key",
    "not_found": "the configuration in force had no route for it",
    "not_ready": "the router had no configuration that was fresh enough",
    "cut_off": "the router had not heard of the store for too long to trust any key",
    "draining": "the router was stopping",
    "overloaded": "the router limited the requests of each organisation",
    "quarantined": "targets had crashed on a part of its prompt",
    "request_quarantined": "targets had crashed on the same request before",
    "version_unavailable": "no target ran the software version that began its stream",
    "origin_unknown": "no router knew which software version had begun its stream",
    "bad_request": "it was not a proper request",
}


class LogFileError(RudderError):
    """A log can't be read."""


@dataclass(slots=True, frozen=True)
class LogLine:
    """One event of one router.

    :ivar timestamp: Unix time in seconds.
    :ivar fields: all other key-value pairs of the line.
    """

    timestamp: float
    router: str
    event: str
    fields: dict[str, str]

    def text(self) -> str:
        """Return the line as text for operators."""
        time_of_day = datetime.fromtimestamp(self.timestamp, UTC).strftime("%H:%M:%S.%f")[:-3]
        pairs = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{time_of_day} {self.router} {self.event} {pairs}".rstrip()


@dataclass(slots=True)
class RequestTrace:
    """What the logs say about one request.

    :ivar lines: log lines of the request itself, in order of time.
    :ivar context: other log lines of the same routers from shortly before to shortly after.
    :ivar cause: why the request ended as it did, as text.
    :ivar missing: what is missing from the logs, one text per item.
    """

    id: str
    lines: list[LogLine] = field(default_factory=list)
    context: list[LogLine] = field(default_factory=list)
    cause: str = ""
    missing: list[str] = field(default_factory=list)


def explain(output: Output, id: str, paths: list[Path]) -> Exit:
    """Print the log lines of a request, their context and the cause of its end.

    :raises LogFileError: if a file can't be read.
    """
    lines: list[LogLine] = []
    skipped = 0
    for path in paths:
        for text in _read_log(path).splitlines():
            line = parse_line(text)
            if line is None:
                skipped += 1
            else:
                lines.append(line)
    trace = trace_request(id, lines)
    if skipped:
        trace.missing.append(f"{skipped} lines are cut off or no log lines, and were left out")
    document = {
        "id": id,
        "cause": trace.cause,
        "lines": [line.text() for line in trace.lines],
        "around": [line.text() for line in trace.context],
        "missing": trace.missing,
    }
    shown = sorted([*trace.lines, *trace.context], key=lambda line: line.timestamp)
    rows = [("* " if line.fields.get("request") == id else "  ") + line.text() for line in shown]
    output.result(
        document, [*rows, f"cause: {trace.cause}", *(f"missing: {m}" for m in trace.missing)]
    )
    return Exit.OK if trace.lines else Exit.INCOMPLETE


def _read_log(path: Path) -> str:
    try:
        return path.read_text(errors="replace")
    except OSError as error:
        reason = f"can't read {path}: {error.strerror}"
        raise LogFileError(reason, "name files with the routers' logs that you may read") from error


def parse_line(text: str) -> LogLine | None:
    """Parse one line of a log; return None if it is truncated or not an event.

    >>> parse_line('time=2026-12-04T05:00:00.250Z level=info router=r event=e reason="a b"').fields
    {'level': 'info', 'reason': 'a b'}
    """
    pairs: dict[str, str] = {}
    for name, quoted, bare in _PAIR.findall(text):
        value = _ESCAPED.sub(_unescape, quoted) if quoted else bare
        pairs[name] = value
    try:
        timestamp = datetime.fromisoformat(pairs.pop("time").replace("Z", "+00:00")).timestamp()
        return LogLine(timestamp, pairs.pop("router"), pairs.pop("event"), pairs)
    except (KeyError, ValueError):
        return None


def _unescape(escaped: re.Match[str]) -> str:
    return _CHAR_BY_ESCAPE.get(escaped[1], escaped[1])


def trace_request(id: str, lines: Iterable[LogLine]) -> RequestTrace:
    """Return the trace of a request from the lines of all logs, in any order."""
    ordered = sorted(lines, key=lambda line: line.timestamp)
    trace = RequestTrace(id, [line for line in ordered if line.fields.get("request") == id])
    routers = {line.router for line in trace.lines}
    if not trace.lines:
        trace.cause = "no line of the request is in these logs"
        trace.missing += _describe_logs(ordered)
        return trace
    first, last = trace.lines[0].timestamp, trace.lines[-1].timestamp
    nearby = [
        line
        for line in ordered
        if line.router in routers
        and line.event in _CONTEXT_EVENTS
        and first - _CONTEXT_BEFORE_S <= line.timestamp <= last + _CONTEXT_AFTER_S
    ]
    trace.context = _keep_last_state(nearby, first)
    ends = [line for line in trace.lines if line.event in _END_EVENTS]
    if ends:
        trace.cause = _cause(ends[-1], trace)
    else:
        trace.cause = "its end is not in these logs"
        trace.missing += _explain_missing_end(ordered, routers, last)
    return trace


def _cause(end: LogLine, trace: RequestTrace) -> str:
    outcome = end.fields.get("outcome", "")
    parts = [f"{outcome}: {_CAUSE_BY_OUTCOME.get(outcome, 'see the reason')}"]
    if "reason" in end.fields:
        parts.append(end.fields["reason"])
    failed_sends = [line for line in trace.lines if line.event == "send_failed"]
    parts += [
        f"the send to {line.fields.get('target')} ended {line.fields.get('end')}"
        f" ({line.fields.get('reason')})"
        for line in failed_sends
    ]
    if _number(end, "position") > 1.0:
        parts.append("its organisation was above its share")
    if outcome.startswith("deadline") and "first_ms" not in end.fields:
        parts.append("no part of an answer had come")
    return "; ".join(parts)


def _number(line: LogLine, name: str) -> float:
    """Return a number of a line; 0 if it is missing, or cut off with the end of the line."""
    try:
        return float(line.fields.get(name) or 0.0)
    except ValueError:
        return 0.0


def _keep_last_state(nearby: list[LogLine], first: float) -> list[LogLine]:
    """Drop the periodic ``state`` lines but the last one of each router before the request."""
    last_by_router = {
        line.router: line for line in nearby if line.event == "state" and line.timestamp <= first
    }
    return [
        line for line in nearby if line.event != "state" or last_by_router.get(line.router) is line
    ]


def _describe_logs(ordered: list[LogLine]) -> list[str]:
    """Describe which logs were given, so that the operator can find the missing one."""
    names = sorted({line.router for line in ordered})
    dropped = sum(_number(line, "count") for line in ordered if line.event == "log_lines_dropped")
    notes = [f"logs of {len(names)} routers were given: {', '.join(names) or 'none'}"]
    notes.append("the log of the router that the caller called may lack")
    if dropped:
        notes.append(f"{dropped:.0f} lines were dropped by the bound on log lines")
    return notes


def _explain_missing_end(ordered: list[LogLine], routers: set[str], last: float) -> list[str]:
    """Describe why the end of a request may be missing from the logs."""
    notes = []
    for line in ordered:
        if line.router in routers and line.timestamp >= last:
            if line.event == "relay_started":
                notes.append(f"{line.router} was started anew at {line.text()[:12]}: it had ended")
            elif line.event == "log_lines_dropped":
                notes.append(f"{line.router} dropped {line.fields.get('count')} lines")
    return notes or ["the logs end before the request does"]
