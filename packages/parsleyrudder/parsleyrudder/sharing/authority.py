"""Which router coordinates a pool: a lease in the table, and its extension while the table is down.

A :class:`CoordinatorLease` is one router's view of one pool's lease record. Only the table's
conditional writes hand the lease over. While the table is unreachable, the holder goes on as long
as a majority of the recorded view promises to follow nobody else (quorum extension).
"""

import math
from collections import deque
from collections.abc import Collection
from dataclasses import dataclass, field

import msgspec

from ..table import Compare, Put, Range, Row, Txn, TxnResult

__all__ = ["LEASE_PREFIX", "CoordinatorLease", "LeaseRecord", "LeaseRules", "is_majority"]

LEASE_PREFIX = "coordinators/"
_GRANTS_KEPT = 100


class LeaseRecord(msgspec.Struct, frozen=True):
    """The lease of a pool's coordinator as the table keeps it.

    :ivar view: routers of the fleet when the lease was taken or renewed.
    :ivar clean: set by a holder that resigned without lost portions and without calls of its own.
    """

    holder: str
    incarnation: int
    epoch: int
    view: tuple[str, ...]
    clean: bool = False


@dataclass(slots=True, frozen=True)
class LeaseRules:
    """Times of the lease, in seconds.

    :ivar lease_s: length of the lease, from the sending of the write.
    :ivar renew_s: time between renewals, and between reads by the others.
    :ivar margin: part of the lease that others wait in addition, for clocks that differ.
    :ivar promise_s: time for which the holder counts on a promise.
    :ivar silence_s: time without a grant after which the lease is read more often.
    :ivar hurry_s: time between reads while no grant arrives.
    """

    lease_s: float = 3.0
    renew_s: float = 1.0
    margin: float = 0.25
    promise_s: float = 2.0
    silence_s: float = 1.0
    hurry_s: float = 0.25

    @property
    def bound_s(self) -> float:
        """Time for which a promise binds its giver; longer than the holder counts on it."""
        return self.promise_s * (1 + self.margin)


@dataclass(slots=True)
class CoordinatorLease:
    """One router's knowledge of the lease of one pool, and its own part in it.

    A holder has the right to grant from the moment at which a majority of the replaced record's
    view follows its epoch. Until then its record repeats that view, so that a further successor
    asks the same routers.

    :param me: name of this router.
    :param started_at: time at which this process started; promises of the process before it may
        still bind this router for ``rules.bound_s``.
    :ivar gone: routers that the instance list shows as gone; they are left out of views.
    """

    pool: str
    me: str
    incarnation: int
    rules: LeaseRules = field(default_factory=LeaseRules)
    started_at: float = -math.inf
    record: LeaseRecord | None = None
    gone: frozenset[str] = frozenset()
    _stored: LeaseRecord | None = None
    _revision: int = 0
    _changed_at: float = -math.inf
    _valid_until: float = -math.inf
    _asked_at: float = -math.inf
    _replaced: LeaseRecord | None = None
    _unconfirmed_view: tuple[str, ...] | None = None
    _acting_epoch: int = 0
    _followers: set[str] = field(default_factory=set)
    _heard_at: float = -math.inf
    _heard_epoch: int = 0
    _promised_until: float = -math.inf
    _promised_epoch: int = 0
    _granted_at: dict[str, deque[tuple[int, float]]] = field(default_factory=dict)
    _counted_until: dict[str, float] = field(default_factory=dict)

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
        """View of the lease that this router's own has replaced."""
        return self._replaced.view if self._replaced else ()

    @property
    def previous_clean(self) -> bool:
        """Whether the lease that this router's own has replaced was left in order."""
        return self._replaced is not None and self._replaced.clean

    def is_holder(self) -> bool:
        """Whether the newest lease known is that of this router and incarnation."""
        record = self.record
        return record is not None and (
            record.holder == self.me and record.incarnation == self.incarnation
        )

    def is_acting(self) -> bool:
        """Whether this router holds the lease and a majority of the replaced view follows it."""
        if not self.is_holder():
            return False
        if self._acting_epoch != self.epoch:
            if not is_majority(self._followers, self._without_gone(self.previous_view)):
                return False
            self._acting_epoch = self.epoch
            self._asked_at = -math.inf
        return True

    @property
    def revision(self) -> int:
        """Revision of the record as last read; the condition of writes under this lease."""
        return self._revision

    def is_valid(self, now: float) -> bool:
        """Whether the table's own lease runs, which is enough for what conditional writes guard."""
        return self.is_holder() and now < self._valid_until

    def may_grant(self, now: float) -> bool:
        """Whether this router may grant portions now."""
        if not self.is_acting() or self.record is None:
            return False
        if now < self._valid_until:
            return True
        promised = {name for name, until in self._counted_until.items() if now < until}
        views = [self.record.view]
        if self._unconfirmed_view is not None:
            views.append(self._unconfirmed_view)
        return all(is_majority(promised, self._without_gone(view)) for view in views)

    def covers(self, router: str) -> bool:
        """Whether a successor would wait for a router, so that portions may be granted to it."""
        if self.record is None or router not in self.record.view:
            return False
        return self._unconfirmed_view is None or router in self._unconfirmed_view

    def on_granted(self, router: str, answers: int, now: float) -> None:
        """Remember when a report was first answered; a promise that says so counts from then."""
        sent = self._granted_at.setdefault(router, deque(maxlen=_GRANTS_KEPT))
        if not sent or sent[-1][0] < answers:
            sent.append((answers, now))

    def on_report(self, router: str, epoch: int, heard: int, table_up: bool) -> None:
        """Take a report as support: it follows this epoch, and may be a promise.

        :param heard: newest of the sender's reports that a grant of that epoch has answered.
        :param table_up: False for a promise to follow nobody else for a while.
        """
        if not self.is_holder() or epoch != self.epoch:
            return
        self._followers.add(router)
        if table_up:
            return
        for answers, sent_at in self._granted_at.get(router, ()):
            if answers == heard:
                until = sent_at + self.rules.promise_s
                self._counted_until[router] = max(self._counted_until.get(router, until), until)

    def promise(self) -> None:
        """Bind this router to its coordinator; call it with each report sent without the table.

        The binding runs from the receipt of the last grant, and the coordinator counts on it from
        the earlier sending of that grant, so delayed messages can't stretch its right.
        """
        self._promised_until = max(self._promised_until, self._heard_at + self.rules.bound_s)
        self._promised_epoch = self._heard_epoch

    def may_follow(self, now: float) -> bool:
        """Whether no promise binds this router, so that its reports may support a new epoch."""
        return now >= max(self._promised_until, self.started_at + self.rules.bound_s)

    def may_report(self, epoch: int, now: float) -> bool:
        """Whether a report may be sent to the holder of the newest lease known.

        :param epoch: epoch that the router follows so far.
        """
        return epoch == self.epoch or now >= self._promised_until

    def follow(self, epoch: int, holder: str, now: float) -> bool:
        """Hear of a coordinator by a grant; return whether to accept it.

        A router that has promised follows nobody else until its promise has ended.
        """
        if epoch < self.epoch or (now < self._promised_until and epoch != self._promised_epoch):
            return False
        if epoch > self.epoch:
            self.record = LeaseRecord(holder, 0, epoch, ())
        accepted = self.record is not None and self.record.holder == holder
        if accepted:
            self._heard_at, self._heard_epoch = now, epoch
        return accepted

    def next_txn(self, now: float, candidate: bool, view: Collection[str]) -> Txn | None:
        """Return the transaction that is due, or None.

        :param candidate: whether this router is the one that should coordinate the pool.
        :param view: routers of the fleet, this one included.
        """
        if now < self._asked_at + self._interval_s(now):
            return None
        self._asked_at = now
        if self.is_holder() and candidate:
            return self._renewal(view)
        if candidate and self._stored_is_newest() and self.has_lapsed(now):
            stored = self._stored
            if stored is None or not stored.view:
                return self._write(self.epoch + 1, tuple(sorted(view)))
            return self._write(self.epoch + 1, stored.view)
        return Txn(reads=(Range(self.key),))

    def resign(self, clean: bool = False) -> Txn | None:
        """Return the transaction that gives the lease up, or None if this router holds none.

        The record stays, without a holder, so that the epoch keeps growing.

        :param clean: whether no portion is lost and this router holds none any more.
        """
        if not self.is_holder() or self.record is None:
            return None
        self._valid_until = -math.inf
        clean = clean and self.is_acting() and self._unconfirmed_view is None
        view = self._unconfirmed_view or self.record.view
        if clean:
            view = tuple(name for name in view if name != self.me)
        self.record = LeaseRecord("", 0, self.record.epoch, view, clean)
        put = Put(self.key, msgspec.json.encode(self.record))
        return Txn((Compare(self.key, self._revision),), (put,), (), (Range(self.key),))

    def on_result(self, txn: Txn, result: TxnResult, sent_at: float, now: float) -> None:
        """Take the answer to a transaction of :meth:`next_txn`.

        :param sent_at: time at which the transaction was sent; the lease runs from then.
        """
        rows = result.rows[0] if result.rows else []
        self._take(rows, now)
        if txn.has_writes and result.succeeded and self.is_holder():
            self._valid_until = max(self._valid_until, sent_at + self.rules.lease_s)

    def _take(self, rows: list[Row], now: float) -> None:
        if not rows or rows[0].revision <= self._revision:
            return
        record = msgspec.json.decode(rows[0].value, type=LeaseRecord)
        before, self._stored = self._stored, record
        self._revision = rows[0].revision
        self._changed_at = now
        # A write that compares an older revision can no longer take effect.
        self._unconfirmed_view = None
        if self.record is not None and record.epoch < self.record.epoch:
            return
        if record.holder == self.me and record.epoch > self.epoch:
            self._replaced = before
            self._followers.clear()
            self._granted_at.clear()
            self._counted_until.clear()
        self.record = record

    def _interval_s(self, now: float) -> float:
        """Return the time between transactions: shorter while no grant arrives."""
        silent = now >= self._heard_at + self.rules.silence_s
        return self.rules.hurry_s if silent and not self.is_holder() else self.rules.renew_s

    def _stored_is_newest(self) -> bool:
        """Whether the record read last is the newest lease known, so that a write may follow it."""
        return self.record is None or self._stored == self.record

    def has_lapsed(self, now: float) -> bool:
        """Whether the lease of the newest record known has ended or belonged to this router."""
        if self.record is None or not self.record.holder:
            return True
        if self.record.holder == self.me:
            return True
        return now >= self._changed_at + self.rules.lease_s * (1 + self.rules.margin)

    def _renewal(self, view: Collection[str]) -> Txn:
        """Return the renewal; the view changes only once the write before is known to be done."""
        assert self.record is not None
        new = self.record.view
        if self._unconfirmed_view is not None:
            new = self._unconfirmed_view
        elif self.is_acting():
            new = tuple(sorted({*view, self.me} - self.gone))
        self._unconfirmed_view = new
        return self._write(self.epoch, new)

    def _write(self, epoch: int, view: tuple[str, ...]) -> Txn:
        record = LeaseRecord(self.me, self.incarnation, epoch, view)
        put = Put(self.key, msgspec.json.encode(record))
        return Txn((Compare(self.key, self._revision),), (put,), (), (Range(self.key),))

    def _without_gone(self, view: Collection[str]) -> list[str]:
        return [name for name in view if name not in self.gone]


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
