"""Guards against requests sent to a group that must not serve."""

import attrs

from balsamlug import catalogue as catalogues
from balsamlug import clock as clocks
from balsamlug import state
from balsamlug import tables
from balsamlug.gateway import groups
from balsamlug.gateway import loads
from balsamlug.gateway import speeds
from balsamlug.health import listed as listing
from balsamlug.ownership import formation
from balsamlug.ownership import groups as group_table
from balsamlug.ownership import orders
from tests.ownership import simulated_nodes
from tests.ownership import simulated_servers as servers

GROUP = tables.Group("d-1", "m", 4, ("a", "b", "c"), "m", "1")
State = tables.MemberState


def _instance(rank: int, member_state: State) -> tables.Instance:
    name = GROUP.members[rank]
    member = tables.Membership("d-1", 4, rank, member_state, "m")
    return tables.Instance(
        name,
        "1",
        tables.InstanceKind.ENGINE,
        f"h:{rank}",
        "d",
        "z",
        "",
        service=servers.SERVICE,
        announcement=tables.Announcement(member, ("m",), orders=2),
    )


def _table(
    head: State = State.OPEN,
) -> tuple[groups.GroupTable, state.FleetState, listing.Listed]:
    fleet, clock = state.FleetState("s"), clocks.ManualClock(100.0)
    fleet.catalogue = simulated_nodes.catalogue(len(GROUP.members))
    fleet.instances = {
        GROUP.members[rank]: _instance(rank, member_state)
        for rank, member_state in enumerate((head, State.READY, State.READY))
    }
    _assign(fleet, GROUP, 1)
    listed = listing.Listed(fleet, clock)
    table = groups.GroupTable(
        fleet, listed, clock, loads.Loads(), speeds.Speeds(clock)
    )
    return table, fleet, listed


def _assign(fleet: state.FleetState, group: tables.Group, version: int) -> None:
    value = {"groups": {group.id: group_table.to_value(group)}}
    fleet.set_domain(state.DomainObject("d", version, value))


def test_whole_group_is_a_candidate():
    table, _, _ = _table()
    assert [
        c.group for c in table.candidates(servers.SERVICE, "m", frozenset())
    ] == ["d-1"]


def test_group_without_the_size_of_its_model_is_no_candidate():
    table, fleet, _ = _table()
    fleet.catalogue = simulated_nodes.catalogue(4)
    assert not table.candidates(servers.SERVICE, "m", frozenset())


def test_group_without_the_size_of_its_model_is_not_opened():
    _, fleet, listed = _table(State.READY)
    snapshot = orders.DomainSnapshot(
        groups={GROUP.id: GROUP},
        observations={},
        addresses={i.id: i.address for i in fleet.instances.values()},
        epoch=7,
        last_generation=4,
        max_loads=9,
    )
    assert formation.Formation(listed).due(snapshot, 0.0)
    fleet.catalogue = simulated_nodes.catalogue(4)
    assert not formation.Formation(listed).due(snapshot, 0.0)


def test_chosen_group_may_not_be_sent_to_after_its_size_became_wrong():
    # A connection takes up to 0.3 s, and candidates are cached.
    table, fleet, _ = _table()
    (candidate,) = table.candidates(servers.SERVICE, "m", frozenset())
    assert table.may_send(candidate)
    fleet.catalogue = simulated_nodes.catalogue(4)
    assert not table.may_send(candidate)


def test_chosen_group_may_not_be_sent_to_in_another_generation():
    table, fleet, _ = _table()
    (candidate,) = table.candidates(servers.SERVICE, "m", frozenset())
    _assign(fleet, attrs.evolve(GROUP, generation=5), 2)
    assert not table.may_send(candidate)


def test_group_is_no_candidate_for_another_service_with_a_model_of_its_name():
    table, fleet, _ = _table()
    (service,) = fleet.catalogue.services
    other = attrs.evolve(service, name="other")
    fleet.catalogue = attrs.evolve(fleet.catalogue, services=(service, other))
    assert table.candidates(servers.SERVICE, "m", frozenset())
    assert not table.candidates("other", "m", frozenset())


def test_group_with_a_member_of_another_service_is_no_candidate():
    table, fleet, _ = _table()
    foreign = attrs.evolve(fleet.instances["c"], service="other")
    fleet.instances = fleet.instances | {"c": foreign}
    fleet.settings = catalogues.settings(fleet.catalogue)
    assert not table.candidates(servers.SERVICE, "m", frozenset())
    assert not table.candidates("other", "m", frozenset())
