"""Contract of plain services, checked on the stand-in through the adapter."""

import json

import pytest
from parsleyrudder import ServiceRequest
from parsleyrudder_adapters.services import HttpServices
from parsleyrudder_standins.service import ServiceStandIn


class Listener:
    """Collects a response and records its end."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.results = []

    def on_head(self, status, headers):
        self.status, self.headers = status, dict(headers)

    def on_data(self, data):
        self.body += data

    def on_end(self):
        refused = self.headers.get("x-not-run") == "true"
        self.results.append("not run" if refused else self.status)

    def on_failed(self, sent, reason):
        self.results.append("broken" if sent else "not sent")


# Each row: fault, method, whether idempotent, expected status or failure, executions.
CASES = {
    "read": ("up", "GET", True, 200, 1),
    "order": ("up", "POST", False, 200, 1),
    "error of an idempotent call": ("fail", "GET", True, 500, 1),
    "error of a call that is not idempotent": ("fail", "POST", False, 500, 1),
    "refused as not run": ("refuse", "POST", False, "not run", 0),
    "executed, response cut": ("cut", "POST", False, "broken", 1),
    "no listener": ("stopped", "POST", False, "not sent", 0),
}


@pytest.mark.parametrize("name", CASES)
def test_call(loop, client, start_server, name):
    """Guards against misclassified failures, which make calls run twice or be abandoned."""
    fault, method, idempotent, expected, executions = CASES[name]
    standin = ServiceStandIn(0.005)
    server = start_server(standin.handle)
    server.stop_listening() if fault == "stopped" else server.set_fault(fault)
    body = b"" if method == "GET" else b'{"cylinders": 2}'
    call = ServiceRequest("c-1", 1, method, "/stock/a?b=1", (), body, idempotent)
    listener = Listener()
    loop.call(lambda: HttpServices(client).call(server.address, call, listener))
    loop.wait_until(lambda: listener.results)
    assert listener.results == [expected]
    if isinstance(expected, int):
        expected_body = {"method": method, "path": "/stock/a", "request_id": "c-1"}
        assert json.loads(listener.body) == expected_body
        assert listener.headers["content-type"] == "application/json"
    assert standin.executions.get("c-1", 0) == executions


def test_cancel_of_a_hanging_call_is_silent(loop, client, start_server):
    """Guards against a response to a cancelled call, and against a slot that stays in use."""
    standin = ServiceStandIn(0.005)
    server = start_server(standin.handle)
    server.set_fault("hang")
    listener = Listener()
    call = ServiceRequest("c-1", 1, "POST", "/order", (), b"{}")
    attempt = loop.call(lambda: HttpServices(client).call(server.address, call, listener))
    loop.wait_until(lambda: standin.running == 1)
    loop.call(attempt.cancel)
    loop.wait_until(lambda: standin.running == 0)
    assert listener.results == []
