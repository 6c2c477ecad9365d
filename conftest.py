"""Collection of doctests, and tests that are known to be red.

Doctests come from all modules but programs, since a process defines each flag once.

KNOWN-RED.txt lists tests that fail for a fault that is not mended yet, one entry each: a line
``test: <node id>`` and further lines on command, seed, what was seen and the issue. The run passes
over these tests alone, and prints how each of them went.
"""

from pathlib import Path

import pytest

_KNOWN_RED = Path(__file__).parent / "KNOWN-RED.txt"
_ENTRY = "test:"


def known_red(text: str) -> list[str]:
    """Return the node ids that a text lists.

    :raises ValueError: if an entry names no test.
    """
    ids = [
        line.removeprefix(_ENTRY).strip() for line in text.splitlines() if line.startswith(_ENTRY)
    ]
    if not all("::" in id for id in ids):
        raise ValueError(f"{_KNOWN_RED.name}: write 'test: FILE::TEST'; found {ids}")
    return ids


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Let the tests fail that are known to be red; each must exist if its file is collected."""
    ids = known_red(_KNOWN_RED.read_text()) if _KNOWN_RED.exists() else []
    for item in items:
        if item.nodeid in ids:
            item.add_marker(pytest.mark.xfail(reason="known red", strict=False))
    collected = {item.nodeid for item in items}
    files = {id.partition("::")[0] for id in collected}
    lost = [id for id in ids if id.partition("::")[0] in files and id not in collected]
    if lost and not config.getoption("keyword"):
        raise pytest.UsageError(f"{_KNOWN_RED.name} lists tests that do not exist: {lost}")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print how the tests went that are known to be red."""
    for outcome in ("xfailed", "xpassed"):
        for report in terminalreporter.stats.get(outcome, []):
            terminalreporter.write_line(f"KNOWN RED {outcome}: {report.nodeid}")


def pytest_ignore_collect(collection_path: Path) -> bool | None:
    """Leave out modules that define command line flags, and the platform's start script.

    The script's folder has the name of a standard module, which an import would replace.
    """
    if collection_path.suffix == ".py" and "flags.DEFINE" in collection_path.read_text():
        return True
    if collection_path.name == "run.py" and collection_path.parent.name == "platform":
        return True
    return None
