"""The story of one request, read from the logs of the routers."""

import re
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import UTC, datetime
from pathlib import Path

from .exits import Exit
from .output import Output

__all__ = ["LogLine", "Story", "explain", "parse_line", "tell"]

_PAIR = re.compile(r'(?:^|\s)([a-z_0-9]+)=(?:"((?:[^"\\]|\\.)*)"|([^\s"]*))')
# What a router believed shortly before and after a request belongs to its story.
_BEFORE_S = 3.0
_AFTER_S = 0.5
_LAST_EVENTS = frozenset({"request_finished", "request_denied"})
# Events that may explain a request of the same router.
_BELIEFS = frozenset(
    {
        "config_in_force",
        "feed_gap",
        "handler_failed",
        "log_lines_dropped",
        "readiness_changed",
        "relay_started",
        "relay_stopped",
        "relay_stopping",
        "state",
        "store_back",
        "store_lost",
        "target_ejected",
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
    "bad_request": "it was not a proper request",
}


@dataclass(slots=True, frozen=True)
class LogLine:
    """One event of one router.

    :ivar at: Unix time in seconds.
    :ivar fields: all other pairs of the line.
    """

    at: float
    router: str
    event: str
    fields: dict[str, str]

    def text(self) -> str:
        """Return the line for people."""
        stamp = datetime.fromtimestamp(self.at, UTC).strftime("%H:%M:%S.%f")[:-3]
        pairs = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{stamp} {self.router} {self.event} {pairs}".rstrip()


@dataclass(slots=True)
class Story:
    """What the logs tell of one request.

    :ivar lines: lines of the request itself, in order of time.
    :ivar beliefs: lines of its routers around it.
    :ivar cause: why it ended as it did, in a sentence.
    :ivar missing: what the logs can't tell, a sentence each.
    """

    id: str
    lines: list[LogLine] = field(default_factory=list)
    beliefs: list[LogLine] = field(default_factory=list)
    cause: str = ""
    missing: list[str] = field(default_factory=list)


def explain(output: Output, id: str, paths: list[Path]) -> Exit:
    """Print the story of a request.

    :raises OSError: if a file can't be read.
    """
    lines: list[LogLine] = []
    unreadable = 0
    for path in paths:
        for text in path.read_text(errors="replace").splitlines():
            line = parse_line(text)
            if line is None:
                unreadable += 1
            else:
                lines.append(line)
    story = tell(id, lines)
    if unreadable:
        story.missing.append(f"{unreadable} lines are cut off or no log lines, and were left out")
    document = {
        "id": id,
        "cause": story.cause,
        "lines": [line.text() for line in story.lines],
        "around": [line.text() for line in story.beliefs],
        "missing": story.missing,
    }
    shown = sorted([*story.lines, *story.beliefs], key=lambda line: line.at)
    told = [("* " if line.fields.get("request") == id else "  ") + line.text() for line in shown]
    output.result(
        document, [*told, f"cause: {story.cause}", *(f"missing: {m}" for m in story.missing)]
    )
    return Exit.OK if story.lines else Exit.INCOMPLETE


def parse_line(text: str) -> LogLine | None:
    """Return the event of a line; None if it is cut off or no event.

    >>> parse_line('time=2026-12-04T05:00:00.250Z level=info router=r event=e reason="a b"').fields
    {'level': 'info', 'reason': 'a b'}
    """
    pairs: dict[str, str] = {}
    for name, quoted, bare in _PAIR.findall(text):
        value = re.sub(r"\\(.)", r"\1", quoted) if quoted else bare
        pairs[name] = value
    try:
        at = datetime.fromisoformat(pairs.pop("time").replace("Z", "+00:00")).timestamp()
        return LogLine(at, pairs.pop("router"), pairs.pop("event"), pairs)
    except (KeyError, ValueError):
        return None


def tell(id: str, lines: Iterable[LogLine]) -> Story:
    """Return the story of a request out of all lines, in any order."""
    ordered = sorted(lines, key=lambda line: line.at)
    story = Story(id, [line for line in ordered if line.fields.get("request") == id])
    routers = {line.router for line in story.lines}
    if not story.lines:
        story.cause = "no line of the request is in these logs"
        story.missing += _coverage(ordered)
        return story
    first, last = story.lines[0].at, story.lines[-1].at
    around = [
        line
        for line in ordered
        if line.router in routers
        and line.event in _BELIEFS
        and first - _BEFORE_S <= line.at <= last + _AFTER_S
    ]
    story.beliefs = _last_state(around, first)
    ends = [line for line in story.lines if line.event in _LAST_EVENTS]
    if ends:
        story.cause = _cause(ends[-1], story)
    else:
        story.cause = "its end is not in these logs"
        story.missing += _lost_end(ordered, routers, last)
    return story


def _cause(end: LogLine, story: Story) -> str:
    outcome = end.fields.get("outcome", "")
    parts = [f"{outcome}: {_CAUSE_BY_OUTCOME.get(outcome, 'see the reason')}"]
    if "reason" in end.fields:
        parts.append(end.fields["reason"])
    sends = [line for line in story.lines if line.event == "send_failed"]
    parts += [
        f"the send to {line.fields.get('target')} ended {line.fields.get('end')}"
        f" ({line.fields.get('reason')})"
        for line in sends
    ]
    if float(end.fields.get("position") or 0.0) > 1.0:
        parts.append("its organisation was above its share")
    if outcome.startswith("deadline") and "first_ms" not in end.fields:
        parts.append("no part of an answer had come")
    return "; ".join(parts)


def _last_state(around: list[LogLine], first: float) -> list[LogLine]:
    """Keep of the regular lines of state only the last one before the request, by router."""
    last_by_router = {
        line.router: line for line in around if line.event == "state" and line.at <= first
    }
    return [
        line for line in around if line.event != "state" or last_by_router.get(line.router) is line
    ]


def _coverage(ordered: list[LogLine]) -> list[str]:
    """Say which logs there are, so that the one that lacks is found."""
    names = sorted({line.router for line in ordered})
    dropped = sum(
        int(line.fields.get("count") or 0) for line in ordered if line.event == "log_lines_dropped"
    )
    told = [f"logs of {len(names)} routers were given: {', '.join(names) or 'none'}"]
    told.append("the log of the router that the caller called may lack")
    if dropped:
        told.append(f"{dropped} lines were dropped by the bound on log lines")
    return told


def _lost_end(ordered: list[LogLine], routers: set[str], last: float) -> list[str]:
    """Say why the end of a request may lack."""
    told = []
    for line in ordered:
        if line.router in routers and line.at >= last:
            if line.event == "relay_started":
                told.append(f"{line.router} was started anew at {line.text()[:12]}: it had ended")
            elif line.event == "log_lines_dropped":
                told.append(f"{line.router} dropped {line.fields.get('count')} lines")
    return told or ["the logs end before the request does"]
