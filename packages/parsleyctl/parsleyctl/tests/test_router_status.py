"""Status documents of routers that are damaged, or of something that is no router."""

import json

import pytest
from parsleyctl.exits import Exit
from parsleyctl.fleet_commands import StatusError, router_status, status, wait_for_version
from parsleyctl.output import Output
from parsleyrudder_standins.threaded import StandInServer

SLOTS = {"s1": {"held": 2, "used": 1}}
POOL = {"coordinator": "r1", "epoch": 3, "slots": SLOTS, "waiting": {}, "served": {"m": 1.5}}
WHOLE = {
    "router": "r1",
    "failure_domain": "a",
    "ready": True,
    "reason": "",
    "config_version": 4,
    "table_up": True,
    "live": ["r1"],
    "pools": {"p": POOL},
    "unknown_later": 1,
}


def serve(body):
    async def handle(request, reply):
        await reply.send(200, body)

    return StandInServer(handle)


def test_a_status_document_is_decoded():
    server = serve(json.dumps(WHOLE).encode())
    decoded = router_status(server.address)
    assert (decoded.router, decoded.pools["p"].slots["s1"].held) == ("r1", 2)
    assert wait_for_version(Output(False), [server.address], 4, 5.0) is Exit.OK
    server.close()


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"not json",
        b"[]",
        b"{}",
        json.dumps({**WHOLE, "config_version": "4"}).encode(),
        json.dumps({**WHOLE, "pools": {"p": {**POOL, "slots": 1}}}).encode(),
    ],
)
def test_an_odd_document_is_an_error_with_a_remedy(body, capsys):
    """It ended the command with a KeyError."""
    server = serve(body)
    with pytest.raises(StatusError, match="no status document.*same release"):
        router_status(server.address)
    assert status(Output(False), [server.address]) is Exit.UNAVAILABLE
    assert "no status document" in capsys.readouterr().out
    assert wait_for_version(Output(False), [server.address], 1, 0.1) is Exit.INCOMPLETE
    server.close()
