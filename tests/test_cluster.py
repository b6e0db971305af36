"""Guards the ports of a test cluster against other runs on the machine."""

import socket

import pytest

from tests import cluster as clusters


def test_port_of_a_node_that_has_not_started_is_not_free_for_others():
    cluster = clusters.Cluster(1)
    with socket.socket() as other, pytest.raises(OSError):
        other.bind(("127.0.0.1", cluster.settings["node-0"].peer_port))
