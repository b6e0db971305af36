"""Guards I1 and I3: a lost member stops its group, but no caller's answer."""

import pytest

from tests.integration import checks

pytestmark = pytest.mark.integration

ENGINES = {"fabric-1": 3, "fabric-2": 2}
TOKENS = 150
# Time-out of a probe and its dissemination, with room for a busy machine.
DETECTION_MS = 3000
# A paused process must not be found by a refused connection.
REPAIR_TIMEOUT_S = 20.0


def _group_of_spares(fleet):
    """Return id and group of the domain that has a spare."""
    return next(
        (group_id, group)
        for group_id, group in fleet.groups().items()
        if group["members"][0].startswith("fabric-1")
    )


@pytest.mark.parametrize("rank", [0, 1])
def test_killed_member_is_replaced_and_streams_go_on(start_fleet, rank):
    fleet = start_fleet(2, nodes=2, engines=ENGINES)
    group_id, group = _group_of_spares(fleet)
    streams = checks.start_streams(fleet, fleet.nodes, 4, TOKENS, "kill")
    victim = group["members"][rank]
    fleet.engines[victim].process.kill()
    killed_ms = checks.wall_ms()
    checks.assert_whole(streams)
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
    group_id, group = _group_of_spares(fleet)
    streams = checks.start_streams(fleet, fleet.nodes, 4, TOKENS, "pause")
    victim = group["members"][rank]
    fleet.engines[victim].process.pause()
    paused_ms = checks.wall_ms()
    checks.assert_whole(streams)
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


def test_slow_member_that_answers_keeps_its_group(start_fleet):
    fleet = start_fleet(1, nodes=2, engines={"fabric-1": 3})
    group_id, group = next(iter(fleet.groups().items()))
    fleet.set_engine(group["members"][1], status_delay_ms=400)
    # The whole group works at the pace of its slow member.
    streams = checks.start_streams(fleet, fleet.nodes, 2, 100, "slow")
    checks.assert_whole(streams)
    assert fleet.groups()[group_id] == group
