"""Guards the decision which failure domains get no requests, without nodes."""

import pytest

from balsamlug import evacuations
from balsamlug import exceptions
from balsamlug import tables
from balsamlug import validation
from balsamlug.messages import types
from balsamlug.store import positions

ERA_1 = positions.position(1, 100)
ERA_2 = positions.position(2, 90)
REST_S = evacuations.RETENTION_S


def _held(*domains: str) -> evacuations.Evacuations:
    held = evacuations.Evacuations()
    assert held.update(ERA_1, domains, 0.0)
    return held


def test_older_read_does_not_replace_a_newer_one():
    held = _held("z1")
    assert not held.update(ERA_1 - 1, [], 1.0)
    assert held.current(1.0) == {"z1"}


def test_same_set_is_not_passed_on_but_blocks_older_reads():
    # Nodes that start read the store at positions of their own.
    held = _held("z1")
    assert not held.update(ERA_1 + 5, ["z1"], 1.0)
    assert not held.update(ERA_1 + 4, [], 1.0)
    assert held.update(ERA_1 + 6, [], 1.0)
    assert held.current(1.0) == set()


def test_restored_store_without_the_entry_does_not_end_the_evacuation():
    held = _held("z1")
    assert held.update(ERA_2, [], 10.0)
    assert held.current(10.0 + REST_S - 0.1) == {"z1"}
    # Another restoration does not prolong it.
    held.update(positions.position(3, 90), [], 13.0)
    assert held.current(10.0 + REST_S) == set()


def test_entry_written_again_after_a_restoration_ends_with_its_deletion():
    held = _held("z1")
    held.update(ERA_2, [], 10.0)
    held.update(ERA_2 + 1, ["z1"], 11.0)
    assert held.current(60.0) == {"z1"}
    held.update(ERA_2 + 2, [], 12.0)
    assert held.current(12.0) == set()


def test_group_with_one_member_in_an_evacuated_domain_is_excluded():
    kind = tables.InstanceKind.ENGINE
    found = {
        name: tables.Instance(name, "1", kind, "h:1", "d", domain, "")
        for name, domain in (("a", "z2"), ("b", "z1"))
    }
    group = tables.Group("d-1", "m", 4, ("a", "b", "unlisted"), "m", "1")
    domains: set[str] = set()
    exclusion = evacuations.Exclusion(lambda: frozenset(domains), found.get)
    assert not exclusion.excludes_group(group)
    domains.add("z1")
    assert exclusion.excludes_group(group)
    assert not exclusion.excludes(found["a"])


@pytest.mark.parametrize(
    "fields",
    [
        (0, ["z1"]),
        (2**64, ["z1"]),
        (7, [""]),
        (7, ["\ud800"]),
        (7, ["z"] * (evacuations.MAX_DOMAINS + 1)),
    ],
)
def test_message_with_impossible_values_is_rejected(fields):
    with pytest.raises(exceptions.MessageRejected):
        validation.check(types.EvacuationUpdate(*fields))
