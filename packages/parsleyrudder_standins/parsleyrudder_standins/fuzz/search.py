"""Runs the state machine seed by seed until a guarantee is broken."""

import time
from dataclasses import dataclass

from hypothesis import HealthCheck, Phase, settings
from hypothesis import seed as with_seed
from hypothesis.stateful import run_state_machine_as_test

from .machine import FleetMachine
from .plants import planted

__all__ = ["EXAMPLES_PER_SEED", "FailingSeed", "run_seed", "search"]

EXAMPLES_PER_SEED = 40
_STEPS_PER_EXAMPLE = 40


@dataclass(slots=True, frozen=True)
class FailingSeed:
    """Seed that led to a failure, and the exception."""

    seed: int
    error: BaseException


def run_seed(seed: int | None, plant: str = "", shrink: bool = True, examples: int = 0) -> None:
    """Run the examples of one seed.

    :param seed: seed of hypothesis; None for its derandomized examples, the same in each run.
    :param shrink: whether a failure is reduced to fewer steps, which takes longer.
    :param examples: number of examples; 0 for ``EXAMPLES_PER_SEED``.
    :raises AssertionError: if a guarantee is broken.
    """
    phases = (Phase.generate, Phase.shrink) if shrink else (Phase.generate,)
    run_settings = settings(
        max_examples=examples or EXAMPLES_PER_SEED,
        stateful_step_count=_STEPS_PER_EXAMPLE,
        deadline=None,
        derandomize=seed is None,
        database=None,
        phases=phases,
        report_multiple_bugs=False,
        suppress_health_check=list(HealthCheck),
    )
    # Each run needs a new class because hypothesis stores the seed on the class.
    machine_class = type("FleetMachine", (FleetMachine,), {})
    if seed is not None:
        machine_class = with_seed(seed)(machine_class)
    with planted(plant):
        run_state_machine_as_test(machine_class, settings=run_settings)


def search(seconds: float, seed: int, plant: str = "", shrink: bool = True) -> FailingSeed | None:
    """Run consecutive seeds until the time is up or a run fails."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        try:
            run_seed(seed, plant, shrink)
        except Exception as error:  # noqa: BLE001
            return FailingSeed(seed, error)
        seed += 1
    return None
