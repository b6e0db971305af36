"""Guards the bound on the groups that one crashing request can take down.

Routers must quarantine the request, or its retries crash one group after
another.
"""

import pytest

from tests.integration import checks

pytestmark = pytest.mark.integration

MARKER = "crash the engine"
MAX_LOST_GROUPS = 2
TOKENS = 150


def test_repeated_crashing_request_takes_down_two_groups_at_most(start_fleet):
    fleet = start_fleet(
        3,
        nodes=2,
        engines={"fabric-1": 4, "fabric-2": 4},
        engine_settings={"crash_marker": MARKER, "crash_after_tokens": 3},
    )
    streams = checks.start_streams(fleet, fleet.nodes, 3, TOKENS, "innocent")
    for node in fleet.nodes:
        # Without a pause between the nodes, like a caller behind a load
        # balancer.
        _repeat_until_quarantined(fleet, node)
    checks.assert_complete(streams)
    crashed = [
        name
        for name, engine in fleet.engines.items()
        if not engine.process.running()
    ]
    assert 1 <= len(crashed) <= MAX_LOST_GROUPS, crashed
    runs = [
        run
        for records in fleet.engine_records().values()
        for run in records
        if MARKER in run["prompt"]
    ]
    assert len(runs) == len(crashed), runs
    fleet.wait_groups(2)
    checks.assert_serves(fleet, fleet.nodes)


def _repeat_until_quarantined(fleet, node):
    """Send the request, as its caller retries it, until it is quarantined."""

    def is_quarantined():
        completion = fleet.caller(node).complete(MARKER, 20)
        assert not completion.done
        return completion.error.get("code") == "quarantined"

    fleet.wait_until(is_quarantined, "quarantine")
