"""Stand-in for the table service: range and txn of the etcd v3 JSON API, in memory."""

import asyncio
import base64
import bisect
from typing import Any

from .web import Reply, WebRequest

__all__ = ["TableStandIn"]

_MAX_OPERATIONS = 128


class TableStandIn:
    """Key-value store with revisions.

    ``POST /standin/fault`` with ``{"mode": ..., "delay_s": ...}`` sets a fault: ``up`` (none),
    ``down`` (connections are closed without a response), ``slow`` (each call takes ``delay_s``),
    ``lose_answers`` (writes take effect, but connections are closed without a response),
    ``refuse`` (status 503), ``garbage`` (each response has the body ``body``). As in etcd,
    a transaction has at most 128 conditions, 128 operations and one write per key.
    """

    def __init__(self) -> None:
        self._rows: dict[bytes, tuple[bytes, int]] = {}
        self._keys: list[bytes] = []
        self._revision = 1
        self._mode = "up"
        self._delay_s = 0.0
        self._garbage_body = ""
        self.reads = 0
        self.writes = 0

    async def handle(self, request: WebRequest, reply: Reply) -> None:
        """Handle one request."""
        if request.path == "/standin/fault":
            fault = request.json()
            self._mode = fault["mode"]
            self._delay_s = fault.get("delay_s", 0.0)
            self._garbage_body = fault.get("body", "")
            await reply.send_json(200, {})
            return
        if request.path == "/standin/counts":
            await reply.send_json(200, {"reads": self.reads, "writes": self.writes})
            return
        if self._mode == "down":
            reply.cut()
            return
        if self._mode == "refuse":
            await reply.send_json(503, {"error": "unavailable", "code": 14})
            return
        if self._mode == "slow":
            await asyncio.sleep(self._delay_s)
        if self._mode == "garbage":
            await reply.send(200, self._garbage_body.encode())
            return
        error = _validation_error(request.json()) if request.path == "/v3/kv/txn" else None
        if error is not None:
            await reply.send_json(400, {"error": error, "code": 3})
            return
        if request.path == "/v3/kv/txn":
            writes = self.writes
            document = self.txn(request.json())
            has_written = self.writes > writes
        elif request.path == "/v3/kv/range":
            document, has_written = self._range(request.json()), False
        else:
            await reply.send_json(404, {"error": "Not Found", "code": 5})
            return
        if has_written and self._mode == "lose_answers":
            reply.cut()
            return
        await reply.send_json(200, document)

    def txn(self, body: dict[str, Any]) -> dict[str, Any]:
        """Run a transaction and return the response document."""
        succeeded = all(self._compare_holds(compare) for compare in body.get("compare", ()))
        operations = body.get("success" if succeeded else "failure", ())
        writes = [op for op in operations if "requestPut" in op or "requestDeleteRange" in op]
        if writes:
            self._revision += 1
            self.writes += 1
        responses = [self._apply(operation) for operation in operations]
        document = {"header": self._header(), "succeeded": succeeded, "responses": responses}
        if not succeeded:
            del document["succeeded"]
        return document

    def _compare_holds(self, compare: dict[str, Any]) -> bool:
        if compare.get("target") != "MOD" or compare.get("result", "EQUAL") != "EQUAL":
            raise ValueError(f"the stand-in compares revisions for equality only: {compare}")
        row = self._rows.get(base64.b64decode(compare["key"]))
        return (row[1] if row else 0) == int(compare.get("modRevision", 0))

    def _apply(self, operation: dict[str, Any]) -> dict[str, Any]:
        if "requestPut" in operation:
            put = operation["requestPut"]
            key = base64.b64decode(put["key"])
            if key not in self._rows:
                bisect.insort(self._keys, key)
            self._rows[key] = (base64.b64decode(put.get("value", "")), self._revision)
            return {"response_put": {"header": self._header()}}
        if "requestDeleteRange" in operation:
            key = base64.b64decode(operation["requestDeleteRange"]["key"])
            deleted = self._rows.pop(key, None) is not None
            if deleted:
                self._keys.remove(key)
            return {"response_delete_range": {"deleted": str(int(deleted))}}
        return {"response_range": self._range(operation["requestRange"])}

    def _range(self, body: dict[str, Any]) -> dict[str, Any]:
        self.reads += 1
        start = base64.b64decode(body["key"])
        if "range_end" in body:
            end = base64.b64decode(body["range_end"])
            low = bisect.bisect_left(self._keys, start)
            high = len(self._keys) if end == b"\0" else bisect.bisect_left(self._keys, end)
            keys = self._keys[low:high]
        else:
            keys = [start] if start in self._rows else []
        limit = int(body.get("limit", 0))
        returned = keys[:limit] if limit else keys
        document: dict[str, Any] = {"header": self._header(), "count": str(len(keys))}
        if returned:
            document["kvs"] = [self._encode_row(key) for key in returned]
        return document

    def _encode_row(self, key: bytes) -> dict[str, str]:
        value, revision = self._rows[key]
        return {
            "key": base64.b64encode(key).decode(),
            "mod_revision": str(revision),
            "value": base64.b64encode(value).decode(),
        }

    def _header(self) -> dict[str, str]:
        return {"revision": str(self._revision)}


def _validation_error(body: dict[str, Any]) -> str | None:
    """Return the error with which etcd rejects an invalid transaction, or None."""
    for branch in ("compare", "success", "failure"):
        if len(body.get(branch, ())) > _MAX_OPERATIONS:
            return "etcdserver: too many operations in txn request"
    for branch in ("success", "failure"):
        written = [
            next(iter(op.values()))["key"]
            for op in body.get(branch, ())
            if "requestPut" in op or "requestDeleteRange" in op
        ]
        if len(set(written)) < len(written):
            return "etcdserver: duplicate key given in txn request"
    return None
