"""The manifest takes the last keys away, and the routers run requests with them, or without any."""

import asyncio
import time
from pathlib import Path

from fleet import CannotRun, Fleet, attempt_id, free_host, run_case, trouble
from http1 import call
from platform_store import Store
from servers import PlainServer

HOST = "ficu95.example"
KEYS = {
    "hule930": "asnmgkcuyj8pjbvk9m68",
    "kafo112": "p3kd8x0a7rmw2vtq5nhz",
    "riso477": "w8c2zt61hqf0mnb4xkea",
}
REVOKE_GAP_S = 0.1  # `revoke` with count = 3 and gap_s = 0.1, as in the days of the site file
VERSIONS = (7, 9, 14)
REVOKE_S = 5.0  # bound revoke_ms of the deployments
NEVER_HELD = "zzzzzzzzzzzzzzzzzzzz"


def manifest(version, keys):
    common = {"host": HOST, "service": "pedidos", "timeout_ms": 800, "target_latency_ms": 100}
    return {
        "version": version,
        "routes": [
            {"name": "r1", "prefix": "/puxa403/", "route_type": "unsafe", "max_attempts": 1}
            | common,
            {"name": "r2", "prefix": "/lohu930/", "route_type": "safe", "max_attempts": 2} | common,
        ],
        "services": [{"name": "pedidos", "health_path": "/healthz", "max_conns": 100}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 10000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": name, "api_keys": list(keys.get(name, ()))} for name in KEYS],
    }


async def main(record):
    store = Store()
    hosts = set()
    await store.start(free_host(hosts))
    await store.write("op", "config", manifest(3, {name: [key] for name, key in KEYS.items()}))
    servers = []
    for number, zone in enumerate(("recife", "fortaleza", "salvador")):
        server = PlainServer(record, store, f"i-{number:x}4a91c{number}", "pedidos", zone)
        await server.begin(free_host(hosts))
        servers.append(server)

    async def send(router, key, what):
        id = attempt_id()
        headers = [("Host", HOST), ("X-Attempt-Id", id), ("X-Deadline-Ms", "1500")]
        if key:
            headers.append(("Authorization", f"Bearer {key}"))
        record(f"client sends {id} to {router.name} with {what}")
        status, _, _ = await call(router.address, "POST", "/puxa403/2f", headers, b"{}")
        record(f"client got {status or 'no answer'} for {id}")
        return id, status

    def was_run(id):
        return any(id == run[1] for server in servers for run in server.runs)

    with Fleet(3) as fleet:
        await fleet.start(store.address)
        for router in fleet.routers:
            for tenant, key in KEYS.items():
                id, status = await send(router, key, f"the key of {tenant}")
                if status != 200 or not was_run(id):
                    raise CannotRun(f"a request with a valid key got {status}")
            id, status = await send(router, NEVER_HELD, "a key that no manifest held")
            if was_run(id):
                raise CannotRun("an unknown key was accepted before the change")
        # The keys are taken away one after the other; without trouble, the last one stays.
        left = {name: [key] for name, key in KEYS.items()}
        for version, tenant in list(zip(VERSIONS, KEYS))[: None if trouble() else -1]:
            del left[tenant]
            acked_at = await store.write("op", "config", manifest(version, left))
            record(f"manifest {version} acknowledged: it takes the key of {tenant} away")
            await asyncio.sleep(REVOKE_GAP_S)
        record.say(f"keys left in the manifest in force: {sum(map(len, left.values()))}")
        await asyncio.sleep(REVOKE_S + 1.0)
        revoked_runs = unheld_runs = keyless_runs = 0
        for router in fleet.routers:
            for tenant, key in KEYS.items():
                if tenant in left:
                    continue
                id, _ = await send(router, key, f"the key of {tenant}, taken away")
                revoked_runs += was_run(id)
            id, _ = await send(router, NEVER_HELD, "a key that no manifest held")
            unheld_runs += was_run(id)
            id, _ = await send(router, "", "no key")
            keyless_runs += was_run(id)
        record.say(f"sent {REVOKE_S:.0f} to {time.monotonic() - acked_at:.1f} s after the last change")
        record.say(f"runs of requests with a revoked key: {revoked_runs}")
        record.say(f"runs of requests with a key that no manifest ever held: {unheld_runs}")
        record.say(f"runs of requests without a key: {keyless_runs}")
    for server in servers:
        server.end()
    return bool(revoked_runs or unheld_runs)


run_case(Path(__file__).parent, main)
