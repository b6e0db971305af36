"""Guards drained and leaving instances, also when write responses are lost.

A drain mark must survive a concurrent assignment, and a drained member must
not be replaced before its requests have ended.
"""

import asyncio

import pytest

from tests.ownership import harness
from tests.ownership import scenarios


@scenarios.scenario
async def test_lost_response_to_an_assignment_is_resolved_by_a_read():
    fleet = await scenarios.serving_fleet()
    fleet.engines[scenarios.members(fleet)[0]].up = False
    fleet.store.lose_answers = 5
    await fleet.run(16)
    assert fleet.store.lose_answers == 0
    assert fleet.ready() == scenarios.SERVING
    assert fleet.groups()["d1-1"]["generation"] == 3


@scenarios.scenario
async def test_drain_written_after_a_lost_response_is_retained():
    fleet = await scenarios.serving_fleet()
    drained = scenarios.members(fleet)[0]

    def drain_after_write(name):
        if not fleet.store.lose_answers:
            fleet.store.before_put = lambda name: None
            fleet.store.edit(name, draining={drained: "disk"})

    fleet.store.lose_answers = 1
    fleet.store.before_put = drain_after_write
    await fleet.run(4)
    assert fleet.store.value("d1")["draining"] == {drained: "disk"}
    domain = fleet.holder().state.domains["d1"]
    assert domain.value["draining"] == {drained: "disk"}


@scenarios.scenario
async def test_drain_concurrent_with_an_assignment_retains_both():
    fleet = await scenarios.serving_fleet()
    lost, other = scenarios.members(fleet)
    fleet.engines[lost].up = False
    drained = scenarios.members(fleet, "d1-2")[0]

    def drain_first(name):
        generations = [g["generation"] for g in fleet.groups().values()]
        if fleet.clock.now_s > 114 and max(generations) == 2:
            fleet.store.before_put = lambda name: None
            fleet.store.edit(name, draining={drained: "disk"})

    fleet.store.before_put = drain_first
    await fleet.run(14)
    assert fleet.store.value("d1")["draining"] == {drained: "disk"}
    # Only one group gets the single spare; the other group waits and
    # states its reason.
    assert fleet.ready() == ["d1-1"]
    assert scenarios.members(fleet) == ["d1-e4", other]


@scenarios.scenario
async def test_drained_member_is_replaced_when_its_requests_have_ended():
    fleet = await scenarios.serving_fleet()
    drained, other = scenarios.members(fleet)
    fleet.engines[drained].running = 1
    await fleet.run(1)
    fleet.store.edit("d1", draining={drained: "disk"})
    await fleet.run(3)
    assert fleet.ready() == ["d1-2"]
    await fleet.run(20)
    assert scenarios.members(fleet) == [drained, other]
    assert len(fleet.engines[drained].join_orders) == 1
    fleet.engines[drained].running = 0
    await fleet.run(10)
    assert scenarios.members(fleet) == ["d1-e4", other]
    assert fleet.ready() == scenarios.SERVING
    assert not fleet.engines[drained].order
    lines = fleet.holder().tasks.explain(drained)
    assert any("an operator drains it" in line for line in lines)


@pytest.mark.parametrize("source", ["engine", "list"])
def test_leaving_instance_gets_no_new_work_and_is_replaced(source):
    async def run():
        fleet = await scenarios.serving_fleet()
        leaving, other = scenarios.members(fleet)
        if source == "engine":
            fleet.engines[leaving].draining = True
        else:
            raw = fleet.instances[leaving]
            fleet.instances[leaving] = harness.attrs.evolve(
                raw, state=harness.tables.InstanceState.LEAVING
            )
            fleet.sync_instances()
        await fleet.run(1)
        assert fleet.ready() == ["d1-2"]
        await fleet.run(12)
        assert scenarios.members(fleet) == ["d1-e4", other]
        assert fleet.ready() == scenarios.SERVING

    asyncio.run(run())
