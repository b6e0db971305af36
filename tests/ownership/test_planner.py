"""Guards that a plan uses only usable instances and disturbs no ready group."""

import attrs
import hypothesis
from hypothesis import strategies as st

from balsamlug import tables
from balsamlug.config import schema
from balsamlug.ownership import draft
from balsamlug.ownership import group_health
from balsamlug.ownership import planner
from balsamlug.ownership import reasons
from balsamlug.ownership import split

Reason = reasons.Reason
BIG = schema.Deployment("big", "m1", 4, min_groups=1, priority=1)
SMALL = schema.Deployment("small", "m2", 2, min_groups=1, priority=5)
DEPLOYMENTS = {"big": BIG, "small": SMALL}
QUOTAS = {"big": split.Quota(1, 2), "small": split.Quota(1, 2)}


def conditions(count, **changed):
    unchanged = {
        f"e{n}": reasons.Condition(f"e{n}", incarnation="1")
        for n in range(count)
    }
    return unchanged | {
        name: reasons.Condition(name, reason, "1")
        for name, reason in changed.items()
    }


def view(by_instance, groups=None, **changes):
    options = {
        "domain": "d",
        "deployments": DEPLOYMENTS,
        "quotas": QUOTAS,
        "groups": groups or {},
        "next_group": 1,
        "conditions": by_instance,
    }
    return planner.View(**(options | changes))


def view_after(before, plan, **changes):
    """Return the view after the engines implemented a plan."""
    known = dict(before.conditions)
    for group in plan.groups.values():
        for rank, member in enumerate(group.members):
            if known[member].reason is None:
                size = len(group.members)
                held = (group.model, group.version, rank, size)
                known[member] = attrs.evolve(known[member], weights=held)
    base = attrs.evolve(
        before,
        groups=plan.groups,
        next_group=plan.next_group,
        conditions=known,
    )
    return attrs.evolve(base, **changes)


def kinds(plan):
    return [str(a.kind) for a in plan.actions]


def test_forms_minimum_groups_by_priority_then_up_to_the_quota():
    plan = planner.plan(view(conditions(12)))
    formed = [g.deployment for g in plan.groups.values()]
    assert formed == ["big", "small", "big", "small"]
    assert planner.plan(view(conditions(5))).groups["d-1"].deployment == "big"


def test_warm_instance_leads_a_new_group():
    known = conditions(4)
    for name in ("e0", "e1"):
        known[name] = attrs.evolve(known[name], cold=True)
    group = planner.plan(view(known)).groups["d-1"]
    assert group.members == ("e2", "e0", "e1", "e3")


def test_warm_spare_replaces_a_lost_head():
    groups = planner.plan(view(conditions(4))).groups
    known = conditions(6, e0=Reason.MISSING)
    known["e4"] = attrs.evolve(known["e4"], cold=True)
    repaired = planner.plan(view(known, groups, next_group=2)).groups["d-1"]
    assert repaired.members == ("e5", "e1", "e2", "e3")


def test_forms_the_smaller_group_when_the_urgent_one_lacks_instances():
    plan = planner.plan(view(conditions(3)))
    assert [g.deployment for g in plan.groups.values()] == ["small"]
    assert [i.reason for i in plan.idle] == [Reason.TOO_FEW_SPARES]


def test_repairs_before_it_forms():
    start = view(conditions(4), quotas={"big": split.Quota(1, 1)})
    broken = view_after(start, planner.plan(start))
    broken = attrs.evolve(
        broken,
        conditions=broken.conditions
        | conditions(6, e0=Reason.MISSING)
        | {e: broken.conditions[e] for e in ("e1", "e2", "e3")},
        quotas=QUOTAS,
    )
    plan = planner.plan(broken)
    assert plan.groups["d-1"].members == ("e4", "e1", "e2", "e3")
    assert plan.groups["d-1"].generation > 1


def test_spare_that_holds_the_weights_is_preferred():
    by_instance = conditions(6)
    held = ("m1", "1", 2, 4)
    by_instance["e5"] = attrs.evolve(by_instance["e5"], weights=held)
    plan = planner.plan(view(by_instance))
    assert plan.groups["d-1"].members == ("e0", "e1", "e5", "e2")


def test_group_reported_ready_stays_although_its_holder_gets_no_answer():
    start = view(conditions(6))
    plan = planner.plan(start)
    unreachable = conditions(6, e0=Reason.MISSING)
    after = view_after(
        start, plan, conditions=unreachable, ready=frozenset(plan.groups)
    )
    assert not planner.plan(after).actions


def test_group_with_an_uncertain_member_is_not_changed():
    start = view(conditions(6), quotas={"big": split.Quota(1, 1)})
    by_instance = conditions(6, e0=Reason.MISSING, e1=Reason.SILENT)
    after = view_after(start, planner.plan(start), conditions=by_instance)
    assert not planner.plan(after).actions


def test_removed_deployment_is_retired_and_dissolved_when_idle():
    start = view(conditions(2), quotas={"small": split.Quota(1, 1)})
    plan = planner.plan(start)
    after = view_after(
        start, plan, deployments={}, ready=frozenset(plan.groups)
    )
    retired = planner.plan(after)
    assert kinds(retired) == ["retire"]
    assert retired.groups["d-1"].generation == plan.groups["d-1"].generation
    idle = view_after(
        after, retired, ready=frozenset(), idle_groups=frozenset(plan.groups)
    )
    assert planner.plan(idle).groups == {}


def test_surplus_is_retired_only_above_the_fleet_maximum():
    limited = {"small": attrs.evolve(SMALL, max_groups=3)}
    start = view(
        conditions(4),
        deployments=limited,
        quotas={"small": split.Quota(0, 2)},
    )
    lower = {"small": split.Quota(0, 1)}
    after = view_after(start, planner.plan(start), quotas=lower)
    assert not planner.plan(after).actions
    above_maximum = attrs.evolve(after, groups_in_other_domains={"small": 2})
    assert kinds(planner.plan(above_maximum)) == ["retire"]


def test_small_groups_make_room_for_a_large_one_when_instances_return():
    small = view(conditions(3), quotas={"small": split.Quota(0, 1)})
    grown = {"big": split.Quota(0, 1), "small": split.Quota(0, 0)}
    by_instance = conditions(4)
    after = view_after(
        small,
        planner.plan(small),
        conditions=by_instance,
        quotas=grown,
        fleet_quota={"big": 1},
    )
    assert kinds(planner.plan(after)) == ["retire"]
    too_few = attrs.evolve(after, conditions=conditions(3))
    assert not planner.plan(too_few).actions


def test_serving_groups_do_not_retire_for_a_quota_that_has_just_changed():
    # Each lost or added instance changes the quotas. Groups that retired at
    # once left callers without a group while the next one loaded weights.
    small = view(conditions(3), quotas={"small": split.Quota(0, 1)})
    grown = {"big": split.Quota(0, 1), "small": split.Quota(0, 0)}
    plan = planner.plan(small)
    serving = view_after(
        small,
        plan,
        conditions=conditions(4),
        quotas=grown,
        fleet_quota={"big": 2},
        groups_in_other_domains={"big": 1},
        ready=frozenset(plan.groups),
        settling=frozenset({"big"}),
    )
    assert not planner.plan(serving).actions
    settled = attrs.evolve(serving, settling=frozenset())
    assert kinds(planner.plan(settled)) == ["retire"]
    not_serving = attrs.evolve(serving, ready=frozenset())
    assert kinds(planner.plan(not_serving)) == ["retire"]
    only_group = attrs.evolve(serving, groups_in_other_domains={})
    assert kinds(planner.plan(only_group)) == ["retire"]


def test_update_retires_one_group_and_waits_for_earlier_domains():
    start = view(conditions(4), quotas={"small": split.Quota(1, 2)})
    plan = planner.plan(start)
    newer = {"small": attrs.evolve(SMALL, version="2")}
    both = frozenset(plan.groups)
    after = view_after(start, plan, deployments=newer, ready=both)
    assert kinds(planner.plan(after)) == ["retire"]
    waiting = attrs.evolve(after, deferred_updates=frozenset(["small"]))
    assert not planner.plan(waiting).actions


REASONS = [None, None, None, *reasons.FITNESS]


@st.composite
def histories(draw):
    count = draw(st.integers(2, 14))
    name = st.integers(0, count - 1).map(lambda n: f"e{n}")
    reason = st.sampled_from(REASONS)
    rounds = st.lists(st.dictionaries(name, reason, max_size=5), max_size=8)
    return count, draw(rounds)


@hypothesis.settings(max_examples=300, deadline=None)
@hypothesis.given(histories())
def test_any_history_keeps_the_invariants_and_converges(history):
    """Instances fail, drain, restart and return in any order."""
    count, rounds = history
    current = view(conditions(count))
    for number, changed_reasons in enumerate([*rounds, {}, {}, {}]):
        if number >= len(rounds):
            changed_reasons = dict.fromkeys(current.conditions)
        known = dict(current.conditions)
        for instance, reason in changed_reasons.items():
            known[instance] = _with_reason(known[instance], reason, number)
        current = attrs.evolve(
            current, conditions=known, idle_groups=frozenset(current.groups)
        )
        plan = planner.plan(current)
        _check(current, plan)
        current = view_after(current, plan)
    assert not planner.plan(current).actions
    assert all(_is_complete(current, g) for g in current.groups.values())
    spares = count - sum(len(g.members) for g in current.groups.values())
    formed = [g.deployment for g in current.groups.values()]
    for name, quota in QUOTAS.items():
        size = DEPLOYMENTS[name].group_size
        assert formed.count(name) == quota.maximum or spares < size


def _with_reason(condition, reason, number):
    """Return a condition; a missing instance returns as another process."""
    if condition.reason is Reason.MISSING and reason is None:
        return reasons.Condition(condition.instance, None, f"r{number}")
    return attrs.evolve(condition, reason=reason)


def _is_complete(current, group):
    return (
        group_health.assess(draft.Draft.from_view(current), group)
        == group_health.COMPLETE
    )


def _check(before, plan):
    assigned = [m for g in plan.groups.values() for m in g.members]
    assert len(assigned) == len(set(assigned))
    assert set(assigned) <= set(before.conditions)
    idle = [i.instance for i in plan.idle]
    assert sorted(idle + assigned) == sorted(before.conditions)
    numbers = [g.generation for g in plan.groups.values()]
    assert len(numbers) == len(set(numbers))
    assert all(n < plan.next_group for n in numbers)
    for group in plan.groups.values():
        _check_group(before, group)


def _check_group(before, group):
    """Check that a changed group has only usable members.

    A surviving member keeps its rank, and so the weights in its memory.
    """
    old = before.groups.get(group.id)
    if old == group:
        return
    members = group.members
    assert all(before.conditions[m].reason is None for m in members)
    if old is None:
        return
    assert group.generation > old.generation
    for rank, member in enumerate(old.members):
        if before.conditions[member].reason is None:
            assert members[rank] == member


def test_spares_are_usable_instances_only():
    by_instance = conditions(4, e0=Reason.LEAVING, e1=Reason.SILENT)
    plan = planner.plan(view(by_instance, quotas={"small": split.Quota(1, 1)}))
    assert plan.groups["d-1"].members == ("e2", "e3")
    assert {i.reason for i in plan.idle} == {Reason.LEAVING, Reason.SILENT}


def test_idle_reason_names_the_missing_deployment():
    plan = planner.plan(view(conditions(1), deployments={}, quotas={}))
    assert [i.reason for i in plan.idle] == [Reason.NO_DEPLOYMENT]


def instances(sizes):
    return [
        tables.Instance(
            f"{d}-{n}", "1", tables.InstanceKind.ENGINE, "", d, "f", "r"
        )
        for d, size in sizes.items()
        for n in range(size)
    ]


def test_split_places_minimum_groups_first_and_respects_the_maximum():
    deployments = {
        "big": attrs.evolve(BIG, max_groups=1),
        "small": attrs.evolve(SMALL, min_groups=3, max_groups=4),
    }
    cfg = schema.Settings(deployments=deployments)
    quotas = split.split(instances({"x": 9, "y": 7}), cfg)
    total = {
        name: sum(quotas[d][name].maximum for d in quotas)
        for name in deployments
    }
    assert sum(quotas[d]["small"].minimum for d in quotas) == 3
    assert total == {"big": 1, "small": 4}
    assert all(
        sum(
            quotas[d][n].maximum * deployments[n].group_size
            for n in deployments
        )
        <= size
        for d, size in {"x": 9, "y": 7}.items()
    )


def test_split_places_groups_above_the_minimum_by_weight():
    even = {n: attrs.evolve(SMALL, name=n, min_groups=0) for n in ("a", "b")}
    customers = {
        "c": schema.Customer("c", "k", ("a",), weight=3),
        "d": schema.Customer("d", "l", ("b",), weight=1),
    }
    cfg = schema.Settings(deployments=even, customers=customers)
    quotas = split.split(instances({"x": 16}), cfg)["x"]
    assert {n: q.maximum for n, q in quotas.items()} == {"a": 6, "b": 2}


def test_split_does_not_depend_on_the_order_of_the_list():
    cfg = schema.Settings(deployments=DEPLOYMENTS)
    listed = instances({"x": 9, "y": 7, "z": 5})
    assert split.split(listed, cfg) == split.split(listed[::-1], cfg)


def _staged(by_instance, **models):
    return by_instance | {
        name: attrs.evolve(by_instance[name], staged=(model,))
        for name, model in models.items()
    }


def _broken_big(count, **staged):
    """Return a view whose only group lost e0, with spares from e4 on."""
    start = view(
        conditions(4),
        deployments={"big": BIG},
        quotas={"big": split.Quota(1, 1)},
    )
    plan = planner.plan(start)
    by_instance = conditions(count, e0=Reason.MISSING)
    return attrs.evolve(
        start,
        groups=plan.groups,
        next_group=plan.next_group,
        conditions=_staged(by_instance, **staged),
        staged_only=True,
    )


def test_repair_waits_for_staged_weights_while_the_member_may_return():
    assert not kinds(planner.plan(_broken_big(5)))


def test_repairs_at_once_with_a_spare_that_holds_the_weights():
    plan = planner.plan(_broken_big(6, e5="m1"))
    assert kinds(plan) == ["repair"]
    assert "e5" in plan.groups["d-1"].members


def test_repair_loads_weights_into_a_group_broken_for_long():
    start = attrs.evolve(_broken_big(5), long_broken=frozenset({"d-1"}))
    assert kinds(planner.plan(start)) == ["repair"]


def test_a_listed_member_replaces_a_hidden_head():
    start = view(
        conditions(4),
        deployments={"big": BIG},
        quotas={"big": split.Quota(1, 1)},
    )
    before = view_after(start, planner.plan(start))
    hidden = attrs.evolve(before.conditions["e0"], hidden=True)
    by_instance = before.conditions | {"e0": hidden}
    plan = planner.plan(attrs.evolve(before, conditions=by_instance))
    (group,) = plan.groups.values()
    assert group.members == ("e1", "e2", "e3", "e0")
    assert group.generation > before.groups["d-1"].generation
    replanned = attrs.evolve(
        before,
        groups=plan.groups,
        next_group=plan.next_group,
        conditions=by_instance,
    )
    assert not kinds(planner.plan(replanned))


def test_urgent_steps_form_no_group():
    plan = planner.plan(view(conditions(12)), planner.URGENT_STEPS)
    assert not plan.groups
