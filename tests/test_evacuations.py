"""Guards the decision which failure domains get no requests, without nodes."""

import pytest

from balsamlug import evacuations
from balsamlug import exceptions
from balsamlug import tables
from balsamlug import validation
from balsamlug.messages import codec
from balsamlug.messages import types
from balsamlug.store import positions

ERA_1 = positions.position(1, 100)
ERA_2 = positions.position(2, 90)
GROUP = tables.Group("d-1", "m", 4, ("a", "b"), "m", "1")


def _held(*domains: str) -> evacuations.Evacuations:
    held = evacuations.Evacuations()
    assert held.update(ERA_1, domains, 0.0)
    return held


def _instance(name: str, domain: str) -> tables.Instance:
    kind = tables.InstanceKind.ENGINE
    return tables.Instance(name, "1", kind, "h:1", "d", domain, "")


def test_older_read_does_not_replace_a_newer_one():
    held = _held("z1")
    assert not held.update(ERA_1 - 1, [], 1.0)
    assert held.current(1.0) == {"z1"}


def test_same_set_is_not_passed_on_but_blocks_older_reads():
    # Nodes that start read the store at positions of their own.
    held = _held("z1")
    assert not held.update(ERA_1 + 5, ["z1"], 1.0)
    assert not held.update(ERA_1 + 4, [], 1.0)
    assert held.current(1.0) == {"z1"}


def test_first_read_is_passed_on_although_nothing_is_evacuated():
    held = evacuations.Evacuations()
    assert held.update(ERA_1, [], 0.0)
    assert held.current(0.0) == set()


def test_deletion_ends_an_evacuation_at_once():
    held = _held("z1", "z2")
    assert held.update(ERA_1 + 1, ["z2"], 1.0)
    assert held.current(1.0) == {"z2"}


def test_restored_store_without_the_entry_does_not_end_the_evacuation():
    held = _held("z1")
    assert held.update(ERA_2, [], 10.0)
    rest_s = evacuations.RETENTION_S
    assert held.current(10.0 + rest_s - 0.1) == {"z1"}
    assert held.current(10.0 + rest_s) == set()


def test_second_restoration_does_not_prolong_an_evacuation():
    held = _held("z1")
    held.update(ERA_2, [], 10.0)
    held.update(positions.position(3, 90), [], 13.0)
    assert held.current(10.0 + evacuations.RETENTION_S) == set()


def test_entry_written_again_after_a_restoration_ends_with_its_deletion():
    held = _held("z1")
    held.update(ERA_2, [], 10.0)
    held.update(ERA_2 + 1, ["z1"], 11.0)
    assert held.current(60.0) == {"z1"}
    held.update(ERA_2 + 2, [], 12.0)
    assert held.current(12.0) == set()


def test_group_with_one_member_in_an_evacuated_domain_is_excluded():
    found = {"a": _instance("a", "z2"), "b": _instance("b", "z1")}
    domains: set[str] = set()
    exclusion = evacuations.Exclusion(lambda: frozenset(domains), found.get)
    assert not exclusion.excludes_group(GROUP)
    domains.add("z1")
    assert exclusion.excludes_group(GROUP)
    assert exclusion.excludes(found["b"])
    assert not exclusion.excludes(found["a"])


def test_group_of_unknown_members_is_not_excluded():
    exclusion = evacuations.Exclusion(lambda: frozenset({"z1"}))
    assert not exclusion.excludes_group(GROUP)


@pytest.mark.parametrize(
    "message",
    [
        types.EvacuationUpdate(0, ["z1"]),
        types.EvacuationUpdate(2**64, ["z1"]),
        types.EvacuationUpdate(7, [""]),
        types.EvacuationUpdate(7, ["\ud800"]),
        types.EvacuationUpdate(7, ["z" * 201]),
        types.EvacuationUpdate(7, ["z"] * (evacuations.MAX_DOMAINS + 1)),
    ],
)
def test_message_with_impossible_values_is_rejected(message):
    with pytest.raises(exceptions.MessageRejected):
        validation.check(message)


def test_largest_message_fits_in_a_frame():
    name = "\U0001f30a" * validation.MAX_NAME_LENGTH
    message = types.EvacuationUpdate(7, [name] * evacuations.MAX_DOMAINS)
    validation.check(message)
    assert codec.encode_body(message)
