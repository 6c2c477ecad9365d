"""Measures how the cost of decisions grows with members, routers, servers and the fleet.

Run ``python -m parsleyrudder_standins.slopes --seed=1``. Each series is printed as a table with a
least-squares fit and as a JSON line. Times depend on the machine and its other load.
"""

import sys

from absl import flags

from .slopes_fit import exponent
from .slopes_fleet import fleet_series
from .slopes_sharing import sharing_series

__all__ = ["main"]

_FLAGS = flags.FlagValues()
_SEED = flags.DEFINE_integer("seed", 1, "seed of the random choices", flag_values=_FLAGS)
# n log n looks like an exponent of up to about 1.3 over these ranges, with some noise.
_LARGEST_EXPONENT = 1.4


def main(argv: list[str]) -> None:
    """Print all series; end with status 1 if one grows faster than n log n."""
    _FLAGS(argv)
    steep = []
    for measure in (sharing_series, fleet_series):
        for series in measure(_SEED.value):
            print(series.text(), flush=True)
            if exponent(series.points) > _LARGEST_EXPONENT:
                steep.append(series.name)
    print("steeper than n log n:", ", ".join(steep) or "none")
    sys.exit(1 if steep else 0)


if __name__ == "__main__":
    main(sys.argv)
