"""Guards I1, I2, I3 and I5 under faults of single network paths.

A group without one of its members gets no new work (I1), no instance is in two
groups (I2), callers get complete answers (I3), and a call that is not
idempotent runs at most once (I5).
"""

import pytest

from balsamlug_standins import callers
from tests.integration import checks

pytestmark = pytest.mark.integration

TOKENS = 150
REPAIR_TIMEOUT_S = 30.0


@pytest.mark.parametrize("cut", ["to_target", "to_caller"])
def test_head_cut_in_one_direction_loses_no_answer(start_fleet, cut):
    fleet = start_fleet(
        2,
        nodes=2,
        engines={"fabric-1": 3, "fabric-2": 2},
        proxied=("engines",),
    )
    group_id, group = next(
        (g, group)
        for g, group in fleet.groups().items()
        if group["members"][0].startswith("fabric-1")
    )
    streams = checks.start_streams(fleet, fleet.nodes, 4, TOKENS, "cut")
    head = group["members"][0]
    fleet.set_faults(head, cut=cut)
    checks.assert_complete(streams)
    fleet.wait_replaced(group_id, head, REPAIR_TIMEOUT_S)
    fleet.set_faults(head)
    fleet.wait_until(
        lambda: fleet.engine_status(head)["state"] == "idle",
        "return as spare",
        REPAIR_TIMEOUT_S,
    )
    checks.assert_disjoint(fleet)
    checks.assert_serves(fleet, fleet.nodes)


@pytest.mark.parametrize("cut", ["to_target", "to_caller"])
def test_lease_holder_cut_from_the_platform_is_succeeded(start_fleet, cut):
    fleet = start_fleet(
        2, nodes=3, engines={"fabric-1": 5}, proxied=("platform",)
    )
    before = fleet.domains()["fabric-1"]["lease"]
    holder = before["holder"]
    fleet.set_faults(f"{holder}-platform", cut=cut)
    streams = checks.start_streams(fleet, fleet.nodes, 2, TOKENS, "lease")
    fleet.wait_until(
        lambda: _lease(fleet)["holder"] != holder,
        "another holder",
        REPAIR_TIMEOUT_S,
    )
    assert _lease(fleet)["epoch"] > before["epoch"]
    group_id, group = next(iter(fleet.groups().items()))
    victim = group["members"][1]
    fleet.engines[victim].process.kill()
    checks.assert_complete(streams)
    fleet.wait_replaced(group_id, victim, REPAIR_TIMEOUT_S)
    after_repair = fleet.domains()["fabric-1"]
    fleet.set_faults(f"{holder}-platform")
    fleet.wait_until(
        lambda: (
            not _holds_lease(fleet, holder) or _lease(fleet)["holder"] == holder
        ),
        "one holder",
    )
    checks.assert_disjoint(fleet)
    assert fleet.groups() == after_repair["groups"]
    assert victim not in str(fleet.groups())
    checks.assert_serves(fleet, fleet.nodes)


def test_booking_whose_answer_the_network_loses_runs_once(start_fleet):
    fleet = start_fleet(
        1, nodes=2, engines={"fabric-1": 2}, proxied=("services",)
    )
    fleet.set_faults("booking", lose_answers=1)
    key = callers.idempotency_key()
    body = {"slot": 1}
    answers = [
        fleet.caller(node).call_service("booking", "book", key, body)
        for node in ("node-1", "node-2", "node-1")
    ]
    assert [status for status, _ in answers if status < 400] == []
    assert {a["error"]["outcome"] for _, a in answers} == {"unknown"}
    checks.assert_at_most_once(fleet, {key: answers})
    assert checks.runs_by_key(fleet) == {key: 1}


def test_duplicated_and_late_writes_run_no_booking_twice(start_fleet):
    fleet = start_fleet(
        1, nodes=2, engines={"fabric-1": 2}, proxied=("platform",)
    )
    fleet.set_faults("node-1-platform", duplicate=True)
    fleet.set_faults("node-2-platform", duplicate=True, delay_ms=150)
    body = {"slot": 1}
    keys = {callers.idempotency_key(): [] for _ in range(6)}
    for key, answers in keys.items():
        for node in fleet.nodes:
            caller = fleet.caller(node)
            answers.append(caller.call_service("booking", "book", key, body))
    checks.assert_at_most_once(fleet, keys)
    assert {a[0][0] for a in keys.values()} == {200}, keys


def test_reset_and_slow_engine_paths_lose_no_answer(start_fleet):
    fleet = start_fleet(
        2, nodes=2, engines={"fabric-1": 4}, proxied=("engines",)
    )
    heads = [group["members"][0] for group in fleet.groups().values()]
    streams = checks.start_streams(fleet, fleet.nodes, 3, TOKENS, "reset")
    fleet.set_faults(heads[0], reset=True)
    fleet.set_faults(heads[1], delay_ms=100)
    fleet.set_faults(heads[0])
    checks.assert_complete(streams)


def _lease(fleet):
    return fleet.domains()["fabric-1"]["lease"]


def _holds_lease(fleet, node):
    return fleet.nodes[node].status()["domains"]["fabric-1"]["held_here"]
