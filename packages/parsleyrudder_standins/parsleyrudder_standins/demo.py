"""Demo: runs a fleet under load, changes a member's share and checks the fleet's guarantees.

Run ``python -m parsleyrudder_standins.demo --deployment=frio-nordeste``. The exit code is 1 if a
guarantee was violated.
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
from .demo_checks import find_violations
from .deployment import Deployment, load_deployment
from .launcher import Fleet, get_json
from .options import DEPLOYMENT, SECONDS, SEED

__all__ = ["main"]

_DEFAULT_SECONDS = 12.0
_CHATS_PER_MEMBER = 6
_PLAN_TOKENS = 120
_TAG_TOKENS = 8
_UPDATE_LIMIT_S = 5.0


@dataclass(slots=True)
class _Load:
    """Requests sent by the callers and their results."""

    deployment: Deployment
    router_addresses: list[str]
    rng: random.Random
    deadline: float
    results: list[CallResult] = field(default_factory=list)
    kind_by_id: dict[str, str] = field(default_factory=dict)
    request_by_id: dict[str, dict[str, Any]] = field(default_factory=dict)

    async def run(self) -> None:
        """Run all callers until the deadline."""
        tasks = []
        for member in self.deployment.members:
            caller = Caller(member.name, self.router_addresses)
            await caller.address()
            for index in range(_CHATS_PER_MEMBER):
                tasks.append(self._send_chats(caller, f"{member.name}-{index}"))
            tasks.append(self._send_service_calls(caller, member.name))
        await asyncio.gather(*tasks)

    async def _send_chats(self, caller: Caller, name: str) -> None:
        pool = self.deployment.pool("engine").name
        number = 0
        while time.monotonic() < self.deadline:
            number += 1
            id = f"chat-{name}-{number}"
            is_tag = self.rng.random() < 0.2
            tokens = _TAG_TOKENS if is_tag else _PLAN_TOKENS
            prompt = f"{caller.member} {'tag' if is_tag else 'plan'} {number}"
            self.kind_by_id[id] = "tag" if is_tag else "chat stream"
            self.request_by_id[id] = {"prompt": prompt, "max_tokens": tokens}
            result = await caller.chat(id, pool, prompt, tokens, batch=not is_tag)
            await self._record(caller, result)

    async def _send_service_calls(self, caller: Caller, name: str) -> None:
        pool = self.deployment.pool("service").name
        number = 0
        while time.monotonic() < self.deadline:
            number += 1
            is_order = self.rng.random() < 0.4
            id = f"call-{name}-{number}"
            self.kind_by_id[id] = "order" if is_order else "lookup"
            if is_order:
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
        _print_plans(console, fleet, "Enforced before the edit")
        router_addresses = [router.address for router in fleet.router_by_name.values()]
        deadline = time.monotonic() + (SECONDS.value or _DEFAULT_SECONDS)
        load = _Load(deployment, router_addresses, random.Random(SEED.value), deadline)
        update_s = asyncio.run(_run_and_edit(console, fleet, load))
        _print_plans(console, fleet, "Enforced after the edit")
        _print_service(console, fleet)
        _print_outcomes(console, load)
        violations = find_violations(fleet, load.results, load.kind_by_id, load.request_by_id)
        if update_s > _UPDATE_LIMIT_S:
            violations.append(f"the edit took {update_s:.1f} s to reach every router")
        for router in fleet.router_by_name.values():
            code = fleet.stop_router(router)
            if code:
                violations.append(f"{router.name} stopped with exit code {code}")
    for text in violations:
        console.print(f"BROKEN PROMISE: {text}")
    console.print(f"{len(load.results)} calls, {len(violations)} broken promises")
    return 1 if violations else 0


async def _run_and_edit(console: Console, fleet: Fleet, load: _Load) -> float:
    """Run the load, change a share halfway, and return the time until every router applied it."""
    load_task = asyncio.ensure_future(load.run())
    await asyncio.sleep((SECONDS.value or _DEFAULT_SECONDS) / 2)
    started_at = time.monotonic()
    await asyncio.to_thread(_edit_lists, console, fleet)
    update_s = time.monotonic() - started_at
    await load_task
    return update_s


def _edit_lists(console: Console, fleet: Fleet) -> None:
    """Raise the share of the last member from 1 to 4 with parsleyctl, as an operator would."""
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
    completed = subprocess.run([*command, *arguments], capture_output=True, text=True, check=False)
    if completed.returncode not in (0, 5):
        raise RuntimeError(
            f"parsleyctl {arguments[0]} exited {completed.returncode}: {completed.stderr}"
        )
    return completed.stdout


def _print_plans(console: Console, fleet: Fleet, title: str) -> None:
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


def _print_service(console: Console, fleet: Fleet) -> None:
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
        voted_share = shares[member] / sum(shares.values())
        table.add_row(member, f"{voted_share:.1%}", f"{cost / total:.1%}", f"{cost:.0f}")
    console.print(table)


def _print_outcomes(console: Console, load: _Load) -> None:
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
