"""Contract of the instance list, checked on the stand-in through the adapter."""

import pytest
from parsleyrudder import BackendError, Instance
from parsleyrudder_adapters.instances import HttpInstanceList
from parsleyrudder_standins.instances import InstanceListStandIn

IDS = ["s-1", "s-2"]


def read(loop, instances):
    results: list = []
    loop.call(lambda: instances.read(results.append))
    loop.wait_until(lambda: results)
    return results[0]


def test_change_of_state_is_visible_after_the_lag(loop, client, start_server):
    """Guards against lost entries, and against assuming that the list has no lag."""
    server = start_server(InstanceListStandIn(IDS, lag_s=0.3).handle)
    instances = HttpInstanceList(client, server.address)
    live = [Instance(id, "live") for id in IDS]
    assert read(loop, instances) == live
    server.post("/standin/state", {"id": "s-2", "state": "leaving"})
    assert read(loop, instances) == live
    loop.wait_until(lambda: read(loop, instances) == [live[0], Instance("s-2", "leaving")])


FAULTS = {
    "outage": {"mode": "down"},
    "hang": {"mode": "hang"},
    "status 500": {"mode": "fail", "body": "[]"},
    "no JSON": {"mode": "garbage", "body": "<html>"},
    "empty": {"mode": "garbage", "body": ""},
    "no list": {"mode": "garbage", "body": "{}"},
    "wrong entry": {"mode": "garbage", "body": '[{"id": 5, "state": "live"}]'},
}


@pytest.mark.parametrize("name", FAULTS)
def test_fault_is_an_error_and_not_an_empty_list(loop, client, start_server, name):
    """Guards against treating an outage of the list as an empty fleet."""
    server = start_server(InstanceListStandIn(IDS, lag_s=0.0).handle)
    instances = HttpInstanceList(client, server.address, timeout_s=0.2)
    server.set_fault(**FAULTS[name])
    result = read(loop, instances)
    assert isinstance(result, BackendError)
    assert result.remedy
    server.set_fault("up")
    assert len(read(loop, instances)) == len(IDS)
