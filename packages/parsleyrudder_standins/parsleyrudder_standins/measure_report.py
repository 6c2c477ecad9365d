"""Formats the results of measurement runs as JSON documents, a table and a plot."""

import math
from collections import Counter
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Any

from .measure_figures import fairness_gap, gap_bound, percentile, utilisation
from .measure_run import RunResult

__all__ = ["figures", "plot", "table"]

_DEFAULT_REPORT_AGE_S = 0.2
"""A report is up to one interval (0.1 s) old when it is answered, and the answer is used for up
to another interval."""

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
    """Return all figures of a run as a JSON-compatible document."""
    options = result.options
    gap = fairness_gap(result.samples, result.share_by_member)
    report_age_s = result.fault.max_report_age_s or _DEFAULT_REPORT_AGE_S
    limit = gap_bound(result.largest_cost, result.service_rate, report_age_s)
    window_start = result.samples[0].time_s
    records = [
        r for r in result.records if window_start <= r.started_at <= result.samples[-1].time_s
    ]
    document: dict[str, Any] = {
        "policy": options.policy,
        "fault": options.fault,
        "done": result.fault.description,
        **{name: getattr(options, name) for name in ("deployment", "members", "seed", "skew")},
        **{name: getattr(options, name) for name in ("costs", "seconds", "token_rate")},
        "routers": len(result.cores_by_router),
        "batch_part": options.batch_part,
        "gap_worst": round(gap.worst, 1),
        "gap_p99": round(gap.p99, 1),
        "gap_pair": gap.pair,
        "bound": round(limit, 1),
        "gap_by_phase": _gap_by_phase(result),
        "samples_over_bound": sum(value > limit for value in gap.by_sample),
        "samples": len(result.samples),
        "utilisation": _rounded(utilisation(result.samples, result.fault.excluded_servers), 4),
        "utilisation_by_phase": _utilisation_by_phase(result),
        **_latencies(records, result),
        "control_bytes_per_s": round(_mean(result.control_rate_by_router.values())),
        "control_bytes_per_s_max": round(
            max(result.control_rate_by_router.values(), default=math.nan)
        ),
        "processor_mean": _rounded(_mean(result.cores_by_router.values()), 3),
        "processor_max": _rounded(max(result.cores_by_router.values(), default=math.nan), 3),
        "standin_processor": _rounded(result.standin_cores, 3),
        "load_processor": _rounded(result.load_cores, 3),
        "outcomes": dict(Counter(f"{r.outcome}:{r.code or 'ok'}" for r in result.records)),
        "cancelled": result.cancelled,
        "observed": result.observations,
        "service_per_share": _service_per_share(result),
        "callers": {load.member: [len(load.routers), load.calls] for load in result.loads},
    }
    return document


def _latencies(records: Sequence[Any], result: RunResult) -> dict[str, Any]:
    """Return percentiles of wait and time to first token by class, and waits by member and phase.

    The "others" are all members but the first, which is the one that the flood fault affects.
    """
    token_s = result.pool.token_s
    answered = [record for record in records if record.outcome == "answered"]
    times: dict[str, Any] = {}
    for batch, prefix in ((False, ""), (True, "batch_")):
        first_token_times = [record.first_token_s for record in answered if record.batch is batch]
        for fraction, name in ((0.5, "p50"), (0.99, "p99")):
            first_token_s = percentile(first_token_times, fraction)
            times[f"{prefix}first_token_{name}_s"] = _rounded(first_token_s, 3)
            times[f"{prefix}wait_{name}_s"] = _wait_s(first_token_s, token_s)
    flooding_member = result.loads[0].member
    others = [record for record in answered if record.member != flooding_member]
    times["waits_by_member_s"] = _waits_by_member(answered, token_s)
    times["others_p99_s"] = _others_p99_s(others, token_s)
    edges = [-math.inf, result.fault_started_at, result.fault_ended_at, math.inf]
    times["others_p99_by_phase_s"] = [
        _others_p99_s([r for r in others if start <= r.started_at < end], token_s)
        for start, end in zip(edges, edges[1:], strict=False)
    ]
    return times


def _others_p99_s(others: Sequence[Any], token_s: float) -> float | None:
    return _wait_s(percentile((r.first_token_s for r in others), 0.99), token_s)


def _wait_s(first_token_s: float, token_s: float) -> float | None:
    """Return the wait for a slot: the time to first token less the time to generate one token."""
    return _rounded(first_token_s - token_s, 3)


def _waits_by_member(answered: Sequence[Any], token_s: float) -> dict[str, list[float | None]]:
    """Return the median and the longest wait of each member."""
    first_token_times: dict[str, list[float]] = {}
    for record in answered:
        first_token_times.setdefault(record.member, []).append(record.first_token_s)
    return {
        member: [_wait_s(percentile(values, fraction), token_s) for fraction in (0.5, 1.0)]
        for member, values in sorted(first_token_times.items())
    }


def _phases(result: RunResult) -> list[Any]:
    edges = [-math.inf, result.fault_started_at, result.fault_ended_at, math.inf]
    return [
        [sample for sample in result.samples if start <= sample.time_s < end]
        for start, end in zip(edges, edges[1:], strict=False)
    ]


def _gap_by_phase(result: RunResult) -> list[float]:
    """Return the worst gap before, during and after the fault, each computed within its phase."""
    return [
        round(fairness_gap(phase, result.share_by_member).worst, 1) for phase in _phases(result)
    ]


def _utilisation_by_phase(result: RunResult) -> list[float | None]:
    excluded = result.fault.excluded_servers
    return [_rounded(utilisation(phase, excluded), 4) for phase in _phases(result)]


def _service_per_share(result: RunResult) -> dict[str, float]:
    """Return the service per share received by each member in the sampling window."""
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
        times = [sample.time_s - first.time_s for sample in result.samples]
        for load in result.loads:
            share = result.share_by_member[load.member]
            start = first.served_by_member.get(load.member, 0.0)
            values = [(s.served_by_member.get(load.member, 0.0) - start) for s in result.samples]
            label = f"{load.member} ({len(load.routers)} routers)"
            axis.plot(times, [value / share for value in values], label=label, linewidth=1)
        axis.set_title(f"{result.options.policy}, fault {result.options.fault}", fontsize=9)
        if result.options.fault != "none":
            axis.axvspan(
                result.fault_started_at - first.time_s,
                result.fault_ended_at - first.time_s,
                alpha=0.1,
            )
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
