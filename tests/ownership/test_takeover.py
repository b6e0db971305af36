"""Takeover of a failure domain by another node or another life of one."""

from balsamlug.ownership import lease as leases
from tests.ownership import harness
from tests.ownership import scenarios


@scenarios.scenario
async def test_next_candidate_takes_over_from_a_dead_holder():
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
    # It continues with its old tables, and before it has heard of anything.
    first.paused = False
    puts = len([c for c in fleet.store.calls if c[1] == "put"])
    await fleet.run(harness.STEP_S)
    assert len([c for c in fleet.store.calls if c[1] == "put"]) > puts
    assert fleet.store.value("d1")["lease"]["holder"] == second.id
    await fleet.run(12)
    assert fleet.holder() is second
    assert fleet.ready(second) == scenarios.SERVING


@scenarios.scenario
async def test_planned_stop_hands_the_lease_back():
    fleet = await scenarios.serving_fleet()
    first = fleet.holder()
    await first.tasks.stop()
    first.paused = True
    assert fleet.holder() is None
    await fleet.run(3.5)
    assert fleet.holder() not in (None, first)


@scenarios.scenario
async def test_restarted_controller_waits_out_its_own_former_lease():
    fleet = await scenarios.serving_fleet()
    first = fleet.holder()
    first.paused = True
    del fleet.nodes[first.id]
    again = fleet.add_node(first.id)
    fleet.sync_instances()
    for message in next(iter(fleet.nodes.values())).state.snapshot(0):
        again.state.publish(message, fleet.clock.now_s)
    await fleet.run(5)
    assert fleet.holder() is None
    await fleet.run(5)
    assert fleet.store.value("d1")["lease"]["epoch"] == 2


@scenarios.scenario
async def test_restarted_node_takes_its_own_lease_soon_when_engines_fence():
    """Guards repair after a power loss: it began only when a lease lapsed."""
    fleet = await scenarios.serving_fleet()
    first = fleet.holder()
    first.paused = True
    del fleet.nodes[first.id]
    again = fleet.add_node(first.id)
    again.tasks.manager._fenced = True
    fleet.sync_instances()
    for message in next(iter(fleet.nodes.values())).state.snapshot(0):
        again.state.publish(message, fleet.clock.now_s)
    await fleet.run(leases.RESTARTED_HOLDER_WAIT_S - harness.STEP_S)
    assert fleet.holder() is None
    await fleet.run(1)
    assert fleet.holder() is again
    assert fleet.store.value("d1")["lease"]["epoch"] == 2
