"""A server answers early, without a length, and the answer is reset on the way."""

import asyncio
import socket
import struct
import time
from pathlib import Path

from fleet import ZONES, CannotRun, Fleet, attempt_id, free_host, run_case, trouble
from http1 import call, read_body, read_head, response
from platform_store import Store
from servers import PlainServer

HOST = "ficu95.example"
KEY = "asnmgkcuyj8pjbvk9m68"
MAX_BODY_BYTES = 4194304
BODY_BYTES = 72_000  # the largest body of the site file's kinds of request
ANSWER = b"0123456789abcdef" * 50  # 800 B out, as on the sheet
# `garble` with how = unframed, as in the days of the site file: a share of .5 of the servers (of
# four servers, two) breaks off x = .05 of its answers (one of twenty), for 5 s.
FAULTY_SERVERS = 2
BROKEN_OF = 20
FAULT_S = 5.0
PLAY_S = 7.0
PACE_S = 0.02
# A network's usual segments in place of the loopback's, and a small window, as DEPLOY.md has them:
# "small windows, so a peer that does not read blocks the writer".
SEGMENT_BYTES = 1460
WINDOW_BYTES = 8192


def manifest():
    return {
        "version": 3,
        "routes": [
            {
                "name": "r1",
                "host": HOST,
                "prefix": "/puxa403/",
                "route_type": "unsafe",
                "service": "pedidos",
                "timeout_ms": 1500,
                "target_latency_ms": 125,
                "max_attempts": 1,
            }
        ],
        "services": [{"name": "pedidos", "health_path": "/healthz", "max_conns": 100}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": MAX_BODY_BYTES,
            "header_timeout_ms": 10000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": "hule930", "api_keys": [KEY]}],
    }


class EarlyServer(PlainServer):
    """Answers each request before it has read the body, with an answer that has no length."""

    is_faulty = False
    answers = 0
    resets = 0

    async def start(self, host, port=0):
        """Listen with small segments and windows."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        sock.bind((host, port or self.port))
        self._server = await asyncio.start_server(self._serve, sock=sock)
        self.host, self.port = sock.getsockname()[:2]

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            head = await read_head(reader)
            if head is not None and not await self._answer(head[1], writer):
                await read_body(reader, head[1])
            # The end of the channel is the end of the answer.
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, headers, writer):
        """Answer; return whether the answer was broken off."""
        id = headers["x-attempt-id"]
        if headers.get("x-expected-instance", self.id) != self.id:
            writer.write(response(421, b"", [("X-Attempt-Id", id), ("X-Instance-Id", self.id)]))
            return False
        self.runs.append((time.monotonic(), id, headers.get("x-tenant"), None))
        self.record(f"{self.id} runs {id}")
        lines = [
            "HTTP/1.1 200 OK",
            f"X-Attempt-Id: {id}",
            f"X-Server-Signature: {self.id}.{len(ANSWER)}",
        ]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        self.answers += self.is_faulty
        if not (self.is_faulty and self.answers % BROKEN_OF == 0):
            writer.write(ANSWER)
            await writer.drain()
            return False
        self.resets += 1
        self.record(f"{self.id} writes half of the answer to {id} and resets the channel")
        writer.write(ANSWER[: len(ANSWER) // 2])
        linger = struct.pack("ii", 1, 0)
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()
        return True


async def client(record, router, ends_at, counts):
    """Send requests to a router, one after the other, and count the answers."""
    while time.monotonic() < ends_at:
        id = attempt_id()
        headers = [
            ("Host", HOST),
            ("X-Attempt-Id", id),
            ("X-Deadline-Ms", "1500"),
            ("Authorization", f"Bearer {KEY}"),
        ]
        record(f"client sends {id} with {BODY_BYTES} bytes to {router.name}")
        body = b"x" * BODY_BYTES
        status, got, answer = await call(router.address, "POST", "/puxa403/2f", headers, body, 3.0)
        signature = got.get("x-server-signature")
        record(f"client got {status}, {len(answer)} bytes, signature {signature} for {id}")
        if status != 200:
            counts["rest"] += 1
        else:
            counts["whole" if answer == ANSWER else "half"] += 1
        await asyncio.sleep(PACE_S)


async def main(record):
    store = Store()
    hosts = set()
    await store.start(free_host(hosts))
    await store.write("op", "config", manifest())
    servers = []
    for number in range(4):
        zone = ZONES[number % len(ZONES)]
        server = EarlyServer(record, store, f"i-{number:x}4a91c{number}", "pedidos", zone)
        await server.begin(free_host(hosts))
        servers.append(server)
    counts = {"whole": 0, "half": 0, "rest": 0}
    with Fleet(3) as fleet:
        await fleet.start(store.address)
        await asyncio.sleep(1.0)
        for server in servers[:FAULTY_SERVERS]:
            server.is_faulty = trouble()
        ends_at = time.monotonic() + PLAY_S
        clients = [
            asyncio.create_task(client(record, router, ends_at, counts))
            for router in fleet.routers
        ]
        await asyncio.sleep(FAULT_S)
        for server in servers:
            server.is_faulty = False
        await asyncio.gather(*clients)
        faulty = servers[:FAULTY_SERVERS]
        record.say(
            f"faulty servers broke off {sum(server.resets for server in faulty)}"
            f" of {sum(server.answers for server in faulty)} answers"
        )
        record.say(
            f"whole answers: {counts['whole']}, successes with half of the answer:"
            f" {counts['half']}, rest: {counts['rest']}"
        )
        if counts["whole"] == 0:
            raise CannotRun("no request was answered")
    for server in servers:
        server.end()
    return counts["half"] > 0


run_case(Path(__file__).parent, main)
