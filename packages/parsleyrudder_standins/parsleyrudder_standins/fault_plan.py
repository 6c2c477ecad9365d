"""Injects faults into a running fleet, one at a time, in an order that depends on the seed."""

import asyncio
import random
import signal
import time
from collections import Counter
from collections.abc import Awaitable, Callable

from .launcher import Fleet, RouterProcess, post_json

__all__ = ["ALL_FAULTS", "FaultPlan"]

_FAULT_INTERVAL_S = 0.5
_SERVER_FAULT_DURATION_S = 1.5
_TABLE_FAULT_DURATION_S = 2.5
_ROUTER_PAUSE_S = 6.5
"""Longer than the lease of a portion (5 s)."""
_ROUTER_DOWN_S = 1.0
_RESTART_TIMEOUT_S = 15.0
_ENGINE_MODES = ("cut", "end", "stop", "hang", "fail", "refuse", "ignore_resume")
_SERVICE_MODES = ("cut", "hang", "fail", "refuse")
_TABLE_MODES = ("down", "lose_answers", "slow", "refuse")
_ROUTER_FAULTS = ("kill", "pause", "stop")
ALL_FAULTS = (
    *(f"engine_{mode}" for mode in _ENGINE_MODES),
    *(f"service_{mode}" for mode in _SERVICE_MODES),
    *(f"table_{mode}" for mode in _TABLE_MODES),
    *(f"router_{fault}" for fault in _ROUTER_FAULTS),
)


class FaultPlan:
    """Injects faults until it is stopped; at most one router is down at a time.

    :param names: faults of one round; each round injects all of them in a new order.
    :ivar injected_count: number of times that each fault was injected.
    :ivar kills: for each SIGKILL, the address of the router, the monotonic time of the signal, and
        that of the end of the process.
    :ivar timeline: monotonic start time and name of each fault.
    :ivar problems: failures of routers to shut down cleanly.
    """

    def __init__(self, fleet: Fleet, rng: random.Random, names: tuple[str, ...]) -> None:
        self._fleet = fleet
        self._rng = rng
        self._names = names
        self.injected_count: Counter[str] = Counter()
        self.kills: list[tuple[str, float, float]] = []
        self.timeline: list[tuple[float, str]] = []
        self.problems: list[str] = []

    async def run(self, stop: asyncio.Event) -> None:
        """Inject faults until ``stop`` is set; the first round is always completed."""
        rounds = 0
        while not stop.is_set() or not rounds:
            for name in self._rng.sample(self._names, len(self._names)):
                if stop.is_set() and rounds:
                    return
                self.injected_count[name] += 1
                await self._inject(name)
                await asyncio.sleep(_FAULT_INTERVAL_S)
            rounds += 1

    async def _inject(self, name: str) -> None:
        target, _, mode = name.partition("_")
        self.timeline.append((time.monotonic(), name))
        if target == "router":
            router = self._rng.choice(list(self._fleet.router_by_name.values()))
            router_faults: dict[str, Callable[[RouterProcess], Awaitable[None]]] = {
                "kill": self._kill_router,
                "pause": self._pause_router,
                "stop": self._stop_router,
            }
            await router_faults[mode](router)
        elif target == "table":
            await self._inject_table_fault(mode)
        else:
            await self._inject_server_fault(target, mode)

    async def _inject_server_fault(self, kind: str, mode: str) -> None:
        """Set a fault on half of the servers of a pool, at least on one.

        ``ignore_resume`` is tested by cutting streams on some servers, so that they are resumed on
        the others, which ignore it.
        """
        pool = self._fleet.deployment.pool(kind).name
        ids = [id for id in self._fleet.address_by_server if id.startswith(f"{pool}-")]
        faulty = self._rng.sample(ids, max(1, len(ids) // 2))
        fault = {"mode": mode, "after": self._rng.randrange(1, 6)}
        if mode == "ignore_resume":
            fault["mode"] = "cut"
            for id in ids:
                await self._set_fault(id, {"mode": "up", "ignore_resume": True})
        for id in faulty:
            await self._set_fault(id, fault)
        await asyncio.sleep(_SERVER_FAULT_DURATION_S)
        for id in ids:
            await self._set_fault(id, {"mode": "up"})

    async def _inject_table_fault(self, mode: str) -> None:
        address = self._fleet.table_address
        fault = {"mode": mode, "delay_s": 1.5}
        await asyncio.to_thread(post_json, address, "/standin/fault", fault)
        await asyncio.sleep(_TABLE_FAULT_DURATION_S)
        await asyncio.to_thread(post_json, address, "/standin/fault", {"mode": "up"})

    async def _kill_router(self, router: RouterProcess) -> None:
        assert router.process is not None
        killed_at = time.monotonic()
        router.process.kill()
        await asyncio.to_thread(router.process.wait)
        self.kills.append((router.address, killed_at, time.monotonic()))
        await asyncio.sleep(_ROUTER_DOWN_S)
        await self._restart_router(router)

    async def _pause_router(self, router: RouterProcess) -> None:
        router.send_signal(signal.SIGSTOP)
        await asyncio.sleep(_ROUTER_PAUSE_S)
        router.send_signal(signal.SIGCONT)
        await asyncio.sleep(_ROUTER_DOWN_S)

    async def _stop_router(self, router: RouterProcess) -> None:
        code = await asyncio.to_thread(self._fleet.stop_router, router)
        if code != 0:
            self.problems.append(f"{router.name} ended with code {code} after SIGTERM")
        if b"event=call_cut" in router.log_path.read_bytes():
            self.problems.append(f"{router.name} cut calls after SIGTERM")
        await self._restart_router(router)

    async def _restart_router(self, router: RouterProcess) -> None:
        self._fleet.start_router(router)
        await asyncio.to_thread(self._fleet.wait_ready, _RESTART_TIMEOUT_S)

    async def _set_fault(self, id: str, fault: dict[str, object]) -> None:
        address = self._fleet.address_by_server[id]
        await asyncio.to_thread(post_json, address, "/standin/fault", fault)
