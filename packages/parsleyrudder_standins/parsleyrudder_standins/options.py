"""Command line flags that several tools share; each is defined once per process."""

from absl import flags

__all__ = ["DEPLOYMENT", "SECONDS", "SEED"]

DEPLOYMENT = flags.DEFINE_enum(
    "deployment", "frio-nordeste", ["frio-nordeste", "trishuli"], "Folder below deployments/."
)
SEED = flags.DEFINE_integer("seed", 1, "Seed of everything that is random.")
SECONDS = flags.DEFINE_float(
    "seconds", None, "Length of the run; each tool has its own default.", 1
)
