"""Data plane of a node."""
