"""Routers as processes, started with the command of the deploy file, and a record of the case."""

import asyncio
import itertools
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from http1 import call

ROOT = Path(__file__).resolve().parents[1]
METRICS_PORT = 9464  # fixed in the template of the settings
BOUNDS = {
    "config_apply_ms": 2000,
    "drain_ms": 2000,
    "revoke_ms": 5000,
    "grace_s": 8,
    "retry_budget_ratio": 0.2,
    "retry_min_extra": 54,
    "retry_window_s": 10,
}
ZONES = ("recife", "fortaleza", "salvador")


def trouble():
    """Whether the disruption is to be made (``TROUBLE=0`` leaves it out)."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The file ``record.txt`` beside the script: what was sent, answered and run."""

    def __init__(self, folder):
        self._file = open(Path(folder) / "record.txt", "w", buffering=1)
        self.started_at = time.monotonic()

    def __call__(self, text):
        self._file.write(f"{time.monotonic() - self.started_at:8.3f} {text}\n")

    def say(self, text):
        self(text)
        print(text, flush=True)


class CannotRun(Exception):
    """The case could not be played."""


def _free_ports(host, count):
    socks = [socket.socket() for _ in range(count)]
    try:
        for sock in socks:
            sock.bind((host, 0))
        return [sock.getsockname()[1] for sock in socks]
    finally:
        for sock in socks:
            sock.close()


def free_host(used):
    """Return a loopback address whose metrics port is free."""
    while True:
        host = f"127.{random.randint(16, 250)}.{random.randint(1, 250)}.{random.randint(1, 250)}"
        if host in used:
            continue
        with socket.socket() as sock:
            try:
                sock.bind((host, METRICS_PORT))
            except OSError:
                continue
        used.add(host)
        return host


def fill_in(template, fields):
    """Fill in the placeholders of the template of the settings, as DEPLOY.md says."""

    def replace(match):
        name, _, form = match[1].partition("|")
        value = fields
        for part in name.split("."):
            value = value[part]
        return json.dumps(value) if form == "json" else str(value)

    return re.sub(r"\{\{([^}]+)\}\}", replace, template)


class Router:
    """One router process, which keeps its addresses over restarts."""

    def __init__(self, fleet, name, zone):
        self.fleet, self.name, self.zone = fleet, name, zone
        self.host = free_host(fleet.used_hosts)
        ports = _free_ports(self.host, 4)
        self.listen = dict(
            zip(
                ("frontend", "ready", "control_plane", "registry"),
                (f"{self.host}:{port}" for port in ports),
            )
        )
        self.process = None
        self.starts = 0
        self.log_path = fleet.folder / f"{name}.log"

    @property
    def address(self):
        return self.listen["frontend"]

    def start(self):
        fleet = self.fleet
        fields = {
            "node_name": self.name,
            "ip": self.host,
            "zone": self.zone,
            "listen": self.listen,
            "platform": {"address": fleet.store_address},
            "seed_nodes": [router.listen["control_plane"] for router in fleet.routers[:3]],
            "limits": {"max_fds": 4100},
            "bootstrap": self.starts == 0,
            "bounds": {**BOUNDS, **fleet.bounds},
        }
        settings = fleet.folder / f"{self.name}.toml"
        settings.write_text(fill_in((ROOT / fleet.role["template"]).read_text(), fields))
        self.starts += 1
        keep = {k: v for k, v in os.environ.items() if k in ("PATH", "HOME", "LANG")}
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                fleet.role["run"].split(" "),
                cwd=ROOT,
                env={
                    **keep,
                    "PARSLEYRUDDER_BOOT": str(settings),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                },
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        return (await call(self.listen["ready"], "GET", "/-/readyz", [("Host", "h")], b"", 1.0))[
            0
        ] == 200

    def log_lines(self, event):
        """Return the lines of the process's log that tell of an event."""
        try:
            lines = self.log_path.read_text(errors="replace").splitlines()
        except OSError:
            return []
        return [line for line in lines if f"event={event}" in line]


class Fleet:
    """The routers of a small deployment; a context manager that ends all of them."""

    def __init__(self, count, bounds=None):
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._folder.name)
        self.bounds = bounds or {}
        self.used_hosts = set()
        self.store_address = ""
        with (ROOT / "deploy" / "system.toml").open("rb") as file:
            self.role = tomllib.load(file)["roles"]["router"]
        self.routers = []
        for number in range(count):
            zone = ZONES[number % len(ZONES)]
            self.routers.append(Router(self, f"edge-{zone}-{number // len(ZONES) + 1}", zone))

    def __enter__(self):
        return self

    def __exit__(self, *error):
        for router in self.routers:
            router.kill()
        self._folder.cleanup()

    def add_router(self, name, zone):
        """Add a machine, which is not started yet."""
        router = Router(self, name, zone)
        router.starts = 1  # the system has been started before
        self.routers.append(router)
        return router

    async def start(self, store_address, ready_s=20.0):
        self.store_address = store_address
        for router in self.routers:
            router.start()
        await self.wait_ready(ready_s)

    async def wait_ready(self, ready_s=20.0):
        ends_at = time.monotonic() + ready_s
        while not all([await router.is_ready() for router in self.routers]):
            if time.monotonic() > ends_at:
                raise CannotRun("the routers did not become ready")
            await asyncio.sleep(0.1)


_attempts = itertools.count(1)


def attempt_id():
    """Return a new id of a client attempt."""
    return f"{os.getpid():x}{next(_attempts):08x}"


def run_case(folder, main):
    """Play a case; exit with 1 if the rule was broken, 0 if it held, 2 if it could not run."""
    record = Record(folder)
    record.say(f"trouble: {'yes' if trouble() else 'no'}")
    try:
        is_broken = asyncio.run(asyncio.wait_for(main(record), 115))
    except Exception as error:  # nothing but a broken rule may exit with 1
        record.say(f"the case could not run: {type(error).__name__} {error}")
        sys.exit(2)
    record.say("RULE BROKEN" if is_broken else "the rule held")
    sys.exit(1 if is_broken else 0)
