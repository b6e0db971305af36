"""Guards the correction of predictions against late admissions and outliers."""

import random

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug.gateway import placement
from balsamlug.gateway import predictions
from bench import placing_fleet

TARGET_MS = 400.0
# Time that every first event takes beyond the prediction.
OVERHEAD_MS = 110.0
DURATION_MS = 20_000.0


def _errors(clock: clocks.Clock) -> predictions.PredictionErrors:
    return predictions.PredictionErrors(clock)


def test_correction_is_the_median_of_recent_errors():
    clock = clocks.ManualClock()
    errors = _errors(clock)
    for measured_ms in (160, 150, 170, 150, 2000):
        errors.record("m", 50, measured_ms)
    assert errors.correction_ms("m") == 110
    assert errors.correction_ms("other") == 0


def test_errors_of_another_load_are_forgotten():
    clock = clocks.ManualClock()
    errors = _errors(clock)
    for _ in range(predictions.MAX_SAMPLES):
        errors.record("m", 50, 160)
    clock.advance(predictions.LIFETIME_S + 1)
    assert errors.correction_ms("m") == 0


def test_early_events_admit_no_more_than_the_prediction():
    errors = _errors(clocks.ManualClock())
    for _ in range(predictions.MAX_SAMPLES):
        errors.record("m", 50, 20)
    assert errors.correction_ms("m") == 0


def _on_time_share(is_corrected: bool) -> float:
    """Offers a group twice its capacity; returns the share served on time."""
    rng = random.Random(4)
    clock = clocks.ManualClock()
    errors = _errors(clock)
    slot_ms = placing_fleet.MODEL.request_ms() / placing_fleet.ENGINE.slots
    now_ms, ends, served, on_time = 0.0, [], 0, 0
    while now_ms < DURATION_MS:
        gap_ms = rng.expovariate(2 / slot_ms)
        now_ms += gap_ms
        clock.advance(gap_ms / clocks.MS_PER_S)
        ends = [end for end in ends if end > now_ms]
        work = placement.Work(
            "m",
            placing_fleet.PROMPT_TOKENS,
            TARGET_MS,
            placing_fleet.DEADLINE_MS,
            correction_ms=errors.correction_ms("m") if is_corrected else 0.0,
        )
        group = placement.Candidate(
            "g", 1, "i", "a:1", placing_fleet.MODEL, len(ends)
        )
        try:
            placed = placement.choose(work, [group], rng)
        except exceptions.QueueFull:
            continue
        wait_ms = placing_fleet.MODEL.slot_wait_ms(len(ends))
        ends.append(now_ms + wait_ms + placing_fleet.MODEL.request_ms())
        measured_ms = placed.wait_ms + OVERHEAD_MS
        errors.record("m", placed.wait_ms, measured_ms)
        served += 1
        on_time += measured_ms <= TARGET_MS
    return on_time / served


def test_overload_is_served_on_time_although_predictions_are_too_short():
    assert _on_time_share(is_corrected=False) < 0.5
    assert _on_time_share(is_corrected=True) >= 0.9
