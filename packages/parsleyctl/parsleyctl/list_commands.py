"""Commands on the two lists: validate, diff, fetch, submit, history."""

import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
from parsleyrudder import (
    Accepted,
    LogEntry,
    decode_config,
    decode_log,
    describe_difference,
    difference,
    read_config_txn,
    read_log_txn,
)

from .exits import Exit
from .files import base_version, read_lists, write_lists
from .output import Output
from .submission import BlockingTable, submit_config

__all__ = ["diff", "fetch", "history", "submit_lists", "validate"]


def validate(output: Output, folder: Path, pools: frozenset[str] | None) -> Exit:
    """Check both lists; the table service is not used."""
    config = read_lists(folder, pools)
    members, plans = len(config.member_by_name), len(config.plan_by_name)
    output.result(
        {"valid": True, "members": members, "plans": plans},
        [f"valid: {members} members, {plans} plans"],
    )
    return Exit.OK


def diff(output: Output, table: BlockingTable, folder: Path) -> Exit:
    """Show what a submission would change."""
    new = read_lists(folder)
    accepted, _ = decode_config(table.txn(read_config_txn()))
    changes = describe_difference(difference(accepted, new), accepted)
    document = {"version": accepted.version, "changes": changes}
    output.result(document, changes or [f"no difference to version {accepted.version}"])
    return Exit.DIFFERENT if changes else Exit.OK


def fetch(output: Output, table: BlockingTable, folder: Path) -> Exit:
    """Write the accepted lists to files."""
    config, _ = decode_config(table.txn(read_config_txn()))
    write_lists(folder, config)
    output.result({"version": config.version}, [f"version {config.version} written to {folder}"])
    return Exit.OK


def submit_lists(
    output: Output,
    table: BlockingTable,
    folder: Path,
    author: str,
    base: int | None,
    pools: frozenset[str] | None,
    wait: Callable[[int], Exit],
) -> Exit:
    """Submit both lists.

    :param base: version that the change is based on; None means the version that the
        files were fetched from.
    :param wait: called with the accepted version; waits until the routers enforce it.
    """
    config = read_lists(folder, pools)
    base = base if base is not None else base_version(folder)
    outcome = submit_config(table, config, base, author)
    if isinstance(outcome, Accepted):
        text = f"accepted as version {outcome.version}"
        output.result({"accepted": outcome.version}, [text])
        return wait(outcome.version)
    newest = outcome.newer[-1] if outcome.newer else None
    text = "conflict: the lists have changed since they were fetched"
    if newest is not None:
        text = f"conflict: version {newest.version} is newer"
    lines = [text, *(line for entry in outcome.newer for line in _entry_lines(entry))]
    lines.append("fetch the lists again, repeat the change and submit it")
    output.result({"conflict": [_entry_document(entry) for entry in outcome.newer]}, lines)
    return Exit.CONFLICT


def history(output: Output, table: BlockingTable, after: int, limit: int) -> Exit:
    """Show accepted versions: who, when, what changed."""
    entries = decode_log(table.txn(read_log_txn(after)).rows[0])[-limit:]
    lines = [line for entry in entries for line in _entry_lines(entry)]
    output.result([_entry_document(entry) for entry in entries], lines or ["no versions yet"])
    return Exit.OK


def _entry_lines(entry: LogEntry) -> list[str]:
    timestamp = time.strftime("%Y-%m-%d %H:%M:%SZ", time.gmtime(entry.time))
    head = f"version {entry.version}  {timestamp}  {entry.author}  ({entry.submission})"
    return [head, *(f"  {line}" for line in entry.changes)]


def _entry_document(entry: LogEntry) -> Any:
    return msgspec.to_builtins(entry)
