"""Checks of callers' answers against the runs that the stand-ins recorded.

I1: a group serves only with all its members.
I2: an instance is in one group only.
I3: a caller gets the complete answer to its own request.
I4: a request that was refused as not run did not run.
I5: a call that is not idempotent runs at most once.
"""

import time

from balsamlug_standins import callers

END_TIMEOUT_S = 40.0
FIRST_TOKENS = 3


def wall_clock_ms():
    return int(time.time() * 1000)


def start_streams(fleet, nodes, count, tokens, label):
    """Start streams on each node and wait for their first tokens.

    Args:
      count: number of streams on each node.
      label: start of the prompts, which differ from stream to stream.
    """
    streams = [
        fleet.caller(node).start(f"{label} {node} {number}", tokens)
        for node in nodes
        for number in range(count)
    ]
    assert callers.wait_tokens(streams, FIRST_TOKENS, END_TIMEOUT_S)
    assert_running(streams)
    return streams


def assert_serves(fleet, nodes):
    """Check that short requests on each node are answered."""
    streams = [
        fleet.caller(node).start(f"serves {node} {number}", 20)
        for node in nodes
        for number in range(2)
    ]
    assert_complete(streams)


def assert_running(streams):
    ended = [s.summary() for s in streams if s.ended.is_set()]
    assert not ended


def assert_complete(streams):
    """Check that every stream received exactly its own answer (I3)."""
    ended = callers.wait_all(streams, END_TIMEOUT_S)
    assert ended, _summaries([s for s in streams if not s.ended.is_set()])
    failed = [s for s in streams if not s.is_complete()]
    assert not failed, _summaries(failed)


def _summaries(streams):
    return "\n".join(str(stream.summary()) for stream in streams)


def assert_complete_or_refused(fleet, streams):
    """Check that each caller got its answer or a typed refusal (I3, I4).

    A refusal with the outcome not_run must be of a request that did not run.
    """
    assert callers.wait_all(streams, END_TIMEOUT_S)
    invalid = [
        s.summary()
        for s in streams
        if not (s.is_complete() or (s.error.get("code") and s.correct_so_far()))
    ]
    assert not invalid
    run_prompts = {
        run["prompt"]
        for runs in fleet.engine_records().values()
        for run in runs
    }
    refused = [s for s in streams if s.error.get("outcome") == "not_run"]
    assert not [s.summary() for s in refused if s.prompt in run_prompts]


def assert_no_start(fleet, engines, after_ms, generation, group_id):
    """Check that a group's generation started no run after `after_ms` (I1)."""
    records = fleet.engine_records()
    late = [
        run
        for name in engines
        for run in records[name]
        if run["group"] == group_id
        and run["generation"] == generation
        and run["started_at_ms"] > after_ms
    ]
    assert not late


def assert_disjoint(fleet):
    """Check that no instance is in two committed groups (I2)."""
    members = [
        member
        for group in fleet.groups().values()
        for member in group["members"]
    ]
    assert len(members) == len(set(members)), members


def runs_by_key(fleet, service="booking"):
    """Return the number of runs of each idempotency key."""
    counts = {}
    for run in fleet.service_record(service)["runs"]:
        counts[run["key"]] = counts.get(run["key"], 0) + 1
    return counts


def assert_at_most_once(fleet, answers_by_key):
    """Check the runs of each key against the answers its caller got (I5).

    Args:
      answers_by_key: key -> list of (status, body) in the order of the calls.
    """
    counts = runs_by_key(fleet)
    for key, answers in answers_by_key.items():
        runs = counts.get(key, 0)
        succeeded = [body for status, body in answers if status == 200]
        assert runs <= 1, (key, answers)
        assert not succeeded or runs == 1, (key, answers)
        assert all(body == succeeded[0] for body in succeeded), (key, answers)
        if all(_not_run(status, body) for status, body in answers):
            assert runs == 0, (key, answers)


def _not_run(status, body):
    # The error of a service is not an object with an outcome, as the refusal
    # of a router is.
    refusal = body.get("error")
    return (
        status >= 400
        and isinstance(refusal, dict)
        and refusal["outcome"] == "not_run"
    )
