"""Guards the choice of an upstream of a plain service."""

import random

import pytest

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug import tables
from balsamlug.gateway import calls


def _option(name: str, present=0, near=False, faulty=False) -> calls.Option:
    instance = tables.Instance(
        name, "1", tables.InstanceKind.SERVICE, "a:1", "", "z", "", slots=4
    )
    return calls.Option(instance, present, near, faulty)


def _choose(*options: calls.Option) -> str:
    return calls.choose(list(options), random.Random(1)).id


def test_a_near_upstream_goes_first_while_it_has_slots():
    assert _choose(_option("a"), _option("b", present=3, near=True)) == "b"


def test_a_full_upstream_gives_way_to_a_distant_one():
    assert _choose(_option("a"), _option("b", present=4, near=True)) == "a"


def test_an_upstream_that_just_failed_is_the_last_choice():
    near = _option("b", near=True, faulty=True)
    assert _choose(_option("a", present=3), near) == "a"
    assert _choose(near) == "b"


def test_no_upstream_is_a_refusal_that_names_a_time():
    with pytest.raises(exceptions.NoReadyGroup) as refusal:
        _choose()
    assert refusal.value.retry_after_ms > 0


def test_failures_are_forgotten():
    clock = clocks.ManualClock()
    faults = calls.Faults(clock)
    faults.note("a")
    assert faults.is_recent("a")
    clock.advance(calls.FAULT_HOLD_S + 0.1)
    assert not faults.is_recent("a")
