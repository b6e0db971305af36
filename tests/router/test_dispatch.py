"""Guards against work sent to groups that this router found not serving."""

import random

from balsamlug import clock as clocks
from balsamlug import limit_table
from balsamlug import notices
from balsamlug import rate_limits
from balsamlug import state
from balsamlug.messages import types
from balsamlug.observability import metrics
from balsamlug.router import dispatch


class RecordingScheduler:
    """Scheduler that records the ready groups it receives."""

    def __init__(self) -> None:
        self.ready: list[str] = []

    def update_groups(self, groups, slots, routers) -> None:
        self.ready = [g.group_id for g in groups if g.ready]


def report(age_ms: int) -> types.GroupReport:
    load = [0, 0, 0, 0, 0]
    return types.GroupReport(
        "g", "p", "d", 1, True, False, "", "127.0.0.1:1", load, age_ms
    )


def test_faulty_group_is_ready_again_only_after_a_newer_report():
    clock = clocks.ManualClock(10.0)
    fleet = state.FleetState("s")
    scheduler = RecordingScheduler()
    limits = rate_limits.RateLimits(
        limit_table.LimitTable(clock), clock, random.Random(1), lambda: 1
    )
    dispatcher = dispatch.Dispatcher(
        scheduler,
        limits,
        notices.Notices(clock, random.Random(1)),
        fleet,
        clock,
        metrics.RouterMetrics(),
    )
    fleet.publish(report(0), clock.monotonic())
    dispatcher._refresh()
    assert scheduler.ready == ["g"]
    dispatcher.record_fault("g")
    assert scheduler.ready == []
    clock.advance(dispatch.FAULT_HOLD_S + 0.1)
    dispatcher._refresh()
    assert scheduler.ready == []
    fleet.publish(report(0), clock.monotonic())
    dispatcher._refresh()
    assert scheduler.ready == ["g"]
