"""Guards at-most-once execution, outcomes and complete responses in a fleet of real processes."""

import pytest
from parsleyrudder_standins.order_faults import run_orders

FAULTS = (
    "engine_ignore_resume",
    "router_kill",
    "router_pause",
    "router_stop",
    "service_cut",
    "service_refuse",
    "table_lose_answers",
)


@pytest.mark.parametrize("seed", [1])
def test_no_order_runs_twice_or_after_not_run_under_faults(seed):
    """Guards against repeated executions and wrong outcomes under the faults of a short run.

    ``order_faults.py`` runs longer, with all faults.
    """
    summary = run_orders(300, seed, 14.0, FAULTS)
    assert summary.violations == []
    assert set(summary.faults) == set(FAULTS)
    assert summary.executed > 0
