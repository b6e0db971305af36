"""Compare what callers got with what the stand-ins ran."""

import time

from balsamlug_standins import callers

END_TIMEOUT_S = 40.0
FIRST_TOKENS = 3


def wall_ms():
    return int(time.time() * 1000)


def start_streams(fleet, nodes, count, tokens, label):
    """Start streams on each node and wait for their first tokens."""
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
    assert_whole(streams)


def assert_running(streams):
    ended = [s.summary() for s in streams if s.ended.is_set()]
    assert not ended


def assert_whole(streams):
    """Check that every stream ended with exactly its own answer (I3)."""
    ended = callers.wait_all(streams, END_TIMEOUT_S)
    assert ended, _report([s for s in streams if not s.ended.is_set()])
    failed = [s for s in streams if not s.is_complete()]
    assert not failed, _report(failed)


def _report(streams):
    return "\n".join(str(stream.summary()) for stream in streams)


def assert_whole_or_refused(fleet, streams):
    """Check that each caller got its answer or a typed refusal (I3, I4)."""
    assert callers.wait_all(streams, END_TIMEOUT_S)
    bad = [
        s.summary()
        for s in streams
        if not (s.is_complete() or (s.error.get("code") and s.correct_so_far()))
    ]
    assert not bad
    ran = {
        run["prompt"]
        for runs in fleet.engine_records().values()
        for run in runs
    }
    refused = [s for s in streams if s.error.get("outcome") == "not_run"]
    assert not [s.summary() for s in refused if s.prompt in ran]


def assert_no_start(fleet, engines, after_ms, generation, group_id):
    """Check that a generation of a group began nothing after a moment (I1)."""
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
    # A service's own error has another form than a refusal of the router.
    refusal = body.get("error")
    return (
        status >= 400
        and isinstance(refusal, dict)
        and refusal["outcome"] == "not_run"
    )
