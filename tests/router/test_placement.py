"""Guards against overloaded groups, idle slots and uncounted local load."""

import random

import attrs

from balsamlug.router import placement
from tests.router import helpers


def _make_placement(routers=1, **loads):
    table = placement.Placement(random.Random(3), routers=routers)
    statuses = [helpers.make_status(n, running=r) for n, r in loads.items()]
    table.update(statuses, helpers.SLOTS)
    return table


def _choose(table, now_s=0.0, **changes):
    return table.choose(helpers.make_work(**changes), 4.0, now_s)


def test_the_less_loaded_group_is_chosen():
    table = _make_placement(g1=3, g2=0)
    assert _choose(table).status.group_id == "g2"


def test_local_starts_since_the_report_count():
    table = _make_placement(g1=0, g2=1)
    for _ in range(2):
        table.started(helpers.make_work(), table.groups["g1"], 0.0)
    assert _choose(table).status.group_id == "g2"


def test_a_report_replaces_the_local_starts_that_it_contains():
    table = _make_placement(g1=0)
    table.started(helpers.make_work(), table.groups["g1"], 1.0)
    table.started(helpers.make_work(), table.groups["g1"], 3.0)
    table.update(
        [helpers.make_status("g1", running=1, at_s=2.0)], helpers.SLOTS
    )
    assert table.groups["g1"].load == 2


def test_an_older_report_of_another_prober_is_ignored():
    table = _make_placement()
    table.update([helpers.make_status("g1", 3, at_s=2.0)], helpers.SLOTS)
    older = helpers.make_status("g1", 0, at_s=2.1, age_ms=600)
    table.update([older], helpers.SLOTS)
    assert table.groups["g1"].reported == 3


def test_routers_with_the_same_report_do_not_overload_a_group():
    tables = [_make_placement(routers=12, g1=0) for _ in range(12)]
    for index, table in enumerate(tables):
        table.rng.seed(index)
        table.update([helpers.make_status(at_s=1.0)], helpers.SLOTS)
    room = sum(max(0, t.groups["g1"].room) for t in tables)
    assert room <= 2 * helpers.SLOTS[helpers.DEPLOYMENT]


def test_a_finished_request_is_replaced_without_a_new_report():
    table = _make_placement(g1=0)
    record = table.groups["g1"]
    while record.room > 0:
        table.started(helpers.make_work(), record, 0.1)
    table.finished("g1", 0.2)
    assert _choose(table) is record


def test_an_excess_is_reduced_in_proportion():
    table = _make_placement(g1=0)
    record = table.groups["g1"]
    for _ in range(4):
        table.started(helpers.make_work(), record, 0.1)
    table.update([helpers.make_status("g1", 4, 6, at_s=1.0)], helpers.SLOTS)
    assert record.target <= 2


def test_excluded_and_unready_groups_are_never_chosen():
    table = _make_placement(g1=0, g2=3)
    chosen = _choose(table, exclude=frozenset({"g1"}))
    assert chosen.status.group_id == "g2"
    table.update([helpers.make_status("g1", ready=False)], helpers.SLOTS)
    assert _choose(table) is None


def test_a_group_assigned_to_another_deployment_leaves_the_former_one():
    table = _make_placement(g1=0)
    moved = attrs.evolve(helpers.make_status("g1"), deployment="other")
    table.update([moved], helpers.SLOTS)
    assert _choose(table) is None


def test_an_absent_group_that_returns_retains_its_local_load():
    table = _make_placement(g1=0)
    table.started(helpers.make_work(), table.groups["g1"], 0.1)
    table.update([], helpers.SLOTS)
    assert _choose(table) is None
    table.update([helpers.make_status("g1", 1, at_s=1.0)], helpers.SLOTS)
    table.finished("g1", 1.1)
    assert table.groups["g1"].running == 0


def test_load_of_other_deployments_does_not_count():
    table = _make_placement(g1=4)
    other = attrs.evolve(helpers.make_status("g2"), deployment="other")
    full = helpers.make_status("g1", 4, at_s=1.0)
    slots = helpers.SLOTS | {"other": 4}
    table.update([full, other], slots)
    assert not table.has_free_slot(table.groups["g1"], 5.0)


def test_every_router_sends_a_prefix_to_the_same_group():
    loads = dict.fromkeys((f"g{i}" for i in range(16)), 0)
    affinity_groups = {
        _choose(
            _make_placement(**loads), prefix_hash="p", prompt_tokens=2000
        ).status.group_id
        for _ in range(5)
    }
    assert len(affinity_groups) == 1


def test_prefix_affinity_does_not_send_work_to_a_full_group():
    loads = dict.fromkeys((f"g{i}" for i in range(16)), 0)
    table = _make_placement(**loads)
    work = {"prefix_hash": "p", "prompt_tokens": 500}
    affinity_group = _choose(table, **work).status.group_id
    full = helpers.make_status(affinity_group, running=4, queued=0, at_s=1.0)
    others = [
        helpers.make_status(n, at_s=1.0) for n in loads if n != affinity_group
    ]
    table.update([full, *others], helpers.SLOTS)
    assert _choose(table, 1.0, **work).status.group_id != affinity_group
