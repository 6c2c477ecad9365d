"""Placement orders to engines in a fleet of processes: model version, spares and audit log."""

import asyncio
import json
import time

import pytest
from parsleyrudder import Range, Txn
from parsleyrudder_standins.caller import Caller
from parsleyrudder_standins.deployment import load_deployment
from parsleyrudder_standins.launcher import Fleet, get_json

TIMEOUT_S = 40.0


def wait_until(condition):
    deadline = time.monotonic() + TIMEOUT_S
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.1)


def audit_targets(fleet):
    rows = fleet.table().txn(Txn(reads=(Range("audit/", prefix=True),))).rows[0]
    return [json.loads(row.value)["target"] for row in rows]


@pytest.fixture
def deployment():
    """A deployment with two engines of window 2, so that calls wait unless a spare serves too."""
    result = load_deployment("frio-nordeste")
    pool = result.pool("engine")
    pool.servers, pool.window = 2, 2
    return result


def test_engines_are_ordered_to_load_the_wanted_version_and_orders_are_audited(deployment):
    """Guards against orders that are not sent, are sent twice, or are missing in the audit log."""
    orders = {"loads_per_minute": 600.0}
    with Fleet(
        deployment, 2, pool_settings={"version": "2"}, extra_sections={"orders": orders}
    ) as fleet:
        engines = [fleet.address_by_server[f"assistente-{n}"] for n in (1, 2)]

        def versions():
            loaded = [get_json(address, "/models")["loaded"] for address in engines]
            return [item and item["version"] for item in loaded]

        wait_until(lambda: versions() == ["2", "2"])
        targets = audit_targets(fleet)
    assert sorted(targets) == [f"assistente-{n} assistente/2/both fence 1" for n in (1, 2)]


def test_spare_engine_joins_the_pool_whose_calls_wait(deployment):
    """Guards against a spare that stays idle while calls wait, or serves before it has loaded."""
    orders = {"backlog_hold_s": 1.0, "spare_stay_s": 1.0, "loads_per_minute": 600.0}
    with Fleet(deployment, 2, spares=1, extra_sections={"orders": orders}) as fleet:
        router_addresses = [router.address for router in fleet.router_by_name.values()]
        spare = fleet.address_by_server["spare-1"]

        async def load():
            caller = Caller("gas-aurora", router_addresses)
            tasks = [
                caller.chat(
                    f"c{n}", "assistente", f"p{n}", 400, exact=True, address=router_addresses[n % 2]
                )
                for n in range(24)
            ]
            return await asyncio.gather(*tasks)

        results = asyncio.run(load())
        executed = get_json(spare, "/standin/counts")["executions"]
        targets = audit_targets(fleet)
    assert {result.outcome for result in results} == {"answered"}
    assert executed
    assert targets.index("spare-1 assistente loading") < targets.index("spare-1 assistente serving")
