"""Guards against slow groups that are missed, and healthy ones called slow."""

from balsamlug import clock as clocks
from balsamlug.gateway import speeds

KEY = ("g", 1)


def _measured(*pauses_ms: float) -> tuple[speeds.Speeds, clocks.ManualClock]:
    clock = clocks.ManualClock()
    table = speeds.Speeds(clock)
    for pause_ms in pauses_ms:
        table.record(KEY, pause_ms, 50)
    return table, clock


def test_slow_group_is_detected_after_a_few_events():
    table, _ = _measured(250, 250, 250)
    assert table.factor(KEY) > 2


def test_one_long_pass_does_not_make_a_group_slow():
    table, _ = _measured(50, 50, 150, 50, 50)
    assert table.factor(KEY) == 1


def test_group_that_recovers_is_no_longer_slow():
    table, _ = _measured(*[500] * 5, *[50] * 20)
    assert table.factor(KEY) == 1


def test_slow_factor_expires_without_samples():
    table, clock = _measured(*[500] * 5)
    clock.advance(speeds.LIFETIME_S + 0.1)
    assert table.factor(KEY) == 1


def test_factor_does_not_apply_to_another_generation():
    table, _ = _measured(*[500] * 5)
    assert table.factor(("g", 2)) == 1
