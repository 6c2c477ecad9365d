"""Tests of the command line of the daemon."""

import subprocess
import sys

import pytest

VALID = f"""
pools = [{{ name = "p", kind = "service", servers = [
  {{ id = "s", address = "127.0.0.1:9000", failure_domain = "d", window = 1 }}] }}]
[router]
name = "r"
failure_domain = "d"
caller_bind = "127.0.0.1:8100"
caller_url = "http://127.0.0.1:8100"
peer_bind = "127.0.0.1:8200"
[table]
address = "127.0.0.1:2379"
[instances]
address = "127.0.0.1:2380"
[peers]
public_key = "{'p' * 40}"
secret_key = "{'s' * 40}"
"""
CASES = {
    "valid": (VALID, 0, ["valid"]),
    "two errors": (
        VALID.replace("window = 1", "window = -1").replace("8200", "0"),
        2,
        ["pools[0].servers[0].window", "router.peer_bind"],
    ),
    "no TOML": ("[", 2, ["TOML"]),
}


@pytest.mark.parametrize("name", CASES)
def test_check_prints_every_error_and_exits_2(tmp_path, name):
    """``--check`` must not accept settings that the daemon refuses, nor omit any of the errors."""
    text, code, shown = CASES[name]
    path = tmp_path / "router.toml"
    path.write_text(text)
    program = "from parsleyrudder_daemon.main import run; run()"
    command = [sys.executable, "-c", program, f"--settings={path}", "--check"]
    result = subprocess.run(command, capture_output=True, text=True, timeout=60)
    assert result.returncode == code, result.stderr
    lines = (result.stdout + result.stderr).strip().splitlines()
    assert len(lines) == len(shown)
    for part, line in zip(shown, sorted(lines, key=lambda line: "router.peer" in line)):
        assert str(path) in line
        assert part in line
