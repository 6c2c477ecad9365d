"""Layout of the configuration in the table service, and the transactions that read and change it.

* ``config/head``: version and submission id of the newest accepted version;
* ``config/rows/<bucket>``: members and plans, partitioned by a hash of their names, so that a
  change rewrites few table rows;
* ``config/log/<version>``: author, time, submission id and difference of each version.
"""

import zlib
from collections.abc import Iterable

import msgspec

from ..table import Compare, Put, Range, Row, Txn, TxnResult
from .difference import Difference, apply_difference, describe_difference, difference
from .model import Config, Member, Plan

__all__ = [
    "HEAD_KEY",
    "Accepted",
    "ConfigHead",
    "Conflict",
    "LogEntry",
    "decode_config",
    "decode_head",
    "decode_log",
    "read_config_txn",
    "read_head_txn",
    "read_log_txn",
    "submit_result",
    "submit_txn",
]

HEAD_KEY = "config/head"
_ROWS_PREFIX = "config/rows/"
_LOG_PREFIX = "config/log/"
_BUCKET_COUNT = 64


class ConfigHead(msgspec.Struct, frozen=True):
    """Newest accepted version.

    :ivar submission: id of the submission that created the version.
    """

    version: int = 0
    submission: str = ""


class LogEntry(msgspec.Struct, frozen=True):
    """Audit log entry of one accepted version.

    :ivar time: time of submission in seconds since the Unix epoch, by the operator's clock.
    :ivar submission: id of the submission that created the version.
    :ivar diff: difference from the preceding version.
    :ivar changes: human-readable description of the difference, one line per changed row.
    """

    version: int
    author: str
    time: float
    submission: str
    diff: Difference
    changes: tuple[str, ...] = ()


class Accepted(msgspec.Struct, frozen=True):
    """Result of a submission that was accepted as a new version."""

    version: int


class Conflict(msgspec.Struct, frozen=True):
    """Result of a submission that was rejected because newer versions exist.

    :ivar newer: log entries of the versions after the one that the submission is based on.
    """

    newer: tuple[LogEntry, ...]


class _Bucket(msgspec.Struct, omit_defaults=True):
    members: list[Member] = []
    plans: list[Plan] = []


def read_head_txn() -> Txn:
    """Return the transaction that reads the head; decode it by :func:`decode_head`."""
    return Txn(reads=(Range(HEAD_KEY),))


def read_config_txn() -> Txn:
    """Return the transaction that reads the configuration; decode it by :func:`decode_config`."""
    return Txn(reads=(Range(HEAD_KEY), Range(_ROWS_PREFIX, prefix=True)))


def read_log_txn(after_version: int = 0, limit: int = 0) -> Txn:
    """Return the transaction that reads the log; decode its rows by :func:`decode_log`.

    :param after_version: version after which entries are read; 0 reads from the first.
    :param limit: maximum number of entries; 0 for no limit.
    """
    after = _log_key(after_version) if after_version else ""
    return Txn(reads=(Range(_LOG_PREFIX, prefix=True, after=after, limit=limit),))


def decode_head(rows: list[Row]) -> tuple[ConfigHead, int]:
    """Return the head and the revision of its row; version 0 and revision 0 if there is none."""
    if not rows:
        return ConfigHead(), 0
    return msgspec.json.decode(rows[0].value, type=ConfigHead), rows[0].revision


def decode_config(result: TxnResult) -> tuple[Config, int]:
    """Return the configuration and the head's revision from a result of :func:`read_config_txn`."""
    head, revision = decode_head(result.rows[0])
    config = Config(head.version)
    for row in result.rows[1]:
        bucket = msgspec.json.decode(row.value, type=_Bucket)
        config.member_by_name.update((member.name, member) for member in bucket.members)
        config.plan_by_name.update((plan.name, plan) for plan in bucket.plans)
    return config, revision


def decode_log(rows: list[Row]) -> list[LogEntry]:
    """Return the log entries, oldest first."""
    return [msgspec.json.decode(row.value, type=LogEntry) for row in rows]


def submit_txn(
    base: Config, head_revision: int, new: Config, author: str, time: float, submission: str
) -> Txn:
    """Return the transaction that makes ``new`` the version after ``base``.

    It writes only if the head is unchanged since ``base`` was read. In either case it reads the
    head and the log entries after ``base``, for :func:`submit_result`.

    :param head_revision: revision of the head row that ``base`` was read with.
    :param submission: unique id of this submission.
    """
    diff = difference(base, new)
    version = base.version + 1
    new_config = apply_difference(base, diff, version)
    entry = LogEntry(
        version, author, time, submission, diff, tuple(describe_difference(diff, base))
    )
    puts = [
        Put(HEAD_KEY, msgspec.json.encode(ConfigHead(version, submission))),
        Put(_log_key(version), msgspec.json.encode(entry)),
    ]
    puts += _bucket_puts(new_config, diff)
    reads = (Range(HEAD_KEY), *read_log_txn(base.version).reads)
    return Txn((Compare(HEAD_KEY, head_revision),), tuple(puts), (), reads)


def submit_result(result: TxnResult, submission: str) -> Accepted | Conflict:
    """Return the outcome of a submission from the log entries in a transaction's result.

    The result is that of :func:`submit_txn` or of a later read of the log. The outcome depends on
    the submission id, not on whether the conditions held: if the response to the transaction was
    lost, its repetition fails the conditions although the submission was accepted.
    """
    entries = decode_log(result.rows[-1])
    for entry in entries:
        if entry.submission == submission:
            return Accepted(entry.version)
    return Conflict(tuple(entries))


def _bucket_puts(config: Config, diff: Difference) -> list[Put]:
    names = {member.name for member in diff.members} | {plan.name for plan in diff.plans}
    names |= set(diff.removed_members) | set(diff.removed_plans)
    changed = {_bucket_of(name) for name in names}
    members = _rows_by_bucket(config.member_by_name.values(), changed)
    plans = _rows_by_bucket(config.plan_by_name.values(), changed)
    return [
        Put(f"{_ROWS_PREFIX}{n:02d}", msgspec.json.encode(_Bucket(members[n], plans[n])))
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
    return zlib.crc32(name.encode()) % _BUCKET_COUNT


def _log_key(version: int) -> str:
    return f"{_LOG_PREFIX}{version:012d}"
