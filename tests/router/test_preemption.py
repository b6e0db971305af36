"""Guards against long work that blocks short work or is starved by it."""

from balsamlug.router import preemption
from balsamlug.router import scheduler
from tests.router import helpers


def _fill_with_long(groups=4):
    sched, clock = helpers.make_scheduler(groups)
    running = []
    for i in range(groups * 4):
        work = helpers.make_work(f"l{i}", max_tokens=8000, deadline_s=999.0)
        sched.submit(work)
        running += helpers.started_ids(sched.tick())
    for work_id in running:
        sched.progress(work_id, 1)
    clock.advance(2.0)
    statuses = [
        helpers.make_status(f"g{i}", running=4, at_s=clock.monotonic())
        for i in range(groups)
    ]
    sched.update_groups(statuses, helpers.SLOTS, 1)
    return sched, running


def test_short_work_preempts_long_work_at_once():
    sched, running = _fill_with_long()
    sched.submit(helpers.make_work("s1"))
    decisions = sched.tick()
    (preempt,) = [d for d in decisions if isinstance(d, scheduler.Preempt)]
    assert preempt.work_id in running
    assert helpers.started_ids(decisions) == ["s1"]


def test_long_work_retains_its_share():
    sched, running = _fill_with_long()
    preempted = []
    for i in range(40):
        sched.submit(helpers.make_work(f"s{i}", deadline_s=1e6))
        for decision in sched.tick():
            if isinstance(decision, scheduler.Preempt):
                preempted.append(decision.work_id)
                sched.finished(decision.work_id, scheduler.PREEMPTED)
    assert len(set(preempted)) == len(preempted)
    assert 1 <= len(running) - len(preempted) <= 4


def test_preempted_work_is_queued_and_not_refused():
    sched, running = _fill_with_long()
    sched.submit(helpers.make_work("s1"))
    sched.tick()
    remainder = helpers.make_work(
        running[0], max_tokens=8000, deadline_s=-1.0, resume_from=60
    )
    sched.submit(remainder)
    assert not any(isinstance(d, scheduler.Refuse) for d in sched.tick())


def test_engine_priority_of_short_work_is_ahead_of_long_work():
    sched, _ = helpers.make_scheduler()
    sched.submit(helpers.make_work("s", deadline_s=999.0, priority=9))
    sched.submit(helpers.make_work("l", max_tokens=8000, priority=0))
    priorities = {d.work_id: d.engine_priority for d in sched.tick()}
    assert priorities["s"] < priorities["l"]


def test_long_work_starts_only_up_to_its_refill_share():
    total = round(1.5 / preemption.LONG_REFILL_SHARE)
    usage = preemption.Usage(short=total - 2, long=2, contended_until_s=5.0)
    assert not preemption.long_may_start(usage, now_s=4.0)
    assert preemption.long_may_start(usage, now_s=5.0)
    usage.long = 1
    assert not preemption.long_may_start(usage, now_s=4.0)
    usage.phase = 0.75
    assert preemption.long_may_start(usage, now_s=4.0)


def test_share_holds_for_the_sum_of_routers_and_each_one_rounds_up():
    routers = [preemption.Usage(phase=i / 100, short=3) for i in range(100)]
    times = [preemption.ROUNDING_PERIOD_S * i / 50 for i in range(50)]
    bounds = {
        time_s: [preemption.long_bound(0.05, r, time_s) for r in routers]
        for time_s in times
    }
    assert all(10 <= sum(b) <= 20 for b in bounds.values())
    assert all(
        any(roundings) for roundings in zip(*bounds.values(), strict=True)
    )
