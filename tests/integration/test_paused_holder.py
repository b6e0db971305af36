"""Guards I1 and I2 when a lease expires while its holder is paused."""

import pytest

from tests.integration import checks

pytestmark = pytest.mark.integration

REPAIR_TIMEOUT_S = 30.0
# Enough for a holder that continues to act on what it believed before.
SETTLE_TOKENS = 150


@pytest.mark.parametrize("fencing", [True, False])
def test_paused_holder_changes_nothing_when_it_continues(start_fleet, fencing):
    fleet = start_fleet(
        2,
        nodes=3,
        engines={"fabric-1": 5},
        engine_settings={"fencing": fencing},
    )
    holder = fleet.domains()["fabric-1"]["lease"]["holder"]
    others = [name for name in fleet.nodes if name != holder]
    group_id, group = next(iter(fleet.groups().items()))
    victim = group["members"][1]
    # The victim dies first, so that the holder is paused amid the repair.
    fleet.engines[victim].process.kill()
    fleet.nodes[holder].controller.pause()
    fleet.wait_until(
        lambda: _replaced_at(fleet, others, group_id, victim),
        "repair by another holder",
        REPAIR_TIMEOUT_S,
    )
    repaired = fleet.groups()
    fleet.nodes[holder].controller.resume()
    checks.assert_whole(
        checks.start_streams(fleet, others, 3, SETTLE_TOKENS, "settle")
    )
    fleet.wait_groups(2)
    assert fleet.groups() == repaired
    checks.assert_disjoint(fleet)
    assert _running(fleet) == _committed(fleet)
    checks.assert_serves(fleet, fleet.nodes)


def _replaced_at(fleet, nodes, group_id, victim):
    seen = [fleet.ready_groups(node).get(group_id) for node in nodes]
    return all(g is not None and victim not in g["members"] for g in seen)


def _running(fleet):
    """Return the group and generation each live engine runs."""
    statuses = {
        name: fleet.engine_status(name)
        for name, engine in fleet.engines.items()
        if engine.process.running()
    }
    return {
        name: (status["group"], status["generation"])
        for name, status in statuses.items()
        if status["group"]
    }


def _committed(fleet):
    return {
        member: (group_id, group["generation"])
        for group_id, group in fleet.groups().items()
        for member in group["members"]
    }
