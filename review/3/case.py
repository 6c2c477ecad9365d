"""A server answers early, without a length, and the answer is reset on the way."""

import asyncio
import socket
import struct
import time
from pathlib import Path

from lib.fleet import CannotRun, Fleet, attempt_id, free_host, run_case, trouble
from lib.http1 import call, read_body, read_head
from lib.platform_store import Store
from lib.servers import PlainServer

HOST = "ficu95.example"
KEY = "asnmgkcuyj8pjbvk9m68"
MAX_BODY_BYTES = 4194304
BODY_BYTES = MAX_BODY_BYTES
ANSWER = b"0123456789abcdef" * 50  # 800 B out, as on the sheet
REQUESTS = 120
# `answer_lost` with how = reset in the days of the site file: on a share of .6 of the servers (of
# three servers, one), x = .4 of the answers (two of five), for 4 s.
FAULTY_SERVERS = 1
FAULT_S = 4.0
LOST_ANSWERS = (1, 3)
LOST_OF = 5


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
                "timeout_ms": 5000,
                "target_latency_ms": 1000,
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
    resets = 0

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                is_lost = self.is_faulty and len(self.runs) % LOST_OF in LOST_ANSWERS
                await self._answer(head[1], writer, is_lost)
                if is_lost:
                    return
                await read_body(reader, head[1])
                return  # the end of the channel is the end of the answer
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, headers, writer, is_lost):
        id = headers["x-attempt-id"]
        self.runs.append((time.monotonic(), id, headers.get("x-tenant"), None))
        self.record(f"{self.id} runs {id}")
        lines = [
            "HTTP/1.1 200 OK",
            f"X-Attempt-Id: {id}",
            f"X-Server-Signature: {self.id}.{len(ANSWER)}",
        ]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        if not is_lost:
            writer.write(ANSWER)
            await writer.drain()
            return
        self.resets += 1
        self.record(f"{self.id} writes half of the answer to {id} and resets the channel")
        writer.write(ANSWER[: len(ANSWER) // 2])
        linger = struct.pack("ii", 1, 0)
        writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        writer.transport.abort()


async def main(record):
    store = Store()
    hosts = set()
    await store.start(free_host(hosts))
    await store.write("op", "config", manifest())
    servers = []
    for number, zone in enumerate(("recife", "fortaleza", "salvador")):
        server = EarlyServer(record, store, f"i-{number:x}4a91c{number}", "pedidos", zone)
        await server.begin(free_host(hosts))
        servers.append(server)
    half = whole = other = 0
    with Fleet(3) as fleet:
        await fleet.start(store.address)
        fault_ends_at = time.monotonic() + FAULT_S
        for server in servers[:FAULTY_SERVERS]:
            server.is_faulty = trouble()
        for number in range(REQUESTS):
            if time.monotonic() >= fault_ends_at:
                servers[0].is_faulty = False
            router = fleet.routers[number % len(fleet.routers)]
            id = attempt_id()
            headers = [
                ("Host", HOST),
                ("X-Attempt-Id", id),
                ("X-Deadline-Ms", "5000"),
                ("Authorization", f"Bearer {KEY}"),
            ]
            record(f"client sends {id} with {BODY_BYTES} bytes to {router.name}")
            status, got, body = await call(
                router.address, "POST", "/puxa403/2f", headers, b"x" * BODY_BYTES, 8.0
            )
            signature = got.get("x-server-signature")
            record(f"client got {status}, {len(body)} bytes, signature {signature} for {id}")
            if status == 200 and body == ANSWER:
                whole += 1
            elif status == 200:
                half += 1
            else:
                other += 1
        record.say(f"answers that were reset: {servers[0].resets}")
        record.say(f"whole answers: {whole}, successes with half of the answer: {half}, rest: {other}")
        if whole == 0:
            raise CannotRun("no request was answered")
    for server in servers:
        server.end()
    return half > 0


run_case(Path(__file__).parent, main)
