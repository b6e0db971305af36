"""Connections from a node to upstreams, direct or through another node."""
