"""Tests the computation of measurement figures, and that a run counts every call."""

import math

import pytest
from parsleyrudder_standins.measure_figures import Sample, fairness_gap, percentile, utilisation
from parsleyrudder_standins.measure_report import figures, table
from parsleyrudder_standins.measure_run import RunOptions, run

SHARES = {"a": 1.0, "b": 2.0}


def make_samples(rows):
    """Build samples from rows of (served a, served b, waiting a, waiting b)."""
    return [
        Sample(float(i), {"a": a, "b": b}, {"a": 1, "b": 1}, {"a": 1 + wa, "b": 1 + wb})
        for i, (a, b, wa, wb) in enumerate(rows)
    ]


@pytest.mark.parametrize(
    ("rows", "worst"),
    [
        # Service in proportion to shares gives no gap: it is divided by the share.
        ([(0, 0, 1, 1), (10, 20, 1, 1), (20, 40, 1, 1)], 0.0),
        # The gap is taken over any interval, not only from the first sample.
        ([(0, 0, 1, 1), (10, 0, 1, 1), (10, 40, 1, 1)], 20.0),
        # A difference from before the first sample does not count.
        ([(500, 0, 1, 1), (505, 10, 1, 1)], 0.0),
        # Differences that arise while a member has no waiting calls do not count.
        ([(0, 0, 1, 1), (5, 0, 1, 1), (90, 0, 1, 0), (90, 0, 1, 1), (93, 0, 1, 1)], 5.0),
    ],
)
def test_gap_counts_only_common_backlog(rows, worst):
    gap = fairness_gap(make_samples(rows), SHARES)
    assert gap.worst == pytest.approx(worst)
    assert max(gap.by_sample) == pytest.approx(worst)


@pytest.mark.parametrize(
    ("rows", "expected"),
    [
        # Idle slots count only while a call waits, and not on excluded (leaving) servers.
        ([(0, 0, 1), (8, 10, 1), (8, 20, 0), (8, 30, 0)], 0.8),
        ([(0, 0, 0), (0, 10, 0)], math.nan),
    ],
)
def test_utilisation_counts_only_while_calls_wait(rows, expected):
    samples = [
        Sample(
            float(i),
            {},
            {"a": 1},
            {"a": 1 + waiting},
            {"s": busy, "left": 0.0},
            {"s": offered, "left": 10.0 * i},
        )
        for i, (busy, offered, waiting) in enumerate(rows)
    ]
    assert utilisation(samples, ["left"]) == pytest.approx(expected, nan_ok=True)


@pytest.mark.parametrize(
    ("values", "part", "expected"),
    [(range(1, 101), 0.99, 99), ([7.0], 0.5, 7.0), ([], 0.5, math.nan), ([1, 2], 1.0, 2)],
)
def test_percentile_is_a_measured_value(values, part, expected):
    assert percentile(values, part) == pytest.approx(expected, nan_ok=True)


@pytest.mark.parametrize("policy", ["fair", "static"])
def test_short_run_counts_every_call(policy):
    """Guards against lost calls, and against service missing from the engines' counters."""
    options = RunOptions(
        policy=policy, routers=3, members=3, seconds=3.0, warm_up_s=1.0, servers=1, token_rate=100
    )
    result = run(options)
    document = figures(result)
    assert set(document["outcomes"]) == {"answered:ok"}
    assert document["cancelled"] == 0
    assert 0 < document["utilisation"] <= 1.001
    assert document["bound"] > 0
    assert document["processor_max"] > 0
    assert document["control_bytes_per_s"] > 0
    assert all(served > 0 for served in document["service_per_share"].values())
    assert table([document]).count("\n") == 2
