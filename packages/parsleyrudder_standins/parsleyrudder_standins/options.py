"""Command line flags shared by several tools.

absl allows only one definition of a flag per process.
"""

from absl import flags

__all__ = ["DEPLOYMENT", "SECONDS", "SEED"]

DEPLOYMENT = flags.DEFINE_enum(
    "deployment", "frio-nordeste", ["frio-nordeste", "trishuli"], "Folder below deployments/."
)
SEED = flags.DEFINE_integer("seed", 1, "Seed of everything that is random.")
SECONDS = flags.DEFINE_float(
    "seconds", None, "Length of the run; each tool has its own default.", 1
)
