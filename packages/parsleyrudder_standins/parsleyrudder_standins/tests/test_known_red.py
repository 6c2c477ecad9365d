"""Guards against a test run that ignores failures which KNOWN-RED.txt does not list.

A run must ignore the failures of the listed tests only, print these tests, and reject entries that
name no test.
"""

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[4]
TESTS = "def test_red():\n    assert False\n\n\ndef test_green():\n    pass\n"


@pytest.mark.parametrize(
    ("known", "code", "printed"),
    [
        ("", 1, "1 failed, 1 passed"),
        (
            "test: test_a.py::test_red\nseen: it fails\n",
            0,
            "KNOWN RED xfailed: test_a.py::test_red",
        ),
        ("test: test_a.py::test_green\n", 1, "KNOWN RED xpassed: test_a.py::test_green"),
        ("test: test_a.py::test_gone\n", 4, "do not exist"),
        ("test: test_red\n", 3, "write 'test: FILE::TEST'"),
    ],
)
def test_run_ignores_failures_of_listed_tests_only(tmp_path, known, code, printed):
    (tmp_path / "conftest.py").write_text((ROOT / "conftest.py").read_text())
    (tmp_path / "test_a.py").write_text(TESTS)
    if known:
        (tmp_path / "KNOWN-RED.txt").write_text(known)
    completed = subprocess.run(
        [sys.executable, "-m", "pytest", "-p", "no:cacheprovider", "--rootdir=."],
        cwd=tmp_path,
        capture_output=True,
        text=True,
    )
    assert printed in completed.stdout + completed.stderr
    assert completed.returncode == code
