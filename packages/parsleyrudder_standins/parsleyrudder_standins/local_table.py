"""Table stand-in without a socket, for tests that start no processes."""

import json
from collections.abc import Callable

from parsleyrudder import TableError, Txn, TxnResult
from parsleyrudder_adapters.etcd import decode_result, encode_txn

from .table import TableStandIn

__all__ = ["LocalTable"]


class LocalTable:
    """Blocking table service within the process.

    :ivar faults: results of the next transactions, in order: ``ok``, ``down`` (not executed),
        ``lost`` (executed, but the response is lost); ``ok`` once the list is used up.
    :ivar before_txn: called with each transaction before it is executed; tests use it to simulate
        a concurrent client.
    """

    def __init__(self, faults: tuple[str, ...] = ()) -> None:
        self.faults = list(faults)
        self.before_txn: Callable[[Txn], None] = lambda txn: None
        self._standin = TableStandIn()

    def txn(self, txn: Txn) -> TxnResult:
        """Run a transaction.

        :raises TableError: if the next entry of ``faults`` is ``down`` or ``lost``.
        """
        self.before_txn(txn)
        fault = self.faults.pop(0) if self.faults else "ok"
        if fault == "down":
            raise TableError("table is down", "repeat later")
        body = self._standin.txn(json.loads(encode_txn(txn)))
        if fault == "lost":
            raise TableError("answer lost", "read back", txn.has_writes)
        return decode_result(json.dumps(body).encode(), txn)
