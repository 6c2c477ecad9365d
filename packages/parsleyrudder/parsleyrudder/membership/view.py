"""Gossip-based membership: which routers are live, and which of them callers should use."""

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
    """Time limits and message size of the gossip protocol.

    :ivar gossip_interval_s: time between two rounds of gossip.
    :ivar suspect_after_s: silence after which a router is suspected to be dead.
    :ivar remove_after_s: silence after which a router no longer counts as live.
    :ivar forget_after_s: time without newer information after which a router's record is deleted.
    :ivar states_per_message: maximum number of router states per gossip message. With 16, a message
        takes about 500 bytes; at the target fleet size a daemon handles 8 messages in 2 s, which
        is about 2 KB/s of its budget of 3 KB/s.
    :ivar leaving_ttl_s: age at which the information that a server is leaving expires, unless it is
        read again.
    """

    gossip_interval_s: float = 0.5
    suspect_after_s: float = 2.0
    remove_after_s: float = 6.0
    forget_after_s: float = 600.0
    states_per_message: int = 16
    leaving_ttl_s: float = 30.0

    def dissemination_time_s(self, routers: int) -> float:
        """Return the time in which gossip delivers a newer heartbeat of nearly every router.

        A router receives about 4 messages per interval: 2 sent by peers in their own rounds and 2
        replies. A factor of 3 allows for duplicate states.

        :param routers: number of other routers.
        """
        return 3 * self.gossip_interval_s * routers / (4 * self.states_per_message)


@dataclass(slots=True)
class _RouterRecord:
    """What this router knows about another one.

    :ivar last_seen_at: latest time at which the router is known to have been alive.
    :ivar updated_at: time at which a newer incarnation or heartbeat was last learned.
    """

    info: RouterInfo
    heartbeat: int
    last_seen_at: float
    updated_at: float
    leaving: bool = False


@dataclass(slots=True)
class FleetView:
    """One router's view of the fleet: the known routers and when each was last seen alive.

    :param own_info: registration information of this router.
    :param leaving: whether this router is leaving.
    :param rng: selects the router states of gossip messages.
    :ivar is_superseded: whether a peer knows a later incarnation of this router's name, so that
        peers reject information about this process as outdated.
    """

    own_info: RouterInfo
    rules: ViewRules = field(default_factory=ViewRules)
    leaving: bool = False
    rng: random.Random = field(default_factory=lambda: random.Random(0))
    is_superseded: bool = False
    _heartbeat: int = 0
    _lacks_info: bool = False
    _leaving_seen_at: dict[str, float] = field(default_factory=dict)
    _routers: dict[str, _RouterRecord] = field(default_factory=dict)

    def update_router(self, info: RouterInfo, heartbeat: int, leaving: bool, now: float) -> bool:
        """Record information about a router unless it is outdated.

        :param heartbeat: the router's own counter; only a higher one shows that it is alive.
        :returns: whether the information was newer than the record.
        """
        if info.name == self.own_info.name:
            return False
        known = self._routers.get(info.name)
        if known is not None:
            counters = (known.info.incarnation, known.heartbeat)
            if (info.incarnation, heartbeat) <= counters:
                return False
            leaving = leaving or (known.leaving and known.info.incarnation == info.incarnation)
        self._routers[info.name] = _RouterRecord(info, heartbeat, now, now, leaving)
        return True

    def add_unconfirmed(self, info: RouterInfo, leaving: bool, now: float) -> None:
        """Add a router that may be dead, such as one from a table row.

        It is sent gossip, but does not count as live until it is known to be alive.
        """
        known = self._routers.get(info.name)
        if info.name == self.own_info.name:
            self.is_superseded |= info.incarnation > self.own_info.incarnation
        elif known is None or known.info.incarnation < info.incarnation:
            self._routers[info.name] = _RouterRecord(info, 0, -math.inf, now, leaving)
        elif leaving and known.info.incarnation == info.incarnation:
            known.leaving = True

    def mark_leaving(self, name: str) -> None:
        """Record that a router is leaving."""
        if name in self._routers:
            self._routers[name].leaving = True

    def record_alive(self, name: str, incarnation: int, at: float) -> None:
        """Record evidence other than gossip that a router is alive: its own message or table row.

        :param at: a time at which, or after which, the router was alive.
        """
        known = self._routers.get(name)
        if known is not None and known.info.incarnation == incarnation:
            known.last_seen_at = max(known.last_seen_at, at)

    def record_leaving_servers(self, server_ids: Iterable[str], now: float) -> None:
        """Record the servers that the instance list or the table currently reports as leaving."""
        self._leaving_seen_at.update(dict.fromkeys(server_ids, now))

    def leaving_servers(self, now: float) -> dict[str, float]:
        """Return the servers known to be leaving, with the age of that information in seconds."""
        limit = self.rules.leaving_ttl_s
        for server_id in [id_ for id_, at in self._leaving_seen_at.items() if now - at >= limit]:
            del self._leaving_seen_at[server_id]
        return {server_id: now - at for server_id, at in self._leaving_seen_at.items()}

    def info(self, name: str) -> RouterInfo | None:
        """Return the registration information of a router, or None if it is unknown."""
        if name == self.own_info.name:
            return self.own_info
        known = self._routers.get(name)
        return known.info if known else None

    def live_routers(self, now: float) -> list[str]:
        """Return the sorted names of the live routers, this one included."""
        limit = self._scaled_timeout_s(self.rules.remove_after_s)
        names = [name for name, r in self._routers.items() if now - r.last_seen_at < limit]
        return sorted([*names, self.own_info.name])

    def active_routers(self, now: float) -> list[str]:
        """Return the sorted names of the live routers that are not leaving."""
        leaving = {name for name, router in self._routers.items() if router.leaving}
        if self.leaving:
            leaving.add(self.own_info.name)
        return [name for name in self.live_routers(now) if name not in leaving]

    def has_role(self, role: str, holders: int, now: float) -> bool:
        """Whether this router is one of the few that perform a task for the whole fleet.

        The holders are the first active routers by rendezvous hash of the role. While the views of
        routers differ, there may be more or fewer holders.

        :param role: name of the role.
        :param holders: number of routers that hold the role.
        """
        return self.own_info.name in rendezvous(role, self.active_routers(now))[:holders]

    def silence_s(self, name: str, now: float) -> float:
        """Return the seconds since a router was last seen alive; infinite if it is unknown."""
        if name == self.own_info.name:
            return 0.0
        known = self._routers.get(name)
        return now - known.last_seen_at if known else math.inf

    def is_leaving(self, name: str) -> bool:
        """Whether a router is known to be leaving."""
        known = self._routers.get(name)
        return self.leaving if name == self.own_info.name else bool(known and known.leaving)

    def peers(self, now: float) -> list[RouterInfo]:
        """Return the other routers, sorted by name, after deleting expired records."""
        limit = self.rules.forget_after_s
        for name in [n for n, r in self._routers.items() if now - r.updated_at >= limit]:
            del self._routers[name]
        return [self._routers[name].info for name in sorted(self._routers)]

    def make_gossip(
        self,
        config_version: int,
        table_up: bool,
        wants_reply: bool,
        now: float,
        full: bool = False,
    ) -> Gossip:
        """Return a gossip message with a part of this router's view.

        :param config_version: version of this router's active configuration.
        :param full: whether to include the registration information of all routers in the message.
        """
        self._heartbeat += 1
        wants_info, self._lacks_info = self._lacks_info, False
        states = [
            RouterState(
                self.own_info.name, self.own_info.incarnation, self._heartbeat, self.leaving
            )
        ]
        infos = [self.own_info]
        for name in self._select_states(now):
            known = self._routers[name]
            state = RouterState(name, known.info.incarnation, known.heartbeat, known.leaving)
            states.append(state)
            if full:
                infos.append(known.info)
        return Gossip(
            sender=self.own_info.name,
            config_version=config_version,
            table_up=table_up,
            wants_reply=wants_reply,
            states=tuple(states),
            infos=tuple(infos),
            leaving_servers=tuple(self.leaving_servers(now).items()),
            wants_info=wants_info,
        )

    def on_gossip(self, gossip: Gossip, now: float) -> None:
        """Merge a gossip message; the next message sent requests information that is missing."""
        for server_id, age_s in gossip.leaving_servers:
            at = now - max(0.0, age_s)
            self._leaving_seen_at[server_id] = max(at, self._leaving_seen_at.get(server_id, at))
        info_by_name = {info.name: info for info in gossip.infos}
        for state in gossip.states:
            if state.name == self.own_info.name:
                self.is_superseded |= state.incarnation > self.own_info.incarnation
                continue
            info = info_by_name.get(state.name)
            if info is None:
                known = self._routers.get(state.name)
                if known is not None and known.info.incarnation == state.incarnation:
                    info = known.info
            if info is not None:
                self.update_router(info, state.heartbeat, state.leaving, now)
            else:
                self._lacks_info = True

    def sample_peers(self, count: int, rng: random.Random) -> list[RouterInfo]:
        """Return random peers for a round of gossip, with silent ones so that they can rejoin."""
        names = rng.sample(list(self._routers), min(count, len(self._routers)))
        return [self._routers[name].info for name in names]

    def routers_for_caller(self, caller: str, now: float, count: int = 3) -> list[RouterInfo]:
        """Return the routers that a caller should use, in order of preference.

        Callers are distributed over the routers by rendezvous hash, with suspected routers ordered
        after all others. From this order, each next router is one of a failure domain that is not
        used yet, as far as there is one.

        :param caller: identifier of the caller, such as its member's name and address.
        :param count: maximum number of routers.
        """
        order = rendezvous(caller, self.active_routers(now))
        limit = self._scaled_timeout_s(self.rules.suspect_after_s)
        order.sort(key=lambda name: self.silence_s(name, now) >= limit)
        infos = [info for info in map(self.info, order) if info is not None]
        return _prefer_distinct_domains(infos, count)

    def _scaled_timeout_s(self, min_timeout_s: float) -> float:
        """Return a limit of silence, raised to the dissemination time in large fleets."""
        return max(min_timeout_s, self.rules.dissemination_time_s(len(self._routers)))

    def _select_states(self, now: float) -> list[str]:
        """Return the live routers for a message: a random sample of those seen most recently."""
        count = self.rules.states_per_message - 1
        since = now - self._scaled_timeout_s(self.rules.remove_after_s)
        recent = [
            (r.last_seen_at, name) for name, r in self._routers.items() if r.last_seen_at > since
        ]
        if len(recent) <= count:
            return [name for _, name in recent]
        newest = heapq.nlargest(4 * count, recent)
        return [name for _, name in self.rng.sample(newest, count)]


def _prefer_distinct_domains(infos: Sequence[RouterInfo], count: int) -> list[RouterInfo]:
    """Return the first infos, preferring failure domains that have not been used yet."""
    chosen: list[RouterInfo] = []
    rest = list(infos)
    while rest and len(chosen) < count:
        used = {info.failure_domain for info in chosen}
        other_domains = [info for info in rest if info.failure_domain not in used]
        info = (other_domains or rest)[0]
        rest.remove(info)
        chosen.append(info)
    return chosen
