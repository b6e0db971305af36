"""Guards I5 and I7 when a node is killed or stopped.

A call that is not idempotent runs at most once (I5), and a planned stop
interrupts no stream (I7).
"""

import threading
import time

import pytest

from balsamlug_standins import callers
from balsamlug_standins import control
from tests.integration import checks

pytestmark = pytest.mark.integration

ENGINES = {"fabric-1": 4}
TOKENS = 150
# Ten seconds, as the stand-ins send a token every 20 ms.
LONG_TOKENS = 500
VIEW_LIFETIME_S = 5.0
NOT_READY_S = 3.0
STOP_TIMEOUT_S = 20.0


def test_killed_router_breaks_its_own_callers_only(start_fleet):
    fleet = start_fleet(2, nodes=2, engines=ENGINES)
    lost = checks.start_streams(fleet, ["node-1"], 3, TOKENS, "lost")
    unaffected = checks.start_streams(fleet, ["node-2"], 3, TOKENS, "kept")
    fleet.nodes["node-1"].router.kill()
    checks.assert_complete(unaffected)
    assert callers.wait_all(lost, checks.END_TIMEOUT_S)
    assert not [s.summary() for s in lost if s.done or not s.connection_error]
    assert all(s.correct_so_far() for s in lost)
    fleet.nodes["node-1"].router.start()
    fleet.wait_node_ready("node-1")
    fleet.wait_until(
        lambda: fleet.caller("node-1").complete("again", 10).is_complete(),
        "service of the restarted router",
        STOP_TIMEOUT_S,
    )


def test_booking_of_a_killed_router_never_runs_twice(start_fleet):
    fleet = start_fleet(2, nodes=2, engines=ENGINES)
    control.post(
        fleet.services["booking"].port, "/control/behaviour", delay_ms=1500
    )
    key = callers.idempotency_key()
    body = {"slot": 1}
    first_answers = []

    def book():
        try:
            caller = fleet.caller("node-1")
            first_answers.append(
                caller.call_service("booking", "book", key, body)
            )
        except control.ControlError as exc:
            first_answers.append(exc)

    thread = threading.Thread(target=book)
    thread.start()
    fleet.wait_until(lambda: checks.runs_by_key(fleet), "the run")
    fleet.nodes["node-1"].router.kill()
    thread.join()
    assert isinstance(first_answers[0], control.ControlError)
    repeated_answers = [
        fleet.caller("node-2").call_service("booking", "book", key, body)
        for _ in range(3)
    ]
    statuses = {status for status, _ in repeated_answers}
    outcomes = {answer["error"]["outcome"] for _, answer in repeated_answers}
    assert statuses <= {409, 504}, repeated_answers
    assert outcomes == {"unknown"}
    assert checks.runs_by_key(fleet) == {key: 1}


def test_stopped_node_finishes_its_streams_and_takes_no_new_ones(start_fleet):
    fleet = start_fleet(2, nodes=3, engines=ENGINES)
    node = fleet.nodes["node-3"]
    streams = checks.start_streams(fleet, ["node-3"], 4, LONG_TOKENS, "stop")
    _stop(node)
    fleet.wait_until(lambda: not _is_ready(node), "not ready", NOT_READY_S)
    late_streams = _start_until_refused(fleet, "node-3")
    checks.assert_running(streams)
    checks.assert_complete(streams)
    assert node.router.wait_ended(STOP_TIMEOUT_S) == 0
    assert node.controller.wait_ended(STOP_TIMEOUT_S) == 0
    checks.assert_complete_or_refused(fleet, late_streams)
    fleet.wait_until(
        lambda: _live_nodes(fleet) == ["node-1", "node-2"],
        "the announcement of the stop",
        STOP_TIMEOUT_S,
    )
    checks.assert_serves(fleet, ["node-1", "node-2"])


def test_stopping_node_resumes_streams_of_a_lost_group(start_fleet):
    fleet = start_fleet(2, nodes=2, engines=ENGINES)
    node = fleet.nodes["node-2"]
    streams = checks.start_streams(fleet, ["node-2"], 4, LONG_TOKENS, "stop")
    _stop(node)
    # Waits longer than a router retains a view that no controller renews.
    time.sleep(VIEW_LIFETIME_S)
    checks.assert_running(streams)
    head = next(iter(fleet.groups().values()))["members"][0]
    fleet.engines[head].process.kill()
    checks.assert_complete(streams)
    assert node.router.wait_ended(STOP_TIMEOUT_S) == 0
    assert node.controller.wait_ended(STOP_TIMEOUT_S) == 0


def test_killed_controller_leaves_its_groups_in_service(start_fleet):
    fleet = start_fleet(2, nodes=3, engines=ENGINES)
    before = fleet.groups()
    holder = next(
        name
        for name, node in fleet.nodes.items()
        if node.status()["domains"]["fabric-1"]["held_here"]
    )
    others = [name for name in fleet.nodes if name != holder]
    streams = checks.start_streams(fleet, fleet.nodes, 2, TOKENS, "control")
    fleet.nodes[holder].controller.kill()
    checks.assert_complete(streams)
    fleet.wait_until(
        lambda: any(
            fleet.nodes[n].status()["domains"]["fabric-1"]["held_here"]
            for n in others
        ),
        "take-over of the lease",
        STOP_TIMEOUT_S,
    )
    checks.assert_serves(fleet, others)
    assert _members(fleet.groups()) == _members(before)


def _members(groups):
    return {group_id: group["members"] for group_id, group in groups.items()}


def _stop(node):
    """Stop both processes at the same time, as an instance shutdown does."""
    node.router.terminate()
    node.controller.terminate()


def _start_until_refused(fleet, node):
    """Start requests until one is refused because the node stops."""
    late_streams = []

    def is_refused():
        number = len(late_streams)
        late_streams.append(fleet.caller(node).complete(f"late {number}", 2))
        return late_streams[-1].error.get("code") == "node_not_ready"

    fleet.wait_until(is_refused, "refusal", NOT_READY_S + VIEW_LIFETIME_S)
    return late_streams


def _live_nodes(fleet):
    return fleet.nodes["node-1"].status()["live_nodes"]


def _is_ready(node):
    try:
        return control.call(node.ports.caller, "/readyz")[0] == 200
    except control.ControlError:
        return False
