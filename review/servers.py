"""Stand-in of a server of a plain service, which registers itself in the store."""

import asyncio
import time

from http1 import Server, response

HEARTBEAT_S = 1.2


class PlainServer(Server):
    """Runs each request that reaches it and is meant for it, and notes it in the record."""

    def __init__(self, record, store, id, service, zone, slots=6, work_s=0.02, version="v1"):
        super().__init__()
        self.record, self.store = record, store
        self.id, self.service, self.zone = id, service, zone
        self.slots, self.work_s, self.version = slots, work_s, version
        self.state = "ready"
        self.sequence = 0
        self.born = round(time.time() * 1000)
        self.runs = []  # (time, attempt id, tenant, authorization)
        self._heartbeat = None
        self._has_sent = asyncio.Event()

    async def begin(self, host):
        """Take requests, unless it does already, and register and send heartbeats from now on."""
        if self._server is None:
            await self.start(host)
        self._heartbeat = asyncio.create_task(self._beat())

    def end(self):
        if self._heartbeat is not None:
            self._heartbeat.cancel()

    async def register(self):
        """Write the entry in the store."""
        self.sequence += 1
        await self.store.write(
            "servers",
            self.id,
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": self.version,
                "slots": self.slots,
                "state": self.state,
                "cold_remaining_ms": 0,
                "sequence": self.sequence,
                "born": self.born,
            },
        )

    async def next_heartbeat(self):
        """Wait for the next heartbeat."""
        await self._has_sent.wait()

    async def _beat(self):
        while True:
            await self.register()
            self._has_sent.set()
            self._has_sent = asyncio.Event()
            await asyncio.sleep(HEARTBEAT_S)

    async def handle(self, request, writer):
        id = request.headers.get("x-attempt-id", "")
        headers = [("X-Attempt-Id", id), ("X-Instance-Id", self.id)]
        if request.headers.get("x-expected-instance", self.id) != self.id:
            writer.write(response(421, b"", headers))
            return
        if not id:
            writer.write(response(400, b"", [("X-Not-Executed", "1")]))
            return
        tenant = request.headers.get("x-tenant")
        authorization = request.headers.get("authorization")
        self.runs.append((time.monotonic(), id, tenant, authorization))
        self.record(f"{self.id} runs {id} {request.method} {request.path} X-Tenant={tenant}")
        await asyncio.sleep(self.work_s)
        writer.write(response(200, b"done", [*headers, ("X-Server-Signature", f"{self.id}.1")]))


class StreamServer(PlainServer):
    """Sends a stream of events, each marked with the software version that made it."""

    event_count = 40
    event_s = 0.1

    async def handle(self, request, writer):
        id = request.headers.get("x-attempt-id", "")
        headers = [("X-Attempt-Id", id), ("X-Instance-Id", self.id)]
        if request.headers.get("x-expected-instance", self.id) != self.id:
            writer.write(response(421, b"", headers))
            return
        tenant = request.headers.get("x-tenant")
        first = int(request.headers.get("last-event-id", "-1")) + 1
        version = self.version
        self.runs.append((time.monotonic(), id, tenant, None))
        self.record(f"{self.id} ({version}) runs {id} from event {first}")
        lines = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            f"X-Attempt-Id: {id}",
            f"X-Server-Signature: {self.id}.{version}",
        ]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for number in range(first, self.event_count):
            event = f"id: {number}\ndata: {version} piece {number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.event_s)
        writer.write(b"0\r\n\r\n")
