"""Checks of the promises on what callers saw and what the stand-ins executed."""

from collections import Counter
from typing import Any

from .caller import CallResult
from .engine import completion_tokens
from .launcher import Fleet, get_json

__all__ = ["check_promises", "executions"]


def check_promises(
    fleet: Fleet,
    results: list[CallResult],
    kind_by_id: dict[str, str],
    request_by_id: dict[str, dict[str, Any]],
) -> list[str]:
    """Return a sentence for each broken promise."""
    broken = []
    executed = executions(fleet)
    for result in results:
        count = executed[result.id]
        if result.outcome not in ("answered", "not_run", "unknown"):
            broken.append(f"{result.id} got no whole answer and no error: {result.code}")
        if result.outcome == "not_run" and count:
            broken.append(f"{result.id} was told not_run, but was executed")
        if kind_by_id[result.id] == "order" and count > 1:
            broken.append(f"order {result.id} was executed {count} times")
        if result.outcome == "answered":
            broken += _check_answer(result, count, request_by_id.get(result.id))
    return broken


def executions(fleet: Fleet) -> Counter[str]:
    """Return the executions of each request id, summed over all servers."""
    counts: Counter[str] = Counter()
    for address in fleet.address_by_server.values():
        counts.update(get_json(address, "/standin/counts")["executions"])
    return counts


def _check_answer(result: CallResult, count: int, request: dict[str, Any] | None) -> list[str]:
    if not count:
        return [f"{result.id} was answered, but never executed"]
    if request is None:
        if f'"request_id": "{result.id}"'.encode() not in result.body:
            return [f"{result.id} got another call's answer"]
        return []
    messages = [{"role": "user", "content": request["prompt"]}]
    tokens = completion_tokens({"max_tokens": request["max_tokens"], "messages": messages})
    if result.text != "".join(f"w{index} " for index in range(tokens)):
        return [f"{result.id} got {result.tokens} tokens instead of its own {tokens}"]
    return []
