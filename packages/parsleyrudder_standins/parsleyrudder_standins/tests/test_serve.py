"""Specifications of stand-ins that can't be started."""

import asyncio

import pytest
from parsleyrudder_standins.serve import run


def test_an_unknown_kind_is_refused():
    """It started the instance list."""
    with pytest.raises(ValueError, match="unknown kind 'engin': use engine, service"):
        asyncio.run(run([{"kind": "engin", "port": 0}]))
