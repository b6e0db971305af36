"""Guards I1 and I2 when a lease expires while its holder is paused.

A group without one of its members gets no new work (I1), and no instance is in
two groups (I2). A resumed holder that acts on its expired lease breaks both.
"""

import pytest

from tests.integration import checks

pytestmark = pytest.mark.integration

REPAIR_TIMEOUT_S = 30.0
# Long enough for orders that a resumed holder sends from its old state.
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
    # The member is killed first, so that the pause falls into the repair.
    fleet.engines[victim].process.kill()
    fleet.nodes[holder].controller.pause()
    fleet.wait_until(
        lambda: _replaced_at(fleet, others, group_id, victim),
        "repair by another holder",
        REPAIR_TIMEOUT_S,
    )
    repaired = fleet.groups()
    fleet.nodes[holder].controller.resume()
    checks.assert_complete(
        checks.start_streams(fleet, others, 3, SETTLE_TOKENS, "settle")
    )
    fleet.wait_groups(2)
    assert fleet.groups() == repaired
    checks.assert_disjoint(fleet)
    assert _running_assignments(fleet) == _committed_assignments(fleet)
    checks.assert_serves(fleet, fleet.nodes)


def _replaced_at(fleet, nodes, group_id, victim):
    groups = [fleet.ready_groups(node).get(group_id) for node in nodes]
    return all(g is not None and victim not in g["members"] for g in groups)


def _running_assignments(fleet):
    """Return the group and generation of each running engine, by engine."""
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


def _committed_assignments(fleet):
    return {
        member: (group_id, group["generation"])
        for group_id, group in fleet.groups().items()
        for member in group["members"]
    }
