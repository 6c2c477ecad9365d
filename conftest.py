"""Collection of doctests: all modules but programs, since a process defines each flag once."""

from pathlib import Path


def pytest_ignore_collect(collection_path: Path) -> bool | None:
    """Leave out modules that define command line flags."""
    if collection_path.suffix == ".py" and "flags.DEFINE" in collection_path.read_text():
        return True
    return None
