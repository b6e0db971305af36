"""Guards I6: a leaving upstream gets no new work and finishes its streams."""

import time

import pytest

from balsamlug_standins import control
from tests.integration import checks

pytestmark = pytest.mark.integration

TOKENS = 300
# Bound for the "few seconds" of I6, and one more for the delay of the
# platform's list.
NO_NEW_WORK_S = 4.0
RELEASE_TIMEOUT_S = 30.0


def _engine_reports(fleet, name):
    fleet.set_engine(name, draining=True)


def _platform_lists(fleet, name):
    control.post(
        fleet.platform.port,
        "/control/instances",
        lag_ms=1000,
        instances=[{"id": name, "state": "leaving"}],
    )


@pytest.mark.parametrize("leave", [_engine_reports, _platform_lists])
@pytest.mark.parametrize("rank", [0, 1])
def test_leaving_member_gets_no_new_work(start_fleet, leave, rank):
    fleet = start_fleet(2, nodes=2, engines={"fabric-1": 3, "fabric-2": 2})
    group_id, group = next(
        (g, group)
        for g, group in fleet.groups().items()
        if group["members"][0].startswith("fabric-1")
    )
    streams = checks.start_streams(fleet, fleet.nodes, 4, TOKENS, "drain")
    leaving = group["members"][rank]
    leave(fleet, leaving)
    leave_s = time.monotonic()
    stop_ms = checks.wall_clock_ms() + int(NO_NEW_WORK_S * 1000)
    later_streams = _start_until(fleet, leave_s + NO_NEW_WORK_S + 2.0)
    checks.assert_complete(streams)
    checks.assert_complete(later_streams)
    _assert_uninterrupted(fleet, streams)
    fleet.wait_until(
        lambda: leaving not in str(fleet.groups()),
        "release of the member",
        RELEASE_TIMEOUT_S,
    )
    checks.assert_no_start(
        fleet, group["members"], stop_ms, group["generation"], group_id
    )
    checks.assert_disjoint(fleet)


def _start_until(fleet, end_s):
    started = []
    while time.monotonic() < end_s:
        started += [
            fleet.caller(node).start(f"more {node} {len(started)}", 10)
            for node in fleet.nodes
        ]
        time.sleep(0.2)
    return started


def _assert_uninterrupted(fleet, streams):
    """Check that each stream ran once, from the first token to the last."""
    prompts = {stream.prompt for stream in streams}
    runs = [
        (run["state"], run["resume_from"])
        for records in fleet.engine_records().values()
        for run in records
        if run["prompt"] in prompts
    ]
    assert runs == [("done", 0)] * len(streams)
