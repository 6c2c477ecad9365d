"""Measures the processor time per relayed stream chunk and per short call.

Run ``python -m parsleyrudder_standins.relay_cost``. Three processes relay the same responses in
turn: a loop that copies bytes between sockets (``plain``), the HTTP server and client of the router
alone (``edges``), and a router daemon of a fleet of one (``router``). Each row shows the processor
time of all threads of the relaying process, divided by the number of chunks or calls.
"""

import asyncio
import json
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path

from absl import app, flags
from parsleyrudder import Member, Plan, key_digest

from .deployment import Deployment, PoolSpec, member_key
from .launcher import Fleet, free_ports, wait_listening
from .relay_processes import EVENT, SHORT_BODY

__all__ = ["cpu_time_s", "measure_relay"]

_STREAMS = flags.DEFINE_integer("streams", 32, "Streams at the same time.")
_CHUNKS = flags.DEFINE_integer("chunks", 600, "Chunks per stream, one each 10 ms.")
_CALLERS = flags.DEFINE_integer("callers", 8, "Callers of short calls at the same time.")
_CALLS = flags.DEFINE_integer("calls", 500, "Short calls per caller.")
_ONLY = flags.DEFINE_list("only", ["plain", "edges", "router"], "What to measure.")
_PROFILE = flags.DEFINE_string("profile", "", "File for a profile of the edges.")

_MEMBER = "meter"
_UNLIMITED = 1_000_000
_PROCESS_MODULE = "parsleyrudder_standins.relay_processes"
_READ_BYTES = 65536


class _SourceFleet(Fleet):
    """A fleet whose servers are ``source`` processes."""

    def _start_standin(self, name: str, specs: list) -> None:
        if name == "platform":
            super()._start_standin(name, specs)
            return
        ports = [str(spec["port"]) for spec in specs]
        self._standins.append(
            subprocess.Popen([sys.executable, "-m", _PROCESS_MODULE, "source", *ports])
        )


def cpu_time_s(pid: int) -> float:
    """Return the processor time in seconds that all threads of a process have used."""
    total = 0
    for path in Path(f"/proc/{pid}/task").glob("*/schedstat"):
        total += int(path.read_text().split()[0])
    return total / 1e9


async def _run_stream(address: str, count: int) -> None:
    message = {"role": "user", "content": "hello"}
    body = {"model": "engines", "stream": True, "max_tokens": count, "messages": [message]}
    data = await _send_requests(
        address, "POST", "/v1/chat/completions", json.dumps(body).encode(), 1
    )
    if data.count(EVENT) != count:
        raise RuntimeError(f"received {data.count(EVENT)} of {count} events: {data[:300]!r}")


async def _run_short_calls(address: str, count: int) -> None:
    await _send_requests(address, "GET", "/svc/services/stock", b"", count)


async def _send_requests(address: str, method: str, target: str, body: bytes, count: int) -> bytes:
    """Send requests one after another on one connection and return the last response."""
    head = (
        f"{method} {target} HTTP/1.1\r\nHost: {address}\r\nX-Deadline-S: 100\r\n"
        f"Authorization: Bearer {member_key(_MEMBER)}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    host, _, port = address.partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    response = b""
    end = b"\r\n0\r\n\r\n" if method == "POST" else SHORT_BODY
    for _ in range(count):
        writer.write(head.encode() + body)
        received = bytearray()
        while not received.endswith(end):
            data = await reader.read(_READ_BYTES)
            if not data:
                raise RuntimeError(
                    f"connection closed within a response: {bytes(received[:300])!r}"
                )
            received += data
        response = bytes(received)
    writer.close()
    return response


async def _run_concurrently(count: int, run: Callable[[], Awaitable[None]]) -> None:
    await asyncio.gather(*(run() for _ in range(count)))


def measure_relay(pid: int, address: str, service_address: str = "") -> tuple[float, float]:
    """Return the processor time in seconds of a relaying process, per chunk and per short call."""
    streams, chunks, callers = _STREAMS.value, _CHUNKS.value, _CALLERS.value
    asyncio.run(_run_concurrently(2, lambda: _run_stream(address, 20)))
    cpu_start_s = cpu_time_s(pid)
    asyncio.run(_run_concurrently(streams, lambda: _run_stream(address, chunks)))
    per_chunk = (cpu_time_s(pid) - cpu_start_s) / (streams * chunks)
    asyncio.run(_run_concurrently(callers, lambda: _run_short_calls(address, 20)))
    cpu_start_s = cpu_time_s(pid)
    asyncio.run(_run_concurrently(callers, lambda: _run_short_calls(address, _CALLS.value)))
    return per_chunk, (cpu_time_s(pid) - cpu_start_s) / (callers * _CALLS.value)


def _measure_process(role: str) -> tuple[float, float]:
    source_port, port = free_ports(2)
    command = [sys.executable, "-m", _PROCESS_MODULE]
    source = subprocess.Popen([*command, "source", str(source_port)])
    options = [f"--to=127.0.0.1:{source_port}"]
    if _PROFILE.value and role == "edges":
        options.append(f"--profile={_PROFILE.value}")
    relay = subprocess.Popen([*command, role, str(port), *options])
    try:
        wait_listening(f"127.0.0.1:{source_port}")
        wait_listening(f"127.0.0.1:{port}")
        return measure_relay(relay.pid, f"127.0.0.1:{port}")
    finally:
        for process in (relay, source):
            process.terminate()
            process.wait()


def _deployment() -> Deployment:
    member = Member(_MEMBER, "all", 1.0, key_digest(member_key(_MEMBER)))
    pools = ("engines", "services")
    plan = Plan("all", pools, _UNLIMITED, _UNLIMITED, _UNLIMITED, _UNLIMITED, _UNLIMITED, 100.0)
    specs = [PoolSpec("engines", "engine", 1, 256), PoolSpec("services", "service", 1, 256)]
    return Deployment("relay-cost", ["d-1"], specs, "", "", [member], [plan])


def _measure_router() -> tuple[float, float, float]:
    """Return the time per chunk and per call, and the part of a core that an idle router uses."""
    with _SourceFleet(_deployment(), routers=1) as fleet:
        (router,) = fleet.router_by_name.values()
        assert router.process is not None
        pid = router.process.pid
        cpu_start_s = cpu_time_s(pid)
        time.sleep(2.0)
        idle_fraction = (cpu_time_s(pid) - cpu_start_s) / 2.0
        return *measure_relay(pid, router.address), idle_fraction


def _main(argv: list[str]) -> None:
    plain_times: tuple[float, float] | None = None
    print(f"{'':8}{'us/chunk':>10}{'x plain':>9}{'us/call':>10}{'x plain':>9}")
    for role in _ONLY.value:
        note = ""
        if role == "router":
            *times, idle_fraction = _measure_router()
            note = f"  idle: {idle_fraction:.1%} of a core"
        else:
            times = list(_measure_process(role))
        per_chunk, per_call = times
        plain_times = plain_times or (per_chunk, per_call)
        print(
            f"{role:8}{per_chunk * 1e6:10.1f}{per_chunk / plain_times[0]:9.1f}"
            f"{per_call * 1e6:10.1f}{per_call / plain_times[1]:9.1f}{note}",
            flush=True,
        )


if __name__ == "__main__":
    app.run(_main)
