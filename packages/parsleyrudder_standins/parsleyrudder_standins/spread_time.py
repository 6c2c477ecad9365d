"""Time until all routers of a fleet of real processes enforce a submitted configuration.

Run ``python -m parsleyrudder_standins.spread_time --sizes=3,8,24``.
"""

import dataclasses
import sys
import time

import msgspec
from absl import app, flags
from parsleyrudder import Config, check_config

from .deployment import load_deployment
from .launcher import Fleet
from .options import DEPLOYMENT
from .slopes_fit import Series

__all__ = ["main", "spread_s"]

_SIZES = flags.DEFINE_list("sizes", ["3", "8", "24"], "Numbers of routers.")
_SUBMISSIONS = 5
_POLL_INTERVAL_S = 0.01
_TIMEOUT_S = 15.0


def main(argv: list[str]) -> None:
    """Print the longest spread time per fleet size; exit with status 1 after a time-out."""
    del argv
    series = Series("spread/processes", "routers", "s until all enforce a version, longest of 5")
    for size in map(int, _SIZES.value):
        with Fleet(load_deployment(DEPLOYMENT.value), routers=size) as fleet:
            series.add(size, max(spread_s(fleet, number) for number in range(_SUBMISSIONS)))
    print(series.text())
    if any(seconds >= _TIMEOUT_S for _, seconds in series.points):
        sys.exit(1)


def spread_s(fleet: Fleet, number: int) -> float:
    """Submit a changed configuration and return the seconds until every router enforces it."""
    config = check_config(fleet.deployment.members, fleet.deployment.plans)
    version = fleet.submit(_with_new_share(config, number), "spread")
    submitted_at = time.monotonic()
    outdated = list(fleet.router_by_name.values())
    while outdated and time.monotonic() < submitted_at + _TIMEOUT_S:
        outdated = [router for router in outdated if router.status()["config_version"] < version]
        time.sleep(_POLL_INTERVAL_S)
    return time.monotonic() - submitted_at


def _with_new_share(config: Config, number: int) -> Config:
    name, member = next(iter(config.member_by_name.items()))
    changed = msgspec.structs.replace(member, share=5.0 + number)
    return dataclasses.replace(config, member_by_name={**config.member_by_name, name: changed})


if __name__ == "__main__":
    app.run(main)
