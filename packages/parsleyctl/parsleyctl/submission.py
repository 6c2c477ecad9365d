"""One submission of both lists, settled even if an answer of the table service is lost."""

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

_TRIES = 5
_PAUSE_S = 1.0


class BlockingTable(Protocol):
    """Table service that is called and waited for."""

    def txn(self, txn: Txn) -> TxnResult:
        """Run a transaction.

        :raises TableError: if there is no answer.
        """
        ...


def submit_config(
    table: BlockingTable,
    new: Config,
    base_version: int | None,
    author: str,
    pause: Callable[[float], None] = time.sleep,
) -> Accepted | Conflict:
    """Submit a configuration in one conditional transaction.

    A transaction whose answer was lost is repeated under the same submission id: either it has
    taken effect, which the log shows, or it does so now, or a newer version has come first.

    :param base_version: version that the change is based on; None takes the newest.
    :raises TableError: if the table service stays unreachable; whether the submission was accepted
        is then unknown, and the error names its id.
    """
    submission = f"{author}-{uuid.uuid4().hex}"
    base, revision = decode_config(table.txn(read_config_txn()))
    if base_version is not None and base_version != base.version:
        newer = decode_log(table.txn(read_log_txn(base_version)).rows[0])
        return Conflict(tuple(newer))
    txn = submit_txn(base, revision, new, author, time.time(), submission)
    lost: TableError | None = None
    for attempt in range(_TRIES):
        if attempt:
            pause(_PAUSE_S)
        try:
            return submit_result(table.txn(txn), submission)
        except TableError as error:
            lost = lost or error
            if not error.maybe_applied and lost is error:
                raise
    assert lost is not None
    remedy = f"look for submission {submission} in 'parsleyctl history' before repeating it"
    raise TableError("the answer to the submission was lost", remedy, True) from lost
