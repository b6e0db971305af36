"""Guards I1 and I3 when a member of a group is killed, paused or slow.

A group without one of its members must get no new work (I1), and callers must
still get their complete answers (I3).
"""

import pytest

from tests.integration import checks

pytestmark = pytest.mark.integration

ENGINES = {"fabric-1": 3, "fabric-2": 2}
TOKENS = 150
# Timeout of a probe and the spread of its result, with a margin for a busy
# machine.
DETECTION_MS = 3000
# A paused process refuses no connection, so only timeouts detect it.
REPAIR_TIMEOUT_S = 20.0


def _group_with_spare(fleet):
    """Return the id and the group of the domain that has a spare."""
    return next(
        (group_id, group)
        for group_id, group in fleet.groups().items()
        if group["members"][0].startswith("fabric-1")
    )


@pytest.mark.parametrize("rank", [0, 1])
def test_killed_member_is_replaced_and_streams_continue(start_fleet, rank):
    fleet = start_fleet(2, nodes=2, engines=ENGINES)
    group_id, group = _group_with_spare(fleet)
    streams = checks.start_streams(fleet, fleet.nodes, 4, TOKENS, "kill")
    victim = group["members"][rank]
    fleet.engines[victim].process.kill()
    killed_ms = checks.wall_clock_ms()
    checks.assert_complete(streams)
    fleet.wait_replaced(group_id, victim, REPAIR_TIMEOUT_S)
    checks.assert_no_start(
        fleet,
        group["members"],
        killed_ms + DETECTION_MS,
        group["generation"],
        group_id,
    )
    checks.assert_disjoint(fleet)
    after = fleet.groups()[group_id]
    assert after["generation"] > group["generation"]
    checks.assert_serves(fleet, fleet.nodes)


@pytest.mark.parametrize("rank", [0, 1])
def test_paused_member_is_replaced_and_returns_as_spare(start_fleet, rank):
    fleet = start_fleet(2, nodes=2, engines=ENGINES)
    group_id, group = _group_with_spare(fleet)
    streams = checks.start_streams(fleet, fleet.nodes, 4, TOKENS, "pause")
    victim = group["members"][rank]
    fleet.engines[victim].process.pause()
    paused_ms = checks.wall_clock_ms()
    checks.assert_complete(streams)
    fleet.wait_replaced(group_id, victim, REPAIR_TIMEOUT_S)
    fleet.engines[victim].process.resume()
    fleet.wait_until(
        lambda: fleet.engine_status(victim)["state"] == "idle",
        "return as spare",
        REPAIR_TIMEOUT_S,
    )
    checks.assert_serves(fleet, fleet.nodes)
    checks.assert_no_start(
        fleet,
        group["members"],
        paused_ms + DETECTION_MS,
        group["generation"],
        group_id,
    )
    checks.assert_disjoint(fleet)


def test_slow_member_that_answers_is_not_replaced(start_fleet):
    fleet = start_fleet(1, nodes=2, engines={"fabric-1": 3})
    group_id, group = next(iter(fleet.groups().items()))
    fleet.set_engine(group["members"][1], status_delay_ms=400)
    # The group is as slow as its slowest member.
    streams = checks.start_streams(fleet, fleet.nodes, 2, 100, "slow")
    checks.assert_complete(streams)
    assert fleet.groups()[group_id] == group
