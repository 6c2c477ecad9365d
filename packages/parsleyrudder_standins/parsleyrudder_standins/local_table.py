"""The table stand-in without a socket, for tests that want no processes."""

import json
from collections.abc import Callable

from parsleyrudder import TableError, Txn, TxnResult
from parsleyrudder_adapters.etcd import decode_result, encode_txn

from .table import TableStandIn

__all__ = ["LocalTable"]


class LocalTable:
    """Blocking table service in this process.

    :ivar faults: what happens to the next transactions, in order: ``ok``, ``down`` (nothing
        happens), ``lost`` (it takes effect, but the answer is lost).
    :ivar before: called before each transaction, as another user of the table would act.
    """

    def __init__(self, faults: tuple[str, ...] = ()) -> None:
        self.faults = list(faults)
        self.before: Callable[[Txn], None] = lambda txn: None
        self._standin = TableStandIn()

    def txn(self, txn: Txn) -> TxnResult:
        """Run a transaction.

        :raises TableError: as the next fault says.
        """
        self.before(txn)
        fault = self.faults.pop(0) if self.faults else "ok"
        if fault == "down":
            raise TableError("table is down", "repeat later")
        body = self._standin.txn(json.loads(encode_txn(txn)))
        if fault == "lost":
            raise TableError("answer lost", "read back", txn.has_writes)
        return decode_result(json.dumps(body).encode(), txn)
