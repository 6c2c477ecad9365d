"""Submission of both lists, with retries when a response of the table service is lost."""

import time
import uuid
from collections.abc import Callable
from typing import Protocol

from parsleyrudder import (
    Accepted,
    Config,
    Conflict,
    TableError,
    Txn,
    TxnResult,
    decode_config,
    decode_log,
    read_config_txn,
    read_log_txn,
    submit_result,
    submit_txn,
)

__all__ = ["BlockingTable", "submit_config"]

_MAX_ATTEMPTS = 5
_RETRY_DELAY_S = 1.0


class BlockingTable(Protocol):
    """Table service with blocking calls."""

    def txn(self, txn: Txn) -> TxnResult:
        """Run a transaction.

        :raises TableError: if there is no valid response.
        """
        ...


def submit_config(
    table: BlockingTable,
    new: Config,
    base_version: int | None,
    author: str,
    sleep: Callable[[float], None] = time.sleep,
) -> Accepted | Conflict:
    """Submit a configuration in one conditional transaction.

    A transaction whose response was lost is repeated under the same submission id. Either it has
    already taken effect, which the log shows, or it takes effect now, or a newer version was
    accepted first.

    :param base_version: version that the change is based on; None means the newest version.
    :param sleep: waits for a number of seconds between attempts.
    :raises TableError: if the table service stays unreachable. If ``maybe_applied`` is set, the
        submission may have been accepted, and the error names its id.
    """
    submission_id = f"{author}-{uuid.uuid4().hex}"
    base, revision = decode_config(table.txn(read_config_txn()))
    if base_version is not None and base_version != base.version:
        newer = decode_log(table.txn(read_log_txn(base_version)).rows[0])
        return Conflict(tuple(newer))
    txn = submit_txn(base, revision, new, author, time.time(), submission_id)
    first_error: TableError | None = None
    for attempt in range(_MAX_ATTEMPTS):
        if attempt:
            sleep(_RETRY_DELAY_S)
        try:
            return submit_result(table.txn(txn), submission_id)
        except TableError as error:
            first_error = first_error or error
            if not error.maybe_applied and first_error is error:
                raise
    assert first_error is not None
    remedy = f"look for submission {submission_id} in 'parsleyctl history' before repeating it"
    raise TableError("the answer to the submission was lost", remedy, True) from first_error
