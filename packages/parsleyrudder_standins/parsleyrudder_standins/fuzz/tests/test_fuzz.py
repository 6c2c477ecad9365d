"""Tests that guarantees hold under faults, and that the fuzzer detects broken ones."""

import pytest
from parsleyrudder_standins.fuzz.oracle import Broken
from parsleyrudder_standins.fuzz.search import run_seed

EXAMPLES = 80
PLANT_SEEDS = range(1, 9)


def run_seeds(plant):
    for seed in PLANT_SEEDS:
        run_seed(seed, plant, shrink=False, examples=20)


def test_guarantees_hold_under_faults():
    run_seed(None, examples=EXAMPLES)


@pytest.mark.parametrize(
    "plant",
    ["accept-lower-version", "drop-attempt-id", "retry-after-first-byte", "send-after-lease"],
)
def test_planted_fault_is_found(plant):
    """Guards against an oracle or a simulation that no longer detects broken guarantees."""
    with pytest.raises(Broken):
        run_seeds(plant)
