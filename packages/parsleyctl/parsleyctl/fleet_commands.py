"""Commands on the running fleet: status, waiting for a version, draining, audit."""

import http.client
import time
import uuid
from collections.abc import Iterable
from typing import Any

import msgspec
from parsleyrudder import Put, Range, RudderError, Txn

from .exits import Exit
from .output import Output
from .submission import BlockingTable

__all__ = [
    "RouterStatus",
    "StatusError",
    "audit",
    "drain",
    "router_status",
    "status",
    "wait_for_version",
]

_DRAIN_PREFIX = "drain/"
_AUDIT_PREFIX = "audit/"
_STATUS_TIMEOUT_S = 3.0
_POLL_INTERVAL_S = 0.25


class _AuditEntry(msgspec.Struct):
    """Audit record of an operator's action on the fleet."""

    time: float
    author: str
    action: str
    target: str


class _SlotStatus(msgspec.Struct):
    held: int
    used: int


class _PoolStatus(msgspec.Struct):
    """State of one pool at one router, as far as it is shown."""

    coordinator: str
    epoch: int
    slots: dict[str, _SlotStatus]
    waiting: dict[str, int]
    served: dict[str, float]


class RouterStatus(msgspec.Struct):
    """Status of one router, as far as it is shown."""

    router: str
    failure_domain: str
    ready: bool
    reason: str
    config_version: int
    table_up: bool
    live: list[str]
    pools: dict[str, _PoolStatus]


class StatusError(RudderError):
    """A router does not tell its status."""


def router_status(address: str) -> RouterStatus:
    """Return a router's status.

    :raises StatusError: if it does not answer, or not with a status document.
    """
    connection = http.client.HTTPConnection(address, timeout=_STATUS_TIMEOUT_S)
    try:
        connection.request("GET", "/status")
        return msgspec.json.decode(connection.getresponse().read(), type=RouterStatus)
    except (OSError, http.client.HTTPException) as error:
        raise StatusError("no answer", "check the address and the router's log") from error
    except msgspec.MsgspecError as error:
        text = f"no status document: {error}"
        raise StatusError(text, "name a router of the same release as parsleyctl") from error
    finally:
        connection.close()


def status(output: Output, routers: Iterable[str]) -> Exit:
    """Show routers, pools, and members' service received and waiting calls."""
    status_by_address = {address: _status_or_error(address) for address in routers}
    known = [status for status in status_by_address.values() if isinstance(status, RouterStatus)]
    documents = {
        address: msgspec.to_builtins(status) if isinstance(status, RouterStatus) else None
        for address, status in status_by_address.items()
    }
    output.result({"routers": documents, "members": _member_totals(known)}, [])
    output.table(
        "Routers",
        ("router", "failure domain", "ready", "version", "table", "live peers"),
        [
            (
                (
                    status.router,
                    status.failure_domain,
                    "yes" if status.ready else status.reason,
                    status.config_version,
                    "up" if status.table_up else "down",
                    len(status.live),
                )
                if isinstance(status, RouterStatus)
                else (address, "", status.message, "", "", "")
            )
            for address, status in status_by_address.items()
        ],
    )
    output.table(
        "Pools",
        ("pool", "router", "coordinator", "epoch", "slots held", "in use", "waiting"),
        _pool_rows(known),
    )
    output.table(
        "Members",
        ("pool", "member", "service received", "waiting"),
        [
            (row["pool"], row["member"], f"{row['served']:.0f}", row["waiting"])
            for row in _member_totals(known)
        ],
    )
    return Exit.OK if len(known) == len(status_by_address) else Exit.UNAVAILABLE


def wait_for_version(
    output: Output, routers: Iterable[str], version: int, timeout_s: float
) -> Exit:
    """Wait until every router enforces a version, showing progress on a terminal."""
    pending = set(routers)
    total, deadline = len(pending), time.monotonic() + timeout_s
    while pending and time.monotonic() < deadline:
        for address in sorted(pending):
            status = _status_or_error(address)
            if isinstance(status, RouterStatus) and status.config_version >= version:
                pending.discard(address)
        done = total - len(pending)
        output.progress(f"version {version} in force on {done} of {total} routers")
        if pending:
            time.sleep(_POLL_INTERVAL_S)
    output.clear_progress()
    if pending:
        text = (
            f"version {version} not in force on {', '.join(sorted(pending))} after {timeout_s:g} s"
        )
        output.errors([TimeoutError(f"{text}; see 'parsleyctl status'")])
        return Exit.INCOMPLETE
    if total and not output.as_json:
        print(f"version {version} in force on {total} routers")
    return Exit.OK


def drain(output: Output, table: BlockingTable, target: str, author: str, undo: bool) -> Exit:
    """Take a server or a router out of use, or back into use.

    The action and its audit record are written in one transaction.

    :param target: id of the server or router.
    :param undo: whether to take it back into use.
    """
    action = "undrain" if undo else "drain"
    entry = _AuditEntry(time.time(), author, action, target)
    key = f"{_AUDIT_PREFIX}{int(entry.time * 1000):015d}-{uuid.uuid4().hex[:8]}"
    record = Put(key, msgspec.json.encode(entry))
    if undo:
        txn = Txn((), (record,), (_DRAIN_PREFIX + target,))
    else:
        txn = Txn((), (record, Put(_DRAIN_PREFIX + target, author.encode())))
    table.txn(txn)
    output.result({"action": action, "target": target}, [f"{action} of {target} recorded"])
    return Exit.OK


def audit(output: Output, table: BlockingTable, limit: int) -> Exit:
    """Show operators' actions on the fleet; submissions of the lists are shown by ``history``."""
    rows = table.txn(Txn(reads=(Range(_AUDIT_PREFIX, prefix=True),))).rows[0][-limit:]
    entries = [msgspec.json.decode(row.value, type=_AuditEntry) for row in rows]
    lines = [
        f"{time.strftime('%Y-%m-%d %H:%M:%SZ', time.gmtime(e.time))}  {e.author}  "
        f"{e.action} {e.target}"
        for e in entries
    ]
    output.result(msgspec.to_builtins(entries), lines or ["no actions yet"])
    return Exit.OK


def _status_or_error(address: str) -> RouterStatus | StatusError:
    try:
        return router_status(address)
    except StatusError as error:
        return error


def _pool_rows(statuses: list[RouterStatus]) -> Iterable[tuple[object, ...]]:
    for status in statuses:
        for name, pool in sorted(status.pools.items()):
            slots = pool.slots.values()
            yield (
                name,
                status.router,
                pool.coordinator,
                pool.epoch,
                sum(slot.held for slot in slots),
                sum(slot.used for slot in slots),
                sum(pool.waiting.values()),
            )


def _member_totals(statuses: list[RouterStatus]) -> list[dict[str, Any]]:
    """Return service received and waiting calls per pool and member, summed over routers."""
    served: dict[tuple[str, str], float] = {}
    waiting: dict[tuple[str, str], int] = {}
    for status in statuses:
        for pool, state in status.pools.items():
            for member, cost in state.served.items():
                served[pool, member] = served.get((pool, member), 0.0) + cost
            for member, count in state.waiting.items():
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
