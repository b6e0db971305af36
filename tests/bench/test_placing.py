"""Guards the value for callers when many nodes have outdated load reports."""

import functools

import pytest

from bench import placing
from bench import placing_fleet

SEEDS = (1, 2)
# Policies that have the same information about the groups as the gateway.
BASELINES = ("round robin", "least in flight")


@functools.cache
def _mean_value(shape: placing_fleet.Shape, policy: str) -> float:
    runs = [placing.run(shape, policy, seed)["worth"] for seed in SEEDS]
    return sum(runs) / len(runs)


@pytest.mark.parametrize("policy", BASELINES)
@pytest.mark.parametrize("shape", placing_fleet.SHAPES, ids=lambda s: s.name)
def test_callers_get_more_than_under_a_simple_policy(shape, policy):
    assert _mean_value(shape, "balsamlug") > _mean_value(shape, policy)


@pytest.mark.parametrize("shape", placing_fleet.SHAPES, ids=lambda s: s.name)
def test_overload_control_costs_nothing_at_other_loads(shape):
    """Guards usual loads against a control that is made for overload."""
    plain = _mean_value(shape, "balsamlug")
    assert _mean_value(shape, "overload control") >= plain - 0.01


def test_most_answers_in_an_overload_are_on_time():
    """Guards new requests against retries that fill the engines' queues."""
    shape = next(s for s in placing_fleet.SHAPES if s.name == "overload")
    gateway = placing.run(shape, "balsamlug", SEEDS[0])
    queue = placing.run(shape, "one queue", SEEDS[0])
    assert gateway["on_time"] > gateway["late"]
    assert gateway["worth"] > queue["worth"]
