"""Command line for operators."""

from absl import app

__all__ = ["run"]


def run() -> None:
    """Run one command."""
    app.run(lambda argv: None)
