"""Cost of gossip, and the spread of a configuration by gossip, against the size of the fleet."""

import random
import time

from parsleyrudder import (
    Config,
    FleetView,
    Member,
    Plan,
    RouterInfo,
    decode_message,
    encode_message,
    key_digest,
)
from parsleyrudder.messages import Gossip

from .slopes_fit import Series
from .slopes_memory import deep_size

__all__ = ["fleet_series"]

_SIZES = (3, 8, 32, 100, 300, 600, 1200)
_MEMBERS = (16, 100, 400, 1000, 2000, 3800)
_MESSAGES = 30
_FAN_OUT = 2
_READERS = 2
_SPREADS = 5


def fleet_series(seed: int) -> list[Series]:
    """Measure gossip messages and the spread of a version for several sizes of the fleet."""
    cost = Series("gossip/time", "routers", "us to pick peers, write, read and take a message")
    size = Series("gossip/bytes", "routers", "bytes of a gossip message")
    spread = Series("spread/rounds", "routers", "mean rounds until all have a new version")
    longest = Series("spread/longest", "routers", "most rounds until all have a new version")
    view = Series("view/memory", "routers", "KiB of a router's view of the fleet")
    rng = random.Random(seed)
    for count in _SIZES:
        seconds, length = _gossip_cost(count, rng)
        cost.add(count, seconds * 1e6)
        size.add(count, length)
        rounds = [_spread_rounds(count, rng) for _ in range(_SPREADS)]
        spread.add(count, sum(rounds) / len(rounds))
        longest.add(count, max(rounds))
        view.add(count, deep_size(_view(0, [_info(index) for index in range(count)])) / 1024)
    return [cost, size, spread, longest, view, _config_memory()]


def _config_memory() -> Series:
    """Measure the memory of a configuration, keys' digests included."""
    series = Series("config/memory", "members", "KiB of a configuration")
    plan = Plan("plan", ("pool",), 10, 5.0, 100.0, 50.0, 10, 3.0)
    for count in _MEMBERS:
        names = [f"member-{index:04d}" for index in range(count)]
        members = {name: Member(name, "plan", 1.0, key_digest(name)) for name in names}
        series.add(count, deep_size(Config(1, members, {"plan": plan})) / 1024)
    return series


def _info(index: int) -> RouterInfo:
    port = 8000 + index
    return RouterInfo(
        f"router-{index:04d}",
        1,
        f"zone-{index % 19}",
        f"10.0.0.1:{port}",
        f"http://10.0.0.1:{port}",
    )


def _view(me: int, infos: list[RouterInfo]) -> FleetView:
    view = FleetView(infos[me])
    for info in infos:
        view.update_router(info, 1, False, 0.0)
    return view


def _gossip_cost(count: int, rng: random.Random) -> tuple[float, float]:
    """Return the mean time and size of a gossip message between two routers."""
    infos = [_info(index) for index in range(count)]
    one, other = _view(0, infos), _view(1, infos)
    seconds = length = 0.0
    for number in range(_MESSAGES):
        now = 0.01 * number
        for info in infos[2:]:  # a newer heartbeat of each router, as in a live fleet
            one.update_router(info, number + 2, False, now)
        began = time.perf_counter()
        one.sample_peers(_FAN_OUT, rng)
        data = encode_message(one.make_gossip(1, True, True, now))
        message = decode_message(data)
        assert isinstance(message, Gossip)
        other.on_gossip(message, now)
        seconds += time.perf_counter() - began
        length += len(data)
    return seconds / _MESSAGES, length / _MESSAGES


def _spread_rounds(count: int, rng: random.Random) -> int:
    """Return the rounds of gossip until all routers have a version that two have read.

    The rule is that of the daemon's ConfigTask, which can't run without sockets: each router sends
    its version to two random peers and gets theirs in return; who is behind asks at once.
    """
    infos = [_info(index) for index in range(count)]
    view = FleetView(RouterInfo("observer", 1, "", "", ""))
    for info in infos:
        view.update_router(info, 1, False, 0.0)
    behind = {info.name for info in infos[_READERS:]}
    rounds = 0
    while behind:
        rounds += 1
        for info in rng.sample(infos, count):
            for peer in view.sample_peers(_FAN_OUT, rng):
                if (info.name in behind) != (peer.name in behind):
                    behind -= {info.name, peer.name}
    return rounds
