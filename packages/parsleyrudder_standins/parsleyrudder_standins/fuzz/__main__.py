"""Command line: ``python -m parsleyrudder_standins.fuzz --seconds=600 --seed=1``."""

import sys
import time
import traceback

from absl import app, flags

from .plants import PLANTS
from .search import run_seed, search

_SECONDS = flags.DEFINE_float("seconds", 60.0, "time to search for; 0 to run one seed only")
_SEED = flags.DEFINE_integer("seed", 1, "first seed")
_PLANT = flags.DEFINE_enum("plant", None, sorted(PLANTS), "fault to plant")
_SHRINK = flags.DEFINE_bool("shrink", True, "whether to reduce a failure to few steps")


def _main(arguments: list[str]) -> int:
    plant = _PLANT.value or ""
    if not _SECONDS.value:
        run_seed(_SEED.value, plant, _SHRINK.value)
        return 0
    started_at = time.monotonic()
    failure = search(_SECONDS.value, _SEED.value, plant, _SHRINK.value and not plant)
    took_s = time.monotonic() - started_at
    if failure is None:
        print(f"nothing found in {took_s:.0f} s from seed {_SEED.value}")
        return 1 if plant else 0
    traceback.print_exception(failure.error, limit=-3)
    replay = f"python -m parsleyrudder_standins.fuzz --seconds=0 --seed={failure.seed}"
    print(f"found after {took_s:.1f} s; replay: {replay}{' --plant=' + plant if plant else ''}")
    return 0 if plant else 1


if __name__ == "__main__":
    sys.exit(app.run(_main))
