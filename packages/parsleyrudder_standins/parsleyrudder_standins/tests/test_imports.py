"""Guards against imports between packages that reverse their layers.

In particular, products never import the stand-ins.
"""

import ast
from pathlib import Path

import pytest

PACKAGES = Path(__file__).resolve().parents[3]
ALLOWED = {
    "parsleyrudder": set(),
    "parsleyrudder_adapters": {"parsleyrudder"},
    "parsleyrudder_daemon": {"parsleyrudder", "parsleyrudder_adapters"},
    "parsleyctl": {"parsleyrudder", "parsleyrudder_adapters"},
    "parsleyrudder_standins": {"parsleyrudder", "parsleyrudder_adapters"},
}
FORBIDDEN_IN_DECISION_PACKAGE = {
    "asyncio",
    "circuits",
    "logging",
    "os",
    "select",
    "socket",
    "threading",
    "time",
    "zmq",
}


def imported_modules(path: Path) -> set[str]:
    """Return the top-level names of the absolute imports of a file."""
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name.partition(".")[0] for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.level == 0:
            names.add((node.module or "").partition(".")[0])
    return names


@pytest.mark.parametrize("package", sorted(ALLOWED))
def test_package_imports_only_allowed_packages(package):
    files = [p for p in (PACKAGES / package / package).rglob("*.py") if "tests" not in p.parts]
    assert files
    for path in files:
        project_packages = imported_modules(path) & ALLOWED.keys()
        assert project_packages <= ALLOWED[package] | {package}, path


def test_decision_package_imports_no_clock_socket_or_log():
    files = (PACKAGES / "parsleyrudder" / "parsleyrudder").rglob("*.py")
    for path in files:
        if "tests" not in path.parts:
            assert not imported_modules(path) & FORBIDDEN_IN_DECISION_PACKAGE, path
