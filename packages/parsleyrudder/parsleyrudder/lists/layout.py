"""How the configuration is kept in the table service, and the transactions that read and change it.

* ``config/head``: version, submission id and time of the newest accepted version;
* ``config/rows/<bucket>``: the rows, hashed into buckets, so that a change rewrites few of them;
* ``config/log/<version>``: author, time, submission id and difference of each version.
"""

import zlib
from collections.abc import Iterable

import msgspec

from ..table import Compare, Put, Range, Row, Txn, TxnResult
from .difference import Difference, apply_difference, describe, difference
from .model import Config, Member, Plan

__all__ = [
    "HEAD_KEY",
    "Accepted",
    "Conflict",
    "Head",
    "LogEntry",
    "decode_config",
    "decode_head",
    "decode_log",
    "read_config",
    "read_head",
    "read_log",
    "submit",
    "submit_result",
]

HEAD_KEY = "config/head"
_ROWS = "config/rows/"
_LOG = "config/log/"
_BUCKETS = 64


class Head(msgspec.Struct, frozen=True):
    """Newest accepted version."""

    version: int = 0
    submission: str = ""


class LogEntry(msgspec.Struct, frozen=True):
    """Audit record of one accepted version.

    :ivar time: seconds since the epoch, by the operator's clock.
    :ivar changes: one line per changed row, for people.
    """

    version: int
    author: str
    time: float
    submission: str
    diff: Difference
    changes: tuple[str, ...] = ()


class Accepted(msgspec.Struct, frozen=True):
    """A submission that became a version."""

    version: int


class Conflict(msgspec.Struct, frozen=True):
    """A submission that lost against newer versions."""

    newer: tuple[LogEntry, ...]


class _Bucket(msgspec.Struct, omit_defaults=True):
    members: list[Member] = []
    plans: list[Plan] = []


def read_head() -> Txn:
    """Return the read of the newest version number."""
    return Txn(reads=(Range(HEAD_KEY),))


def read_config() -> Txn:
    """Return the read of the whole configuration; decode it by :func:`decode_config`."""
    return Txn(reads=(Range(HEAD_KEY), Range(_ROWS, prefix=True)))


def read_log(after_version: int = 0, limit: int = 0) -> Txn:
    """Return the read of the audit records after a version."""
    after = _log_key(after_version) if after_version else ""
    return Txn(reads=(Range(_LOG, prefix=True, after=after, limit=limit),))


def decode_head(rows: list[Row]) -> tuple[Head, int]:
    """Return the head and the revision of its row; version 0 and revision 0 if there is none."""
    if not rows:
        return Head(), 0
    return msgspec.json.decode(rows[0].value, type=Head), rows[0].revision


def decode_config(result: TxnResult) -> tuple[Config, int]:
    """Return the configuration and the revision of its head from :func:`read_config`."""
    head, revision = decode_head(result.rows[0])
    config = Config(head.version)
    for row in result.rows[1]:
        bucket = msgspec.json.decode(row.value, type=_Bucket)
        config.member_by_name.update((member.name, member) for member in bucket.members)
        config.plan_by_name.update((plan.name, plan) for plan in bucket.plans)
    return config, revision


def decode_log(rows: list[Row]) -> list[LogEntry]:
    """Return audit records, oldest first."""
    return [msgspec.json.decode(row.value, type=LogEntry) for row in rows]


def submit(
    base: Config, head_revision: int, new: Config, author: str, time: float, submission: str
) -> Txn:
    """Return the transaction that makes ``new`` the version after ``base``.

    It changes nothing unless the head is still the one that ``base`` was read with. It also reads
    the head and the records after ``base``, for :func:`submit_result`.

    :param head_revision: revision of the head row that ``base`` was read with.
    :param submission: id that is unique to this submission.
    """
    diff = difference(base, new)
    version = base.version + 1
    target = apply_difference(base, diff, version)
    entry = LogEntry(version, author, time, submission, diff, tuple(describe(diff, base)))
    puts = [
        Put(HEAD_KEY, msgspec.json.encode(Head(version, submission))),
        Put(_log_key(version), msgspec.json.encode(entry)),
    ]
    puts += _bucket_puts(target, diff)
    reads = (Range(HEAD_KEY), *read_log(base.version).reads)
    return Txn((Compare(HEAD_KEY, head_revision),), tuple(puts), (), reads)


def submit_result(result: TxnResult, submission: str) -> Accepted | Conflict:
    """Tell from the rows read by :func:`submit`, or by a later read of the log, what happened.

    The submission's id decides, not whether the conditions held: a repeated transaction whose
    first answer was lost fails its conditions although the submission was accepted.
    """
    entries = decode_log(result.rows[-1])
    for entry in entries:
        if entry.submission == submission:
            return Accepted(entry.version)
    return Conflict(tuple(entries))


def _bucket_puts(target: Config, diff: Difference) -> list[Put]:
    names = {member.name for member in diff.members} | {plan.name for plan in diff.plans}
    names |= set(diff.removed_members) | set(diff.removed_plans)
    changed = {_bucket_of(name) for name in names}
    members = _rows_by_bucket(target.member_by_name.values(), changed)
    plans = _rows_by_bucket(target.plan_by_name.values(), changed)
    return [
        Put(f"{_ROWS}{n:02d}", msgspec.json.encode(_Bucket(members[n], plans[n])))
        for n in sorted(changed)
    ]


def _rows_by_bucket(rows: Iterable, buckets: set[int]) -> dict[int, list]:
    rows_by_bucket: dict[int, list] = {n: [] for n in buckets}
    for row in rows:
        bucket = _bucket_of(row.name)
        if bucket in buckets:
            rows_by_bucket[bucket].append(row)
    return rows_by_bucket


def _bucket_of(name: str) -> int:
    return zlib.crc32(name.encode()) % _BUCKETS


def _log_key(version: int) -> str:
    return f"{_LOG}{version:012d}"
