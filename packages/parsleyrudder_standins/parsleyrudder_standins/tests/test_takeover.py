"""Takeover by real processes, when too few routers are left for a majority of the last view."""

import signal
import time

import pytest
from parsleyrudder_standins.deployment import load_deployment
from parsleyrudder_standins.launcher import Fleet, get_json, post_json

LIMIT_S = 40.0


@pytest.mark.parametrize("lost", ["router-1", "router-2"])
def test_survivor_of_two_coordinates_once_the_other_is_listed_as_gone(lost):
    """Guards against a pool without a coordinator after half of its routers have gone for good."""
    with Fleet(load_deployment("frio-nordeste"), routers=2) as fleet:
        dead = fleet.router_by_name[lost]
        [survivor] = [r for r in fleet.router_by_name.values() if r is not dead]
        dead.send_signal(signal.SIGKILL)
        post_json(fleet.instances_address, "/standin/state", {"id": lost, "state": "gone"})
        until = time.monotonic() + LIMIT_S
        while True:
            pools = get_json(survivor.address, "/status")["pools"].values()
            if all(pool["coordinator"] == survivor.name and pool["slots"] for pool in pools):
                break
            assert time.monotonic() < until, pools
            time.sleep(0.2)
