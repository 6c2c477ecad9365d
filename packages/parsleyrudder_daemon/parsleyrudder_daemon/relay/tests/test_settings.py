"""Settings of a relay."""

import msgspec
import pytest
from parsleyrudder_daemon.relay.settings import RelaySettings

ADDRESS = "127.0.0.1:1"


@pytest.mark.parametrize("descriptors", [1000, 4100, 8192])
def test_connections_of_callers_leave_descriptors_for_their_targets(descriptors):
    """Guards against a router that accepts more callers than it can connect to targets."""
    names = ("callers", "ready", "addresses", "peers", "store", "metrics")
    fields = {"name": "r", "failure_domain": "a", "descriptors": descriptors}
    settings = msgspec.convert({**fields, **dict.fromkeys(names, ADDRESS)}, RelaySettings)
    files = 200
    assert 2 * settings.max_caller_connections <= descriptors - files
