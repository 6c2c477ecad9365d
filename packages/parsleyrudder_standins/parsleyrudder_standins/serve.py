"""Runs several stand-ins in one process: ``python -m parsleyrudder_standins.serve SPEC.json``.

The JSON file holds a list of objects with ``kind``, ``port`` and the parameters of the stand-in's
class. A kind is ``engine``, ``service``, ``table`` or ``instances``.
"""

import asyncio
import json
import signal
import sys
from pathlib import Path
from typing import Any

from .engine import EngineStandIn
from .instances import InstanceListStandIn
from .service import ServiceStandIn
from .table import TableStandIn
from .web import serve

__all__ = ["run"]


async def run(specs: list[dict[str, Any]]) -> None:
    """Serve until SIGTERM.

    :raises ValueError: if a kind is unknown.
    """
    background = []
    for spec in specs:
        parameters = {k: v for k, v in spec.items() if k not in ("kind", "port")}
        if spec["kind"] == "engine":
            engine = EngineStandIn(**parameters)
            background.append(asyncio.ensure_future(engine.report_load()))
            handler = engine.handle
        elif spec["kind"] == "service":
            handler = ServiceStandIn(**parameters).handle
        elif spec["kind"] == "table":
            handler = TableStandIn().handle
        elif spec["kind"] == "instances":
            handler = InstanceListStandIn(**parameters).handle
        else:
            raise ValueError(
                f"unknown kind {spec['kind']!r}: use engine, service, table or instances"
            )
        background.append(
            asyncio.ensure_future((await serve(handler, spec["port"])).serve_forever())
        )
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    await stop.wait()


if __name__ == "__main__":
    asyncio.run(run(json.loads(Path(sys.argv[1]).read_text())))
