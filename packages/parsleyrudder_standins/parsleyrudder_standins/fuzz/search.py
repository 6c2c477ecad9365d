"""Searches for a broken promise, and prints how to repeat what it found."""

import time
from dataclasses import dataclass

from hypothesis import HealthCheck, Phase, settings
from hypothesis import seed as with_seed
from hypothesis.stateful import run_state_machine_as_test

from .machine import FleetMachine
from .plants import planted

__all__ = ["EXAMPLES_PER_SEED", "Found", "run_seed", "search"]

EXAMPLES_PER_SEED = 40
_STEPS = 40


@dataclass(slots=True, frozen=True)
class Found:
    """A failure and the seed that leads to it."""

    seed: int
    error: BaseException


def run_seed(seed: int | None, plant: str = "", shrink: bool = True, examples: int = 0) -> None:
    """Run the examples of one seed.

    :param seed: None for the examples that are the same in each run of the test suite.
    :param shrink: whether a failure is reduced to few steps, which takes longer.
    :param examples: number of examples; 0 for ``EXAMPLES_PER_SEED``.
    :raises AssertionError: if a promise is broken.
    """
    phases = (Phase.generate, Phase.shrink) if shrink else (Phase.generate,)
    rules = settings(
        max_examples=examples or EXAMPLES_PER_SEED,
        stateful_step_count=_STEPS,
        deadline=None,
        derandomize=seed is None,
        database=None,
        phases=phases,
        report_multiple_bugs=False,
        suppress_health_check=list(HealthCheck),
    )
    # A new class per run: hypothesis keeps the seed on the class that it is given.
    machine = type("FleetMachine", (FleetMachine,), {})
    if seed is not None:
        machine = with_seed(seed)(machine)
    with planted(plant):
        run_state_machine_as_test(machine, settings=rules)


def search(seconds: float, seed: int, plant: str = "", shrink: bool = True) -> Found | None:
    """Run one seed after the other until time is over or a promise is broken."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            run_seed(seed, plant, shrink)
        except Exception as error:  # noqa: BLE001
            return Found(seed, error)
        seed += 1
    return None
