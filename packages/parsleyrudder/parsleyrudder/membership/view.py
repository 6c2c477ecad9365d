"""A router's view of the fleet: which routers live, and which addresses callers should use."""

import heapq
import math
import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from ..messages import Gossip, RouterInfo, RouterState
from .rendezvous import rendezvous

__all__ = ["FleetView", "ViewRules"]


@dataclass(slots=True, frozen=True)
class ViewRules:
    """Time limits of a view.

    :ivar gossip_interval_s: time between two rounds of gossip.
    :ivar suspect_after_s: silence after which a router is suspected.
    :ivar remove_after_s: silence after which a router is left out of the view.
    :ivar forget_after_s: silence after which a router is forgotten.
    :ivar digest_states: states per gossip message. With 16, a message takes about 500 bytes and a
        daemon at the target, 8 messages in 2 s, about 2 KB/s of its 3 KB/s.
    :ivar leaving_kept_s: age at which news of a leaving server is dropped unless read again.
    """

    gossip_interval_s: float = 0.5
    suspect_after_s: float = 2.0
    remove_after_s: float = 6.0
    forget_after_s: float = 600.0
    digest_states: int = 16
    leaving_kept_s: float = 30.0

    def spread_s(self, routers: int) -> float:
        """Return a time in which digests bring a newer heartbeat of nearly every router.

        A router gets about 4 messages per interval: 2 of its peers' own and 2 replies. A factor
        of 3 covers states that come twice.
        """
        return 3 * self.gossip_interval_s * routers / (4 * self.digest_states)


@dataclass(slots=True)
class _Router:
    info: RouterInfo
    heartbeat: int
    heard_at: float
    known_at: float
    leaving: bool = False


@dataclass(slots=True)
class FleetView:
    """Routers by name, with the age of the newest sign of life of each.

    :param me: what this router tells about itself.
    :param rng: chooses the states of digests.
    :ivar outlived: whether a peer knows a later incarnation of this router's name, so that news of
        this process is taken for old.
    """

    me: RouterInfo
    rules: ViewRules = field(default_factory=ViewRules)
    leaving: bool = False
    rng: random.Random = field(default_factory=lambda: random.Random(0))
    outlived: bool = False
    _heartbeat: int = 0
    _lacking: bool = False
    _leaving_server_at: dict[str, float] = field(default_factory=dict)
    _routers: dict[str, _Router] = field(default_factory=dict)

    def learn(self, info: RouterInfo, heartbeat: int, leaving: bool, now: float) -> bool:
        """Take news of a router.

        :param heartbeat: the router's own counter; only a higher one is a sign of life.
        :returns: whether it was news.
        """
        if info.name == self.me.name:
            return False
        known = self._routers.get(info.name)
        if known is not None:
            age = (known.info.incarnation, known.heartbeat)
            if (info.incarnation, heartbeat) <= age:
                return False
            leaving = leaving or (known.leaving and known.info.incarnation == info.incarnation)
        self._routers[info.name] = _Router(info, heartbeat, now, now, leaving)
        return True

    def introduce(self, info: RouterInfo, leaving: bool, now: float) -> None:
        """Hear of a router that may be dead, as from a row: it gets gossip, but is not live yet."""
        known = self._routers.get(info.name)
        if info.name == self.me.name:
            self.outlived |= info.incarnation > self.me.incarnation
        elif known is None or known.info.incarnation < info.incarnation:
            self._routers[info.name] = _Router(info, 0, -math.inf, now, leaving)
        elif leaving and known.info.incarnation == info.incarnation:
            known.leaving = True

    def mark_leaving(self, name: str) -> None:
        """Believe that a router is leaving."""
        if name in self._routers:
            self._routers[name].leaving = True

    def heard_from(self, name: str, incarnation: int, at: float) -> None:
        """Take a sign of life other than gossip: a message of a router itself, or its row.

        :param at: a time at which, or after which, the router was alive.
        """
        known = self._routers.get(name)
        if known is not None and known.info.incarnation == incarnation:
            known.heard_at = max(known.heard_at, at)

    def note_leaving_servers(self, ids: Iterable[str], now: float) -> None:
        """Take servers that the instance list or the table shows as leaving now."""
        self._leaving_server_at.update(dict.fromkeys(ids, now))

    def leaving_servers(self, now: float) -> dict[str, float]:
        """Return the servers known to be leaving, with the age of the news."""
        limit = self.rules.leaving_kept_s
        for id in [id for id, at in self._leaving_server_at.items() if now - at >= limit]:
            del self._leaving_server_at[id]
        return {id: now - at for id, at in self._leaving_server_at.items()}

    def info(self, name: str) -> RouterInfo | None:
        """Return what a router told about itself, or None."""
        if name == self.me.name:
            return self.me
        known = self._routers.get(name)
        return known.info if known else None

    def live(self, now: float) -> list[str]:
        """Return the names of the routers in the view, this one included, sorted."""
        limit = self._limit_s(self.rules.remove_after_s)
        names = [name for name, r in self._routers.items() if now - r.heard_at < limit]
        return sorted([*names, self.me.name])

    def staying(self, now: float) -> list[str]:
        """Return the live routers that are not leaving, sorted."""
        gone = {name for name, router in self._routers.items() if router.leaving}
        if self.leaving:
            gone.add(self.me.name)
        return [name for name in self.live(now) if name not in gone]

    def has_duty(self, duty: str, holders: int, now: float) -> bool:
        """Whether this router is one of the few that do something for all of the fleet.

        The holders are the first staying routers by rendezvous; views that differ for a while make
        more or fewer of them.

        :param holders: number of routers that have the duty.
        """
        return self.me.name in rendezvous(duty, self.staying(now))[:holders]

    def silence_s(self, name: str, now: float) -> float:
        """Return the seconds since the last sign of life of a router; infinite if unknown."""
        if name == self.me.name:
            return 0.0
        known = self._routers.get(name)
        return now - known.heard_at if known else math.inf

    def is_leaving(self, name: str) -> bool:
        """Whether a router is known to be leaving."""
        known = self._routers.get(name)
        return self.leaving if name == self.me.name else bool(known and known.leaving)

    def peers(self, now: float) -> list[RouterInfo]:
        """Return the other routers that have not been forgotten, by name."""
        limit = self.rules.forget_after_s
        for name in [n for n, r in self._routers.items() if now - r.known_at >= limit]:
            del self._routers[name]
        return [self._routers[name].info for name in sorted(self._routers)]

    def gossip(
        self,
        version: int,
        table_up: bool,
        reply: bool,
        now: float,
        full: bool = False,
    ) -> Gossip:
        """Return a gossip message with a part of this router's view.

        :param full: whether to add full information of the routers that it names.
        """
        self._heartbeat += 1
        lacking, self._lacking = self._lacking, False
        states = [RouterState(self.me.name, self.me.incarnation, self._heartbeat, self.leaving)]
        infos = [self.me]
        for name in self._digest(now):
            known = self._routers[name]
            state = RouterState(name, known.info.incarnation, known.heartbeat, known.leaving)
            states.append(state)
            if full:
                infos.append(known.info)
        return Gossip(
            sender=self.me.name,
            version=version,
            table_up=table_up,
            reply=reply,
            states=tuple(states),
            routers=tuple(infos),
            leaving_servers=tuple(self.leaving_servers(now).items()),
            wants_info=lacking,
        )

    def on_gossip(self, gossip: Gossip, now: float) -> None:
        """Take a gossip message; the next one sent asks for information that is lacking."""
        for id, age_s in gossip.leaving_servers:
            at = now - max(0.0, age_s)
            self._leaving_server_at[id] = max(at, self._leaving_server_at.get(id, at))
        info_by_name = {info.name: info for info in gossip.routers}
        for state in gossip.states:
            if state.name == self.me.name:
                self.outlived |= state.incarnation > self.me.incarnation
                continue
            info = info_by_name.get(state.name)
            if info is None:
                known = self._routers.get(state.name)
                if known is not None and known.info.incarnation == state.incarnation:
                    info = known.info
            if info is not None:
                self.learn(info, state.heartbeat, state.leaving, now)
            else:
                self._lacking = True

    def pick_peers(self, count: int, rng: random.Random) -> list[RouterInfo]:
        """Return random peers for one round of gossip; silent ones are picked too, to rejoin."""
        names = rng.sample(list(self._routers), min(count, len(self._routers)))
        return [self._routers[name].info for name in names]

    def addresses(self, caller: str, now: float, count: int = 3) -> list[RouterInfo]:
        """Return the routers that a caller should use, the preferred one first.

        Callers are spread over routers by rendezvous hash; each next address is of another
        failure domain as far as there is one. Suspected routers come only if others are too few.

        :param caller: what identifies the caller, such as its member's name and address.
        """
        order = rendezvous(caller, self.staying(now))
        limit = self._limit_s(self.rules.suspect_after_s)
        order.sort(key=lambda name: self.silence_s(name, now) >= limit)
        infos = [info for info in map(self.info, order) if info is not None]
        return _spread(infos, count)

    def _limit_s(self, rule_s: float) -> float:
        """Return a limit of silence, longer where digests need longer to name every router."""
        return max(rule_s, self.rules.spread_s(len(self._routers)))

    def _digest(self, now: float) -> list[str]:
        """Return live routers to name: some of those with the newest heartbeats, chosen freely."""
        count = self.rules.digest_states - 1
        since = now - self._limit_s(self.rules.remove_after_s)
        heard = [(r.heard_at, name) for name, r in self._routers.items() if r.heard_at > since]
        if len(heard) <= count:
            return [name for _, name in heard]
        newest = heapq.nlargest(4 * count, heard)
        return [name for _, name in self.rng.sample(newest, count)]


def _spread(infos: Sequence[RouterInfo], count: int) -> list[RouterInfo]:
    """Return the first infos, those of a failure domain not yet used before the others."""
    chosen: list[RouterInfo] = []
    rest = list(infos)
    while rest and len(chosen) < count:
        used = {info.failure_domain for info in chosen}
        fresh = [info for info in rest if info.failure_domain not in used]
        info = (fresh or rest)[0]
        rest.remove(info)
        chosen.append(info)
    return chosen
