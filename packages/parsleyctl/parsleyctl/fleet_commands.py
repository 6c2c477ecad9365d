"""Commands on the running fleet: status, waiting for a version, drains and their audit."""

import http.client
import json
import time
import uuid
from collections.abc import Iterable
from typing import Any

import msgspec
from parsleyrudder import Put, Range, Txn

from .exits import Exit
from .output import Output
from .submission import BlockingTable

__all__ = ["audit", "drain", "router_status", "status", "wait_for_version"]

_DRAINS = "drain/"
_AUDIT = "audit/"
_TIMEOUT_S = 3.0
_POLL_S = 0.25


class _AuditEntry(msgspec.Struct):
    """Audit record of an operator's action on the fleet."""

    time: float
    author: str
    action: str
    target: str


def router_status(address: str) -> dict[str, Any] | None:
    """Return a router's status document, or None if it does not answer."""
    connection = http.client.HTTPConnection(address, timeout=_TIMEOUT_S)
    try:
        connection.request("GET", "/status")
        return json.loads(connection.getresponse().read())
    except (OSError, http.client.HTTPException, ValueError):
        return None
    finally:
        connection.close()


def status(output: Output, routers: Iterable[str]) -> Exit:
    """Show fleet, pools, and members' service received and waiting work."""
    document_by_router = {address: router_status(address) for address in routers}
    answered = [document for document in document_by_router.values() if document]
    output.result({"routers": document_by_router, "members": _by_member(answered)}, [])
    output.table(
        "Routers",
        ("router", "failure domain", "ready", "version", "table", "live peers"),
        [
            (
                (
                    document["router"],
                    document["failure_domain"],
                    "yes" if document["ready"] else document["reason"],
                    document["config_version"],
                    "up" if document["table_up"] else "down",
                    len(document["live"]),
                )
                if document
                else (address, "", "no answer", "", "", "")
            )
            for address, document in document_by_router.items()
        ],
    )
    output.table(
        "Pools",
        ("pool", "router", "coordinator", "epoch", "slots held", "in use", "waiting"),
        _pool_rows(answered),
    )
    output.table(
        "Members",
        ("pool", "member", "service received", "waiting"),
        [
            (row["pool"], row["member"], f"{row['served']:.0f}", row["waiting"])
            for row in _by_member(answered)
        ],
    )
    return Exit.OK if len(answered) == len(document_by_router) else Exit.UNAVAILABLE


def wait_for_version(output: Output, routers: Iterable[str], version: int, limit_s: float) -> Exit:
    """Wait until every router enforces a version, showing progress on a terminal."""
    missing = set(routers)
    total, until = len(missing), time.monotonic() + limit_s
    while missing and time.monotonic() < until:
        for address in sorted(missing):
            document = router_status(address)
            if document is not None and document["config_version"] >= version:
                missing.discard(address)
        done = total - len(missing)
        output.progress(f"version {version} in force on {done} of {total} routers")
        if missing:
            time.sleep(_POLL_S)
    output.progress_done()
    if missing:
        text = f"version {version} not in force on {', '.join(sorted(missing))} after {limit_s:g} s"
        output.errors([TimeoutError(f"{text}; see 'parsleyctl status'")])
        return Exit.INCOMPLETE
    if total and not output.as_json:
        print(f"version {version} in force on {total} routers")
    return Exit.OK


def drain(output: Output, table: BlockingTable, target: str, author: str, undo: bool) -> Exit:
    """Take a server or a router out of use, or back.

    The action and its audit record are written in one transaction.
    """
    action = "undrain" if undo else "drain"
    entry = _AuditEntry(time.time(), author, action, target)
    key = f"{_AUDIT}{int(entry.time * 1000):015d}-{uuid.uuid4().hex[:8]}"
    record = Put(key, msgspec.json.encode(entry))
    if undo:
        txn = Txn((), (record,), (_DRAINS + target,))
    else:
        txn = Txn((), (record, Put(_DRAINS + target, author.encode())))
    table.txn(txn)
    output.result({"action": action, "target": target}, [f"{action} of {target} recorded"])
    return Exit.OK


def audit(output: Output, table: BlockingTable, limit: int) -> Exit:
    """Show operators' actions on the fleet; those on the lists are in the history."""
    rows = table.txn(Txn(reads=(Range(_AUDIT, prefix=True),))).rows[0][-limit:]
    entries = [msgspec.json.decode(row.value, type=_AuditEntry) for row in rows]
    lines = [
        f"{time.strftime('%Y-%m-%d %H:%M:%SZ', time.gmtime(e.time))}  {e.author}  "
        f"{e.action} {e.target}"
        for e in entries
    ]
    output.result(msgspec.to_builtins(entries), lines or ["no actions yet"])
    return Exit.OK


def _pool_rows(documents: list[dict[str, Any]]) -> Iterable[tuple[object, ...]]:
    for document in documents:
        for name, pool in sorted(document["pools"].items()):
            slots = pool["slots"].values()
            yield (
                name,
                document["router"],
                pool["coordinator"],
                pool["epoch"],
                sum(slot["held"] for slot in slots),
                sum(slot["used"] for slot in slots),
                sum(pool["waiting"].values()),
            )


def _by_member(documents: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return service received and waiting calls per pool and member, summed over routers."""
    served: dict[tuple[str, str], float] = {}
    waiting: dict[tuple[str, str], int] = {}
    for document in documents:
        for pool, state in document["pools"].items():
            for member, cost in state["served"].items():
                served[pool, member] = served.get((pool, member), 0.0) + cost
            for member, count in state["waiting"].items():
                waiting[pool, member] = waiting.get((pool, member), 0) + count
    return [
        {
            "pool": pool,
            "member": member,
            "served": served.get((pool, member), 0.0),
            "waiting": waiting.get((pool, member), 0),
        }
        for pool, member in sorted(served.keys() | waiting.keys())
    ]
