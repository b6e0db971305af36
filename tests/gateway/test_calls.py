"""Guards against calls that are sent to a full or recently failed instance."""

import random

import pytest

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug import tables
from balsamlug.gateway import calls


def _candidate(
    name: str, in_flight=0, same_domain=False, recently_failed=False
) -> calls.CallCandidate:
    instance = tables.Instance(
        name, "1", tables.InstanceKind.SERVICE, "a:1", "", "z", "", slots=4
    )
    return calls.CallCandidate(
        instance, in_flight, same_domain, recently_failed
    )


def _choose(*candidates: calls.CallCandidate) -> str:
    return calls.choose(list(candidates), random.Random(1)).id


def test_local_instance_is_preferred_while_it_has_slots():
    assert (
        _choose(_candidate("a"), _candidate("b", in_flight=3, same_domain=True))
        == "b"
    )


def test_remote_instance_is_preferred_to_a_full_local_one():
    assert (
        _choose(_candidate("a"), _candidate("b", in_flight=4, same_domain=True))
        == "a"
    )


def test_recently_failed_instance_is_the_last_choice():
    local = _candidate("b", same_domain=True, recently_failed=True)
    assert _choose(_candidate("a", in_flight=3), local) == "a"
    assert _choose(local) == "b"


def test_refusal_without_instances_has_a_retry_time():
    with pytest.raises(exceptions.NoReadyGroup) as refusal:
        _choose()
    assert refusal.value.retry_after_ms > 0


def test_failure_expires_after_the_cooldown():
    clock = clocks.ManualClock()
    recent_failures = calls.RecentFailures(clock)
    recent_failures.record("a")
    assert recent_failures.is_recent("a")
    clock.advance(calls.FAILURE_COOLDOWN_S + 0.1)
    assert not recent_failures.is_recent("a")
