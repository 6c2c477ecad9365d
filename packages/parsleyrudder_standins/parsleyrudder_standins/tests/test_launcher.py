"""Ports of the launched processes."""

from pathlib import Path

from parsleyrudder_standins.launcher import free_ports


def test_free_ports_are_not_assigned_to_outgoing_connections():
    """A process that was to listen found its port taken, and its fleet did not start."""
    first_ephemeral = int(Path("/proc/sys/net/ipv4/ip_local_port_range").read_text().split()[0])
    ports = free_ports(20)
    assert len(set(ports)) == 20
    assert max(ports) < first_ephemeral
