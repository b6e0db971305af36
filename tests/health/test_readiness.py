"""Guards that a group is ready only while every member reports it."""

import asyncio

import attrs
import pytest
from tornado import httpclient

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug import tables
from balsamlug.health import observations as obs
from balsamlug.health import prober as probers
from balsamlug.health import readiness

GROUP = tables.Group("g", "chat", 7, ("a", "b"), "m", "1", ("1", "1"))
NOW_S = 50.0


def body(at, **changes):
    defaults = {
        "instance": GROUP.members[at],
        "incarnation": "1",
        "state": "ready",
        "group": "g",
        "generation": 7,
        "rank": at,
        "members": ["a", "b"],
        "model": "m",
        "version": "1",
        "load": {"running": 3, "queued": 1, "capacity": 8},
        "load_age_ms": 40,
    }
    return defaults | changes


def observed(at, sent_s=NOW_S - 0.5, **changes):
    return obs.Observation(obs.parse_status(body(at, **changes)), sent_s)


def readiness_with(second, **inputs):
    observations = {"a": observed(0), "b": second}
    return readiness.evaluate(
        GROUP, readiness.ReadinessInputs(observations, **inputs), NOW_S
    )


def test_ready_when_every_member_reports_its_assignment():
    assert readiness_with(observed(1)) == readiness.READY


@pytest.mark.parametrize(
    "change",
    [
        {"state": "draining"},
        {"state": "loading"},
        {"incarnation": "2"},
        {"group": "other"},
        {"generation": 6},
        {"rank": 0},
        {"members": ["a", "c"]},
        {"version": "2"},
    ],
)
def test_answer_that_differs_from_the_assignment_is_definite(change):
    result = readiness_with(observed(1, **change))
    assert (result.ready, result.definite) == (False, True)
    assert result.reason.startswith("b ")


def test_missing_answers_count_after_a_time_and_are_not_definite():
    just_in_time = observed(1, NOW_S - obs.MAX_ANSWER_AGE_S)
    lost_probe = just_in_time.failed(obs.Failure.SILENT, NOW_S - 1)
    assert readiness_with(lost_probe).ready
    result = readiness_with(observed(1, NOW_S - obs.MAX_ANSWER_AGE_S - 0.01))
    assert (result.ready, result.definite) == (False, False)


def test_refused_connection_is_definite_at_once():
    refused = observed(1).failed(obs.Failure.REFUSED, NOW_S - 0.1)
    assert readiness_with(refused).definite


def test_definite_problem_takes_precedence_over_a_missing_answer():
    observations = {
        "a": observed(0, NOW_S - 9),
        "b": observed(1, state="draining"),
    }
    result = readiness.evaluate(
        GROUP, readiness.ReadinessInputs(observations), NOW_S
    )
    assert result.definite


def test_announcements_count_without_a_probe():
    leaving = readiness_with(observed(1), leaving=frozenset(["b"]))
    drained = readiness_with(observed(1), draining={"b": "disk"})
    assert leaving.definite and drained.definite
    retiring = attrs.evolve(GROUP, retiring="removed")
    inputs = readiness.ReadinessInputs({"a": observed(0), "b": observed(1)})
    assert not readiness.evaluate(retiring, inputs, NOW_S).ready


def test_report_carries_the_age_of_the_oldest_observation_and_the_load():
    observations = {"a": observed(0, NOW_S - 0.25), "b": observed(1, NOW_S - 1)}
    report = readiness.report(
        GROUP, readiness.ReadinessInputs(observations), "n", "addr", NOW_S
    )
    assert (report.ready, report.age_ms) == (True, 1000)
    assert report.load == [3, 1, 8, 0, 290]


def test_observation_ignores_answers_of_earlier_probes():
    new = observed(1, 10.0)
    old = obs.parse_status(body(1, state="loading"))
    assert new.answered(old, 9.5) == new
    assert new.failed(obs.Failure.SILENT, 9.5) == new


@pytest.mark.parametrize(
    "raw", [None, [], {}, body(0, load=3), body(0, state="odd"), {"load": 1}]
)
def test_malformed_status_is_a_protocol_error(raw):
    with pytest.raises(exceptions.ProtocolError):
        obs.parse_status(raw)


FAILURES = [
    (ConnectionRefusedError(), obs.Failure.REFUSED),
    (httpclient.HTTPClientError(599), obs.Failure.SILENT),
    (httpclient.HTTPClientError(500), obs.Failure.WRONG_ANSWER),
    (OSError("no route"), obs.Failure.SILENT),
    (ValueError("not JSON"), obs.Failure.WRONG_ANSWER),
    (body(0), obs.Failure.WRONG_ANSWER),
]


@pytest.mark.parametrize(("answer", "failure"), FAILURES)
def test_failed_probe_distinguishes_no_answer_refusal_and_wrong_answer(
    answer, failure
):
    async def fetch(address):
        if isinstance(answer, Exception):
            raise answer
        return answer

    async def run():
        changed = []
        prober = probers.Prober(fetch, clocks.ManualClock(), changed.append)
        prober.set_targets({"b": probers.Target("b", "addr")})
        await asyncio.gather(*prober.tick())
        assert prober.observations["b"].failure is failure
        assert changed == ["b"]
        assert not prober.tick()
        prober.set_targets({})
        assert not prober.observations

    asyncio.run(run())
