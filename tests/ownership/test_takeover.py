"""Guards the takeover of a domain by another node or by a restarted node."""

from balsamlug import snapshots
from balsamlug.ownership import lease as leases
from tests.ownership import harness
from tests.ownership import scenarios


@scenarios.scenario
async def test_next_candidate_takes_over_from_an_unresponsive_holder():
    fleet = await scenarios.serving_fleet()
    first = fleet.holder()
    first.paused = True
    await fleet.run(9)
    second = fleet.holder()
    assert second is not first
    lease = fleet.store.value("d1")["lease"]
    assert (lease["holder"], lease["epoch"]) == (second.id, 2)
    assert fleet.ready() == scenarios.SERVING


@scenarios.scenario
async def test_write_of_a_paused_holder_fails():
    fleet = await scenarios.serving_fleet()
    first = fleet.holder()
    first.paused = first.isolated = True
    await fleet.run(9)
    second = fleet.holder()
    fleet.engines[scenarios.members(fleet)[0]].up = False
    # The former holder continues with its old tables, before any update.
    first.paused = False
    puts = len([c for c in fleet.store.calls if c[1] == "put"])
    await fleet.run(harness.STEP_S)
    assert len([c for c in fleet.store.calls if c[1] == "put"]) > puts
    assert fleet.store.value("d1")["lease"]["holder"] == second.id
    await fleet.run(12)
    assert fleet.holder() is second
    assert fleet.ready(second) == scenarios.SERVING


@scenarios.scenario
async def test_planned_stop_releases_the_lease():
    fleet = await scenarios.serving_fleet()
    first = fleet.holder()
    await first.tasks.stop()
    first.paused = True
    assert fleet.holder() is None
    await fleet.run(3.5)
    assert fleet.holder() not in (None, first)


@scenarios.scenario
async def test_restarted_controller_waits_for_its_former_lease_to_expire():
    fleet = await scenarios.serving_fleet()
    first = fleet.holder()
    first.paused = True
    del fleet.nodes[first.id]
    restarted = fleet.add_node(first.id)
    fleet.sync_instances()
    for message in snapshots.messages(
        next(iter(fleet.nodes.values())).state, 0
    ):
        restarted.state.publish(message, fleet.clock.now_s)
    await fleet.run(5)
    assert fleet.holder() is None
    await fleet.run(5)
    assert fleet.store.value("d1")["lease"]["epoch"] == 2


@scenarios.scenario
async def test_restarted_node_reacquires_its_lease_early_when_engines_fence():
    """Guards against repairs after a power loss that start at lease expiry."""
    fleet = await scenarios.serving_fleet()
    first = fleet.holder()
    first.paused = True
    del fleet.nodes[first.id]
    restarted = fleet.add_node(first.id)
    restarted.tasks.manager._fenced = True
    fleet.sync_instances()
    for message in snapshots.messages(
        next(iter(fleet.nodes.values())).state, 0
    ):
        restarted.state.publish(message, fleet.clock.now_s)
    await fleet.run(leases.RESTARTED_HOLDER_WAIT_S - harness.STEP_S)
    assert fleet.holder() is None
    await fleet.run(1)
    assert fleet.holder() is restarted
    assert fleet.store.value("d1")["lease"]["epoch"] == 2
