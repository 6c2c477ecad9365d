"""Single calls through a router process: all forms of responses, and servers that fail."""

import asyncio
import json
import socket
import time

import pytest
from parsleyrudder_standins.caller import Caller
from parsleyrudder_standins.deployment import load_deployment, member_key
from parsleyrudder_standins.launcher import Fleet, get_json, post_json

MEMBER = "gas-aurora"
ENGINE_TOKENS = [f"w{index}" for index in range(12)]
LARGE_BODY_BYTES = 2_000_000


@pytest.fixture(scope="module")
def fleet():
    pool_settings = {"first_byte_s": 0.5, "server_silence_s": 0.5}
    router_settings = {"write_stall_s": 0.5, "default_deadline_s": 10.0}
    with Fleet(load_deployment("frio-nordeste"), 1, pool_settings, router_settings) as fleet:
        yield fleet


@pytest.fixture
def set_fault(fleet):
    """Return a function that sets a fault of a pool's servers; the fault ends after the test."""

    def set_pool_fault(pool, mode, **fault):
        for id, address in fleet.address_by_server.items():
            if id.startswith(f"{pool}-"):
                post_json(address, "/standin/fault", {"mode": mode, **fault})

    yield set_pool_fault
    for pool in ("pedidos", "assistente"):
        set_pool_fault(pool, "up")


def router_address(fleet):
    return next(iter(fleet.router_by_name.values())).address


def send_call(fleet, name, *args, **options):
    """Send one call by the ``Caller`` method ``name`` and return its result."""
    address = router_address(fleet)
    caller = Caller(MEMBER, [address])
    return asyncio.run(getattr(caller, name)(*args, address=address, **options))


def wait_until(condition):
    """Wait until a condition holds; the time limit is far above the expected time."""
    deadline = time.monotonic() + 30.0
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.05)


def running_calls(fleet):
    status = next(iter(fleet.router_by_name.values())).status()
    return sum(pool["running"] for pool in status["pools"].values())


@pytest.mark.parametrize(
    ("mode", "method", "path", "status", "outcome", "code", "size"),
    [
        ("up", "HEAD", "/a", 200, "answered", "", 0),
        ("up", "GET", "/status/204", 204, "answered", "", 0),
        ("up", "GET", "/status/304", 304, "answered", "", 0),
        ("up", "GET", "/status/404", 404, "answered", "", 0),
        ("up", "POST", f"/large/{LARGE_BODY_BYTES}", 200, "answered", "", LARGE_BODY_BYTES),
        ("fail", "POST", "/b", 500, "answered", "", None),
        ("fail", "GET", "/b", 502, "unknown", "server_failed", None),
        ("refuse", "POST", "/c", 503, "not_run", "no_server", None),
        ("cut", "POST", "/d", 502, "unknown", "server_failed", None),
        ("hang", "POST", "/e", 502, "unknown", "server_failed", None),
        ("foreign", "POST", "/g", 502, "unknown", "server_failed", None),
        ("up", "GET", "/early", 200, "answered", "", None),
        ("up", "TRACE", "/f", 405, "not_run", "bad_method", None),
    ],
)
def test_response_reports_the_outcome_of_the_call(
    fleet, set_fault, mode, method, path, status, outcome, code, size
):
    set_fault("pedidos", mode)
    id = f"{mode}-{method}-{path}"
    result = send_call(fleet, "service", id, method, "pedidos", path)
    assert result.complete
    assert (result.status, result.outcome, result.code) == (status, outcome, code)
    assert result.headers["x-rudder-outcome"] == outcome
    assert size is None or len(result.body) == size
    executed = 0
    for server, address in fleet.address_by_server.items():
        if server.startswith("pedidos-"):
            executed += get_json(address, "/standin/counts")["executions"].get(id, 0)
    assert executed == 0 if outcome == "not_run" else executed >= 1
    assert method == "GET" or executed <= 1


@pytest.mark.parametrize(
    ("mode", "path", "first", "repeat", "changed"),
    [
        ("up", "/k1", (200, ""), (200, ""), (422, "key_reused")),
        ("fail", "/k2", (500, ""), (500, ""), (422, "key_reused")),
        ("cut", "/k3", (502, "server_failed"), (502, "result_lost"), (422, "key_reused")),
        ("refuse", "/k4", (503, "no_server"), (200, ""), (422, "key_reused")),
        ("up", "/large/70000", (200, ""), (502, "result_lost"), (422, "key_reused")),
    ],
)
def test_repeat_with_a_key_gets_the_first_result(
    fleet, set_fault, mode, path, first, repeat, changed
):
    def order(attempt, target):
        key, id = f"key{path}", f"{path}-{attempt}"
        result = send_call(fleet, "service", id, "POST", "pedidos", target, key=key)
        return (result.status, result.code), result

    set_fault("pedidos", mode)
    assert order(1, path)[0] == first
    set_fault("pedidos", "up")
    while (repeated := order(2, path))[0] == (409, "still_running"):
        time.sleep(0.02)
    assert repeated[0] == repeat
    replayed = "x-idempotent-replay" in repeated[1].headers
    assert replayed == (repeat == first)
    if replayed and first[0] == 200:
        assert json.loads(repeated[1].body)["request_id"] == f"{path}-1"
    assert order(3, path + "/changed")[0] == changed


@pytest.mark.parametrize("stream", [True, False])
def test_completion_with_a_key_is_stored_and_runs_once(fleet, stream):
    ids = [f"kept-{stream}-{number}" for number in (1, 2)]
    options = {"key": f"kept-{stream}", "stream": stream, "exact": True}
    results = [send_call(fleet, "chat", ids[0], "assistente", "keep", 5, **options)]
    while not results[1:] or results[-1].status == 409:
        results.append(send_call(fleet, "chat", ids[1], "assistente", "keep", 5, **options))
    assert results[-1].body == results[0].body
    assert results[-1].headers["content-type"] == results[0].headers["content-type"]
    assert [sum(executions_by_engine(fleet, id).values()) for id in ids] == [1, 0]


def test_truncated_large_response_is_incomplete_for_the_caller(fleet, set_fault):
    set_fault("pedidos", "part")
    result = send_call(fleet, "service", "part", "GET", "pedidos", f"/large/{LARGE_BODY_BYTES}")
    assert (result.status, result.complete) == (200, False)
    assert 0 < len(result.body) < LARGE_BODY_BYTES
    assert b"event: error" not in result.body


@pytest.mark.parametrize("mode", ["cut", "end", "stop"])
@pytest.mark.parametrize("ignore_resume", [False, True])
def test_stream_resumes_at_another_engine_without_gap_or_repeat(
    fleet, set_fault, mode, ignore_resume
):
    """Guards against lost or repeated tokens if an engine breaks its stream after 7 tokens.

    Each case has its own prompt: one that an earlier case has left in the caches of two engines may
    be sent to either, depending on the cache hints received so far.
    """
    id, first_id = f"resumed-{mode}-{ignore_resume}", f"first-{mode}-{ignore_resume}"
    prompt = f"{mode} {ignore_resume}"
    for number in range(25):
        send_call(fleet, "chat", f"save-{number}", "assistente", "save retries", 1, exact=True)
    set_fault("assistente", "up", ignore_resume=ignore_resume)
    first = send_call(fleet, "chat", first_id, "assistente", prompt, 12, exact=True)
    assert first.text.split() == ENGINE_TOKENS
    serving_engines = [
        server for server, count in executions_by_engine(fleet, first_id).items() if count
    ]
    fault = {"mode": mode, "after": 7, "ignore_resume": ignore_resume}
    post_json(fleet.address_by_server[serving_engines[0]], "/standin/fault", fault)
    result = send_call(fleet, "chat", id, "assistente", prompt, 12, exact=True)
    assert (result.outcome, result.text.split()) == ("answered", ENGINE_TOKENS)
    assert sum(executions_by_engine(fleet, id).values()) == 2


def executions_by_engine(fleet, id):
    """Return the executions of a request id by engine."""
    return {
        server: get_json(address, "/standin/counts")["executions"].get(id, 0)
        for server, address in fleet.address_by_server.items()
        if server.startswith("assistente-")
    }


def test_retry_under_load_goes_to_another_engine(fleet):
    """Guards against a retry at the engine that failed, which has the only idle slot under load."""
    router = next(iter(fleet.router_by_name.values()))
    failing = fleet.address_by_server["assistente-1"]
    caller = Caller(MEMBER, [router.address])

    async def load():
        """Send 80 calls, twice the 40 slots of the pool."""
        chat = caller.chat
        options = {"exact": True, "address": router.address}
        calls = [chat(f"l-{n}", "assistente", f"load {n}", 20, **options) for n in range(80)]
        return await asyncio.gather(*calls)

    asyncio.run(load())
    post_json(failing, "/standin/fault", {"mode": "fail"})
    log_start = router.log_path.stat().st_size
    results = asyncio.run(load())
    post_json(failing, "/standin/fault", {"mode": "up"})
    fields = [
        dict(item.partition("=")[::2] for item in line.split())
        for line in router.log_path.read_text()[log_start:].splitlines()
        if "event=attempt_failed" in line
    ]
    failed_attempts = [(field["request"], field["server"]) for field in fields]
    assert failed_attempts
    assert len(set(failed_attempts)) == len(failed_attempts)
    assert {result.outcome for result in results} <= {"answered", "unknown"}


def test_stream_without_an_engine_left_ends_with_an_error_event(fleet, set_fault):
    set_fault("assistente", "end", after=2)
    results = [
        send_call(fleet, "chat", f"no-engine-{number}", "assistente", "x", 12, exact=True)
        for number in range(8)
    ]
    result = next(result for result in results if result.outcome != "answered")
    assert (result.outcome, result.code, result.complete) == ("unknown", "server_failed", False)
    assert result.text.split() == ENGINE_TOKENS[: result.tokens]


def test_caller_that_disconnects_or_stops_reading_frees_its_slot(fleet, set_fault):
    """Guards against slots that stay in use after the caller has disconnected or stopped reading.

    A stream of 20 s must be cancelled at the engine, and a response of 64 MB must not be buffered.
    """
    key = member_key(MEMBER)
    body = (
        b'{"model":"assistente","stream":true,"max_tokens":2000,"exact_tokens":true,'
        b'"messages":[{"role":"user","content":"long"}]}'
    )
    head = "{} HTTP/1.1\r\nHost: r\r\nAuthorization: Bearer " + key + "\r\n"
    requests = [
        head.format("POST /v1/chat/completions").encode()
        + b"Content-Length: %d\r\n\r\n" % len(body)
        + body,
        head.format("GET /svc/pedidos/large/64000000").encode() + b"\r\n",
    ]
    host, _, port = router_address(fleet).partition(":")
    wait_until(lambda: running_calls(fleet) == 0)
    with socket.create_connection((host, int(port))) as stalled_socket:
        stalled_socket.sendall(requests[1])
        with socket.create_connection((host, int(port))) as closed_socket:
            closed_socket.sendall(requests[0])
            assert closed_socket.recv(10)
            assert running_calls(fleet) >= 1
        wait_until(lambda: running_calls(fleet) == 0)
    engines = [a for s, a in fleet.address_by_server.items() if s.startswith("assistente-")]
    wait_until(lambda: not any(get_json(address, "/load")["running"] for address in engines))
