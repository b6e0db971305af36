"""Data plane for opaque requests that routes of the catalogue describe."""
