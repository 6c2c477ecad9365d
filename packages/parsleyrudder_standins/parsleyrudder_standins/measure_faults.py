"""Faults that a measurement run can inject and remove."""

import asyncio
import signal
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any, Protocol

from .launcher import Fleet, RouterProcess, get_json, post_json
from .measure_load import LoadGenerator, MemberLoad

__all__ = ["FAULTS", "Fault", "FaultContext"]

_FLOOD_FACTOR = 10


@dataclass(slots=True)
class FaultContext:
    """Processes and load on which a fault acts."""

    fleet: Fleet
    load: LoadGenerator
    member_loads: Sequence[MemberLoad]
    pool: str


class Fault(Protocol):
    """A fault that is injected and later removed.

    :ivar description: what the fault does, for the report.
    :ivar max_report_age_s: maximum age of reports used for decisions during the fault; None for
        the default.
    :ivar excluded_servers: servers excluded from utilisation.
    :ivar unreachable_routers: indexes of routers whose calls don't count as waiting.
    """

    description: str
    max_report_age_s: float | None
    excluded_servers: tuple[str, ...]
    unreachable_routers: set[int]

    async def inject(self, context: FaultContext) -> None:
        """Inject the fault."""
        ...

    async def remove(self, context: FaultContext) -> dict[str, Any]:
        """Remove the fault and return the observations."""
        ...


class _NoFault:
    """Base class of the faults; also used for runs without a fault."""

    max_report_age_s: float | None = None

    def __init__(self) -> None:
        self.description = "nothing"
        self.excluded_servers: tuple[str, ...] = ()
        self.unreachable_routers: set[int] = set()

    async def inject(self, context: FaultContext) -> None:
        """See :class:`Fault`."""

    async def remove(self, context: FaultContext) -> dict[str, Any]:
        """See :class:`Fault`."""
        return {}


class _Flood(_NoFault):
    """The first member keeps ten times its usual number of calls outstanding."""

    def __init__(self) -> None:
        super().__init__()
        self._tasks: list[asyncio.Task[None]] = []

    async def inject(self, context: FaultContext) -> None:
        flooding_load = context.member_loads[0]
        extra_calls = (_FLOOD_FACTOR - 1) * flooding_load.calls
        self.description = f"{flooding_load.member}: {extra_calls} more calls outstanding"
        self._tasks = context.load.add(flooding_load.member, flooding_load.routers, extra_calls)

    async def remove(self, context: FaultContext) -> dict[str, Any]:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        return {}


class _Partition(_NoFault):
    """One router is paused: it exchanges no messages, relays nothing and admits no calls."""

    # The portions granted to an unreachable router become available again one lease (5 s) plus a
    # margin of 25% after its last report.
    max_report_age_s: float | None = 6.25

    def __init__(self) -> None:
        super().__init__()
        self._router: RouterProcess | None = None

    async def inject(self, context: FaultContext) -> None:
        self._router = _choose_non_coordinator(context)
        self.description = f"SIGSTOP of {self._router.name}, later SIGCONT"
        self.unreachable_routers = {list(context.fleet.router_by_name).index(self._router.name)}
        self._router.send_signal(signal.SIGSTOP)

    async def remove(self, context: FaultContext) -> dict[str, Any]:
        assert self._router is not None
        self._router.send_signal(signal.SIGCONT)
        self.unreachable_routers = set()
        return {"router": self._router.name}


class _TableDown(_NoFault):
    """The table stand-in closes all connections without an answer."""

    async def inject(self, context: FaultContext) -> None:
        self.description = "table stand-in: mode down, later up"
        await _set_table(context, "down")

    async def remove(self, context: FaultContext) -> dict[str, Any]:
        await _set_table(context, "up")
        return {}


class _RouterRestart(_NoFault):
    """One router is stopped with SIGTERM and started again."""

    def __init__(self) -> None:
        super().__init__()
        self._router: RouterProcess | None = None
        self._stop_task: asyncio.Task[int] | None = None

    async def inject(self, context: FaultContext) -> None:
        self._router = _choose_non_coordinator(context)
        self.description = f"SIGTERM of {self._router.name}, later started again"
        stopping = asyncio.to_thread(context.fleet.stop_router, self._router)
        self._stop_task = asyncio.create_task(stopping)

    async def remove(self, context: FaultContext) -> dict[str, Any]:
        assert self._router is not None
        assert self._stop_task is not None
        exit_code = await self._stop_task
        await asyncio.to_thread(context.fleet.start_router, self._router)
        return {"router": self._router.name, "exit_code": exit_code}


class _ServerLeave(_NoFault):
    """The instance list reports one server as leaving, later as live."""

    # The instance list lags by 0.5 s and is polled every second; 3 s later the server gets no new
    # calls.
    _SETTLE_S = 4.5

    def __init__(self) -> None:
        super().__init__()
        self._started_before = 0
        self._settling_task: asyncio.Task[None] | None = None

    async def inject(self, context: FaultContext) -> None:
        server = f"{context.pool}-1"
        self.excluded_servers = (server,)
        self.description = f"instance list: {server} leaving, later live"
        await _set_instance(context, server, "leaving")
        self._settling_task = asyncio.create_task(self._record_started(context))

    async def remove(self, context: FaultContext) -> dict[str, Any]:
        assert self._settling_task is not None
        await self._settling_task
        started_calls = await _started_calls(context, self.excluded_servers[0])
        await _set_instance(context, self.excluded_servers[0], "live")
        return {"started_after_settling": started_calls - self._started_before}

    async def _record_started(self, context: FaultContext) -> None:
        await asyncio.sleep(self._SETTLE_S)
        self._started_before = await _started_calls(context, self.excluded_servers[0])


FAULTS: dict[str, type[Fault]] = {
    "none": _NoFault,
    "flood": _Flood,
    "partition": _Partition,
    "table-down": _TableDown,
    "router-restart": _RouterRestart,
    "server-leave": _ServerLeave,
}


def _choose_non_coordinator(context: FaultContext) -> RouterProcess:
    """Return the router used by most members, other than the coordinator of the pool."""
    routers = list(context.fleet.router_by_name.values())
    coordinator = routers[0].status()["pools"][context.pool]["coordinator"]
    member_count_by_router = {
        router.name: sum(index in load.routers for load in context.member_loads)
        for index, router in enumerate(routers)
    }
    candidates = [router for router in routers if router.name != coordinator] or routers
    return max(candidates, key=lambda router: member_count_by_router[router.name])


async def _set_table(context: FaultContext, mode: str) -> None:
    fault = {"mode": mode}
    await asyncio.to_thread(post_json, context.fleet.table_address, "/standin/fault", fault)


async def _set_instance(context: FaultContext, id: str, state: str) -> None:
    change = {"id": id, "state": state}
    await asyncio.to_thread(post_json, context.fleet.instances_address, "/standin/state", change)


async def _started_calls(context: FaultContext, server: str) -> int:
    address = context.fleet.address_by_server[server]
    document = await asyncio.to_thread(get_json, address, "/standin/service")
    return int(document["started"])
