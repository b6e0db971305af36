"""Guards groups against requests that crash them, and others from blame."""

import pytest

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug import state
from balsamlug.gateway import suspects


def _table() -> suspects.Suspects:
    return suspects.Suspects(state.FleetState("s"), clocks.ManualClock())


def test_a_request_that_met_two_losses_is_still_served():
    """Found in a play of deploy/days/servers.toml with a dark domain."""
    table = _table()
    table.crashed("fp")
    table.crashed("fp")
    table.check("fp")


def test_a_third_loss_keeps_it_away_and_tells_that_it_has_not_run():
    table = _table()
    for _ in range(3):
        table.crashed("fp")
    with pytest.raises(exceptions.SuspectedRequest) as refusal:
        table.check("fp")
    assert refusal.value.outcome == exceptions.NOT_RUN
    table.check("another")


def test_other_nodes_hear_of_a_suspect():
    fleet = state.FleetState("s")
    heard = []
    fleet.subscribe(heard.append)
    suspects.Suspects(fleet, clocks.ManualClock()).crashed("fp")
    assert [m.fingerprint for m in heard] == ["fp"]
