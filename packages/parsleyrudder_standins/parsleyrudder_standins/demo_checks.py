"""Checks the results of callers against the executions that the stand-ins counted."""

from collections import Counter
from typing import Any

from .caller import CallResult
from .engine import completion_tokens
from .launcher import Fleet, get_json

__all__ = ["count_executions", "find_violations"]


def find_violations(
    fleet: Fleet,
    results: list[CallResult],
    kind_by_id: dict[str, str],
    request_by_id: dict[str, dict[str, Any]],
) -> list[str]:
    """Return a description of each violated guarantee.

    :param request_by_id: prompt and token limit of each chat completion.
    """
    violations = []
    execution_counts = count_executions(fleet)
    for result in results:
        execution_count = execution_counts[result.id]
        if result.outcome not in ("answered", "not_run", "unknown"):
            violations.append(f"{result.id} got no whole answer and no error: {result.code}")
        if result.outcome == "not_run" and execution_count:
            violations.append(f"{result.id} was told not_run, but was executed")
        if kind_by_id[result.id] == "order" and execution_count > 1:
            violations.append(f"order {result.id} was executed {execution_count} times")
        if result.outcome == "answered":
            violations += _check_answer(result, execution_count, request_by_id.get(result.id))
    return violations


def count_executions(fleet: Fleet) -> Counter[str]:
    """Return the number of executions of each request id, summed over all servers."""
    counts: Counter[str] = Counter()
    for address in fleet.address_by_server.values():
        counts.update(get_json(address, "/standin/counts")["executions"])
    return counts


def _check_answer(
    result: CallResult, execution_count: int, request: dict[str, Any] | None
) -> list[str]:
    if not execution_count:
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
