"""Measures how the cost of decisions grows with members, routers, servers and fleet size.

Run ``python -m parsleyrudder_standins.slopes --seed=1``. Each series is printed as a table with a
least-squares fit and as a JSON line. Times depend on the machine and on what else runs on it.
"""

import sys

from absl import flags

from .slopes_fit import exponent
from .slopes_fleet import fleet_series
from .slopes_sharing import sharing_series

__all__ = ["main"]

_FLAGS = flags.FlagValues()
_SEED = flags.DEFINE_integer("seed", 1, "seed of the random choices", flag_values=_FLAGS)
# Over the measured ranges n log n fits an exponent of up to about 1.3; the rest allows for noise.
_MAX_EXPONENT = 1.4


def main(argv: list[str]) -> None:
    """Print all series; exit with status 1 if any grows faster than n log n."""
    _FLAGS(argv)
    above_limit = []
    for measure_series in (sharing_series, fleet_series):
        for series in measure_series(_SEED.value):
            print(series.text(), flush=True)
            if exponent(series.points) > _MAX_EXPONENT:
                above_limit.append(series.name)
    print("steeper than n log n:", ", ".join(above_limit) or "none")
    sys.exit(1 if above_limit else 0)


if __name__ == "__main__":
    main(sys.argv)
