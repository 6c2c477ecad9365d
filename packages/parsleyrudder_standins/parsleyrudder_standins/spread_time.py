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
_POLL_S = 0.01
_LIMIT_S = 15.0


def main(arguments: list[str]) -> None:
    """Print the longest time of some submissions for each size; end with status 1 if one fails."""
    del arguments
    series = Series("spread/processes", "routers", "s until all enforce a version, longest of 5")
    for size in map(int, _SIZES.value):
        with Fleet(load_deployment(DEPLOYMENT.value), routers=size) as fleet:
            series.add(size, max(spread_s(fleet, number) for number in range(_SUBMISSIONS)))
    print(series.text())
    if any(seconds >= _LIMIT_S for _, seconds in series.points):
        sys.exit(1)


def spread_s(fleet: Fleet, number: int) -> float:
    """Submit one change and return the seconds until every router enforces it."""
    config = check_config(fleet.deployment.members, fleet.deployment.plans)
    version = fleet.submit(_changed(config, number), "spread")
    began = time.monotonic()
    behind = list(fleet.router_by_name.values())
    while behind and time.monotonic() < began + _LIMIT_S:
        behind = [router for router in behind if router.status()["config_version"] < version]
        time.sleep(_POLL_S)
    return time.monotonic() - began


def _changed(config: Config, number: int) -> Config:
    name, member = next(iter(config.member_by_name.items()))
    changed = msgspec.structs.replace(member, share=5.0 + number)
    return dataclasses.replace(config, member_by_name={**config.member_by_name, name: changed})


if __name__ == "__main__":
    app.run(main)
