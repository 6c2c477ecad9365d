"""Processor time per relayed chunk and short call: ``python -m parsleyrudder_standins.relay_cost``.

Three processes relay the same answers in turn: a plain loop over sockets, the HTTP server and
client alone (``edges``), and a router daemon of a fleet of one. Each row shows the processor time
of the relaying process, all its threads, divided by the number of chunks or calls.
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

__all__ = ["cpu_s", "measure"]

_STREAMS = flags.DEFINE_integer("streams", 32, "Streams at the same time.")
_CHUNKS = flags.DEFINE_integer("chunks", 600, "Chunks per stream, one each 10 ms.")
_CALLERS = flags.DEFINE_integer("callers", 8, "Callers of short calls at the same time.")
_CALLS = flags.DEFINE_integer("calls", 500, "Short calls per caller.")
_ONLY = flags.DEFINE_list("only", ["plain", "edges", "router"], "What to measure.")
_PROFILE = flags.DEFINE_string("profile", "", "File for a profile of the edges.")

_MEMBER = "meter"
_MANY = 1_000_000
_MODULE = "parsleyrudder_standins.relay_processes"
_READ_BYTES = 65536


class _SourceFleet(Fleet):
    """A fleet whose servers are sources of answers."""

    def _start_standin(self, name: str, specs: list) -> None:
        if name == "platform":
            super()._start_standin(name, specs)
            return
        ports = [str(spec["port"]) for spec in specs]
        self._standins.append(subprocess.Popen([sys.executable, "-m", _MODULE, "source", *ports]))


def cpu_s(pid: int) -> float:
    """Return the processor time that all threads of a process have used."""
    total = 0
    for path in Path(f"/proc/{pid}/task").glob("*/schedstat"):
        total += int(path.read_text().split()[0])
    return total / 1e9


async def _stream(address: str, count: int) -> None:
    message = {"role": "user", "content": "hello"}
    body = {"model": "engines", "stream": True, "max_tokens": count, "messages": [message]}
    data = await _talk(address, "POST", "/v1/chat/completions", json.dumps(body).encode(), 1)
    if data.count(EVENT) != count:
        raise RuntimeError(f"{data.count(EVENT)} of {count} events came: {data[:300]!r}")


async def _short_calls(address: str, count: int) -> None:
    await _talk(address, "GET", "/svc/services/stock", b"", count)


async def _talk(address: str, method: str, target: str, body: bytes, count: int) -> bytes:
    """Send requests one after another on one connection; return the last answer."""
    head = (
        f"{method} {target} HTTP/1.1\r\nHost: {address}\r\nX-Deadline-S: 100\r\n"
        f"Authorization: Bearer {member_key(_MEMBER)}\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    host, _, port = address.partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    answer = b""
    end = b"\r\n0\r\n\r\n" if method == "POST" else SHORT_BODY
    for _ in range(count):
        writer.write(head.encode() + body)
        parts = bytearray()
        while not parts.endswith(end):
            data = await reader.read(_READ_BYTES)
            if not data:
                raise RuntimeError(f"cut: {bytes(parts[:300])!r}")
            parts += data
        answer = bytes(parts)
    writer.close()
    return answer


async def _together(count: int, run: Callable[[], Awaitable[None]]) -> None:
    await asyncio.gather(*(run() for _ in range(count)))


def measure(pid: int, address: str, service_address: str = "") -> tuple[float, float]:
    """Return the processor time in seconds per chunk and per short call of a relaying process."""
    streams, chunks, callers = _STREAMS.value, _CHUNKS.value, _CALLERS.value
    asyncio.run(_together(2, lambda: _stream(address, 20)))
    begun = cpu_s(pid)
    asyncio.run(_together(streams, lambda: _stream(address, chunks)))
    per_chunk = (cpu_s(pid) - begun) / (streams * chunks)
    asyncio.run(_together(callers, lambda: _short_calls(address, 20)))
    begun = cpu_s(pid)
    asyncio.run(_together(callers, lambda: _short_calls(address, _CALLS.value)))
    return per_chunk, (cpu_s(pid) - begun) / (callers * _CALLS.value)


def _measure_process(role: str) -> tuple[float, float]:
    source_port, port = free_ports(2)
    command = [sys.executable, "-m", _MODULE]
    source = subprocess.Popen([*command, "source", str(source_port)])
    options = [f"--to=127.0.0.1:{source_port}"]
    if _PROFILE.value and role == "edges":
        options.append(f"--profile={_PROFILE.value}")
    relay = subprocess.Popen([*command, role, str(port), *options])
    try:
        wait_listening(f"127.0.0.1:{source_port}")
        wait_listening(f"127.0.0.1:{port}")
        return measure(relay.pid, f"127.0.0.1:{port}")
    finally:
        for process in (relay, source):
            process.terminate()
            process.wait()


def _deployment() -> Deployment:
    member = Member(_MEMBER, "all", 1.0, key_digest(member_key(_MEMBER)))
    pools = ("engines", "services")
    plan = Plan("all", pools, _MANY, _MANY, _MANY, _MANY, _MANY, 100.0)
    specs = [PoolSpec("engines", "engine", 1, 256), PoolSpec("services", "service", 1, 256)]
    return Deployment("relay-cost", ["d-1"], specs, "", "", [member], [plan])


def _measure_router() -> tuple[float, float, float]:
    """Return the time per chunk and per call, and the share of a core of an idle router."""
    with _SourceFleet(_deployment(), routers=1) as fleet:
        (router,) = fleet.router_by_name.values()
        assert router.process is not None
        pid = router.process.pid
        begun = cpu_s(pid)
        time.sleep(2.0)
        idle = (cpu_s(pid) - begun) / 2.0
        return *measure(pid, router.address), idle


def _main(argv: list[str]) -> None:
    plain: tuple[float, float] | None = None
    print(f"{'':8}{'us/chunk':>10}{'x plain':>9}{'us/call':>10}{'x plain':>9}")
    for role in _ONLY.value:
        note = ""
        if role == "router":
            *figures, idle = _measure_router()
            note = f"  idle: {idle:.1%} of a core"
        else:
            figures = list(_measure_process(role))
        per_chunk, per_call = figures
        plain = plain or (per_chunk, per_call)
        print(
            f"{role:8}{per_chunk * 1e6:10.1f}{per_chunk / plain[0]:9.1f}"
            f"{per_call * 1e6:10.1f}{per_call / plain[1]:9.1f}{note}",
            flush=True,
        )


if __name__ == "__main__":
    app.run(_main)
