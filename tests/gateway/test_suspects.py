"""Guards groups against requests that crash them, and others from blame."""

import pytest

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug import state
from balsamlug.gateway import suspects


def _table() -> suspects.Suspects:
    return suspects.Suspects(state.FleetState("s"), clocks.ManualClock())


def _crash(table: suspects.Suspects, times: int, fp: str = "fp") -> None:
    for generation in range(times):
        table.record_crash(fp, "g", generation)


def test_a_request_that_met_two_losses_is_still_served():
    """Found in a play of deploy/days/servers.toml with a dark domain."""
    table = _table()
    _crash(table, 2)
    table.check("fp")


def test_a_third_loss_keeps_it_away_and_tells_that_it_has_not_run():
    table = _table()
    _crash(table, 3)
    with pytest.raises(exceptions.SuspectedRequest) as refusal:
        table.check("fp")
    assert refusal.value.outcome == exceptions.NOT_RUN
    table.check("another")


def test_a_refusal_names_the_time_after_which_it_is_lifted():
    clock = clocks.ManualClock()
    table = suspects.Suspects(state.FleetState("s"), clock)
    _crash(table, 2)
    clock.advance(10.0)
    table.record_crash("fp", "other", 1)
    with pytest.raises(exceptions.SuspectedRequest) as refusal:
        table.check("fp")
    clock.advance(refusal.value.retry_after_ms / 1000 + 0.001)
    table.check("fp")


def test_equal_requests_in_one_loss_count_once():
    """Guards popular requests: three of them were in flight in one group."""
    table = _table()
    for _ in range(3):
        table.record_crash("fp", "g", 1)
    table.check("fp")


def test_a_request_that_was_served_is_not_blamed_for_earlier_losses():
    table = _table()
    _crash(table, 2)
    table.record_served("fp")
    table.record_crash("fp", "other", 1)
    table.check("fp")


def test_other_nodes_hear_of_a_suspect():
    fleet, there = state.FleetState("s"), state.FleetState("s")
    fleet.subscribe(lambda message: there.publish(message, 0.0))
    one = suspects.Suspects(fleet, clocks.ManualClock())
    two = suspects.Suspects(there, clocks.ManualClock())
    _crash(one, 3)
    assert two.is_quarantined("fp")


def test_a_node_that_starts_later_hears_that_a_request_does_no_harm():
    """Found by the soak, seed 608032: a restarted node refused for an hour."""
    fleet, late = state.FleetState("s"), state.FleetState("s")
    one = suspects.Suspects(fleet, clocks.ManualClock())
    two = suspects.Suspects(late, clocks.ManualClock())
    _crash(one, 3)
    one.record_served("fp")
    for message in fleet.snapshot(0.0):
        late.publish(message, 0.0)
    two.check("fp")
    two.record_crash("fp", "other", 1)
    assert two.crashes("fp") == 1


def test_a_loss_that_two_nodes_saw_counts_once():
    fleet, there = state.FleetState("s"), state.FleetState("s")
    fleet.subscribe(lambda message: there.publish(message, 0.0))
    one = suspects.Suspects(fleet, clocks.ManualClock())
    two = suspects.Suspects(there, clocks.ManualClock())
    _crash(one, 2)
    two.record_crash("fp", "g", 1)
    assert two.crashes("fp") == 2
