"""Guards the state of engines that is combined from several sources."""

import attrs
import pytest

from balsamlug import announcements
from balsamlug import clock as clocks
from balsamlug import state
from balsamlug import tables
from balsamlug.health import evidence
from balsamlug.health import listed as listing
from balsamlug.health import observations as obs

_ADDRESS = "10.0.0.1:1"
GROUP = tables.Group("d-1", "m", 4, ("a", "b"), "m", "1")
OPEN = tables.Membership("d-1", 4, 0, tables.MemberState.OPEN, "m")
JOINING = tables.Membership("d-1", 4, 0, tables.MemberState.JOINING, "m")
READY = tables.Membership("d-1", 4, 1, tables.MemberState.READY, "m")


def _instance(name: str, member: tables.Membership) -> tables.Instance:
    return tables.Instance(
        name,
        "1",
        tables.InstanceKind.ENGINE,
        _ADDRESS,
        "d",
        "z",
        "",
        announcement=tables.Announcement(member, ("m",), orders=2),
    )


def _listed() -> tuple[listing.Listed, state.FleetState, clocks.ManualClock]:
    fleet, clock = state.FleetState("s"), clocks.ManualClock()
    fleet.instances = {"a": _instance("a", OPEN), "b": _instance("b", READY)}
    return listing.Listed(fleet, clock), fleet, clock


def _listed_with_bound_requests() -> tuple[
    listing.Listed, state.FleetState, clocks.ManualClock
]:
    listed, fleet, clock = _listed()
    listed.bound_requests = lambda group: int(group == GROUP.id)
    return listed, fleet, clock


def test_group_is_complete_when_every_member_announces_it():
    assert _listed()[0].is_complete(GROUP)


def test_member_of_another_generation_makes_a_group_incomplete():
    listed, _, _ = _listed()
    assert not listed.is_complete(attrs.evolve(GROUP, generation=5))


def test_unlisted_member_makes_a_group_incomplete():
    listed, fleet, _ = _listed()
    del fleet.instances["b"]
    assert not listed.is_complete(GROUP)


def test_leaving_member_makes_a_group_incomplete():
    listed, fleet, _ = _listed()
    fleet.instances["b"] = attrs.evolve(
        fleet.instances["b"], state=tables.InstanceState.LEAVING
    )
    assert not listed.is_complete(GROUP)


def test_failed_probe_counts_until_the_list_must_show_it():
    listed, _, clock = _listed()
    assert listed.suspect("b")
    assert not listed.suspect("b")
    assert not listed.is_complete(GROUP)
    assert listed["b"].failure is not None
    clock.advance(listing.FAILED_PROBE_LIFETIME_S + 0.1)
    assert listed.is_complete(GROUP)


def test_briefly_silent_engine_is_not_reported_as_missing():
    listed, _, clock = _listed_with_bound_requests()
    listed.suspect("b")
    since_s = clock.monotonic()
    clock.advance(listing.SILENCE_TOLERANCE_S - 0.1)
    listed.suspect("b")
    assert listed["b"].failure is obs.Failure.SILENT
    assert listed["b"].failing_since_s == since_s
    clock.advance(0.2)
    assert listed["b"].failure is obs.Failure.REFUSED


def test_silent_engine_is_missing_at_once_if_all_requests_can_go_on_elsewhere():
    listed, _, _ = _listed()
    listed.suspect("b")
    assert listed["b"].failure is obs.Failure.REFUSED


def test_silent_engine_is_not_missing_before_all_requests_are_counted():
    listed, _, clock = _listed()
    listed.counts_age_s = lambda: 0.2
    listed.suspect("b")
    clock.advance(0.1)
    assert listed["b"].failure is obs.Failure.SILENT
    clock.advance(0.2)
    assert listed["b"].failure is obs.Failure.REFUSED


def test_old_failed_probe_does_not_show_that_a_group_with_requests_is_lost():
    listed, _, clock = _listed()
    listed.suspect("b")
    clock.advance(listing.MAX_EVIDENCE_AGE_S)
    assert listed["b"].failure is obs.Failure.REFUSED
    listed.in_flight = lambda group: int(group == GROUP.id)
    assert listed["b"].failure is obs.Failure.SILENT
    listed.suspect("b")
    assert listed["b"].failure is obs.Failure.REFUSED


def test_engine_whose_host_refuses_connections_is_missing_at_once():
    listed, _, _ = _listed_with_bound_requests()
    listed.suspect("b", refused=True)
    assert listed["b"].failure is obs.Failure.REFUSED


def test_silence_is_counted_anew_after_progress_of_the_group():
    # Two short silences with events between them were counted as one.
    listed, _, clock = _listed_with_bound_requests()
    assert not listed.restart_silence("b")
    listed.suspect("b")
    clock.advance(listing.SILENCE_TOLERANCE_S)
    assert listed["b"].failure is obs.Failure.REFUSED
    assert listed.restart_silence("b")
    listed.suspect("b")
    assert listed["b"].failure is obs.Failure.SILENT
    clock.advance(listing.SILENCE_TOLERANCE_S)
    assert listed["b"].failure is obs.Failure.REFUSED


def test_group_is_not_lost_when_its_last_request_ends_before_a_probe():
    listed, _, clock = _listed()
    listed.counts_age_s = lambda: 0.2
    listed.suspect("b")
    clock.advance(listing.MAX_EVIDENCE_AGE_S)
    listed.restart_silence("b")
    assert listed["b"].failure is obs.Failure.SILENT
    clock.advance(0.3)
    assert listed["b"].failure is obs.Failure.REFUSED


def test_progress_does_not_count_for_an_engine_that_refuses_connections():
    listed, _, _ = _listed_with_bound_requests()
    listed.suspect("b", refused=True)
    assert not listed.restart_silence("b")


def test_silence_is_counted_anew_after_an_answer():
    listed, _, clock = _listed_with_bound_requests()
    listed.suspect("b")
    clock.advance(listing.SILENCE_TOLERANCE_S)
    listed.record_report("b", "1", tables.Announcement(READY, orders=2))
    listed.suspect("b")
    assert listed["b"].failure is obs.Failure.SILENT


def test_restarted_engine_is_not_suspected():
    listed, fleet, _ = _listed()
    listed.suspect("b")
    fleet.instances["b"] = attrs.evolve(fleet.instances["b"], incarnation="2")
    assert not listed.is_suspect("b")


def test_older_report_does_not_override_the_list():
    listed, _, _ = _listed()
    listed.record_report("a", "1", tables.Announcement(orders=1))
    assert listed.is_complete(GROUP)


def test_newer_report_overrides_the_list():
    listed, _, _ = _listed()
    listed.record_report("a", "1", tables.Announcement(orders=3))
    assert not listed.is_complete(GROUP)
    assert listed.current("a").announcement.membership is None


def test_report_of_an_earlier_incarnation_is_ignored():
    listed, _, _ = _listed()
    listed.record_report("a", "0", tables.Announcement(orders=99))
    assert listed.is_complete(GROUP)


def test_unlisted_engine_is_observed_as_failed():
    listed, _, _ = _listed()
    assert listed["gone"].failure is not None


def _remove_from_list(
    listed: listing.Listed, fleet: state.FleetState, name: str
) -> None:
    listed.refresh()
    del fleet.instances[name]
    listed.refresh()


def test_group_stays_complete_while_an_unlisted_member_responds():
    listed, fleet, clock = _listed()
    _remove_from_list(listed, fleet, "b")
    assert listed.is_complete(GROUP)
    for _ in range(5):
        clock.advance(0.5)
        listed.retain("b")
    assert listed.is_complete(GROUP)
    assert listed["b"].status.hidden


def test_unlisted_member_without_a_response_is_observed_as_failed():
    listed, fleet, clock = _listed()
    _remove_from_list(listed, fleet, "b")
    clock.advance(listing.UNLISTED_GRACE_S + 0.1)
    assert not listed.is_complete(GROUP)
    assert listed["b"].failure is not None


def test_unlisted_head_makes_a_group_incomplete():
    listed, fleet, _ = _listed()
    _remove_from_list(listed, fleet, "a")
    assert not listed.is_complete(GROUP)
    assert listed["a"].failure is None


def test_suspected_engine_is_not_retained_when_it_leaves_the_list():
    listed, fleet, _ = _listed()
    listed.refresh()
    listed.suspect("b")
    _remove_from_list(listed, fleet, "b")
    assert listed["b"].failure is not None
    assert not listed.retained()


def test_leaving_engine_is_not_retained_when_it_leaves_the_list():
    listed, fleet, _ = _listed()
    fleet.instances["b"] = attrs.evolve(
        fleet.instances["b"], state=tables.InstanceState.LEAVING
    )
    _remove_from_list(listed, fleet, "b")
    assert not listed.retained()


def test_engine_that_returns_to_the_list_is_not_hidden():
    listed, fleet, _ = _listed()
    before = fleet.instances["b"]
    _remove_from_list(listed, fleet, "b")
    fleet.instances["b"] = before
    listed.refresh()
    assert not listed.is_hidden("b")


def test_accepted_order_to_leave_is_no_proof_that_an_engine_is_free():
    # A holder that had just started read an old list, and the engine led a
    # later generation than the one that it was ordered to leave (rule TWO).
    listed, _, _ = _listed()
    assert not listed.record_leave("a", "d-1", 4, fencing=2)
    assert announcements.membership_of(listed.current("a")) == OPEN
    assert listed.is_complete(GROUP)


@pytest.mark.parametrize(("fencing", "is_free"), [(2, True), (3, False)])
def test_engine_is_free_after_leaving_what_the_same_term_made_it_join(
    fencing, is_free
):
    # Another holder may have given orders between two terms.
    listed, _, _ = _listed()
    listed.record_join_order("a", evidence.JoinOrder("d-1", 4, fencing=2))
    assert listed.record_leave("a", "d-1", 4, fencing) == is_free
    member = announcements.membership_of(listed.current("a"))
    assert member == (None if is_free else OPEN)
    assert listed.unconfirmed_group("a", "d-1", 5) is None


def test_leaving_a_former_group_does_not_clear_the_current_membership():
    """Guards against removing an engine from the group that it serves in.

    The list shows a former generation, and the engine accepts an order to
    leave that one. Found by deploy/days/servers.toml, seed 13.
    """
    listed, _, _ = _listed()
    listed.record_join_order("a", evidence.JoinOrder("d-1", 6, fencing=2))
    listed.record_join("a", attrs.evolve(JOINING, generation=6))
    assert not listed.record_leave("a", "d-1", 4, fencing=2)
    member = announcements.membership_of(listed.current("a"))
    assert (member.group, member.generation) == ("d-1", 6)


def test_restart_is_known_before_the_list_shows_it():
    listed, _, _ = _listed()
    listed.record_report("a", "2", tables.Announcement())
    assert listed.current("a").incarnation == "2"
    assert listed.current("a").announcement.membership is None
    assert not listed.is_complete(GROUP)


def test_accepted_join_counts_before_the_list_shows_it():
    """Guards against a second join order for an engine (rule TWO).

    The second order was sent 8 ms after the first one, since the list still
    showed the engine as free. Found by the soak, seed 111.
    """
    listed, fleet, _ = _listed()
    fleet.instances["a"] = _instance("a", None)
    listed.record_join("a", JOINING)
    member = announcements.membership_of(listed.current("a"))
    assert (member.group, member.generation) == ("d-1", 4)


def test_join_without_a_response_is_unconfirmed_until_the_engine_leaves():
    listed, fleet, _ = _listed()
    fleet.instances["a"] = _instance("a", None)
    listed.record_join_order("a", evidence.JoinOrder("d-1", 5, fencing=2))
    assert listed.unconfirmed_group("a", "d-1", 5) is None
    assert listed.unconfirmed_group("a", "d-1", 6) == ("d-1", 5)
    assert listed.record_leave("a", "d-1", 5, fencing=2)
    assert listed.unconfirmed_group("a", "d-1", 6) is None


def test_membership_with_the_rank_of_another_member_is_not_counted():
    listed, fleet, _ = _listed()
    other = attrs.evolve(READY, rank=0)
    fleet.instances["b"] = _instance("b", other)
    assert not listed.is_complete(GROUP)


def test_server_is_lost_when_a_later_one_is_listed_at_its_address():
    listed, fleet, _ = _listed()
    fleet.instances["a"] = attrs.evolve(fleet.instances["a"], address="h:1")
    listed.refresh()
    assert listed.is_complete(GROUP)
    fleet.instances["c"] = attrs.evolve(
        _instance("c", READY), incarnation="10", address=_ADDRESS
    )
    listed.refresh()
    assert listed["b"].failure is not None
    assert not listed.is_complete(GROUP)
    assert listed["c"].failure is None
    del fleet.instances["c"]
    listed.refresh()
    assert listed["b"].failure is None


def test_the_earlier_of_two_servers_at_an_address_does_not_end_the_later():
    listed, fleet, _ = _listed()
    fleet.instances["b"] = attrs.evolve(fleet.instances["b"], address="h:1")
    fleet.instances["c"] = attrs.evolve(
        _instance("c", READY), incarnation="0", address="h:1"
    )
    listed.refresh()
    assert listed.is_complete(GROUP)
    assert listed["c"].failure is not None


def test_report_from_before_an_order_does_not_undo_its_effect():
    # Reports are some hundred milliseconds old. The order would be sent again,
    # and the engine would begin to join a second time.
    listed, _, clock = _listed()
    before = tables.Announcement(READY, ("m",), orders=2)
    joining = attrs.evolve(JOINING, generation=5, rank=1)
    left = attrs.evolve(before, membership=None, orders=3)
    listed.record_report("b", "1", left)
    listed.record_join("b", joining)
    clock.advance(0.2)
    listed.record_report("b", "1", before)
    assert announcements.membership_of(listed.current("b")) == joining
    # The engine may count fewer orders than this node sent.
    ready = attrs.evolve(joining, state=tables.MemberState.READY)
    listed.record_report(
        "b", "1", attrs.evolve(before, membership=ready, orders=3)
    )
    assert announcements.membership_of(listed.current("b")) == ready


def test_report_without_the_effect_of_an_order_counts_after_its_lag():
    listed, _, clock = _listed()
    before = tables.Announcement(READY, ("m",), orders=2)
    listed.record_join("b", attrs.evolve(JOINING, generation=5, rank=1))
    clock.advance(listing.REPORT_LAG_S)
    listed.record_report("b", "1", before)
    assert announcements.membership_of(listed.current("b")) == READY


def test_order_from_before_a_failed_probe_does_not_end_the_suspicion():
    # The list shows an order later than the engine started it, and the engine
    # may have died in between.
    listed, fleet, clock = _listed()
    listed.suspect("b")
    fleet.instances["b"] = attrs.evolve(
        fleet.instances["b"], announcement=tables.Announcement(READY, orders=3)
    )
    clock.advance(listing.FAILED_PROBE_LIFETIME_S - 0.1)
    assert listed.suspects() == ["b"]
    assert not listed.is_complete(GROUP)
    clock.advance(0.2)
    assert not listed.suspects()


def test_report_of_another_life_does_not_end_a_failed_probe():
    # Another server at the address may have sent it.
    listed, _, _ = _listed()
    listed.suspect("b")
    listed.record_report("b", "2", tables.Announcement())
    assert listed.is_suspect("b")
    listed.record_report("b", "1", tables.Announcement())
    assert not listed.is_suspect("b")
