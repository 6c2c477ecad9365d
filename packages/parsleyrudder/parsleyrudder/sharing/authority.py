"""Which router coordinates a pool: a lease in the table, and its extension while the table is down.

A :class:`CoordinatorLease` is one router's view of one pool's lease record. Only the table's
conditional writes hand the lease over. While the table is unreachable, the holder goes on as long
as a majority of the recorded view promises to follow nobody else (quorum extension).
"""

import math
from collections.abc import Collection
from dataclasses import dataclass, field

import msgspec

from ..table import Compare, Put, Range, Row, Txn, TxnResult

__all__ = ["LEASE_PREFIX", "CoordinatorLease", "LeaseRecord", "LeaseRules", "is_majority"]

LEASE_PREFIX = "coordinators/"
# A lease that is overdue is read more often: the next holder, and the routers that have to follow
# it, must learn of it before their portions end.
_LATE_FACTOR = 0.25


class LeaseRecord(msgspec.Struct, frozen=True):
    """The lease of a pool's coordinator as the table keeps it.

    :ivar view: routers of the fleet when the lease was taken or renewed.
    """

    holder: str
    incarnation: int
    epoch: int
    view: tuple[str, ...]


@dataclass(slots=True, frozen=True)
class LeaseRules:
    """Times of the lease, in seconds.

    :ivar lease_s: length of the lease, from the sending of the write.
    :ivar renew_s: time between renewals, and between reads by the others.
    :ivar margin: part of the lease that others wait in addition, for clocks that differ.
    :ivar promise_s: time for which a promise binds the router that gave it.
    """

    lease_s: float = 3.0
    renew_s: float = 1.0
    margin: float = 0.25
    promise_s: float = 2.0


@dataclass(slots=True)
class CoordinatorLease:
    """One router's knowledge of the lease of one pool, and its own part in it.

    :param me: name of this router.
    """

    pool: str
    me: str
    incarnation: int
    rules: LeaseRules = field(default_factory=LeaseRules)
    record: LeaseRecord | None = None
    _revision: int = 0
    _changed_at: float = -math.inf
    _valid_until: float = -math.inf
    _asked_at: float = -math.inf
    _previous: LeaseRecord | None = None
    _promised_until: float = -math.inf
    _promised: tuple[int, str] = (0, "")
    _promise_by_router: dict[str, float] = field(default_factory=dict)
    _followers: set[str] = field(default_factory=set)

    @property
    def key(self) -> str:
        """Key of the lease record in the table."""
        return LEASE_PREFIX + self.pool

    @property
    def epoch(self) -> int:
        """Epoch of the newest lease known; 0 if none is."""
        return self.record.epoch if self.record else 0

    @property
    def previous_view(self) -> tuple[str, ...]:
        """View of the lease before this router's own."""
        return self._previous.view if self._previous else ()

    def is_holder(self) -> bool:
        """Whether the newest lease known is that of this router and incarnation."""
        record = self.record
        return record is not None and (
            record.holder == self.me and record.incarnation == self.incarnation
        )

    def may_grant(self, now: float) -> bool:
        """Whether this router may grant portions now.

        A new holder needs reports that follow it from a majority of the previous view: routers
        that have promised to stay with the previous holder send none.
        """
        if not self.is_holder() or self.record is None or not self._is_confirmed():
            return False
        if now < self._valid_until:
            return True
        # A promise binds from its sending on; the margin covers the time on the way.
        length = self.rules.promise_s * (1 - self.rules.margin)
        promised = {name for name, at in self._promise_by_router.items() if now < at + length}
        return is_majority(promised, self.record.view)

    def on_follower(self, router: str, epoch: int) -> None:
        """Take a report as a sign that its sender follows the coordinator of an epoch."""
        if epoch == self.epoch:
            self._followers.add(router)

    def on_promise(self, router: str, now: float) -> None:
        """Take a report that says that its sender does not reach the table, as a promise."""
        self._promise_by_router[router] = now

    def promise(self, now: float) -> None:
        """Bind this router to the holder that it reports to while the table is unreachable."""
        followed = self.followed(now)
        if followed[1]:
            self._promised, self._promised_until = followed, now + self.rules.promise_s

    def followed(self, now: float) -> tuple[int, str]:
        """Return epoch and name of the coordinator to report to; the name is empty for none."""
        if now < self._promised_until:
            return self._promised
        return self.epoch, self.record.holder if self.record else ""

    def follow(self, epoch: int, holder: str, now: float) -> bool:
        """Hear of a coordinator by a message; return whether to report to it.

        A router that has promised follows nobody else until its promise has ended.
        """
        if now < self._promised_until:
            return (epoch, holder) == self._promised
        if epoch < self.epoch:
            return False
        if self.record is not None and holder == self.record.holder:
            return True
        if epoch > self.epoch:
            self.record = LeaseRecord(holder, 0, epoch, ())
            self._changed_at = now
        return self.record is not None and self.record.holder == holder

    def has_lapsed(self, now: float) -> bool:
        """Whether the lease of the newest record known has ended or belonged to this router."""
        if self.record is None or self.record.holder in ("", self.me):
            return True
        return now >= self._changed_at + self.rules.lease_s * (1 + self.rules.margin)

    def next_txn(self, now: float, candidate: bool, view: Collection[str]) -> Txn | None:
        """Return the transaction that is due, or None.

        :param candidate: whether this router is the one that should coordinate the pool.
        :param view: routers of the fleet, this one included.
        """
        late = now >= self._changed_at + self.rules.lease_s
        interval_s = self.rules.renew_s * (_LATE_FACTOR if late else 1.0)
        if now < self._asked_at + interval_s:
            return None
        self._asked_at = now
        if self.is_holder() and candidate:
            return self._write(self.epoch, view)
        if candidate and self.has_lapsed(now):
            return self._write(self.epoch + 1, view)
        return Txn(reads=(Range(self.key),))

    def resign(self) -> Txn | None:
        """Return the transaction that gives the lease up, or None if this router holds none.

        The record stays, without a holder, so that the epoch keeps growing. This router is left
        out of its view, so that the next holder does not wait for it.
        """
        if not self.is_holder() or self.record is None:
            return None
        self._valid_until = -math.inf
        view = tuple(name for name in self.record.view if name != self.me)
        record = LeaseRecord("", 0, self.record.epoch, view)
        put = Put(self.key, msgspec.json.encode(record))
        return Txn((Compare(self.key, self._revision),), (put,), (), (Range(self.key),))

    def on_result(self, txn: Txn, result: TxnResult, sent_at: float, now: float) -> None:
        """Take the answer to a transaction of :meth:`next_txn`.

        :param sent_at: time at which the transaction was sent; the lease runs from then.
        """
        rows = result.rows[0] if result.rows else []
        self._take(rows, now)
        if txn.writes and result.succeeded and self.is_holder():
            self._valid_until = max(self._valid_until, sent_at + self.rules.lease_s)

    def _take(self, rows: list[Row], now: float) -> None:
        if not rows or rows[0].revision <= self._revision:
            return
        record = msgspec.json.decode(rows[0].value, type=LeaseRecord)
        if self.record is None or record.epoch >= self.record.epoch:
            if self.record is None or record.epoch > self.record.epoch:
                self._previous = self.record
                self._followers.clear()
            self.record = record
        self._revision = rows[0].revision
        self._changed_at = now

    def _is_confirmed(self) -> bool:
        previous = self._previous
        if previous is None or previous.holder in ("", self.me):
            return True
        return is_majority(self._followers | {self.me}, previous.view)

    def _write(self, epoch: int, view: Collection[str]) -> Txn:
        record = LeaseRecord(self.me, self.incarnation, epoch, tuple(sorted(view)))
        put = Put(self.key, msgspec.json.encode(record))
        return Txn((Compare(self.key, self._revision),), (put,), (), (Range(self.key),))


def is_majority(names: Collection[str], view: Collection[str]) -> bool:
    """Return whether some names are a majority of a view.

    In a view of even size the first name in sorted order counts for one half more, so that one of
    two equal halves is a majority.

    >>> is_majority({"a", "b"}, ["a", "b", "c", "d"]), is_majority({"c", "d"}, "abcd")
    (True, False)
    """
    if not view:
        return True
    count = 2 * sum(name in names for name in view)
    if len(view) % 2 == 0 and min(view) in names:
        count += 1
    return count > len(view)
