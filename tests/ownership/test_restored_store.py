"""Guards leases and groups when the store returns from an older copy.

The copy lacks writes that were acknowledged and followed by orders.
"""

import attrs
import pytest

from balsamlug import exceptions
from balsamlug import state as state_tables
from balsamlug import tables
from balsamlug.messages import types
from balsamlug.ownership import lease as leases
from balsamlug.ownership import record as records
from balsamlug.store import positions
from tests.ownership import harness
from tests.ownership import scenarios


def _counters(fleet):
    value = fleet.store.value("d1")
    return value["lease"]["epoch"], value["next_group"]


@scenarios.scenario
async def test_holder_writes_again_what_the_store_has_lost():
    fleet = harness.Fleet()
    await fleet.run(1)
    saved = fleet.store.copy()
    await fleet.run(12)
    groups, holder = fleet.groups(), fleet.holder()
    assert fleet.ready() == scenarios.SERVING
    epoch, next_group = _counters(fleet)
    fleet.store.restore(saved)
    await fleet.run(4)
    assert fleet.holder() is holder
    assert fleet.groups() == groups
    assert fleet.ready() == scenarios.SERVING
    scenarios.assert_engines_agree(fleet)
    restored_epoch, restored_next = _counters(fleet)
    assert restored_epoch > epoch
    assert restored_next > next_group


@pytest.mark.parametrize("learns_late", [False, True])
@pytest.mark.parametrize("returns", [1, 2])
def test_fencing_never_goes_back(learns_late, returns):
    @scenarios.scenario
    async def scenario():
        fleet = await scenarios.serving_fleet()
        first = fleet.holder()
        saved = fleet.store.copy()
        # A takeover that the copy lacks.
        first.paused = first.isolated = True
        await fleet.run(9)
        second = fleet.holder()
        await fleet.run(2)
        highest = _counters(fleet)[0]
        for _ in range(returns):
            fleet.store.restore(saved)
            second.isolated = second.paused = learns_late
            first.paused = first.isolated = False
            await fleet.run(9)
            second.isolated = second.paused = False
            await fleet.run(9)
            assert fleet.holder() is not None
            assert _counters(fleet)[0] > highest
            highest = _counters(fleet)[0]
        assert fleet.ready() == scenarios.SERVING
        scenarios.assert_engines_agree(fleet)

    scenario()


@scenarios.scenario
async def test_generations_exceed_those_that_only_engines_still_know():
    fleet = await scenarios.serving_fleet()
    saved = fleet.store.copy()
    lost = records.SKIPPED_GENERATIONS[-1] + 10
    membership = tables.Membership(
        "d1-1", lost, 0, tables.MemberState.READY, "m"
    )
    fleet.instances["d1-e4"] = attrs.evolve(
        fleet.instances["d1-e4"], announcement=tables.Announcement(membership)
    )
    fleet.sync_instances()
    fleet.store.restore(saved)
    await fleet.run(4)
    assert _counters(fleet)[1] > lost


@scenarios.scenario
async def test_lost_takeover_and_a_new_one_have_different_epochs():
    fleet = await scenarios.serving_fleet()
    saved = fleet.store.copy()
    first = fleet.holder()
    first.paused = first.isolated = True
    await fleet.run(9)
    second = fleet.holder()
    lost = fleet.store.value("d1")["lease"]
    # Neither the next node nor the first one has heard of the takeover.
    second.paused = second.isolated = True
    for node in fleet.nodes.values():
        if node is not second:
            node.state.domains.pop("d1")
    fleet.store.restore(saved)
    await fleet.run(12)
    new = fleet.store.value("d1")["lease"]
    assert new["holder"] not in ("", second.id)
    assert new["epoch"] > lost["epoch"]


@scenarios.scenario
async def test_candidate_waits_for_the_end_of_a_lease_that_may_be_lost():
    fleet = await scenarios.serving_fleet()
    first = fleet.holder()
    await first.tasks.stop()
    saved_without_holder = fleet.store.copy()
    first.paused = True
    await fleet.run(3.5)
    second = fleet.holder()
    second.paused = second.isolated = True
    held_until_s = fleet.clock.now_s + leases.DURATION_S
    fleet.store.restore(saved_without_holder)
    while fleet.clock.now_s < held_until_s:
        await fleet.run(harness.STEP_S)
        assert fleet.holder() in (None, second)
    # The other nodes read the store, and learn of its return, only now.
    await fleet.run(2 * leases.DURATION_S)
    assert fleet.holder() not in (None, second)


@scenarios.scenario
async def test_calls_of_the_store_do_not_rise_after_a_return():
    fleet = await scenarios.serving_fleet()
    saved = fleet.store.copy()
    await fleet.run(10)
    usual = len(fleet.store.calls)
    await fleet.run(10)
    usual = len(fleet.store.calls) - usual
    fleet.store.restore(saved)
    await fleet.run(10)
    before = len(fleet.store.calls)
    await fleet.run(10)
    assert len(fleet.store.calls) - before <= 2 * usual


def _update(era, revision, **value):
    lease = {"holder": "n", "epoch": 1, "renewal": 1, "era": 1}
    lease |= value.pop("lease", {})
    version = positions.position(era, revision)
    return types.DomainUpdate("d", version, {"lease": lease} | value)


def test_nodes_that_learn_of_a_return_at_other_times_agree():
    messages = [
        _update(1, 20, groups={}, lease={"renewal": 5}),
        _update(2, 10, groups={}),
        _update(2, 12, groups={}, lease={"era": 2, "epoch": 1025}),
        _update(1, 21, groups={}, lease={"renewal": 6}),
    ]
    values = set()
    for order in ((0, 1, 2, 3), (2, 0, 1, 3), (0, 3, 2, 1), (3, 1, 2)):
        state = state_tables.FleetState("s")
        for number in order:
            state.publish(messages[number], 0.0)
        values.add(str(state.domains["d"]))
    assert len(values) == 1


def test_draining_marks_of_operators_survive_a_return():
    state = state_tables.FleetState("s")
    state.publish(
        _update(1, 20, draining={"a": "x"}, lease={"renewal": 5}), 0.0
    )
    state.publish(_update(2, 10, draining={"b": "y"}), 0.0)
    assert state.domains["d"].value["draining"] == {"a": "x", "b": "y"}
    assert state.domains["d"].value["lease"]["renewal"] == 5


@scenarios.scenario
async def test_conflict_that_a_read_does_not_explain_is_not_repeated_at_once():
    fleet = await scenarios.serving_fleet()

    async def conflict(*args):
        fleet.store.calls.append((fleet.clock.now_s, "put"))
        raise exceptions.StoreConflict(0)

    fleet.store.put = conflict
    await fleet.run(10)
    before = len(fleet.store.calls)
    await fleet.run(10)
    # At the maximum back-off, four nodes call at most every 1.5 s.
    assert len(fleet.store.calls) - before <= 4 * 10 / 1.5 * 3
