"""Marks the failing tests that KNOWN-RED.txt lists as expected failures."""

import pathlib

import pytest

# Waits of tests end with TimeoutError. Other exceptions are errors of the test
# itself and fail it also when it is listed.
EXPECTED = (AssertionError, TimeoutError)
KNOWN_RED = pathlib.Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"


def known_red() -> dict[str, str]:
    """Return the listed details of each failing test by its node id."""
    if not KNOWN_RED.exists():
        return {}
    lines = KNOWN_RED.read_text().splitlines()
    rows = (line.split(" | ", 1) for line in lines if line.startswith("tests/"))
    return {node_id: details for node_id, details in rows}


def pytest_collection_modifyitems(items):
    """Mark the listed tests as xfail; a pass is reported as XPASS."""
    listed = known_red()
    for item in items:
        if item.nodeid in listed:
            reason = listed[item.nodeid]
            item.add_marker(pytest.mark.xfail(reason=reason, raises=EXPECTED))
