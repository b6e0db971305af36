"""Guards against requests that are sent to a slow group, or kept from it."""

from balsamlug import clock as clocks
from balsamlug.gateway import speeds

KEY = ("g", 1)


def _measured(*pauses_ms: float) -> tuple[speeds.Speeds, clocks.ManualClock]:
    clock = clocks.ManualClock()
    table = speeds.Speeds(clock)
    for pause_ms in pauses_ms:
        table.record(KEY, pause_ms, 50)
    return table, clock


def test_a_slow_group_is_known_after_a_few_events():
    table, _ = _measured(250, 250, 250)
    assert table.factor(KEY) > 2


def test_one_long_pass_is_no_slow_group():
    table, _ = _measured(50, 50, 150, 50, 50)
    assert table.factor(KEY) == 1


def test_a_group_that_recovers_is_not_slow_any_more():
    table, _ = _measured(*[500] * 5, *[50] * 20)
    assert table.factor(KEY) == 1


def test_a_group_that_nobody_uses_is_tried_again():
    table, clock = _measured(*[500] * 5)
    clock.advance(speeds.LIFETIME_S + 0.1)
    assert table.factor(KEY) == 1


def test_another_generation_starts_anew():
    table, _ = _measured(*[500] * 5)
    assert table.factor(("g", 2)) == 1
