"""Guards the operators' commands against a real fleet: exit codes, drains, status."""

import json
import subprocess
import sys
import time
from pathlib import Path

import pytest
from parsleyctl.exits import Exit
from parsleyrudder_standins.deployment import load_deployment
from parsleyrudder_standins.launcher import Fleet, get_json

LIMIT_S = 30.0


@pytest.fixture(scope="module")
def fleet():
    with Fleet(load_deployment("trishuli"), routers=2) as running:
        yield running


def parsleyctl(fleet, *arguments, routers=None):
    addresses = routers or [router.address for router in fleet.router_by_name.values()]
    program = Path(sys.executable).parent / "parsleyctl"
    command = [str(program), f"--table={fleet.table_address}", f"--routers={','.join(addresses)}"]
    return subprocess.run([*command, *arguments], capture_output=True, text=True, timeout=LIMIT_S)


def test_edit_is_submitted_enforced_and_recorded(fleet, tmp_path):
    """Guards against a version that is accepted but not enforced or not in the history."""
    assert parsleyctl(fleet, "fetch", str(tmp_path)).returncode == Exit.OK
    assert parsleyctl(fleet, "diff", str(tmp_path)).returncode == Exit.OK
    path = tmp_path / "members.toml"
    path.write_text(path.read_text().replace("share = 4.0", "share = 3.0", 1))
    assert parsleyctl(fleet, "diff", str(tmp_path)).returncode == Exit.DIFFERENT
    done = parsleyctl(fleet, "--wait_s=10", "--author=ana", "submit", str(tmp_path))
    assert (done.returncode, done.stderr) == (Exit.OK, "")
    assert "version 2 in force on 2 routers" in done.stdout
    history = json.loads(parsleyctl(fleet, "--json", "history").stdout)
    assert (history[-1]["version"], history[-1]["author"]) == (2, "ana")
    assert "share: 4.0 -> 3.0" in history[-1]["changes"][0]
    again = parsleyctl(fleet, "submit", str(tmp_path))
    assert again.returncode == Exit.CONFLICT
    assert "version 2 is newer" in again.stdout


@pytest.mark.parametrize(
    ("arguments", "code"),
    [
        (["validate", "/nowhere"], Exit.REFUSED),
        (["--pools=other", "validate", "deployments/trishuli"], Exit.REFUSED),
        (["frobnicate"], Exit.USAGE),
        (["drain"], Exit.USAGE),
        (["--table=127.0.0.1:9", "history"], Exit.UNAVAILABLE),
    ],
)
def test_exit_codes_tell_what_went_wrong(fleet, arguments, code):
    done = parsleyctl(fleet, *arguments)
    assert done.returncode == code
    assert done.stderr
    assert "Traceback" not in done.stderr


def test_status_shows_routers_that_do_not_answer(fleet):
    routers = [*(router.address for router in fleet.router_by_name.values()), "127.0.0.1:9"]
    done = parsleyctl(fleet, "status", routers=routers)
    assert done.returncode == Exit.UNAVAILABLE
    assert "no answer" in done.stdout
    assert "rudder-llm" in done.stdout


def test_drained_server_loses_its_slots_and_drained_router_stops(fleet):
    """Guards against a drain that is recorded but not applied."""
    assert parsleyctl(fleet, "drain", "rudder-llm-1").returncode == Exit.OK
    router = fleet.router_by_name["router-2"]

    def slots():
        return get_json(router.address, "/status")["pools"]["rudder-llm"]["slots"]

    until = time.monotonic() + LIMIT_S
    while "rudder-llm-1" in slots():
        assert time.monotonic() < until
        time.sleep(0.1)
    assert parsleyctl(fleet, "drain", "router-1").returncode == Exit.OK
    stopped = fleet.router_by_name["router-1"].process
    assert stopped is not None
    assert stopped.wait(LIMIT_S) == 0
    audit = json.loads(parsleyctl(fleet, "--json", "audit").stdout)
    drains = [entry["target"] for entry in audit if entry["action"] == "drain"]
    assert drains == ["rudder-llm-1", "router-1"]
