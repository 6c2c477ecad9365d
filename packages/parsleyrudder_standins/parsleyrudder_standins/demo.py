"""Demo: a whole fleet on loopback under load, an edit of a list, and a check of the promises.

``python -m parsleyrudder_standins.demo --deployment=frio-nordeste``; exit code 1: a promise broke.
"""

import asyncio
import json
import random
import subprocess
import sys
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from absl import app
from rich.console import Console
from rich.table import Table

from .caller import Caller, CallResult
from .demo_checks import check_promises
from .deployment import Deployment, load_deployment
from .launcher import Fleet, get_json
from .options import DEPLOYMENT, SECONDS, SEED

__all__ = ["main"]

_DEFAULT_SECONDS = 12.0
_CHATS_PER_MEMBER = 6
_MOST_TOKENS = 120
_TAG_TOKENS = 8
_FOLLOW_LIMIT_S = 5.0


@dataclass(slots=True)
class _Load:
    """What the callers do, and what they saw."""

    deployment: Deployment
    entry: list[str]
    rng: random.Random
    until: float
    results: list[CallResult] = field(default_factory=list)
    kind_by_id: dict[str, str] = field(default_factory=dict)
    request_by_id: dict[str, dict[str, Any]] = field(default_factory=dict)

    async def run(self) -> None:
        """Run all callers until the time is over."""
        tasks = []
        for member in self.deployment.members:
            caller = Caller(member.name, self.entry)
            await caller.address()
            for index in range(_CHATS_PER_MEMBER):
                tasks.append(self._chats(caller, f"{member.name}-{index}"))
            tasks.append(self._calls(caller, member.name))
        await asyncio.gather(*tasks)

    async def _chats(self, caller: Caller, name: str) -> None:
        pool = self.deployment.pool("engine").name
        number = 0
        while time.monotonic() < self.until:
            number += 1
            id = f"chat-{name}-{number}"
            tag = self.rng.random() < 0.2
            tokens = _TAG_TOKENS if tag else _MOST_TOKENS
            prompt = f"{caller.member} {'tag' if tag else 'plan'} {number}"
            self.kind_by_id[id] = "tag" if tag else "chat stream"
            self.request_by_id[id] = {"prompt": prompt, "max_tokens": tokens}
            result = await caller.chat(id, pool, prompt, tokens, batch=not tag)
            await self._record(caller, result)

    async def _calls(self, caller: Caller, name: str) -> None:
        pool = self.deployment.pool("service").name
        number = 0
        while time.monotonic() < self.until:
            number += 1
            order = self.rng.random() < 0.4
            id = f"call-{name}-{number}"
            self.kind_by_id[id] = "order" if order else "lookup"
            if order:
                result = await caller.service(id, "POST", pool, "/orders")
            else:
                result = await caller.service(id, "GET", pool, f"/stock/{number}")
            await self._record(caller, result)
            await asyncio.sleep(0.05)

    async def _record(self, caller: Caller, result: CallResult) -> None:
        self.results.append(result)
        if result.code == "connect":
            caller.forget_address()
        if result.outcome != "answered":
            await asyncio.sleep(max(0.2, result.retry_after_s))


def main(argv: list[str]) -> int:
    """Run the demo and return the exit code."""
    console = Console(width=110, highlight=False)
    deployment = load_deployment(DEPLOYMENT.value)
    fleet = Fleet(deployment, routers=3)
    console.print(f"starting {deployment.name}: 3 routers, logs in {fleet.folder}")
    with fleet:
        _show_enforced(console, fleet, "Enforced before the edit")
        entry = [router.address for router in fleet.router_by_name.values()]
        until = time.monotonic() + (SECONDS.value or _DEFAULT_SECONDS)
        load = _Load(deployment, entry, random.Random(SEED.value), until)
        followed_s = asyncio.run(_run_and_edit(console, fleet, load))
        _show_enforced(console, fleet, "Enforced after the edit")
        _show_service(console, fleet)
        _show_outcomes(console, load)
        broken = check_promises(fleet, load.results, load.kind_by_id, load.request_by_id)
        if followed_s > _FOLLOW_LIMIT_S:
            broken.append(f"the edit took {followed_s:.1f} s to reach every router")
        for router in fleet.router_by_name.values():
            code = fleet.stop_router(router)
            if code:
                broken.append(f"{router.name} stopped with exit code {code}")
    for text in broken:
        console.print(f"BROKEN PROMISE: {text}")
    console.print(f"{len(load.results)} calls, {len(broken)} broken promises")
    return 1 if broken else 0


async def _run_and_edit(console: Console, fleet: Fleet, load: _Load) -> float:
    """Run the load, edit a list in the middle of it, and return how long routers took to follow."""
    running = asyncio.ensure_future(load.run())
    await asyncio.sleep((SECONDS.value or _DEFAULT_SECONDS) / 2)
    begun = time.monotonic()
    await asyncio.to_thread(_edit_lists, console, fleet)
    followed_s = time.monotonic() - begun
    await running
    return followed_s


def _edit_lists(console: Console, fleet: Fleet) -> None:
    """Double the share of the last member by parsleyctl, as an operator would."""
    folder = fleet.folder / "lists"
    _parsleyctl(fleet, "fetch", str(folder))
    path = folder / "members.toml"
    member = fleet.deployment.members[-1]
    head, _, tail = path.read_text().partition(f'name = "{member.name}"')
    path.write_text(
        head + f'name = "{member.name}"' + tail.replace("share = 1.0", "share = 4.0", 1)
    )
    console.print(_parsleyctl(fleet, "diff", str(folder)).strip())
    console.print(_parsleyctl(fleet, "submit", str(folder), "--wait_s=10").strip())


def _parsleyctl(fleet: Fleet, *arguments: str) -> str:
    routers = ",".join(router.address for router in fleet.router_by_name.values())
    program = str(Path(sys.executable).parent / "parsleyctl")
    command = [program, f"--table={fleet.table_address}", f"--routers={routers}", "--author=demo"]
    done = subprocess.run([*command, *arguments], capture_output=True, text=True, check=False)
    if done.returncode not in (0, 5):
        raise RuntimeError(f"parsleyctl {arguments[0]} exited {done.returncode}: {done.stderr}")
    return done.stdout


def _show_enforced(console: Console, fleet: Fleet, title: str) -> None:
    table = Table(title=title, title_justify="left", box=None)
    for column in ("router", "version", "member", "plan", "share", "concurrency", "requests/s"):
        table.add_column(column)
    members = fleet.deployment.members
    for router in fleet.router_by_name.values():
        for member in (members[0], members[-1]):
            caller = Caller(member.name, [router.address])
            result = asyncio.run(caller.exchange(router.address, "GET", "/v1/plan"))
            document = json.loads(result.body)
            plan = document["plan"]
            table.add_row(
                router.name,
                str(document["config_version"]),
                member.name,
                plan["name"],
                f"{document['share']:g}",
                str(plan["concurrency"]),
                f"{plan['requests_per_s']:g}",
            )
    console.print(table)


def _show_service(console: Console, fleet: Fleet) -> None:
    served: Counter[str] = Counter()
    pool = fleet.deployment.pool("engine").name
    for router in fleet.router_by_name.values():
        for member, cost in get_json(router.address, "/status")["pools"][pool]["served"].items():
            served[member] += cost
    total = sum(served.values()) or 1.0
    shares = {member.name: member.share for member in fleet.deployment.members}
    table = Table(title=f"Service received in {pool}", title_justify="left", box=None)
    for column in ("member", "voted share", "part received", "cost units"):
        table.add_column(column)
    for member, cost in sorted(served.items(), key=lambda item: -item[1]):
        voted = shares[member] / sum(shares.values())
        table.add_row(member, f"{voted:.1%}", f"{cost / total:.1%}", f"{cost:.0f}")
    console.print(table)


def _show_outcomes(console: Console, load: _Load) -> None:
    counts = Counter(
        (load.kind_by_id[result.id], result.outcome, result.code) for result in load.results
    )
    table = Table(title="Outcome of every call", title_justify="left", box=None)
    for column in ("kind", "outcome", "code", "calls"):
        table.add_column(column)
    for (kind, outcome, code), count in sorted(counts.items()):
        table.add_row(kind, outcome, code, str(count))
    console.print(table)


if __name__ == "__main__":
    app.run(main)
