"""Guards the state of engines that is put together from several sources."""

import attrs

from balsamlug import clock as clocks
from balsamlug import state
from balsamlug import tables
from balsamlug.health import listed as listing

GROUP = tables.Group("d-1", "m", 4, ("a", "b"), "m", "1")
OPEN = tables.Membership("d-1", 4, 0, tables.MemberState.OPEN, "m")
JOINING = tables.Membership("d-1", 4, 0, tables.MemberState.JOINING, "m")
READY = tables.Membership("d-1", 4, 1, tables.MemberState.READY, "m")


def _instance(name: str, member: tables.Membership) -> tables.Instance:
    return tables.Instance(
        name,
        "1",
        tables.InstanceKind.ENGINE,
        "10.0.0.1:1",
        "d",
        "z",
        "",
        announcement=tables.Announcement(member, ("m",), orders=2),
    )


def _listed() -> tuple[listing.Listed, state.FleetState, clocks.ManualClock]:
    fleet, clock = state.FleetState("s"), clocks.ManualClock()
    fleet.instances = {"a": _instance("a", OPEN), "b": _instance("b", READY)}
    return listing.Listed(fleet, clock), fleet, clock


def test_a_group_is_whole_when_all_say_so():
    assert _listed()[0].is_whole(GROUP)


def test_a_member_in_another_generation_makes_it_not_whole():
    listed, _, _ = _listed()
    assert not listed.is_whole(attrs.evolve(GROUP, generation=5))


def test_an_unlisted_member_makes_it_not_whole():
    listed, fleet, _ = _listed()
    del fleet.instances["b"]
    assert not listed.is_whole(GROUP)


def test_a_leaving_member_takes_no_new_work():
    listed, fleet, _ = _listed()
    fleet.instances["b"] = attrs.evolve(
        fleet.instances["b"], state=tables.InstanceState.LEAVING
    )
    assert not listed.is_whole(GROUP)


def test_a_failed_probe_counts_until_the_list_must_have_told():
    listed, _, clock = _listed()
    assert listed.suspect("b")
    assert not listed.suspect("b")
    assert not listed.is_whole(GROUP)
    assert listed["b"].failure is not None
    clock.advance(listing.FAILED_PROBE_LIFETIME_S + 0.1)
    assert listed.is_whole(GROUP)


def test_a_restarted_server_is_not_the_suspected_one():
    listed, fleet, _ = _listed()
    listed.suspect("b")
    fleet.instances["b"] = attrs.evolve(fleet.instances["b"], incarnation="2")
    assert not listed.is_suspect("b")


def test_an_older_report_does_not_hide_the_list():
    listed, _, _ = _listed()
    listed.reported("a", "1", tables.Announcement(orders=1))
    assert listed.is_whole(GROUP)


def test_a_newer_report_goes_before_the_list():
    listed, _, _ = _listed()
    assert listed.left("a", "d-1", 4)
    assert not listed.is_whole(GROUP)
    assert listed.current("a").announcement.membership is None


def test_a_report_of_another_life_is_ignored():
    listed, _, _ = _listed()
    listed.reported("a", "0", tables.Announcement(orders=99))
    assert listed.is_whole(GROUP)


def test_an_engine_that_is_not_listed_is_lost():
    listed, _, _ = _listed()
    assert listed["gone"].failure is not None


def _vanish(listed: listing.Listed, fleet: state.FleetState, name: str) -> None:
    listed.refresh()
    del fleet.instances[name]
    listed.refresh()


def test_a_member_that_only_left_the_list_keeps_its_group_whole():
    listed, fleet, clock = _listed()
    _vanish(listed, fleet, "b")
    assert listed.is_whole(GROUP)
    for _ in range(5):
        clock.advance(0.5)
        listed.keep("b")
    assert listed.is_whole(GROUP)
    assert listed["b"].status.hidden


def test_nobody_vouching_for_an_unlisted_member_makes_it_lost():
    listed, fleet, clock = _listed()
    _vanish(listed, fleet, "b")
    clock.advance(listing.UNLISTED_GRACE_S + 0.1)
    assert not listed.is_whole(GROUP)
    assert listed["b"].failure is not None


def test_an_unlisted_head_gets_no_requests():
    listed, fleet, _ = _listed()
    _vanish(listed, fleet, "a")
    assert not listed.is_whole(GROUP)
    assert listed["a"].failure is None


def test_a_suspected_engine_is_not_kept_when_the_list_drops_it():
    listed, fleet, _ = _listed()
    listed.refresh()
    listed.suspect("b")
    _vanish(listed, fleet, "b")
    assert listed["b"].failure is not None
    assert not listed.kept()


def test_a_server_that_was_leaving_is_not_kept():
    listed, fleet, _ = _listed()
    fleet.instances["b"] = attrs.evolve(
        fleet.instances["b"], state=tables.InstanceState.LEAVING
    )
    _vanish(listed, fleet, "b")
    assert not listed.kept()


def test_a_returned_server_is_listed_again():
    listed, fleet, _ = _listed()
    before = fleet.instances["b"]
    _vanish(listed, fleet, "b")
    fleet.instances["b"] = before
    listed.refresh()
    assert not listed.is_hidden("b")


def test_leaving_a_former_group_does_not_hide_the_present_one():
    """A server that joined another group would be pulled out of a serving one.

    Found by deploy/days/servers.toml, seed 13: the list showed a former
    generation, and an order to leave that one was accepted.
    """
    listed, _, _ = _listed()
    listed.joined("a", attrs.evolve(JOINING, generation=6))
    assert not listed.left("a", "d-1", 4)
    member = listing.membership_of(listed.current("a"))
    assert (member.group, member.generation) == ("d-1", 6)


def test_a_restart_is_known_before_the_list_tells():
    listed, _, _ = _listed()
    listed.reported("a", "2", tables.Announcement())
    assert listed.current("a").incarnation == "2"
    assert listed.current("a").announcement.membership is None
    assert not listed.is_whole(GROUP)


def test_an_accepted_join_counts_before_the_list_tells_it():
    """Guards rule TWO: a second join went out 8 ms after the first.

    Found by the soak, seed 111: the engine was free in the list still.
    """
    listed, fleet, _ = _listed()
    fleet.instances["a"] = _instance("a", None)
    listed.joined("a", JOINING)
    member = listing.membership_of(listed.current("a"))
    assert (member.group, member.generation) == ("d-1", 4)


def test_a_join_without_an_answer_is_unsettled_until_the_engine_left():
    listed, fleet, _ = _listed()
    fleet.instances["a"] = _instance("a", None)
    listed.ordered("a", "d-1", 5)
    assert listed.unsettled("a", "d-1", 5) is None
    assert listed.unsettled("a", "d-1", 6) == ("d-1", 5)
    assert listed.left("a", "d-1", 5)
    assert listed.unsettled("a", "d-1", 6) is None
