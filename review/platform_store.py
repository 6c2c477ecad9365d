"""Stand-in of the platform's metadata store (PROTOCOL.md, and news 1 for its drill)."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs

from http1 import Server, response, response_json

TRANSACTION_S = 0.004


class Store(Server):
    """Tables of rows with one version counter, and a feed of the changes of each table.

    A drill lets it go away for a moment and come back from a copy that is some seconds old. A
    heartbeat of a server that changes nothing but its sequence leaves its row as it is.
    """

    def __init__(self):
        super().__init__()
        self.era = 1
        self.revision = 0
        self.rows = {}
        self.log = []  # (time, table, key, value or None, row_version)
        self.is_up = False
        self._changed = asyncio.Event()
        self.refused_reads = 0

    async def start(self, host, port=0):
        await super().start(host, port)
        self.is_up = True

    async def stop(self):
        self.is_up = False
        await super().stop()

    # -- what the operator and the servers do: their calls are retried until they are acknowledged

    async def write(self, table, key, document):
        """Write a row as soon as the store is up; return the time of the acknowledgement."""
        while not self.is_up:
            await asyncio.sleep(0.005)
        if self._is_unchanged(table, key, document):
            return time.monotonic()
        self._apply(table, key, base64.b64encode(json.dumps(document).encode()).decode())
        return time.monotonic()

    def _is_unchanged(self, table, key, document):
        """Whether an entry of a server differs by nothing but its sequence, as at a heartbeat."""
        value, _ = self.rows.get((table, key), (None, 0))
        if table != "servers" or value is None:
            return False
        known = json.loads(base64.b64decode(value))
        return {**known, "sequence": 0} == {**document, "sequence": 0}

    async def delete(self, table, key):
        while not self.is_up:
            await asyncio.sleep(0.005)
        self._apply(table, key, None)

    async def drill(self, away_s, copy_age_s):
        """Go away, and come back from a copy; return (version before, version of the copy)."""
        await self.stop()
        before = self.revision
        copied_at = time.monotonic() - copy_age_s
        lost = [entry for entry in self.log if entry[0] > copied_at]
        self.log = [entry for entry in self.log if entry[0] <= copied_at]
        self.rows = {}
        for _, table, key, value, version in self.log:
            if value is None:
                self.rows.pop((table, key), None)
            else:
                self.rows[table, key] = (value, version)
        self.revision = self.log[-1][4] if self.log else 0
        copy = self.revision
        await asyncio.sleep(away_s)
        self.era += 1
        # What the operator and the servers wrote is written again, before anything else.
        for _, table, key, value, _ in lost:
            if table in ("op", "servers"):
                self._apply(table, key, value)
        await self.start(self.host, self.port)
        own = [f"{table}/{key}" for _, table, key, _, _ in lost if table not in ("op", "servers")]
        return before, copy, own

    # -- what the system calls

    def _apply(self, table, key, value, version=None):
        if version is None:
            self.revision += 1
            version = self.revision
        if value is None:
            self.rows.pop((table, key), None)
        else:
            self.rows[table, key] = (value, version)
        self.log.append((time.monotonic(), table, key, value, version))
        self._changed.set()
        self._changed = asyncio.Event()

    def _answer(self, document):
        return response_json(
            200,
            {
                **document,
                "row_version": self.revision,
                "timestamp_ms": round(time.monotonic() * 1000, 3),
            },
            [("Store-Era", self.era)],
        )

    async def handle(self, request, writer):
        query = {name: values[0] for name, values in parse_qs(request.query).items()}
        if request.path == "/-/rows-get":
            answer = self._get(query)
        elif request.path == "/-/rows-feed":
            answer = await self._feed(query)
        elif request.path == "/-/rows-tx":
            await asyncio.sleep(TRANSACTION_S)
            answer = self._transact(json.loads(request.body))
        else:
            answer = response(404, b"", [("Store-Era", self.era)])
        if not writer.is_closing():
            writer.write(answer)

    def _row(self, table, key, value, version):
        return {"table": table, "part": "", "key": key, "value": value, "row_version": version}

    def _get(self, query):
        start, end = query.get("source", ""), query.get("to")
        limit = min(500, int(query.get("page_limit", 500)))
        rows = [
            self._row(table, key, value, version)
            for (table, key), (value, version) in sorted(self.rows.items())
            if table == query["table"] and key >= start and (end is None or key < end)
        ]
        return self._answer({"rows": rows[:limit], "has_more": len(rows) > limit})

    async def _feed(self, query):
        after = int(query["after"])
        if after > self.revision:
            # "a read from one that it doesn't have gets 410"
            self.refused_reads += 1
            return response(410, b"", [("Store-Era", self.era)])
        ends_at = time.monotonic() + min(30_000, int(query.get("wait_ms", 0))) / 1000
        while True:
            rows = []
            for _, table, key, value, version in self.log:
                if table == query["table"] and version > after:
                    if value is None:
                        row = {"table": table, "part": "", "key": key, "row_version": version}
                        rows.append({**row, "deleted": True})
                    else:
                        rows.append(self._row(table, key, value, version))
            left_s = ends_at - time.monotonic()
            if rows or left_s <= 0:
                return self._answer({"rows": rows})
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                pass

    def _transact(self, document):
        entries = [*document.get("puts", ()), *document.get("remove", ())]
        if any(entry["table"] in ("op", "servers") for entry in entries):
            return response(403, b"", [("Store-Era", self.era)])
        for row in document.get("expected_revision", ()):
            current = self.rows.get((row["table"], row["key"]), ("", 0))[1]
            if current != row["row_version"]:
                return response_json(412, {"rows": []}, [("Store-Era", self.era)])
        # One version for each transaction.
        self.revision += 1
        for row in document.get("puts", ()):
            self._apply(row["table"], row["key"], row["value"], self.revision)
        for row in document.get("remove", ()):
            if (row["table"], row["key"]) in self.rows:
                self._apply(row["table"], row["key"], None, self.revision)
        return self._answer({})
