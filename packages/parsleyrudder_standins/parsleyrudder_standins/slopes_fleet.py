"""Cost of gossip, and spread of a configuration by gossip, as functions of the fleet size."""

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

_FLEET_SIZES = (3, 8, 32, 100, 300, 600, 1200)
_MEMBER_COUNTS = (16, 100, 400, 1000, 2000, 3800)
_MESSAGE_COUNT = 30
_FAN_OUT = 2
_INITIAL_ROUTERS = 2
_SPREAD_TRIALS = 5


def fleet_series(seed: int) -> list[Series]:
    """Measure gossip messages and the spread of a version for several fleet sizes."""
    cost = Series("gossip/time", "routers", "us to pick peers, write, read and take a message")
    size = Series("gossip/bytes", "routers", "bytes of a gossip message")
    spread = Series("spread/rounds", "routers", "mean rounds until all have a new version")
    most_rounds = Series("spread/longest", "routers", "most rounds until all have a new version")
    view = Series("view/memory", "routers", "KiB of a router's view of the fleet")
    rng = random.Random(seed)
    for count in _FLEET_SIZES:
        seconds, length = _gossip_cost(count, rng)
        cost.add(count, seconds * 1e6)
        size.add(count, length)
        rounds = [_spread_rounds(count, rng) for _ in range(_SPREAD_TRIALS)]
        spread.add(count, sum(rounds) / len(rounds))
        most_rounds.add(count, max(rounds))
        view.add(count, deep_size(_view(0, [_router_info(index) for index in range(count)])) / 1024)
    return [cost, size, spread, most_rounds, view, _config_memory()]


def _config_memory() -> Series:
    """Measure the memory of a configuration, including key digests."""
    series = Series("config/memory", "members", "KiB of a configuration")
    plan = Plan("plan", ("pool",), 10, 5.0, 100.0, 50.0, 10, 3.0)
    for count in _MEMBER_COUNTS:
        names = [f"member-{index:04d}" for index in range(count)]
        members = {name: Member(name, "plan", 1.0, key_digest(name)) for name in names}
        series.add(count, deep_size(Config(1, members, {"plan": plan})) / 1024)
    return series


def _router_info(index: int) -> RouterInfo:
    port = 8000 + index
    return RouterInfo(
        f"router-{index:04d}",
        1,
        f"zone-{index % 19}",
        f"10.0.0.1:{port}",
        f"http://10.0.0.1:{port}",
    )


def _view(own_index: int, infos: list[RouterInfo]) -> FleetView:
    view = FleetView(infos[own_index])
    for info in infos:
        view.update_router(info, 1, False, 0.0)
    return view


def _gossip_cost(count: int, rng: random.Random) -> tuple[float, float]:
    """Return the mean time in seconds and size in bytes of a gossip message between two routers."""
    infos = [_router_info(index) for index in range(count)]
    sender, receiver = _view(0, infos), _view(1, infos)
    seconds = length = 0.0
    for number in range(_MESSAGE_COUNT):
        now = 0.01 * number
        for info in infos[2:]:  # newer heartbeats of the others, as in a running fleet
            sender.update_router(info, number + 2, False, now)
        started_at = time.perf_counter()
        sender.sample_peers(_FAN_OUT, rng)
        data = encode_message(sender.make_gossip(1, True, True, now))
        message = decode_message(data)
        assert isinstance(message, Gossip)
        receiver.on_gossip(message, now)
        seconds += time.perf_counter() - started_at
        length += len(data)
    return seconds / _MESSAGE_COUNT, length / _MESSAGE_COUNT


def _spread_rounds(count: int, rng: random.Random) -> int:
    """Return the gossip rounds until all routers have a version that two routers start with.

    Models the daemon's ConfigTask, which can't run without sockets: each router sends its version
    to two random peers and receives theirs in return; an outdated router requests the newer
    version immediately.
    """
    infos = [_router_info(index) for index in range(count)]
    view = FleetView(RouterInfo("observer", 1, "", "", ""))
    for info in infos:
        view.update_router(info, 1, False, 0.0)
    outdated = {info.name for info in infos[_INITIAL_ROUTERS:]}
    rounds = 0
    while outdated:
        rounds += 1
        for info in rng.sample(infos, count):
            for peer in view.sample_peers(_FAN_OUT, rng):
                if (info.name in outdated) != (peer.name in outdated):
                    outdated -= {info.name, peer.name}
    return rounds
