"""Guards against nodes that miss a change of the list, or decode all of it."""

import pytest

from balsamlug import plain
from balsamlug import state
from balsamlug.controller import published_list
from balsamlug.membership import deltas
from balsamlug.membership import reconcile
from balsamlug.messages import types


def _entry(name: str, incarnation: str = "1") -> dict:
    return {
        "id": name,
        "incarnation": incarnation,
        "kind": "engine",
        "address": "127.0.0.1:9",
    }


def _update(revision: int, *names: str) -> types.InstanceUpdate:
    return types.InstanceUpdate(revision, [_entry(n) for n in names])


def _node(revision: int, *names: str) -> tuple[state.FleetState, deltas.Deltas]:
    fleet = state.FleetState("s")
    sent = deltas.Deltas(fleet)
    listeners = types.InstanceUpdate | types.InstanceDelta
    fleet.subscribe(
        lambda m: sent.record_instances(m) if isinstance(m, listeners) else None
    )
    fleet.publish(_update(revision, *names), 0.0)
    return fleet, sent


def test_delta_changes_only_its_instances():
    fleet, _ = _node(11, "a", "b", "c")
    kept = fleet.instances["a"]
    delta = types.InstanceDelta(11, 13, [_entry("b", "2")], ["c"])
    assert fleet.publish(delta, 0.0)
    assert fleet.instances["a"] is kept
    assert fleet.instances["b"].incarnation == "2"
    assert set(fleet.instances) == {"a", "b"}
    assert fleet.instances_revision == 13


@pytest.mark.parametrize(
    ("local", "base", "revision", "applicable"),
    [
        (11, 11, 13, True),
        (13, 11, 15, True),
        (9, 11, 13, False),
        (13, 11, 13, False),
        (15, 11, 13, False),
        # Entries that the local list retains may be unknown to the sender.
        (12, 11, 15, False),
        (12, 12, 13, True),
    ],
)
def test_delta_applies_to_lists_from_its_base_on(
    local, base, revision, applicable
):
    delta = types.InstanceDelta(base, revision, [], [])
    assert state.is_delta_applicable(delta, local) is applicable
    fleet, _ = _node(local, "a")
    assert (reconcile.apply_delta(delta, fleet) is delta) is applicable


def test_neighbours_get_each_change_since_the_last_message_once():
    fleet, sent = _node(11, "a", "b", "c")
    assert sent.instances() is None
    fleet.publish(types.InstanceDelta(11, 13, [_entry("a", "2")], ["c"]), 0.0)
    fleet.publish(types.InstanceDelta(13, 15, [_entry("a", "3")], []), 0.0)
    delta = sent.instances()
    assert (delta.base, delta.revision) == (11, 15)
    assert [raw["incarnation"] for raw in delta.changed] == ["3"]
    assert delta.removed == ["c"]
    fleet.publish(types.InstanceDelta(15, 17, [_entry("d")], []), 0.0)
    delta = sent.instances()
    assert (delta.base, [raw["id"] for raw in delta.changed]) == (15, ["d"])


def test_a_complete_list_is_forwarded_as_its_difference():
    # An announcement of its revision made each neighbour with a newer list send
    # that list, which was announced again.
    fleet, sent = _node(11, "a", "b")
    sent.instances()
    fleet.publish(_update(13, "b", "c"), 0.0)
    delta = sent.instances()
    assert (delta.base, delta.revision) == (11, 13)
    assert [raw["id"] for raw in delta.changed] == ["c"]
    assert delta.removed == ["a"]


def test_entry_that_was_removed_and_is_the_same_again_is_sent():
    # Another watcher may have published the list without it.
    entries = {"a": _entry("a"), "b": _entry("b")}
    delta = published_list.delta(
        published_list.PublishedList(11, entries),
        published_list.PublishedList(17, entries, frozenset({"b", "gone"})),
    )
    assert delta.changed == [entries["b"]]
    assert delta.removed == ["gone"]
    fleet, _ = _node(13, "a")
    fleet.publish(delta, 0.0)
    assert fleet.instances["b"] == plain.instance_from_dict(entries["b"])
