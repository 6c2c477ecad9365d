"""Lease that elects the coordinator of a pool, and its extension while the table is unreachable.

A :class:`CoordinatorLease` is one router's view of the lease record of one pool. The lease changes
hands only by conditional writes to the table. While the table is unreachable, the holder may
continue as long as a majority of the recorded view promises to follow no other coordinator (quorum
extension).
"""

import math
from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, field

import msgspec

from ..table import Compare, Put, Range, Row, Txn, TxnResult

__all__ = ["LEASE_PREFIX", "CoordinatorLease", "LeaseRecord", "LeaseRules", "is_majority"]

LEASE_PREFIX = "coordinators/"
_MAX_GRANT_TIMES = 100


class LeaseRecord(msgspec.Struct, frozen=True):
    """The lease of a pool's coordinator as stored in the table.

    :ivar holder: name of the router that holds the lease; empty after it has resigned.
    :ivar epoch: number of the lease, incremented with each new holder.
    :ivar view: routers of the fleet when the lease was acquired or renewed.
    :ivar clean: set by a holder that resigned while no portions were lost and it had no calls.
    """

    holder: str
    incarnation: int
    epoch: int
    view: tuple[str, ...]
    clean: bool = False


@dataclass(slots=True, frozen=True)
class LeaseRules:
    """Times of the lease, in seconds.

    :ivar lease_s: length of the lease, measured from the sending of the write.
    :ivar renew_interval_s: time between renewals by the holder, and between reads by the others.
    :ivar clock_margin: fraction of the lease that other routers wait in addition, because clocks
        differ.
    :ivar promise_s: time for which the holder relies on a promise.
    :ivar grant_timeout_s: time without a grant after which the lease is read more often.
    :ivar fast_read_interval_s: time between reads while no grants arrive.
    """

    lease_s: float = 3.0
    renew_interval_s: float = 1.0
    clock_margin: float = 0.25
    promise_s: float = 2.0
    grant_timeout_s: float = 1.0
    fast_read_interval_s: float = 0.25

    @property
    def promise_binding_s(self) -> float:
        """Time for which a promise binds its sender; longer than the holder relies on it."""
        return self.promise_s * (1 + self.clock_margin)


@dataclass(slots=True)
class CoordinatorLease:
    """One router's state of the lease of one pool.

    A holder may grant as soon as a majority of the replaced record's view follows its epoch. Until
    then its record repeats that view, so that the next successor needs a majority of the same
    routers.

    :param router: name of this router.
    :param started_at: time at which this process started; promises of the previous process may
        still bind this router for ``rules.promise_binding_s``.
    :ivar record: record of the newest lease known.
    :ivar gone: routers that the instance list reports as gone; they are left out of views.
    :ivar _stored_record: record read last from the table.
    :ivar _replaced_record: record that this router's own lease has replaced.
    :ivar _unconfirmed_view: view of a write whose result is not known.
    :ivar _grant_times: by router, sequence numbers of answered reports and times of their grants.
    :ivar _promise_valid_until: by router, time until which this router relies on its promise.
    """

    pool: str
    router: str
    incarnation: int
    rules: LeaseRules = field(default_factory=LeaseRules)
    started_at: float = -math.inf
    record: LeaseRecord | None = None
    gone: frozenset[str] = frozenset()
    _stored_record: LeaseRecord | None = None
    _revision: int = 0
    _record_changed_at: float = -math.inf
    _valid_until: float = -math.inf
    _last_txn_at: float = -math.inf
    _replaced_record: LeaseRecord | None = None
    _unconfirmed_view: tuple[str, ...] | None = None
    _acting_epoch: int = 0
    _followers: set[str] = field(default_factory=set)
    _last_grant_at: float = -math.inf
    _last_grant_epoch: int = 0
    _promised_until: float = -math.inf
    _promised_epoch: int = 0
    _grant_times: dict[str, deque[tuple[int, float]]] = field(default_factory=dict)
    _promise_valid_until: dict[str, float] = field(default_factory=dict)

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
        """View of the lease that this router's own lease has replaced."""
        return self._replaced_record.view if self._replaced_record else ()

    @property
    def previous_clean(self) -> bool:
        """Whether the holder of the replaced lease resigned cleanly; see :class:`LeaseRecord`."""
        return self._replaced_record is not None and self._replaced_record.clean

    def is_holder(self) -> bool:
        """Whether this incarnation of this router holds the newest lease known."""
        record = self.record
        return record is not None and (
            record.holder == self.router and record.incarnation == self.incarnation
        )

    def is_acting(self) -> bool:
        """Whether this router holds the lease and a majority of the replaced view follows it."""
        if not self.is_holder():
            return False
        if self._acting_epoch != self.epoch:
            if not is_majority(self._followers, self._without_gone(self.previous_view)):
                return False
            self._acting_epoch = self.epoch
            self._last_txn_at = -math.inf
        return True

    @property
    def revision(self) -> int:
        """Revision of the record when last read; writes under this lease are conditional on it."""
        return self._revision

    def is_valid(self, now: float) -> bool:
        """Whether the lease in the table is valid; this suffices for conditional writes."""
        return self.is_holder() and now < self._valid_until

    def may_grant(self, now: float) -> bool:
        """Whether this router may grant portions now."""
        if not self.is_acting() or self.record is None:
            return False
        if now < self._valid_until:
            return True
        promised = {name for name, until in self._promise_valid_until.items() if now < until}
        views = [self.record.view]
        if self._unconfirmed_view is not None:
            views.append(self._unconfirmed_view)
        return all(is_majority(promised, self._without_gone(view)) for view in views)

    def may_grant_to(self, router: str) -> bool:
        """Whether portions may be granted to a router.

        A successor waits for the reports of the routers in the recorded view only.
        """
        if self.record is None or router not in self.record.view:
            return False
        return self._unconfirmed_view is None or router in self._unconfirmed_view

    def on_granted(self, router: str, report_seq: int, now: float) -> None:
        """Record when a report was first answered; a promise that names it runs from then."""
        sent = self._grant_times.setdefault(router, deque(maxlen=_MAX_GRANT_TIMES))
        if not sent or sent[-1][0] < report_seq:
            sent.append((report_seq, now))

    def on_report(self, router: str, epoch: int, answered_seq: int, table_up: bool) -> None:
        """Count a report as support: its sender follows this epoch, and may send a promise.

        :param answered_seq: latest of the sender's reports that a grant of that epoch has answered.
        :param table_up: False if the report is a promise to follow no other coordinator for a
            limited time.
        """
        if not self.is_holder() or epoch != self.epoch:
            return
        self._followers.add(router)
        if table_up:
            return
        for report_seq, sent_at in self._grant_times.get(router, ()):
            if report_seq == answered_seq:
                until = sent_at + self.rules.promise_s
                self._promise_valid_until[router] = max(
                    self._promise_valid_until.get(router, until), until
                )

    def promise(self) -> None:
        """Bind this router to its coordinator.

        Call it with each report that is sent while the table is unreachable. The binding runs from
        the receipt of the last grant. The coordinator relies on it from the earlier sending of that
        grant, so delayed messages can't extend its right to grant.
        """
        self._promised_until = max(
            self._promised_until, self._last_grant_at + self.rules.promise_binding_s
        )
        self._promised_epoch = self._last_grant_epoch

    def may_follow(self, now: float) -> bool:
        """Whether no promise binds this router, so that its reports may support a new epoch."""
        return now >= max(self._promised_until, self.started_at + self.rules.promise_binding_s)

    def may_report(self, epoch: int, now: float) -> bool:
        """Whether a report may be sent to the holder of the newest lease known.

        :param epoch: epoch that the router currently follows.
        """
        return epoch == self.epoch or now >= self._promised_until

    def follow(self, epoch: int, holder: str, now: float) -> bool:
        """Note the coordinator that sent a grant; return whether to accept the grant.

        A router that is bound by a promise follows no other coordinator until the promise ends.
        """
        if epoch < self.epoch or (now < self._promised_until and epoch != self._promised_epoch):
            return False
        if epoch > self.epoch:
            self.record = LeaseRecord(holder, 0, epoch, ())
        accepted = self.record is not None and self.record.holder == holder
        if accepted:
            self._last_grant_at, self._last_grant_epoch = now, epoch
        return accepted

    def next_txn(self, now: float, candidate: bool, view: Collection[str]) -> Txn | None:
        """Return the transaction that is due, or None.

        :param candidate: whether this router is the one that should coordinate the pool.
        :param view: routers of the fleet, including this one.
        """
        if now < self._last_txn_at + self._txn_interval_s(now):
            return None
        self._last_txn_at = now
        if self.is_holder() and candidate:
            return self._renewal_txn(view)
        if candidate and self._stored_is_newest() and self.has_lapsed(now):
            stored = self._stored_record
            if stored is None or not stored.view:
                return self._write_txn(self.epoch + 1, tuple(sorted(view)))
            return self._write_txn(self.epoch + 1, stored.view)
        return Txn(reads=(Range(self.key),))

    def resign(self, clean: bool = False) -> Txn | None:
        """Return the transaction that gives up the lease, or None if this router holds none.

        The record is kept without a holder, so that epochs keep increasing.

        :param clean: whether no portion is lost and this router no longer holds any.
        """
        if not self.is_holder() or self.record is None:
            return None
        self._valid_until = -math.inf
        clean = clean and self.is_acting() and self._unconfirmed_view is None
        view = self._unconfirmed_view or self.record.view
        if clean:
            view = tuple(name for name in view if name != self.router)
        self.record = LeaseRecord("", 0, self.record.epoch, view, clean)
        put = Put(self.key, msgspec.json.encode(self.record))
        return Txn((Compare(self.key, self._revision),), (put,), (), (Range(self.key),))

    def on_result(self, txn: Txn, result: TxnResult, sent_at: float, now: float) -> None:
        """Process the result of a transaction of :meth:`next_txn`.

        :param sent_at: time at which the transaction was sent; the lease runs from then.
        """
        rows = result.rows[0] if result.rows else []
        self._apply_rows(rows, now)
        if txn.has_writes and result.succeeded and self.is_holder():
            self._valid_until = max(self._valid_until, sent_at + self.rules.lease_s)

    def _apply_rows(self, rows: list[Row], now: float) -> None:
        if not rows or rows[0].revision <= self._revision:
            return
        record = msgspec.json.decode(rows[0].value, type=LeaseRecord)
        before, self._stored_record = self._stored_record, record
        self._revision = rows[0].revision
        self._record_changed_at = now
        # A write that compares an older revision can no longer take effect.
        self._unconfirmed_view = None
        if self.record is not None and record.epoch < self.record.epoch:
            return
        if record.holder == self.router and record.epoch > self.epoch:
            self._replaced_record = before
            self._followers.clear()
            self._grant_times.clear()
            self._promise_valid_until.clear()
        self.record = record

    def _txn_interval_s(self, now: float) -> float:
        """Return the time between transactions, which is shorter while no grants arrive."""
        grant_overdue = now >= self._last_grant_at + self.rules.grant_timeout_s
        return (
            self.rules.fast_read_interval_s
            if grant_overdue and not self.is_holder()
            else self.rules.renew_interval_s
        )

    def _stored_is_newest(self) -> bool:
        """Whether the record read last is the newest lease known, so a write may replace it."""
        return self.record is None or self._stored_record == self.record

    def has_lapsed(self, now: float) -> bool:
        """Whether the newest lease known has expired, has no holder or belongs to this router."""
        if self.record is None or not self.record.holder:
            return True
        if self.record.holder == self.router:
            return True
        return now >= self._record_changed_at + self.rules.lease_s * (1 + self.rules.clock_margin)

    def _renewal_txn(self, view: Collection[str]) -> Txn:
        """Return the renewal; the view changes only once the previous write is confirmed."""
        assert self.record is not None
        new = self.record.view
        if self._unconfirmed_view is not None:
            new = self._unconfirmed_view
        elif self.is_acting():
            new = tuple(sorted({*view, self.router} - self.gone))
        self._unconfirmed_view = new
        return self._write_txn(self.epoch, new)

    def _write_txn(self, epoch: int, view: tuple[str, ...]) -> Txn:
        record = LeaseRecord(self.router, self.incarnation, epoch, view)
        put = Put(self.key, msgspec.json.encode(record))
        return Txn((Compare(self.key, self._revision),), (put,), (), (Range(self.key),))

    def _without_gone(self, view: Collection[str]) -> list[str]:
        return [name for name in view if name not in self.gone]


def is_majority(names: Collection[str], view: Collection[str]) -> bool:
    """Return whether some names form a majority of a view.

    In a view of even size the first name in sorted order counts for half a vote more, so that one
    of two equal halves is a majority.

    >>> is_majority({"a", "b"}, ["a", "b", "c", "d"]), is_majority({"c", "d"}, "abcd")
    (True, False)
    """
    if not view:
        return True
    count = 2 * sum(name in names for name in view)
    if len(view) % 2 == 0 and min(view) in names:
        count += 1
    return count > len(view)
