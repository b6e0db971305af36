"""Guards the order of the steps that form a group.

A step out of order lets a head serve with members that are not ready, or puts
a member into two groups.
"""

import attrs
import pytest

from balsamlug import clock as clocks
from balsamlug import state
from balsamlug import tables
from balsamlug.health import listed as listing
from balsamlug.ownership import commands
from balsamlug.ownership import formation
from balsamlug.ownership import orders

MODEL = "m"
GROUP = tables.Group("d-1", MODEL, 4, ("a", "b", "c"), MODEL, "1")
State = tables.MemberState


def _instance(
    name: str,
    member: tables.Membership | None = None,
    staged: tuple[str, ...] = (MODEL,),
    busy: bool = False,
) -> tables.Instance:
    return tables.Instance(
        name,
        "1",
        tables.InstanceKind.ENGINE,
        f"10.0.0.1:{ord(name[0])}",
        "d",
        "z",
        "",
        announcement=tables.Announcement(member, staged, busy=busy),
    )


def _member(
    rank: int, member_state: State, generation: int = 4
) -> tables.Membership:
    return tables.Membership("d-1", generation, rank, member_state, MODEL)


def _due(*instances: tables.Instance, groups=(GROUP,), max_loads: int = 9):
    fleet = state.FleetState("s")
    fleet.instances = {i.id: i for i in instances}
    listed = listing.Listed(fleet, clocks.ManualClock())
    snapshot = orders.DomainSnapshot(
        groups={g.id: g for g in groups},
        observations={},
        addresses={i.id: i.address for i in instances},
        epoch=7,
        last_generation=4,
        max_loads=max_loads,
    )
    due_orders = formation.Formation(listed).due(snapshot, 0.0)
    return {order.instance: order.body for order in due_orders}


def test_free_members_join():
    due = _due(*(_instance(n) for n in "abc"))
    assert set(due) == {"a", "b", "c"}
    assert due["a"] == commands.Join(7, "d-1", 4, MODEL, ("a", "b", "c"))


def test_no_member_joins_while_another_does_not_answer():
    assert not _due(_instance("a"), _instance("b"))


def test_a_member_of_a_former_generation_leaves_before_it_joins():
    due = _due(
        _instance("a", _member(0, State.OPEN, generation=3)),
        _instance("b", _member(1, State.READY, generation=3)),
        _instance("c"),
    )
    assert due["a"] == commands.Leave(7, "d-1", 3)
    assert due["b"] == commands.Leave(7, "d-1", 3)


@pytest.mark.parametrize("missing", range(3))
def test_the_head_is_not_opened_before_every_member_is_ready(missing):
    states = [State.READY] * 3
    states[missing] = State.JOINING
    due = _due(
        *(_instance(n, _member(r, states[r])) for r, n in enumerate("abc"))
    )
    assert not due


def test_the_head_of_a_complete_group_is_opened():
    due = _due(
        *(_instance(n, _member(r, State.READY)) for r, n in enumerate("abc"))
    )
    assert due == {"a": commands.Open(7, "d-1", 4)}


def test_an_open_group_gets_no_order():
    due = _due(
        _instance("a", _member(0, State.OPEN)),
        _instance("b", _member(1, State.READY)),
        _instance("c", _member(2, State.READY)),
    )
    assert not due


def test_a_broken_head_leaves_and_joins_again():
    due = _due(
        _instance("a", _member(0, State.BROKEN)),
        _instance("b", _member(1, State.READY)),
        _instance("c", _member(2, State.READY)),
    )
    assert due == {"a": commands.Leave(7, "d-1", 4)}


def test_loads_stay_within_the_limit():
    due = _due(*(_instance(n, staged=()) for n in "abc"), max_loads=2)
    assert len(due) == 2


def test_loading_engines_count_against_the_limit():
    due = _due(
        _instance("a", _member(0, State.JOINING), staged=()),
        _instance("b", staged=()),
        _instance("c", staged=()),
        max_loads=2,
    )
    assert len(due) == 1


def test_a_spare_stages_the_model_of_the_members_it_may_replace():
    complete = [
        _instance(n, _member(r, State.READY if r else State.OPEN))
        for r, n in enumerate("abc")
    ]
    due = _due(*complete, _instance("d", staged=("other",)))
    assert due == {"d": commands.Stage(7, MODEL)}


def test_a_busy_spare_gets_no_second_order():
    complete = [
        _instance(n, _member(r, State.READY if r else State.OPEN))
        for r, n in enumerate("abc")
    ]
    assert not _due(*complete, _instance("d", staged=(), busy=True))


def test_a_retiring_group_is_neither_joined_nor_opened():
    retiring = attrs.evolve(GROUP, retiring="surplus")
    assert not _due(*(_instance(n) for n in "abc"), groups=(retiring,))


def test_the_report_of_another_member_does_not_make_a_member_ready():
    # Two entries of the list may have one address: the server there answers
    # for both.
    due = _due(
        _instance("a", _member(0, State.READY)),
        _instance("b", _member(1, State.READY)),
        _instance("c", _member(0, State.READY)),
    )
    assert not any(isinstance(c, commands.Open) for c in due.values())
