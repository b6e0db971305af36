"""Guards groups against crashing requests, and others against quarantine."""

import pytest

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug import quarantine
from balsamlug import snapshots
from balsamlug import state


def _table() -> quarantine.Quarantine:
    return quarantine.Quarantine(state.FleetState("s"), clocks.ManualClock())


def _crash(table: quarantine.Quarantine, times: int, fp: str = "fp") -> None:
    for generation in range(times):
        table.record_crash([fp], "g", generation)


def test_request_with_two_losses_is_still_served():
    """Guards the failure of a domain, as in deploy/days/servers.toml.

    A stream can be in flight in two losses without causing them.
    """
    table = _table()
    _crash(table, 2)
    table.check(["fp"])


def test_third_loss_quarantines_the_request_as_not_run():
    table = _table()
    _crash(table, 3)
    with pytest.raises(exceptions.SuspectedRequest) as refusal:
        table.check(["fp"])
    assert refusal.value.outcome == exceptions.NOT_RUN
    table.check(["another"])


def test_retry_time_is_the_end_of_the_quarantine():
    clock = clocks.ManualClock()
    table = quarantine.Quarantine(state.FleetState("s"), clock)
    _crash(table, 2)
    clock.advance(10.0)
    table.record_crash(["fp"], "other", 1)
    with pytest.raises(exceptions.SuspectedRequest) as refusal:
        table.check(["fp"])
    clock.advance(refusal.value.retry_after_ms / 1000 + 0.001)
    table.check(["fp"])


def test_identical_requests_in_one_loss_count_once():
    """Guards popular requests, of which one group ran three at once."""
    table = _table()
    for _ in range(3):
        table.record_crash(["fp"], "g", 1)
    table.check(["fp"])


def test_served_request_is_cleared_of_earlier_losses():
    table = _table()
    _crash(table, 2)
    table.record_proof(["fp"], 0.0)
    table.record_crash(["fp"], "other", 1)
    table.check(["fp"])


def test_suspected_request_is_published_to_other_nodes():
    fleet, other_node = state.FleetState("s"), state.FleetState("s")
    fleet.subscribe(lambda message: other_node.publish(message, 0.0))
    one = quarantine.Quarantine(fleet, clocks.ManualClock())
    two = quarantine.Quarantine(other_node, clocks.ManualClock())
    _crash(one, 3)
    assert two.is_quarantined("fp")


def test_node_that_starts_later_receives_the_cleared_request():
    """Guards against a restarted node that refuses a request for an hour.

    The soak found the fault with seed 608032.
    """
    fleet, late = state.FleetState("s"), state.FleetState("s")
    one = quarantine.Quarantine(fleet, clocks.ManualClock())
    two = quarantine.Quarantine(late, clocks.ManualClock())
    _crash(one, 3)
    one.record_proof(["fp"], 0.0)
    for message in snapshots.messages(fleet, 0.0):
        late.publish(message, 0.0)
    two.check(["fp"])
    two.record_crash(["fp"], "other", 1)
    assert two.crashes("fp") == 1


def test_loss_that_two_nodes_report_counts_once():
    fleet, other_node = state.FleetState("s"), state.FleetState("s")
    fleet.subscribe(lambda message: other_node.publish(message, 0.0))
    one = quarantine.Quarantine(fleet, clocks.ManualClock())
    two = quarantine.Quarantine(other_node, clocks.ManualClock())
    _crash(one, 2)
    two.record_crash(["fp"], "g", 1)
    assert two.crashes("fp") == 2
