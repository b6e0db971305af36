"""Builders of work, group statuses and schedulers for the tests."""

import random

from balsamlug import clock as clock_lib
from balsamlug import tables
from balsamlug.config import schema
from balsamlug.router import scheduler

DEPLOYMENT = "model"
SLOTS = {DEPLOYMENT: 4}


def make_work(work_id="w1", **changes):
    fields = {
        "customer": "c1",
        "deployment": DEPLOYMENT,
        "priority": 5,
        "weight": 1.0,
        "deadline_s": 10.0,
        "prompt_tokens": 100,
        "max_tokens": 200,
    }
    return scheduler.Work(work_id, **(fields | changes))


def make_status(
    group_id="g1", running=0, queued=0, at_s=0.0, ready=True, age_ms=0
):
    load = tables.LoadReport(running, queued, 4, 0, age_ms)
    return tables.GroupStatus(
        group_id, DEPLOYMENT, 1, ready, "", f"{group_id}:1", load, at_s
    )


def make_scheduler(groups=1, max_queue=256, routers=1, running=0):
    clock = clock_lib.ManualClock()
    limits = schema.Limits(max_queue=max_queue)
    sched = scheduler.Scheduler(clock, random.Random(7), limits)
    statuses = [make_status(f"g{i}", running) for i in range(groups)]
    sched.update_groups(statuses, SLOTS, routers)
    return sched, clock


def started_ids(decisions):
    return [d.work_id for d in decisions if isinstance(d, scheduler.Start)]
