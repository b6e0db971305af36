"""Guards the choice of heads where no bound for cold instances is set."""

import pytest

from balsamlug import catalogue as catalogues
from balsamlug import state
from balsamlug.ownership import views
from bench import cold_starts


@pytest.mark.parametrize(
    ("options", "cold"),
    [({}, set()), ({"prefers_warm_heads": True}, {"i"})],
)
def test_coldness_counts_only_with_a_bound(options, cold):
    fleet = state.FleetState("s")
    service = catalogues.Service("s", warmup_per_s=17.0)
    fleet.catalogue = catalogues.Catalogue(1, services=(service,))
    engines = {"i": cold_starts.entry(), "w": cold_starts.entry(0, "w")}
    assert views.Views(fleet, **options)._cold(engines) == cold
