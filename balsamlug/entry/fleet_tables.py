"""Wiring of the tables that hold what a node knows of the fleet."""

import attrs

from balsamlug import clock as clocks
from balsamlug import evacuations
from balsamlug import state as fleet
from balsamlug.config import schema
from balsamlug.entry import evacuation
from balsamlug.gateway import groups
from balsamlug.gateway import loads
from balsamlug.gateway import speeds
from balsamlug.health import listed as listing

# Bound of the time in which the report of a node, or the loss of an engine that
# it has seen, reaches the others.
REPORT_TRANSIT_S = 0.1


@attrs.frozen(eq=False)
class FleetTables:
    """Tables of a node.

    Attributes:
      exclusion: failure domains that get no requests.
      loads: requests in flight at each group.
    """

    state: fleet.FleetState
    listed: listing.Listed
    exclusion: evacuations.Exclusion
    loads: loads.Loads
    groups: groups.GroupTable


def create(
    settings: schema.EntrySettings, site: str, clock: clocks.Clock
) -> FleetTables:
    """Return empty tables that refer to each other."""
    state = fleet.FleetState(site)
    listed = listing.Listed(state, clock)
    exclusion = evacuation.exclusion(settings, state, listed, clock)
    counts = loads.Loads()
    group_table = groups.GroupTable(
        state, listed, clock, counts, speeds.Speeds(clock), exclusion
    )
    state.status_source = group_table.status
    listed.in_flight = lambda group: counts.total(group, clock.monotonic())
    listed.bound_requests = lambda group: counts.total(
        loads.bound_key(group), clock.monotonic()
    )
    listed.is_retiring = group_table.is_retiring
    listed.counts_age_s = lambda: (
        loads.report_interval_s(len(state.live_nodes())) + REPORT_TRANSIT_S
    )
    return FleetTables(state, listed, exclusion, counts, group_table)
