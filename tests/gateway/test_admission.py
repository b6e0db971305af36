"""Guards admission control against late work, unfair shares and idle slots."""

import random

import attrs
import pytest

from balsamlug import exceptions
from balsamlug.gateway import admission
from balsamlug.gateway import datagrams
from balsamlug.gateway import loads
from balsamlug.gateway import overload
from balsamlug.gateway import placement
from balsamlug.gateway import recent_refusals
from bench import placing
from bench import placing_fleet

MODEL = placing_fleet.Shape("", 1, 1, 1.0, 100.0, slots=24).model
WORK = placement.Work("m", 1000, target_left_ms=400, deadline_left_ms=6000)
RETURNED = attrs.evolve(WORK, retried=True, target_left_ms=-300.0)
LAG_MS = 200.0
SERVICE_PER_S = 24 / MODEL.request_ms() * 1000


class _Clock:
    now_s = 100.0

    def monotonic(self) -> float:
        return self.now_s


def _candidate(in_flight: int, waiting: int = 0) -> placement.Candidate:
    return placement.Candidate("g", 1, "i-g", "a:1", MODEL, in_flight, waiting)


def _decide(
    work: placement.Work, candidate: placement.Candidate, load: float
) -> admission.Decision:
    demand = admission.Demand(
        {(0, "r"): load * SERVICE_PER_S}, {"c": 1}, "r", "c", LAG_MS
    )
    return admission.decide(work, [candidate], demand, random.Random(1))


def test_late_work_gets_no_slot_that_new_requests_will_use():
    decision = _decide(RETURNED, _candidate(24), 1.5)
    assert decision.placement is None
    assert decision.reason == admission.RETURNED


def test_second_refusal_is_final():
    assert _decide(RETURNED, _candidate(24), 1.5).retry_after_ms is None


def test_first_refusal_states_a_time_that_callers_wait_for():
    hopeless = attrs.evolve(WORK, target_left_ms=10.0)
    decision = _decide(hopeless, _candidate(24), 1.5)
    assert decision.reason == admission.NO_TIME
    assert 0 < decision.retry_after_ms <= hopeless.deadline_left_ms / 3


def test_capacity_that_is_left_over_goes_to_late_work_behind_all_other():
    decision = _decide(RETURNED, _candidate(20), 0.5)
    assert decision.reason == admission.LATE
    assert decision.placement.urgency >= placement.URGENCY_RETRIED


def test_idle_slots_are_used_although_the_demand_was_high_a_moment_ago():
    decision = _decide(RETURNED, _candidate(0), 1.5)
    assert decision.reason == admission.LATE


def test_work_that_cannot_end_before_its_deadline_is_not_admitted():
    ending = attrs.evolve(RETURNED, deadline_left_ms=MODEL.request_ms() / 2)
    assert _decide(ending, _candidate(20), 0.5).placement is None


def test_new_requests_of_any_priority_are_ahead_of_late_work():
    work = attrs.evolve(WORK, priority=9)
    decision = _decide(work, _candidate(22), 0.5)
    assert decision.placement.urgency < placement.URGENCY_RETRIED


def test_more_urgent_priorities_get_more_and_none_gets_nothing():
    shares = admission.shares({0: 50.0, 1: 50.0, 2: 50.0}, 75.0)
    assert shares[0] >= shares[1] >= shares[2] >= 0.25
    admitted = sum(50.0 * share for share in shares.values())
    assert admitted == pytest.approx(75.0)


def test_what_one_customer_does_not_use_goes_to_the_others():
    demands = {"heavy": 10.0, "a": 1.0, "b": 1.0}
    admitted = {
        name: amount * admission.fair_share(demands, name, 0.5)
        for name, amount in demands.items()
    }
    assert admitted["a"] == admitted["b"] == pytest.approx(1.0)
    assert sum(admitted.values()) == pytest.approx(6.0)


def _served(
    shape: placing_fleet.Shape, policy: str
) -> list[placing_fleet.Call]:
    fleet = placing_fleet.Fleet(
        shape, placing.POLICIES[policy], random.Random(3)
    )
    return fleet.simulate()


def _share_on_time(calls: list[placing_fleet.Call]) -> float:
    return sum(call.value() == 1.0 for call in calls) / len(calls)


@pytest.fixture(autouse=True)
def _short_runs(monkeypatch):
    monkeypatch.setattr(placing_fleet, "DURATION_MS", 20_000.0)


@pytest.mark.parametrize("load", [1.3, 1.6, 2.0])
def test_most_capacity_goes_to_requests_on_time(load):
    """Guards against late answers under sustained overload.

    With perfect knowledge, the on-time share is 1 / load.
    """
    shape = placing_fleet.Shape("", 12, 40, load, 100.0, 24, 1, 0.0)
    calls = _served(shape, "overload control")
    late = sum(call.value() == placing_fleet.LATE_VALUE for call in calls)
    assert _share_on_time(calls) >= 0.75 / load
    assert late / len(calls) <= 0.25 / load
    plain = _served(shape, "balsamlug")
    assert _share_on_time(calls) > _share_on_time(plain)


def test_callers_that_return_at_once_take_nothing_from_new_requests(
    monkeypatch,
):
    monkeypatch.setattr(placing_fleet, "RETRY_WAIT_SHARE", 0.0)
    shape = placing_fleet.Shape("", 12, 40, 1.6, 100.0, 24, 1, 0.0)
    calls = _served(shape, "overload control")
    assert _share_on_time(calls) >= 0.75 / 1.6


def test_fitting_demand_is_hardly_refused():
    """Guards against a control that refuses while slots are free."""
    shape = placing_fleet.Shape("", 12, 40, 0.7, 100.0, 24, 1, 0.0)
    calls = _served(shape, "overload control")
    assert _share_on_time(calls) > 0.98
    assert not any(call.refused_finally for call in calls)


def test_customer_with_ten_times_its_share_does_not_crowd_out_the_others():
    shape = placing_fleet.Shape(
        "",
        12,
        40,
        1.5,
        100.0,
        24,
        1,
        0.0,
        customers=(10.0, *[1.0] * 23),
    )
    calls = _served(shape, "overload control")
    heavy = [call for call in calls if call.customer == "0"]
    others = [call for call in calls if call.customer != "0"]
    # In proportion to their demand, all would be served 1 / 1.5 of the time.
    assert _share_on_time(others) > 1 / 1.5
    assert 0.05 < _share_on_time(heavy) < _share_on_time(others) / 1.5


def test_burst_on_one_route_leaves_the_others_of_its_priority_alone():
    kinds = ((0.6, 400.0, 0), (0.1, 400.0, 0), (0.3, 400.0, 1))
    shape = placing_fleet.Shape("", 12, 40, 1.8, 100.0, 24, 1, 0.0, kinds)
    calls = _served(shape, "overload control")
    burst, small, less_urgent = (
        _share_on_time([call for call in calls if call.route == route])
        for route in ("0", "1", "2")
    )
    assert small > 0.75
    # An urgent route is served at most 5 in 100 less often.
    assert burst >= less_urgent - 0.05
    # Half of the capacity is divided in proportion to the demand.
    assert less_urgent > 0.75 * 0.5 / 1.8


def _control(clock, counts=None):
    state = loads.Loads()
    lines = []
    control = overload.OverloadControl(
        state,
        clock,
        lambda: LAG_MS / 1000,
        lambda reason: None,
        lambda message_type, **fields: lines.append((message_type, fields)),
    )
    if counts:
        report = loads.PeerCounts(1, 1, clock.now_s, counts)
        state.update_peer("other", report)
    return control, state, lines


SOURCE = overload.Source("q", "r", "c")
OVERLOAD = {f"{loads.offered_key('m')}0/r": int(9 * SERVICE_PER_S)}


def _choose(control, work, candidate):
    return control.choose(work, [candidate], random.Random(1), 0.0, SOURCE)


def test_demand_of_other_nodes_counts_until_they_are_silent():
    clock = _Clock()
    control, _, lines = _control(clock, OVERLOAD)
    with pytest.raises(exceptions.QueueFull):
        _choose(control, RETURNED, _candidate(22))
    message_type, fields = lines[0]
    assert message_type == "admission_decided"
    assert fields["reason"] == admission.RETURNED
    clock.now_s += loads.PEER_LIFETIME_S + 0.1
    assert _choose(control, RETURNED, _candidate(22)).urgency >= 6


def test_requests_stop_counting_as_demand():
    clock = _Clock()
    control, state, _ = _control(clock)
    _choose(control, WORK, _candidate(1))
    assert sum(state.local.values()) == 1
    clock.now_s += overload.OFFERED_WINDOW_S + 0.1
    control.tick()
    assert not state.local


def test_requests_that_cannot_be_on_time_are_no_demand():
    """Guards late work against slots that are kept for requests in vain."""
    control, state, _ = _control(_Clock())
    hopeless = attrs.evolve(WORK, target_left_ms=1.0)
    for _ in range(20):
        placed = _choose(control, hopeless, _candidate(10))
        assert placed.urgency >= placement.URGENCY_RETRIED
    assert not state.local


def test_callers_of_a_public_route_do_not_count_as_one_customer():
    demand = admission.Demand(
        {(0, "r"): 2 * SERVICE_PER_S}, {"a": 1}, "r", "", LAG_MS
    )
    decision = admission.decide(
        WORK, [_candidate(24)], demand, random.Random(1)
    )
    assert decision.share == pytest.approx(admission.SERVICE_SHARE / 2)


def test_defect_places_requests_as_without_admission_control(monkeypatch):
    control, _, _ = _control(_Clock(), OVERLOAD)
    monkeypatch.setattr(admission, "decide", lambda *args: 1 / 0)
    placed = _choose(control, RETURNED, _candidate(22))
    plain = overload.PlainChoice().choose(
        RETURNED, [_candidate(22)], random.Random(1), 0.0, SOURCE
    )
    assert placed == plain


def test_second_attempts_and_resumed_streams_are_not_decided_again():
    control, state, _ = _control(_Clock(), OVERLOAD)
    resumed = attrs.evolve(WORK, resumed=True)
    assert _choose(control, resumed, _candidate(40)).urgency == 0
    attempted = attrs.evolve(SOURCE, attempted=True)
    for _ in range(20):
        control.choose(WORK, [_candidate(22)], random.Random(1), 0.0, attempted)
    assert not state.local


@pytest.mark.parametrize("priority", [-5, 0, 12])
def test_priority_out_of_range_never_puts_late_work_first(priority):
    """Guards requests on time and the counts against odd configurations."""
    control, state, _ = _control(_Clock())
    work = attrs.evolve(WORK, priority=priority)
    assert _choose(control, work, _candidate(1)).urgency < 6
    (key,) = state.local
    assert 0 <= int(key.split("/")[2]) <= placement.MAX_URGENCY
    returned = attrs.evolve(RETURNED, priority=priority)
    assert _choose(control, returned, _candidate(10)).urgency >= 6


def test_callers_are_recognised_when_they_return_as_stated():
    """Guards long deadlines against a second refusal that counts as first."""
    patient = attrs.evolve(
        WORK, target_left_ms=10.0, deadline_left_ms=120_000.0
    )
    for load in (1.5, 0.99):
        delay_ms = _decide(patient, _candidate(48, 24), load).retry_after_ms
        assert 0 < delay_ms < recent_refusals.LIFETIME_S * 1000


def test_long_names_of_many_routes_leave_datagrams_within_their_limit():
    """Guards the exchange of all counts against names in a configuration."""
    clock = _Clock()
    control, state, _ = _control(clock)
    for number in range(400):
        source = attrs.evolve(SOURCE, route=f"{number:04}" + "r" * 200)
        control.choose(WORK, [_candidate(0)], random.Random(1), 0.0, source)
    assert len(state.local) == 400
    sent = datagrams.Datagram("a", 1, 1, 0, dict(state.local), [], [], {})
    assert len(datagrams.encode(sent)) <= datagrams.MAX_DATAGRAM_BYTES / 4


def test_routes_with_odd_names_can_be_sent():
    """Guards the exchange of all counts against names that are no UTF-8."""
    control, state, _ = _control(_Clock())
    source = attrs.evolve(SOURCE, route="\ud800")
    control.choose(WORK, [_candidate(0)], random.Random(1), 0.0, source)
    sent = datagrams.Datagram("a", 1, 1, 0, dict(state.local), [], [], {})
    received = datagrams.decode(datagrams.encode(sent))
    assert received.counts == dict(state.local)


def test_late_request_that_an_idle_group_completes_in_time_runs():
    """Guards short deadlines against final refusals in an idle fleet."""
    deadline_ms = MODEL.request_ms(1) + 100.0
    assert deadline_ms < MODEL.request_ms()
    hurried = attrs.evolve(RETURNED, deadline_left_ms=deadline_ms)
    assert _decide(hurried, _candidate(0), 0.1).placement is not None
    assert _decide(hurried, _candidate(24), 0.1).placement is None
