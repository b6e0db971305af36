"""Guards what callers get from many nodes with old news of the loads."""

import functools

import pytest

from bench import placing

SEEDS = (1, 2)
# They know no more of the groups than the gateway does.
BASELINES = ("round robin", "least in flight")


@functools.cache
def _worth(shape: placing.Shape, policy: str) -> float:
    runs = [placing.run(shape, policy, seed)["worth"] for seed in SEEDS]
    return sum(runs) / len(runs)


@pytest.mark.parametrize("policy", BASELINES)
@pytest.mark.parametrize("shape", placing.SHAPES, ids=lambda s: s.name)
def test_callers_get_more_than_under_a_simple_policy(shape, policy):
    assert _worth(shape, "balsamlug") > _worth(shape, policy)


def test_an_overload_is_not_spent_on_late_answers():
    """Guards fresh requests: refused callers filled the engines' queues."""
    shape = next(s for s in placing.SHAPES if s.name == "overload")
    own = placing.run(shape, "balsamlug", SEEDS[0])
    queue = placing.run(shape, "one queue", SEEDS[0])
    assert own["on_time"] > own["late"]
    assert own["worth"] > queue["worth"]
