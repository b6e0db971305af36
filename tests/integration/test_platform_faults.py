"""Guards I2 and I5 while the object API is down or loses its responses.

No instance is in two groups (I2), and a call that is not idempotent runs at
most once (I5).
"""

import time

import pytest

from balsamlug_standins import callers
from balsamlug_standins import control
from tests.integration import checks

pytestmark = pytest.mark.integration

OUTAGE_S = 60.0
BOOK = {"slot": 1}
RECOVERY_TIMEOUT_S = 30.0


def _book(fleet, node, key):
    return fleet.caller(node).call_service("booking", "book", key, BOOK)


def _set_platform_faults(fleet, **faults):
    control.post(fleet.platform.port, "/control/faults", **faults)


@pytest.mark.parametrize("outage", ["refuse", "hang"])
def test_outage_freezes_agreement_and_not_service(start_fleet, outage):
    fleet = start_fleet(2, nodes=2, engines={"fabric-1": 3, "fabric-2": 2})
    group_id, before = next(
        (g, group)
        for g, group in fleet.groups().items()
        if group["members"][0].startswith("fabric-1")
    )
    committed = fleet.groups()
    _set_platform_faults(fleet, outage=outage)
    started_s = time.monotonic()
    streams = checks.start_streams(fleet, fleet.nodes, 3, 300, "outage")
    keys = {callers.idempotency_key(): [] for _ in range(4)}
    for key, answers in keys.items():
        answers.append(_book(fleet, "node-1", key))
    assert {_outcome(a) for a in keys.values()} == {"not_run"}
    victim = before["members"][1]
    fleet.engines[victim].process.kill()
    fleet.wait_until(
        lambda: group_id not in fleet.ready_groups("node-2"),
        "loss of the group",
    )
    _start_streams_until(fleet, started_s + OUTAGE_S, streams)
    assert fleet.groups() == committed
    assert checks.runs_by_key(fleet) == {}
    _set_platform_faults(fleet, outage="")
    checks.assert_complete(streams)
    fleet.wait_replaced(group_id, victim, RECOVERY_TIMEOUT_S)
    checks.assert_disjoint(fleet)
    for key, answers in keys.items():
        answers.append(_book(fleet, "node-2", key))
        assert answers[-1][0] == 200
    checks.assert_at_most_once(fleet, keys)


def _outcome(answers):
    status, body = answers[-1]
    return body["error"]["outcome"] if status >= 400 else status


def _start_streams_until(fleet, end_s, streams):
    """Start streams on all nodes every second until `end_s`.

    Args:
      streams: list to which the new streams are appended.
    """
    while time.monotonic() < end_s:
        streams += [
            fleet.caller(node).start(f"at {time.monotonic()} {node}", 20)
            for node in fleet.nodes
        ]
        time.sleep(1.0)


def test_lost_answers_of_claims_run_nothing_twice(start_fleet):
    fleet = start_fleet(1, nodes=2, engines={"fabric-1": 2})
    keys = {callers.idempotency_key(): [] for _ in range(6)}
    for index, (key, answers) in enumerate(keys.items()):
        _set_platform_faults(
            fleet, lose_answers=1 + index % 3, lose_kind="ledger"
        )
        answers += [_book(fleet, node, key) for node in fleet.nodes]
        _set_platform_faults(fleet, lose_answers=0)
        answers.append(_book(fleet, "node-1", key))
    checks.assert_at_most_once(fleet, keys)
    single_losses = [a for i, a in enumerate(keys.values()) if i % 3 == 0]
    assert all(answer[-1][0] == 200 for answer in single_losses), single_losses


def test_lost_answers_of_assignments_keep_groups_disjoint(start_fleet):
    fleet = start_fleet(
        2,
        nodes=3,
        engines={"fabric-1": 5},
        platform_faults={"lose_answers": 4, "lose_kind": "domain"},
    )
    checks.assert_disjoint(fleet)
    group_id, group = next(iter(fleet.groups().items()))
    victim = group["members"][1]
    _set_platform_faults(fleet, lose_answers=4, lose_kind="domain")
    fleet.engines[victim].process.kill()
    fleet.wait_replaced(group_id, victim, RECOVERY_TIMEOUT_S)
    checks.assert_disjoint(fleet)
    checks.assert_serves(fleet, fleet.nodes)


@pytest.mark.parametrize(
    ("failure", "runs"),
    [("close_before", 0), ("close_after", 1), ("error_after", 1)],
)
def test_failed_booking_is_not_repeated_by_the_system(
    start_fleet, failure, runs
):
    fleet = start_fleet(1, nodes=2, engines={"fabric-1": 2})
    service = fleet.services["booking"]
    control.post(service.port, "/control/behaviour", failures=[failure])
    key = callers.idempotency_key()
    answers = [_book(fleet, node, key) for node in ("node-1", "node-2")]
    status, body = answers[0]
    assert status >= 400
    if failure != "error_after":
        assert body["error"]["outcome"] == "unknown"
    checks.assert_at_most_once(fleet, {key: answers})
    assert fleet.service_record("booking")["calls"] == 1, answers
    assert checks.runs_by_key(fleet).get(key, 0) == runs
