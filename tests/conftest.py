"""Lets the run pass over the failing tests that KNOWN-RED.txt lists."""

import pathlib

import pytest

KNOWN_RED = pathlib.Path(__file__).resolve().parent.parent / "KNOWN-RED.txt"


def known_red() -> dict[str, str]:
    """Return what was seen, by the node id of the test."""
    if not KNOWN_RED.exists():
        return {}
    lines = KNOWN_RED.read_text().splitlines()
    rows = (line.split(" | ", 1) for line in lines if line.startswith("tests/"))
    return {node_id: rest for node_id, rest in rows}


def pytest_collection_modifyitems(items):
    """Expect the listed tests to fail; a pass is printed as XPASS."""
    listed = known_red()
    for item in items:
        if item.nodeid in listed:
            reason = listed[item.nodeid]
            item.add_marker(
                pytest.mark.xfail(reason=reason, raises=AssertionError)
            )
