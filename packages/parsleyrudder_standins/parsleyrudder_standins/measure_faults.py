"""Faults that a measurement run can inject, each from its begin to its end."""

import asyncio
import signal
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from .launcher import Fleet, RouterProcess, get_json, post_json
from .measure_load import Load, MemberLoad

__all__ = ["FAULTS", "Fault", "FaultScene"]

_FLOOD_FACTOR = 10


@dataclass(slots=True)
class FaultScene:
    """What a fault may act on."""

    fleet: Fleet
    load: Load
    loads: Sequence[MemberLoad]
    pool: str


class Fault(Protocol):
    """A fault.

    :ivar done: what was done, for the output.
    :ivar report_age_s: oldest report that a decision may rest on meanwhile; None for the usual.
    :ivar left_servers: servers that count no more for utilisation.
    :ivar unreachable: indexes of the routers at which calls can't count as waiting.
    """

    done: str
    report_age_s: float | None
    left_servers: tuple[str, ...]
    unreachable: set[int]

    async def begin(self, scene: FaultScene) -> None:
        """Inject the fault."""
        ...

    async def end(self, scene: FaultScene) -> dict[str, Any]:
        """Remove the fault and return what was observed."""
        ...


class _NoFault:
    """Base of the faults, and the run without one."""

    report_age_s: float | None = None

    def __init__(self) -> None:
        self.done = "nothing"
        self.left_servers: tuple[str, ...] = ()
        self.unreachable: set[int] = set()

    async def begin(self, scene: FaultScene) -> None:
        """See :class:`Fault`."""

    async def end(self, scene: FaultScene) -> dict[str, Any]:
        """See :class:`Fault`."""
        return {}


class _Flood(_NoFault):
    """The first member keeps ten times its usual number of calls outstanding."""

    def __init__(self) -> None:
        super().__init__()
        self._tasks: list[asyncio.Task[None]] = []

    async def begin(self, scene: FaultScene) -> None:
        flooder = scene.loads[0]
        extra = (_FLOOD_FACTOR - 1) * flooder.calls
        self.done = f"{flooder.member}: {extra} more calls outstanding"
        self._tasks = scene.load.add(flooder.member, flooder.routers, extra)

    async def end(self, scene: FaultScene) -> dict[str, Any]:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        return {}


class _Partition(_NoFault):
    """One router is paused, so that it hears and says nothing; it neither relays nor admits."""

    # Portions of the lost router return one lease (5 s) plus a margin of 25% after its report.
    report_age_s: float | None = 6.25

    def __init__(self) -> None:
        super().__init__()
        self._router: RouterProcess | None = None

    async def begin(self, scene: FaultScene) -> None:
        self._router = _plain_router(scene)
        self.done = f"SIGSTOP of {self._router.name}, later SIGCONT"
        self.unreachable = {list(scene.fleet.router_by_name).index(self._router.name)}
        self._router.send_signal(signal.SIGSTOP)

    async def end(self, scene: FaultScene) -> dict[str, Any]:
        assert self._router is not None
        self._router.send_signal(signal.SIGCONT)
        self.unreachable = set()
        return {"router": self._router.name}


class _TableDown(_NoFault):
    """The table stand-in cuts all connections unanswered."""

    async def begin(self, scene: FaultScene) -> None:
        self.done = "table stand-in: mode down, later up"
        await _set_table(scene, "down")

    async def end(self, scene: FaultScene) -> dict[str, Any]:
        await _set_table(scene, "up")
        return {}


class _RouterRestart(_NoFault):
    """One router is stopped by SIGTERM and started again."""

    def __init__(self) -> None:
        super().__init__()
        self._router: RouterProcess | None = None
        self._restart: asyncio.Task[int] | None = None

    async def begin(self, scene: FaultScene) -> None:
        self._router = _plain_router(scene)
        self.done = f"SIGTERM of {self._router.name}, later started again"
        stop = asyncio.to_thread(scene.fleet.stop_router, self._router)
        self._restart = asyncio.create_task(stop)

    async def end(self, scene: FaultScene) -> dict[str, Any]:
        assert self._router is not None
        assert self._restart is not None
        code = await self._restart
        await asyncio.to_thread(scene.fleet.start_router, self._router)
        return {"router": self._router.name, "exit_code": code}


class _ServerLeave(_NoFault):
    """The instance list shows one server as leaving, later as live."""

    # The instance list lags by 0.5 s and is read every second; a server gets no new work 3 s after.
    _SETTLE_S = 4.5

    def __init__(self) -> None:
        super().__init__()
        self._started_then = 0
        self._settled: asyncio.Task[None] | None = None

    async def begin(self, scene: FaultScene) -> None:
        server = f"{scene.pool}-1"
        self.left_servers = (server,)
        self.done = f"instance list: {server} leaving, later live"
        await _set_instance(scene, server, "leaving")
        self._settled = asyncio.create_task(self._note_started(scene))

    async def end(self, scene: FaultScene) -> dict[str, Any]:
        assert self._settled is not None
        await self._settled
        started = await _started(scene, self.left_servers[0])
        await _set_instance(scene, self.left_servers[0], "live")
        return {"started_after_settling": started - self._started_then}

    async def _note_started(self, scene: FaultScene) -> None:
        await asyncio.sleep(self._SETTLE_S)
        self._started_then = await _started(scene, self.left_servers[0])


FAULTS: dict[str, type[Fault]] = {
    "none": _NoFault,
    "flood": _Flood,
    "partition": _Partition,
    "table-down": _TableDown,
    "router-restart": _RouterRestart,
    "server-leave": _ServerLeave,
}


def _plain_router(scene: FaultScene) -> RouterProcess:
    """Return a router that does not coordinate the pool, the one that most members use."""
    routers = list(scene.fleet.router_by_name.values())
    coordinator = routers[0].status()["pools"][scene.pool]["coordinator"]
    users = {
        router.name: sum(index in load.routers for load in scene.loads)
        for index, router in enumerate(routers)
    }
    candidates = [router for router in routers if router.name != coordinator] or routers
    return max(candidates, key=lambda router: users[router.name])


async def _set_table(scene: FaultScene, mode: str) -> None:
    fault = {"mode": mode}
    await asyncio.to_thread(post_json, scene.fleet.table_address, "/standin/fault", fault)


async def _set_instance(scene: FaultScene, id: str, state: str) -> None:
    change = {"id": id, "state": state}
    await asyncio.to_thread(post_json, scene.fleet.instances_address, "/standin/state", change)


async def _started(scene: FaultScene, server: str) -> int:
    address = scene.fleet.address_by_server[server]
    document = await asyncio.to_thread(get_json, address, "/standin/service")
    return int(document["started"])
