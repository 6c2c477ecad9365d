"""Adapter for the table service: the etcd v3 JSON API (``/v3/kv/range``, ``/v3/kv/txn``)."""

import base64
import http.client
import json
from typing import Any

from parsleyrudder import Range, Row, TableError, Txn, TxnCallback, TxnResult

from .http_client import HttpClient, HttpRequest

__all__ = ["BlockingEtcdTable", "EtcdTable", "decode_result", "encode_txn", "txn_request"]

_REMEDY = "check the table service and its address in the settings, then repeat"


def encode_txn(txn: Txn) -> bytes:
    """Encode a transaction as the JSON body of a request."""
    writes: list[dict[str, Any]] = [
        {"requestPut": {"key": _b64(put.key), "value": _b64(put.value)}} for put in txn.puts
    ]
    writes += [{"requestDeleteRange": {"key": _b64(key)}} for key in txn.deletes]
    reads = [{"requestRange": _encode_range(read)} for read in txn.reads]
    body = {
        "compare": [
            {
                "target": "MOD",
                "result": "EQUAL",
                "key": _b64(compare.key),
                "modRevision": str(compare.revision),
            }
            for compare in txn.compares
        ],
        "success": [*writes, *reads],
        "failure": reads,
    }
    return json.dumps(body).encode()


def decode_result(body: bytes, txn: Txn) -> TxnResult:
    """Decode the body of a response to a transaction.

    :raises TableError: if the body is not a valid response of the API.
    """
    try:
        document = json.loads(body)
        range_responses = [
            item["response_range"]
            for item in document.get("responses", ())
            if _is_range_response(item)
        ]
        rows = [[_decode_row(kv) for kv in response.get("kvs", ())] for response in range_responses]
        revision = int(document["header"]["revision"])
        if len(rows) != len(txn.reads):
            raise ValueError(f"got {len(rows)} range responses for {len(txn.reads)} reads")
        return TxnResult(bool(document.get("succeeded", False)), revision, rows)
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
        raise TableError(
            f"invalid response from the table service: {error}", _REMEDY, txn.has_writes
        ) from error


def txn_request(txn: Txn) -> HttpRequest:
    """Return the HTTP request of a transaction."""
    headers = [("Content-Type", "application/json")]
    return HttpRequest("POST", "/v3/kv/txn", headers, encode_txn(txn), reuse=True)


class EtcdTable:
    """Access to the table service through the event loop's HTTP client.

    :param address: ``host:port`` of the service.
    :param timeout_s: time after which a transaction fails.
    """

    def __init__(self, client: HttpClient, address: str, timeout_s: float = 2.0) -> None:
        self._client = client
        self._address = address
        self._timeout_s = timeout_s

    def txn(self, txn: Txn, done: TxnCallback) -> None:
        """Run a transaction; see :class:`parsleyrudder.TableService`."""
        listener = _TxnListener(txn, done)
        self._client.send(self._address, txn_request(txn), listener, self._timeout_s)


class BlockingEtcdTable:
    """Access to the table service from programs without an event loop."""

    def __init__(self, address: str, timeout_s: float = 5.0) -> None:
        self._address = address
        self._timeout_s = timeout_s

    def txn(self, txn: Txn) -> TxnResult:
        """Run a transaction and return its result.

        :raises TableError: if no valid response arrives; its ``maybe_applied`` tells whether the
            writes may have taken effect.
        """
        connection = http.client.HTTPConnection(self._address, timeout=self._timeout_s)
        sent = False
        try:
            connection.connect()
            sent = True
            request = txn_request(txn)
            connection.request("POST", request.target, request.body, dict(request.headers))
            response = connection.getresponse()
            body = response.read()
        except (OSError, http.client.HTTPException) as error:
            message = f"table service {self._address}: {error}"
            raise TableError(message, _REMEDY, sent and txn.has_writes) from error
        finally:
            connection.close()
        return _decode_response(response.status, body, txn)


class _TxnListener:
    __slots__ = ("_body", "_done", "_status", "_txn")

    def __init__(self, txn: Txn, done: TxnCallback) -> None:
        self._txn = txn
        self._done = done
        self._status = 0
        self._body = bytearray()

    def on_head(self, status: int, headers: list[tuple[str, str]]) -> None:
        self._status = status

    def on_data(self, data: bytes) -> None:
        self._body += data

    def on_end(self) -> None:
        try:
            result = _decode_response(self._status, bytes(self._body), self._txn)
        except TableError as error:
            self._done(error)
            return
        self._done(result)

    def on_failed(self, sent: bool, reason: str) -> None:
        self._done(TableError(f"table service: {reason}", _REMEDY, sent and self._txn.has_writes))


def _decode_response(status: int, body: bytes, txn: Txn) -> TxnResult:
    if status != 200:
        # The API returns 429 and 503 before it starts to execute a transaction.
        maybe_applied = txn.has_writes and status not in (400, 429, 503)
        raise TableError(f"table service returned status {status}", _REMEDY, maybe_applied)
    return decode_result(body, txn)


def _encode_range(read: Range) -> dict[str, Any]:
    request: dict[str, Any] = {"key": _b64(read.key)}
    if read.prefix:
        request["range_end"] = _b64(_prefix_end(read.key))
        if read.after >= read.key:
            request["key"] = _b64(read.after + "\0")
    if read.limit:
        request["limit"] = str(read.limit)
    return request


def _prefix_end(prefix: str) -> bytes:
    """Return the smallest key greater than all keys with a prefix."""
    data = bytearray(prefix.encode())
    while data and data[-1] == 0xFF:
        data.pop()
    if not data:
        return b"\0"
    data[-1] += 1
    return bytes(data)


def _is_range_response(item: dict[str, Any]) -> bool:
    return "response_range" in item


def _decode_row(kv: dict[str, Any]) -> Row:
    key = base64.b64decode(kv["key"], validate=True).decode()
    value = base64.b64decode(kv.get("value", ""), validate=True)
    return Row(key, value, int(kv["mod_revision"]))


def _b64(value: str | bytes) -> str:
    data = value.encode() if isinstance(value, str) else value
    return base64.b64encode(data).decode()
