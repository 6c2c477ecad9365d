"""Load and measurement tool: ``python -m parsleyrudder_standins.measure --policy=all``.

Runs a seeded load against real router processes and stand-ins on loopback; prints one JSON line per
run and one table at the end.
"""

import json
import sys
from pathlib import Path

from absl import app, flags
from parsleyrudder import POLICY_BY_NAME

from .measure_faults import FAULTS
from .measure_load import COSTS
from .measure_report import figures, plot, table
from .measure_run import CENTRAL, RunOptions, run
from .options import DEPLOYMENT, SECONDS, SEED

__all__ = ["main"]

_DEFAULTS = RunOptions()
_POLICIES = [CENTRAL, *POLICY_BY_NAME]

_POLICY = flags.DEFINE_list("policy", ["fair"], f"policies, or all: {', '.join(_POLICIES)}")
_FAULT = flags.DEFINE_list("fault", ["none"], f"faults, or all: {', '.join(FAULTS)}")
_ROUTERS = flags.DEFINE_integer("routers", _DEFAULTS.routers, "router processes", 1, 32)
_MEMBERS = flags.DEFINE_integer("members", _DEFAULTS.members, "members with callers", 2, 16)
_SKEW = flags.DEFINE_float("skew", _DEFAULTS.skew, "0: all on all routers, 1: very uneven", 0, 1)
_COSTS = flags.DEFINE_enum("costs", _DEFAULTS.costs, list(COSTS), "distribution of costs")
_TOKEN_RATE = flags.DEFINE_float("token_rate", _DEFAULTS.token_rate, "tokens/s per slot", 1, 1000)
_BATCH_PART = flags.DEFINE_float("batch_part", _DEFAULTS.batch_part, "part of batch calls", 0, 1)
_SERVERS = flags.DEFINE_integer("servers", 0, "servers of the pool; 0: as deployed", 0, 64)
_PLOT = flags.DEFINE_string("plot", "", "PNG file to write")


def main(argv: list[str]) -> None:
    """Run every combination of the selected policies and faults."""
    del argv
    policies = _POLICIES if _POLICY.value == ["all"] else _POLICY.value
    faults = list(FAULTS) if _FAULT.value == ["all"] else _FAULT.value
    unknown_names = (set(policies) - set(_POLICIES)) | (set(faults) - set(FAULTS))
    if unknown_names:
        raise app.UsageError(f"unknown policy or fault: {', '.join(sorted(unknown_names))}")
    results = []
    for policy in policies:
        for fault in faults:
            results.append(run(_make_options(policy, fault)))
            print(json.dumps(figures(results[-1])), flush=True)
    print(table([figures(result) for result in results]))
    if _PLOT.value:
        plot(results, Path(_PLOT.value))


def _make_options(policy: str, fault: str) -> RunOptions:
    return RunOptions(
        deployment=DEPLOYMENT.value,
        policy=policy,
        fault=fault,
        routers=_ROUTERS.value,
        members=_MEMBERS.value,
        seed=SEED.value,
        skew=_SKEW.value,
        costs=_COSTS.value,
        seconds=SECONDS.value or _DEFAULTS.seconds,
        token_rate=_TOKEN_RATE.value,
        batch_part=_BATCH_PART.value,
        servers=_SERVERS.value,
    )


if __name__ == "__main__":
    sys.exit(app.run(main))
