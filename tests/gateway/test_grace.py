"""Guards against work that a stopping process takes and cannot finish."""

import pytest

from balsamlug import clock as clocks
from balsamlug.gateway import durations
from balsamlug.gateway import grace as graces

GRACE_S = 8.0
WORK_S = GRACE_S - graces.EXIT_MARGIN_S


def _grace(clock: clocks.ManualClock, **options) -> graces.Grace:
    grace = graces.Grace(clock, **options)
    grace.begin(clock.monotonic(), GRACE_S)
    return grace


def test_request_is_admitted_without_a_stop():
    clock = clocks.ManualClock()
    now_s = clock.monotonic()
    assert graces.Grace(clock).admits(now_s, now_s + 1e6, None)


@pytest.mark.parametrize(
    ("spent_s", "deadline_s", "work_s", "admitted"),
    [
        (0.0, 6.9, None, True),
        (0.0, 8.0, None, False),
        (0.0, 8.0, 4.5, True),
        (2.4, 8.0, 4.5, True),
        (2.6, 8.0, 4.5, False),
        (2.6, 8.0, None, False),
        (2.6, 4.3, 4.5, True),
        (2.7, 8.0, 0.1, True),
        (2.8, 8.0, 0.1, False),
        (3.1, 8.0, 0.1, False),
        (3.1, 3.8, None, True),
        (5.2, 1.7, 0.1, True),
        (5.2, 8.0, 0.1, False),
        (6.9, 0.2, 0.2, False),
        (7.1, 8.0, 0.0, False),
    ],
)
def test_only_work_that_ends_in_the_grace_period_is_admitted(
    spent_s, deadline_s, work_s, admitted
):
    clock = clocks.ManualClock()
    grace = _grace(clock)
    clock.advance(spent_s)
    now_s = clock.monotonic()
    assert grace.admits(now_s, now_s + deadline_s, work_s) is admitted


@pytest.mark.parametrize(
    ("spent_s", "work_s", "admitted"),
    [(3.1, 3.8, True), (3.1, 4.0, False), (6.9, 0.2, False)],
)
def test_request_from_before_the_stop_may_be_sent_again_if_it_ends_in_time(
    spent_s, work_s, admitted
):
    clock = clocks.ManualClock()
    accepted_s = clock.monotonic()
    grace = _grace(clock)
    clock.advance(spent_s)
    deadline_s = clock.monotonic() + 8.0
    assert grace.admits(accepted_s, deadline_s, work_s) is admitted


def test_time_between_the_signal_and_the_stop_counts():
    clock = clocks.ManualClock()
    grace = graces.Grace(clock)
    signalled_s = clock.monotonic()
    clock.advance(3.0)
    grace.begin(signalled_s, GRACE_S)
    assert grace.rest_s == pytest.approx(WORK_S - 3.0)


def test_caller_of_a_last_node_comes_back_after_its_end():
    clock = clocks.ManualClock()
    grace = _grace(clock, has_successor=lambda: False)
    clock.advance(2.0)
    assert grace.refusal("").retry_after_ms >= (GRACE_S - 2.0) * 1000
    grace.has_successor = lambda: True
    assert grace.refusal("").retry_after_ms == graces.RETRY_AFTER_MS


def _recorded(clock, *values) -> durations.Durations:
    recorded = durations.Durations(clock)
    for value in values:
        recorded.record("r", value)
    return recorded


def test_duration_is_unknown_without_enough_samples():
    few = [1.0] * (durations.MIN_SAMPLES - 1)
    assert _recorded(clocks.ManualClock(), *few).upper("r") is None
    assert _recorded(clocks.ManualClock()).upper("r") is None


@pytest.mark.parametrize("values", [[4.5] * 20, [0.2] * 19 + [4.5]])
def test_upper_duration_exceeds_all_samples_by_a_part_of_their_range(values):
    upper = _recorded(clocks.ManualClock(), *values).upper("r")
    margin = durations.RANGE_MARGIN * (max(values) - min(values))
    assert upper == pytest.approx(max(values) + margin + durations.MARGIN)


def test_long_duration_is_forgotten_after_two_periods():
    clock = clocks.ManualClock()
    recorded = _recorded(clock, 5.0)
    for _ in range(30):
        clock.advance(durations.PERIOD_S / 10)
        recorded.record("r", 1.0)
    assert recorded.upper("r") == pytest.approx(1.0 + durations.MARGIN)


def test_old_durations_are_not_used():
    clock = clocks.ManualClock()
    recorded = _recorded(clock, *[1.0] * 20)
    clock.advance(2 * durations.PERIOD_S + 1.0)
    assert recorded.upper("r") is None


def test_number_of_known_routes_is_bounded():
    recorded = durations.Durations(clocks.ManualClock())
    for number in range(durations.MAX_KEYS + 10):
        recorded.record(str(number), 1.0)
    assert len(recorded._current) == durations.MAX_KEYS
