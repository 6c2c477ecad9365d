"""The store comes back from a copy; some routers keep a manifest that is no longer in force."""

import asyncio
import time
from pathlib import Path

from fleet import CannotRun, Fleet, attempt_id, free_host, run_case, trouble
from http1 import call
from platform_store import Store
from servers import PlainServer

HOST = "ficu95.example"
TENANTS = {"hule930": "asnmgkcuyj8pjbvk9m68", "kafo112": "p3kd8x0a7rmw2vtq5nhz"}
REVOKED = "kafo112"
REVOKE_S = 5.0  # bound revoke_ms of the deployments
CONTACT_S = 3.0  # bound contact_ms
AWAY_S = 0.2  # "away for a moment"
MIN_COPY_AGE_S, MAX_COPY_AGE_S = 3.0, 5.0  # "a copy some seconds old"
SETTLE_S = 4.0
ROUTERS = 7
ZONES = ("recife", "fortaleza", "salvador")


def manifest(version, keys):
    common = {"host": HOST, "service": "pedidos", "timeout_ms": 800, "target_latency_ms": 100}
    return {
        "version": version,
        "routes": [
            {"name": "r1", "prefix": "/puxa403/", "route_type": "unsafe", "max_attempts": 1}
            | common,
        ],
        "services": [{"name": "pedidos", "health_path": "/healthz", "max_conns": 100}],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 10000,
            "idle_timeout_ms": 15000,
        },
        "tenants": [{"name": name, "api_keys": list(keys.get(name, ()))} for name in TENANTS],
    }


async def main(record):
    store = Store()
    hosts = set()
    await store.start(free_host(hosts))
    keys = {name: [key] for name, key in TENANTS.items()}
    await store.write("op", "config", manifest(3, keys))
    servers = []
    for number in range(12):
        zone = ZONES[number % 3]
        server = PlainServer(record, store, f"i-{number:x}4a91c{number}", "pedidos", zone)
        await server.begin(free_host(hosts))
        await asyncio.sleep(0.1)  # so that their heartbeats are spread over the interval
        servers.append(server)

    async def send(router, tenant):
        id = attempt_id()
        headers = [
            ("Host", HOST),
            ("X-Attempt-Id", id),
            ("X-Deadline-Ms", "1500"),
            ("Authorization", f"Bearer {TENANTS[tenant]}"),
        ]
        record(f"client sends {id} to {router.name} with the key of {tenant}")
        status, _, _ = await call(router.address, "POST", "/puxa403/2f", headers, b"{}")
        ran = any(id == run[1] for server in servers for run in server.runs)
        record(f"client got {status or 'no answer'} for {id}; {'ran' if ran else 'did not run'}")
        return status, ran

    with Fleet(ROUTERS) as fleet:
        await fleet.start(store.address)
        await asyncio.sleep(SETTLE_S)
        for router in fleet.routers:
            status, ran = await send(router, REVOKED)
            if status != 200:
                raise CannotRun(f"a request with a valid key got {status} from {router.name}")
        # A machine is added: its router writes its row, the only write of the system in this time.
        added = fleet.add_router("edge-recife-4", "recife")
        before = store.revision
        added.start()
        await fleet.wait_ready()
        await asyncio.sleep(1.5)
        record.say(f"a machine was added; the version rose from {before} to {store.revision}")
        del keys[REVOKED]
        change = manifest(7, keys)
        if trouble():
            written_at = [at for at, table, *_ in store.log if table == "routers"][-1]
            copy_age_s = max(MIN_COPY_AGE_S, time.monotonic() - written_at + 0.3)
            if copy_age_s > MAX_COPY_AGE_S:
                raise CannotRun("the copy would be too old")
            record.say(f"the store is away for {AWAY_S} s; its copy is {copy_age_s:.1f} s old")
            drill = asyncio.create_task(store.drill(AWAY_S, copy_age_s))
            await asyncio.sleep(AWAY_S / 2)
            # The operator's call is refused, and repeated until the store takes it.
            pending = asyncio.create_task(store.write("op", "config", change))
            before, copy, own = await drill
            acked_at = await pending
            record.say(
                f"the store was at version {before}, came back as era {store.era} at {copy},"
                f" without {own}; manifest 7 has version {store.revision}"
            )
        else:
            acked_at = await store.write("op", "config", change)
        record.say(f"manifest 7 acknowledged: it takes the key of {REVOKED} away")
        await asyncio.sleep(max(REVOKE_S, CONTACT_S) + 1.0)
        stale = set()
        ends_at = time.monotonic() + 12.0
        while time.monotonic() < ends_at:
            for router in fleet.routers:
                _, ran = await send(router, REVOKED)
                if ran:
                    stale.add(router.name)
            await asyncio.sleep(0.5)
        for router in fleet.routers:
            for line in router.log_lines("config_in_force") + router.log_lines("store_"):
                record(f"log of {router.name}: {line[:160]}")
        late_s = time.monotonic() - acked_at
        record.say(f"reads that the store refused with 410: {store.refused_reads}")
        record.say(f"routers that ran the revoked key 6 to {late_s:.0f} s after the ack: {sorted(stale)}")
    for server in servers:
        server.end()
    return bool(stale)


run_case(Path(__file__).parent, main)
