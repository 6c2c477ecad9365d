"""Runs a fleet of router daemons and stand-in servers as processes on the loopback interface.

For development and tests only; the products start no processes.
"""

import contextlib
import http.client
import json
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
import zmq
from parsleyrudder import (
    Accepted,
    Config,
    check_config,
    decode_config,
    read_config_txn,
    submit_result,
    submit_txn,
)
from parsleyrudder_adapters.etcd import BlockingEtcdTable

from .deployment import Deployment

__all__ = ["Fleet", "RouterProcess", "free_ports", "get_json", "post_json", "wait_listening"]

# Below the ephemeral ports that Linux assigns to outgoing connections.
_PORTS = (10_000, 32_000)
_START_TIMEOUT_S = 20.0
_STOP_TIMEOUT_S = 20.0


@dataclass(slots=True)
class RouterProcess:
    """A router daemon and its files."""

    name: str
    failure_domain: str
    caller_port: int
    peer_port: int
    settings_path: Path
    log_path: Path
    process: subprocess.Popen[bytes] | None = None

    @property
    def address(self) -> str:
        """Address that callers connect to."""
        return f"127.0.0.1:{self.caller_port}"

    def status(self) -> dict[str, Any]:
        """Return the router's ``/status`` document."""
        return get_json(self.address, "/status")

    def metrics(self) -> str:
        """Return the router's ``/metrics`` text."""
        return _request(self.address, "GET", "/metrics", None).decode()

    def send_signal(self, number: int) -> None:
        """Send a signal to the daemon."""
        assert self.process is not None
        self.process.send_signal(number)


@dataclass(slots=True)
class Fleet:
    """A fleet of one deployment; a context manager that starts it and kills its processes on exit.

    :ivar routers: number of routers.
    :ivar pool_settings: settings that override those of the deployment in every pool.
    :ivar router_settings: settings that override the defaults of every router.
    :ivar extra_sections: top-level sections to add to the settings files.
    :ivar spares: number of spare engines for the first engine pool.
    :ivar folder: folder of settings files and logs.
    """

    deployment: Deployment
    routers: int = 3
    pool_settings: dict[str, Any] = field(default_factory=dict)
    router_settings: dict[str, Any] = field(default_factory=dict)
    extra_sections: dict[str, Any] = field(default_factory=dict)
    spares: int = 0
    folder: Path = field(default_factory=lambda: Path(tempfile.mkdtemp(prefix="rudder-")))
    router_by_name: dict[str, RouterProcess] = field(default_factory=dict)
    address_by_server: dict[str, str] = field(default_factory=dict)
    table_address: str = ""
    instances_address: str = ""
    _standins: list[subprocess.Popen[bytes]] = field(default_factory=list)
    _curve_keys: tuple[str, str] = ("", "")

    def __enter__(self) -> "Fleet":
        try:
            self._start_standins()
            self._prepare_routers()
            self.submit_lists()
            for router in self.router_by_name.values():
                self.start_router(router)
            self.wait_ready()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *args: object) -> None:
        self.close()

    def table(self) -> BlockingEtcdTable:
        """Return a client of the table stand-in."""
        return BlockingEtcdTable(self.table_address)

    def submit_lists(self) -> int:
        """Submit the members and plans of the deployment and return the accepted version."""
        config = check_config(self.deployment.members, self.deployment.plans)
        return self.submit(config, "demo")

    def submit(self, config: Config, author: str) -> int:
        """Submit a configuration and return the accepted version."""
        table = self.table()
        base, revision = decode_config(table.txn(read_config_txn()))
        id = f"{author}-{time.monotonic_ns()}"
        result = table.txn(submit_txn(base, revision, config, author, time.time(), id))
        outcome = submit_result(result, id)
        if not isinstance(outcome, Accepted):
            raise RuntimeError(f"configuration submission not accepted: {outcome}")
        return outcome.version

    def start_router(self, router: RouterProcess) -> None:
        """Start a router daemon whose output is appended to its log file."""
        log = router.log_path.open("ab")
        program = Path(sys.executable).parent / "parsleyrudder"
        command = [str(program), f"--settings={router.settings_path}"]
        router.process = subprocess.Popen(command, stderr=log, stdout=log)
        log.close()

    def wait_ready(self, timeout_s: float = _START_TIMEOUT_S) -> None:
        """Wait until every router accepts calls, sees all others and knows each pool's coordinator.

        :raises TimeoutError: if a router is not ready within ``timeout_s``.
        """
        deadline = time.monotonic() + timeout_s
        for router in self.router_by_name.values():
            while not self._is_ready(router):
                if time.monotonic() > deadline:
                    raise TimeoutError(
                        f"{router.name} did not become ready in time; see {router.log_path}"
                    )
                time.sleep(0.05)

    def standin_pids(self) -> list[int]:
        """Return the process ids of the stand-ins."""
        return [process.pid for process in self._standins]

    def stop_router(self, router: RouterProcess) -> int:
        """Stop a router with SIGTERM and return its exit code."""
        assert router.process is not None
        router.send_signal(signal.SIGTERM)
        return router.process.wait(_STOP_TIMEOUT_S)

    def close(self) -> None:
        """Kill all processes that still run."""
        routers = [r.process for r in self.router_by_name.values() if r.process is not None]
        for process in [*routers, *self._standins]:
            if process.poll() is None:
                process.kill()
        for process in [*routers, *self._standins]:
            process.wait()

    def _is_ready(self, router: RouterProcess) -> bool:
        with contextlib.suppress(OSError, http.client.HTTPException, ValueError):
            status = router.status()
            pools = status["pools"].values()
            live = len(status["live"]) >= len(self.router_by_name)
            return status["ready"] and live and all(pool["coordinator"] for pool in pools)
        return False

    def _start_standins(self) -> None:
        deployment = self.deployment
        servers = sum(pool.servers for pool in deployment.pools) + self.spares
        ports = iter(free_ports(2 + servers))
        table_port, instances_port = next(ports), next(ports)
        self.table_address = f"127.0.0.1:{table_port}"
        self.instances_address = f"127.0.0.1:{instances_port}"
        for pool in deployment.pools:
            specs = []
            for index in range(pool.servers):
                port = next(ports)
                self.address_by_server[f"{pool.name}-{index + 1}"] = f"127.0.0.1:{port}"
                if pool.kind == "engine":
                    parameters = {
                        "window": pool.window,
                        "token_s": pool.token_s,
                        "model": pool.name,
                    }
                else:
                    parameters = {"call_s": pool.call_s}
                specs.append({"kind": pool.kind, "port": port, **parameters})
            self._start_standin(pool.name, specs)
        engine = deployment.pool("engine")
        specs = []
        for index in range(self.spares):
            port = next(ports)
            self.address_by_server[f"spare-{index + 1}"] = f"127.0.0.1:{port}"
            parameters = {"window": engine.window, "token_s": engine.token_s, "load_s": 0.5}
            specs.append({"kind": "engine", "port": port, **parameters})
        if specs:
            self._start_standin("spares", specs)
        ids = [*self.address_by_server, *map(_router_name, range(self.routers))]
        instances = {"kind": "instances", "port": instances_port, "ids": ids, "lag_s": 0.5}
        self._start_standin("platform", [{"kind": "table", "port": table_port}, instances])
        for address in (self.table_address, self.instances_address):
            wait_listening(address)
        for address in self.address_by_server.values():
            wait_listening(address)

    def _start_standin(self, name: str, specs: list[dict[str, Any]]) -> None:
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(specs))
        command = [sys.executable, "-m", "parsleyrudder_standins.serve", str(path)]
        log = (self.folder / f"{name}.log").open("ab")
        self._standins.append(subprocess.Popen(command, stderr=log, stdout=log))
        log.close()

    def _prepare_routers(self) -> None:
        public, secret = zmq.curve_keypair()
        self._curve_keys = public.decode(), secret.decode()
        ports = iter(free_ports(2 * self.routers))
        domains = self.deployment.failure_domains
        for index in range(self.routers):
            name = _router_name(index)
            domain = domains[index % len(domains)]
            settings, log = self.folder / f"{name}.toml", self.folder / f"{name}.log"
            router = RouterProcess(name, domain, next(ports), next(ports), settings, log)
            self.router_by_name[name] = router
        for router in self.router_by_name.values():
            router.settings_path.write_text(self._settings_text(router))

    def _settings_text(self, router: RouterProcess) -> str:
        """Return the text of a router's settings file."""
        seeds = [
            {
                "name": other.name,
                "address": f"127.0.0.1:{other.peer_port}",
                "caller_url": f"http://{other.address}",
            }
            for other in self.router_by_name.values()
            if other is not router
        ]
        public, secret = self._curve_keys
        document = {
            "router": {
                "name": router.name,
                "failure_domain": router.failure_domain,
                "caller_bind": router.address,
                "caller_url": f"http://{router.address}",
                "peer_bind": f"127.0.0.1:{router.peer_port}",
                "address_ttl_s": 2.0,
                **self.router_settings,
            },
            "table": {"address": self.table_address},
            "instances": {"address": self.instances_address},
            "peers": {"public_key": public, "secret_key": secret, "seeds": seeds},
            "pools": [self._pool_settings(index) for index in range(len(self.deployment.pools))],
            "spares": [self._spare_settings(n) for n in range(self.spares)],
            **self.extra_sections,
        }
        return _encode_toml(document)

    def _spare_settings(self, index: int) -> dict[str, Any]:
        pool = self.deployment.pool("engine")
        domains = self.deployment.failure_domains
        id = f"spare-{index + 1}"
        return {
            "id": id,
            "address": self.address_by_server[id],
            "failure_domain": domains[index % len(domains)],
            "window": pool.window,
            "pools": [pool.name],
        }

    def _pool_settings(self, index: int) -> dict[str, Any]:
        pool = self.deployment.pools[index]
        domains = self.deployment.failure_domains
        servers = [
            {
                "id": f"{pool.name}-{n + 1}",
                "address": self.address_by_server[f"{pool.name}-{n + 1}"],
                "failure_domain": domains[n % len(domains)],
                "window": pool.window,
            }
            for n in range(pool.servers)
        ]
        return {
            "name": pool.name,
            "kind": pool.kind,
            "interactive_reserve": pool.interactive_reserve,
            "max_call_s": pool.max_call_s,
            "servers": servers,
            **self.pool_settings,
        }


def _router_name(index: int) -> str:
    return f"router-{index + 1}"


def free_ports(count: int) -> list[int]:
    """Return ports that are currently free on the loopback interface.

    They are outside of the ephemeral range, from which an outgoing connection could otherwise be
    assigned one before its process listens.
    """
    ports: list[int] = []
    with contextlib.ExitStack() as stack:
        while len(ports) < count:
            sock = stack.enter_context(socket.socket())
            port = random.randrange(*_PORTS)
            with contextlib.suppress(OSError):
                sock.bind(("127.0.0.1", port))
                ports.append(port)
    return ports


def get_json(address: str, path: str) -> Any:
    """Return the JSON document at a path."""
    return json.loads(_request(address, "GET", path, None))


def post_json(address: str, path: str, document: Any) -> Any:
    """Post a JSON document and return the JSON response."""
    return json.loads(_request(address, "POST", path, json.dumps(document)))


def _request(address: str, method: str, path: str, body: str | None) -> bytes:
    connection = http.client.HTTPConnection(address, timeout=5)
    try:
        connection.request(method, path, body)
        return connection.getresponse().read()
    finally:
        connection.close()


def wait_listening(address: str) -> None:
    """Wait until an address accepts TCP connections.

    :raises TimeoutError: if none is accepted in time.
    """
    host, _, port = address.partition(":")
    deadline = time.monotonic() + _START_TIMEOUT_S
    while True:
        try:
            socket.create_connection((host, int(port)), 1).close()
            return
        except OSError:
            if time.monotonic() > deadline:
                raise TimeoutError(f"no process listened on {address} in time") from None
            time.sleep(0.02)


def _encode_toml(document: dict[str, Any]) -> str:

    return msgspec.toml.encode(document).decode()
