"""Takeover of coordination by router processes that are no majority of the last view."""

import signal
import time

import pytest
from parsleyrudder_standins.deployment import load_deployment
from parsleyrudder_standins.launcher import Fleet, get_json, post_json

TIMEOUT_S = 40.0


@pytest.mark.parametrize("lost", ["router-1", "router-2"])
def test_survivor_of_two_coordinates_once_the_other_is_listed_as_gone(lost):
    """Guards against a pool that stays without a coordinator after half of the routers are lost.

    One of two routers is killed and the instance list reports it as gone. The other one is no
    majority of the last view, but must take over.
    """
    with Fleet(load_deployment("frio-nordeste"), routers=2) as fleet:
        killed = fleet.router_by_name[lost]
        [survivor] = [r for r in fleet.router_by_name.values() if r is not killed]
        killed.send_signal(signal.SIGKILL)
        post_json(fleet.instances_address, "/standin/state", {"id": lost, "state": "gone"})
        deadline = time.monotonic() + TIMEOUT_S
        while True:
            pools = get_json(survivor.address, "/status")["pools"].values()
            if all(pool["coordinator"] == survivor.name and pool["slots"] for pool in pools):
                break
            assert time.monotonic() < deadline, pools
            time.sleep(0.2)
