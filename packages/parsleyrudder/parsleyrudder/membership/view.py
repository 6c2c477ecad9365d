"""A router's view of the fleet: which routers live, and which addresses callers should use."""

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
    """

    gossip_interval_s: float = 0.5
    suspect_after_s: float = 2.0
    remove_after_s: float = 6.0
    forget_after_s: float = 600.0


@dataclass(slots=True)
class _Router:
    info: RouterInfo
    heartbeat: int
    heard_at: float
    leaving: bool = False


@dataclass(slots=True)
class FleetView:
    """Routers by name, with the age of the newest sign of life of each.

    :param me: what this router tells about itself.
    """

    me: RouterInfo
    rules: ViewRules = field(default_factory=ViewRules)
    leaving: bool = False
    _heartbeat: int = 0
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
        self._routers[info.name] = _Router(info, heartbeat, now, leaving)
        return True

    def mark_leaving(self, name: str) -> None:
        """Believe that a router is leaving."""
        if name in self._routers:
            self._routers[name].leaving = True

    def heard_from(self, name: str, incarnation: int, now: float) -> None:
        """Take a message that came from a router itself as a sign of life."""
        known = self._routers.get(name)
        if known is not None and known.info.incarnation == incarnation:
            known.heard_at = now

    def info(self, name: str) -> RouterInfo | None:
        """Return what a router told about itself, or None."""
        if name == self.me.name:
            return self.me
        known = self._routers.get(name)
        return known.info if known else None

    def live(self, now: float) -> list[str]:
        """Return the names of the routers in the view, this one included, sorted."""
        limit = self.rules.remove_after_s
        names = [name for name, r in self._routers.items() if now - r.heard_at < limit]
        return sorted([*names, self.me.name])

    def staying(self, now: float) -> list[str]:
        """Return the live routers that are not leaving, sorted."""
        gone = {name for name, router in self._routers.items() if router.leaving}
        if self.leaving:
            gone.add(self.me.name)
        return [name for name in self.live(now) if name not in gone]

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
        for name in [n for n, r in self._routers.items() if now - r.heard_at >= limit]:
            del self._routers[name]
        return [self._routers[name].info for name in sorted(self._routers)]

    def gossip(
        self,
        version: int,
        table_up: bool,
        reply: bool,
        now: float,
        leaving_servers: Iterable[str] = (),
        full: bool = False,
    ) -> Gossip:
        """Return a gossip message with this router's view.

        :param full: whether to add full information of all routers.
        """
        self._heartbeat += 1
        states = [RouterState(self.me.name, self.me.incarnation, self._heartbeat, self.leaving)]
        infos = [self.me]
        for name in self.live(now):
            known = self._routers.get(name)
            if known is None:
                continue
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
            leaving_servers=tuple(leaving_servers),
        )

    def on_gossip(self, gossip: Gossip, now: float) -> bool:
        """Take a gossip message.

        :returns: whether it names a router of which this one lacks the information.
        """
        info_by_name = {info.name: info for info in gossip.routers}
        lacking = False
        for state in gossip.states:
            info = info_by_name.get(state.name)
            if info is None:
                known = self._routers.get(state.name)
                if known is not None and known.info.incarnation == state.incarnation:
                    info = known.info
            if info is not None:
                self.learn(info, state.heartbeat, state.leaving, now)
            elif state.name != self.me.name:
                lacking = True
        return lacking

    def pick_peers(self, count: int, rng: random.Random, now: float) -> list[RouterInfo]:
        """Return random peers for one round of gossip; silent ones are picked too, to rejoin."""
        peers = self.peers(now)
        return rng.sample(peers, min(count, len(peers)))

    def addresses(self, caller: str, now: float, count: int = 3) -> list[RouterInfo]:
        """Return the routers that a caller should use, the preferred one first.

        Callers are spread over routers by rendezvous hash; each next address is of another
        failure domain as far as there is one. Suspected routers come only if others are too few.

        :param caller: what identifies the caller, such as its member's name and address.
        """
        order = rendezvous(caller, self.staying(now))
        limit = self.rules.suspect_after_s
        order.sort(key=lambda name: self.silence_s(name, now) >= limit)
        infos = [info for info in map(self.info, order) if info is not None]
        return _spread(infos, count)


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
