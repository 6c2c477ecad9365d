"""Faults of a running fleet, one after the other, in an order that a seed decides."""

import asyncio
import random
import signal
import time
from collections import Counter
from collections.abc import Awaitable, Callable

from .launcher import Fleet, RouterProcess, post_json

__all__ = ["ALL_FAULTS", "FaultPlan"]

_GAP_S = 0.5
_SERVER_FAULT_S = 1.5
_TABLE_FAULT_S = 2.5
_PAUSE_S = 6.5
"""Longer than the lease of a portion, 5 s."""
_DOWN_S = 1.0
_RESTART_LIMIT_S = 15.0
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
    """Causes faults until it is stopped; at most one router is down at a time.

    :param names: faults of one round; each round has all of them in a new order.
    :ivar caused: number of times that each fault was caused.
    :ivar kills: address, begin and end of each kill -9 in monotonic time.
    :ivar timeline: begin of each fault, in monotonic time.
    :ivar problems: what went wrong with the routers themselves.
    """

    def __init__(self, fleet: Fleet, rng: random.Random, names: tuple[str, ...]) -> None:
        self._fleet = fleet
        self._rng = rng
        self._names = names
        self.caused: Counter[str] = Counter()
        self.kills: list[tuple[str, float, float]] = []
        self.timeline: list[tuple[float, str]] = []
        self.problems: list[str] = []

    async def run(self, stop: asyncio.Event) -> None:
        """Cause one fault after the other; the first round is always finished."""
        rounds = 0
        while not stop.is_set() or not rounds:
            for name in self._rng.sample(self._names, len(self._names)):
                if stop.is_set() and rounds:
                    return
                self.caused[name] += 1
                await self._cause(name)
                await asyncio.sleep(_GAP_S)
            rounds += 1

    async def _cause(self, name: str) -> None:
        target, _, mode = name.partition("_")
        self.timeline.append((time.monotonic(), name))
        if target == "router":
            router = self._rng.choice(list(self._fleet.router_by_name.values()))
            act: dict[str, Callable[[RouterProcess], Awaitable[None]]] = {
                "kill": self._kill,
                "pause": self._pause,
                "stop": self._stop,
            }
            await act[mode](router)
        elif target == "table":
            await self._table(mode)
        else:
            await self._server(target, mode)

    async def _server(self, kind: str, mode: str) -> None:
        """Make servers of a pool faulty; a resumed stream needs a cut one and another beside it."""
        pool = self._fleet.deployment.pool(kind).name
        ids = [id for id in self._fleet.address_by_server if id.startswith(f"{pool}-")]
        faulty = self._rng.sample(ids, max(1, len(ids) // 2))
        fault = {"mode": mode, "after": self._rng.randrange(1, 6)}
        if mode == "ignore_resume":
            fault["mode"] = "cut"
            for id in ids:
                await self._post(id, {"mode": "up", "ignore_resume": True})
        for id in faulty:
            await self._post(id, fault)
        await asyncio.sleep(_SERVER_FAULT_S)
        for id in ids:
            await self._post(id, {"mode": "up"})

    async def _table(self, mode: str) -> None:
        address = self._fleet.table_address
        fault = {"mode": mode, "delay_s": 1.5}
        await asyncio.to_thread(post_json, address, "/standin/fault", fault)
        await asyncio.sleep(_TABLE_FAULT_S)
        await asyncio.to_thread(post_json, address, "/standin/fault", {"mode": "up"})

    async def _kill(self, router: RouterProcess) -> None:
        assert router.process is not None
        begun = time.monotonic()
        router.process.kill()
        await asyncio.to_thread(router.process.wait)
        self.kills.append((router.address, begun, time.monotonic()))
        await asyncio.sleep(_DOWN_S)
        await self._restart(router)

    async def _pause(self, router: RouterProcess) -> None:
        router.send_signal(signal.SIGSTOP)
        await asyncio.sleep(_PAUSE_S)
        router.send_signal(signal.SIGCONT)
        await asyncio.sleep(_DOWN_S)

    async def _stop(self, router: RouterProcess) -> None:
        code = await asyncio.to_thread(self._fleet.stop_router, router)
        if code != 0:
            self.problems.append(f"{router.name} ended with code {code} after SIGTERM")
        if b"event=call_cut" in router.log_path.read_bytes():
            self.problems.append(f"{router.name} cut calls after SIGTERM")
        await self._restart(router)

    async def _restart(self, router: RouterProcess) -> None:
        self._fleet.start_router(router)
        await asyncio.to_thread(self._fleet.wait_ready, _RESTART_LIMIT_S)

    async def _post(self, id: str, fault: dict[str, object]) -> None:
        address = self._fleet.address_by_server[id]
        await asyncio.to_thread(post_json, address, "/standin/fault", fault)
