"""Figures of measurement runs as a JSON line, as a table and as a plot."""

import math
from collections import Counter
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Any

from .measure_figures import bound, fairness_gap, percentile, utilisation
from .measure_run import RunResult

__all__ = ["figures", "plot", "table"]

_USUAL_REPORT_AGE_S = 0.2
"""A report is up to one interval (0.1 s) old when it is answered, and its answer is used for as
long again."""

_COLUMNS = {
    "policy": "policy",
    "fault": "fault",
    "costs": "costs",
    "gap_worst": "gap worst",
    "gap_p99": "gap p99",
    "bound": "bound",
    "utilisation": "utilisation",
    "wait_p50_s": "wait p50 s",
    "wait_p99_s": "wait p99 s",
    "others_p99_s": "others' p99 wait s",
    "first_token_p99_s": "first token p99 s",
    "control_bytes_per_s": "control B/s",
    "processor_max": "daemon cores max",
    "outcomes": "outcomes",
}


def figures(result: RunResult) -> dict[str, Any]:
    """Return all figures of a run as plain data."""
    options = result.options
    gap = fairness_gap(result.samples, result.share_by_member)
    age_s = result.fault.report_age_s or _USUAL_REPORT_AGE_S
    limit = bound(result.largest_cost, result.rate, age_s)
    begun = result.samples[0].at
    inside = [r for r in result.records if begun <= r.begun_at <= result.samples[-1].at]
    document: dict[str, Any] = {
        "policy": options.policy,
        "fault": options.fault,
        "done": result.fault.done,
        **{name: getattr(options, name) for name in ("deployment", "members", "seed", "skew")},
        **{name: getattr(options, name) for name in ("costs", "seconds", "token_rate")},
        "routers": len(result.processor),
        "batch_part": options.batch_part,
        "gap_worst": round(gap.worst, 1),
        "gap_p99": round(gap.p99, 1),
        "gap_pair": gap.pair,
        "bound": round(limit, 1),
        "gap_by_phase": _gap_by_phase(result),
        "samples_over_bound": sum(value > limit for value in gap.by_sample),
        "samples": len(result.samples),
        "utilisation": _rounded(utilisation(result.samples, result.fault.left_servers), 4),
        "utilisation_by_phase": _utilisation_by_phase(result),
        **_times(inside, result),
        "control_bytes_per_s": round(_mean(result.control.values())),
        "control_bytes_per_s_max": round(max(result.control.values(), default=math.nan)),
        "processor_mean": _rounded(_mean(result.processor.values()), 3),
        "processor_max": _rounded(max(result.processor.values(), default=math.nan), 3),
        "standin_processor": _rounded(result.standin_processor, 3),
        "load_processor": _rounded(result.load_processor, 3),
        "outcomes": dict(Counter(f"{r.outcome}:{r.code or 'ok'}" for r in result.records)),
        "cancelled": result.cancelled,
        "observed": result.observed,
        "service_per_share": _service_per_share(result),
        "callers": {load.member: [len(load.routers), load.calls] for load in result.loads},
    }
    return document


def _times(inside: Sequence[Any], result: RunResult) -> dict[str, Any]:
    """Return percentiles of wait and first token by class, and the others' wait by phase."""
    token_s = result.pool.token_s
    answered = [record for record in inside if record.outcome == "answered"]
    times: dict[str, Any] = {}
    for batch, prefix in ((False, ""), (True, "batch_")):
        firsts = [record.first_token_s for record in answered if record.batch is batch]
        for part, name in ((0.5, "p50"), (0.99, "p99")):
            first = percentile(firsts, part)
            times[f"{prefix}first_token_{name}_s"] = _rounded(first, 3)
            times[f"{prefix}wait_{name}_s"] = _wait_s(first, token_s)
    flooder = result.loads[0].member
    others = [record for record in answered if record.member != flooder]
    times["waits_by_member_s"] = _waits_by_member(answered, token_s)
    times["others_p99_s"] = _others_p99_s(others, token_s)
    edges = [-math.inf, result.fault_from, result.fault_until, math.inf]
    times["others_p99_by_phase_s"] = [
        _others_p99_s([r for r in others if begin <= r.begun_at < end], token_s)
        for begin, end in zip(edges, edges[1:], strict=False)
    ]
    return times


def _others_p99_s(others: Sequence[Any], token_s: float) -> float | None:
    return _wait_s(percentile((r.first_token_s for r in others), 0.99), token_s)


def _wait_s(first_token_s: float, token_s: float) -> float | None:
    """Return the wait for a slot: the time to the first token without that of one token."""
    return _rounded(first_token_s - token_s, 3)


def _waits_by_member(answered: Sequence[Any], token_s: float) -> dict[str, list[float | None]]:
    """Return the median and the longest wait of each member."""
    firsts: dict[str, list[float]] = {}
    for record in answered:
        firsts.setdefault(record.member, []).append(record.first_token_s)
    return {
        member: [_wait_s(percentile(values, part), token_s) for part in (0.5, 1.0)]
        for member, values in sorted(firsts.items())
    }


def _phases(result: RunResult) -> list[Any]:
    edges = [-math.inf, result.fault_from, result.fault_until, math.inf]
    return [
        [sample for sample in result.samples if begin <= sample.at < end]
        for begin, end in zip(edges, edges[1:], strict=False)
    ]


def _gap_by_phase(result: RunResult) -> list[float]:
    """Return the worst gap before, during and after the fault, each within its phase alone."""
    return [
        round(fairness_gap(phase, result.share_by_member).worst, 1) for phase in _phases(result)
    ]


def _utilisation_by_phase(result: RunResult) -> list[float | None]:
    left = result.fault.left_servers
    return [_rounded(utilisation(phase, left), 4) for phase in _phases(result)]


def _service_per_share(result: RunResult) -> dict[str, float]:
    """Return the service per share that each member received in the window."""
    first, last = result.samples[0], result.samples[-1]
    return {
        member: round(
            (last.served_by_member.get(member, 0) - first.served_by_member.get(member, 0)) / share
        )
        for member, share in result.share_by_member.items()
    }


def table(documents: Sequence[dict[str, Any]]) -> str:
    """Return the main figures of several runs as a Markdown table."""
    lines = [
        "| " + " | ".join(_COLUMNS.values()) + " |",
        "|" + "---|" * len(_COLUMNS),
    ]
    for document in documents:
        cells = [_cell(document[name]) for name in _COLUMNS]
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def _cell(value: Any) -> str:
    if isinstance(value, dict):
        return ", ".join(f"{key} {count}" for key, count in sorted(value.items()))
    return "-" if value is None else str(value)


def plot(results: Sequence[RunResult], path: Path) -> None:
    """Draw service received per share over time, one panel per run and one line per member."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    columns = min(3, len(results))
    rows = math.ceil(len(results) / columns)
    figure, axes = pyplot.subplots(
        rows, columns, figsize=(5 * columns, 3.6 * rows), squeeze=False, sharey=True
    )
    for axis, result in zip(axes.flat, results, strict=False):
        first = result.samples[0]
        times = [sample.at - first.at for sample in result.samples]
        for load in result.loads:
            share = result.share_by_member[load.member]
            start = first.served_by_member.get(load.member, 0.0)
            values = [(s.served_by_member.get(load.member, 0.0) - start) for s in result.samples]
            label = f"{load.member} ({len(load.routers)} routers)"
            axis.plot(times, [value / share for value in values], label=label, linewidth=1)
        axis.set_title(f"{result.options.policy}, fault {result.options.fault}", fontsize=9)
        if result.options.fault != "none":
            axis.axvspan(result.fault_from - first.at, result.fault_until - first.at, alpha=0.1)
        axis.set_xlabel("s")
        axis.legend(fontsize=6)
    for axis in list(axes.flat)[len(results) :]:
        axis.set_visible(False)
    for row in axes:
        row[0].set_ylabel("cost served / share")
    figure.tight_layout()
    figure.savefig(path, dpi=70)
    pyplot.close(figure)


def _mean(values: Iterable[float]) -> float:
    numbers = list(values)
    return sum(numbers) / len(numbers) if numbers else 0.0


def _rounded(value: float, digits: int) -> float | None:
    return None if math.isnan(value) else round(value, digits)
