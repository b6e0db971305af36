"""Guards the lease timing: two nodes never act as the holder at once."""

import hypothesis
from hypothesis import strategies as st

from balsamlug.ownership import lease as leases

HELD = leases.Lease(holder="a", epoch=3, renewal=9, operation_id="x")
MARGIN_S = leases.DURATION_S * leases.MAX_CLOCK_DRIFT_FRACTION


def test_holder_stops_before_its_lease_ends():
    view = leases.confirm(None, HELD, sent_s=10.0)
    assert leases.holds(view, 10.0 + leases.DURATION_S - MARGIN_S - 0.01)
    assert not leases.holds(view, 10.0 + leases.DURATION_S - MARGIN_S)


def test_candidate_waits_for_the_lease_to_expire_and_its_rank_delay():
    view = leases.observe(None, HELD, 10.0)
    first_s = 10.0 + leases.DURATION_S + MARGIN_S
    assert not leases.may_take_over(view, 0, first_s - 0.01)
    assert leases.may_take_over(view, 0, first_s)
    assert not leases.may_take_over(view, 2, first_s + 1.99)
    assert leases.may_take_over(view, 2, first_s + 2)


def test_renewal_restarts_the_wait_and_other_writes_do_not():
    view = leases.observe(None, HELD, 10.0)
    assert leases.observe(view, HELD, 14.0).seen_at_s == 10.0
    renewed = leases.renewed(HELD, "y")
    assert leases.observe(view, renewed, 14.0).seen_at_s == 14.0


def test_released_lease_is_available_at_once():
    view = leases.observe(None, leases.released(HELD, "y"), 10.0)
    assert leases.may_take_over(view, 0, 10.0)
    assert not leases.may_take_over(view, 1, 10.5)


def test_takeover_raises_the_epoch():
    lease = leases.acquired(HELD, "b", "y")
    assert (lease.holder, lease.epoch) == ("b", 4)


def test_restarted_process_does_not_hold_the_lease_of_its_node_id():
    view = leases.observe(None, HELD, 10.0)
    assert not leases.holds(view, 10.1)


def test_holder_that_sees_another_epoch_stops_at_once():
    view = leases.confirm(None, HELD, sent_s=10.0)
    view = leases.observe(view, leases.acquired(HELD, "b", "y"), 10.5)
    assert not leases.holds(view, 10.5)
    assert not view.epoch_held


def test_late_confirmation_does_not_shorten_the_lease():
    view = leases.confirm(None, HELD, sent_s=10.0)
    view = leases.confirm(view, leases.renewed(HELD, "y"), sent_s=9.0)
    assert view.held_from_s == 10.0


def test_value_round_trip_ignores_unknown_fields():
    raw = leases.to_value(HELD) | {"later": 1}
    assert leases.from_value({"lease": raw}) == HELD


@hypothesis.given(
    offset_s=st.floats(-1e6, 1e6),
    drift=st.floats(-0.04, 0.04),
    write_s=st.floats(0, 4),
    receive_delay_s=st.floats(0, 10),
    at_s=st.floats(0, 60),
)
def test_holder_and_candidate_never_act_at_once(
    offset_s, drift, write_s, receive_delay_s, at_s
):
    """The clocks of holder and candidate have any offset and bounded drift."""

    def candidate_clock(true_s):
        return offset_s + true_s * (1 + drift)

    holder = leases.confirm(None, HELD, sent_s=0.0)
    seen_s = candidate_clock(write_s + receive_delay_s)
    candidate = leases.observe(None, HELD, seen_s)
    holder_acts = leases.holds(holder, at_s)
    candidate_acts = leases.may_take_over(candidate, 0, candidate_clock(at_s))
    assert not (
        holder_acts and candidate_acts and at_s >= write_s + receive_delay_s
    )


def test_renewal_is_overdue_only_after_its_slack():
    view = leases.LeaseView(leases.Lease("n1", 1), seen_at_s=10.0)
    due_s = 10.0 + leases.RENEW_INTERVAL_S
    assert not leases.is_renewal_overdue(view, due_s)
    assert leases.is_renewal_overdue(view, due_s + leases.RENEWAL_SLACK_S)
