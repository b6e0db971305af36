"""Guards against lost, duplicated or starved work in the scheduler."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from balsamlug import exceptions
from balsamlug.router import scheduler
from balsamlug.router import work
from tests.router import helpers


def test_work_starts_at_once_in_a_free_group():
    sched, _ = helpers.make_scheduler()
    sched.submit(helpers.make_work())
    (start,) = sched.tick()
    assert (start.group_id, start.head_address) == ("g0", "g0:1")


def test_work_is_refused_without_a_ready_group():
    sched, _ = helpers.make_scheduler(groups=0)
    with pytest.raises(exceptions.NoReadyGroup) as info:
        sched.submit(helpers.make_work())
    assert info.value.outcome == exceptions.NOT_RUN


def test_full_queue_of_a_customer_does_not_refuse_other_customers():
    sched, _ = helpers.make_scheduler(max_queue=2, running=4)
    for i in range(8):
        try:
            sched.submit(helpers.make_work(f"w{i}", deadline_s=1e6))
        except exceptions.QueueFull:
            break
        sched.tick()
    else:
        pytest.fail("no request was refused with more than 2 queued")
    sched.submit(helpers.make_work("o", customer="other", deadline_s=1e6))


def test_queued_work_is_refused_at_its_deadline():
    sched, clock = helpers.make_scheduler(running=20)
    sched.submit(helpers.make_work(deadline_s=2.0))
    assert sched.tick() == []
    clock.advance(2.0)
    (refuse,) = sched.tick()
    assert isinstance(refuse.refusal, exceptions.DeadlineUnreachable)
    assert refuse.refusal.outcome == exceptions.NOT_RUN


def test_work_that_excludes_the_free_group_does_not_block_other_work():
    sched, _ = helpers.make_scheduler()
    excluded = frozenset({"g0"})
    sched.submit(helpers.make_work("w1", customer="a", exclude=excluded))
    sched.submit(helpers.make_work("w2", customer="b"))
    assert helpers.started_ids(sched.tick()) == ["w2"]


def test_resumed_work_is_refused_when_no_group_becomes_ready():
    sched, clock = helpers.make_scheduler(groups=0)
    sched.submit(helpers.make_work(resume_from=5, deadline_s=0.0))
    assert sched.tick() == []
    clock.advance(work.RESUME_TIMEOUT_S)
    (refuse,) = sched.tick()
    assert isinstance(refuse.refusal, exceptions.NoReadyGroup)


def test_work_is_admitted_again_after_a_slow_period():
    sched, clock = helpers.make_scheduler(groups=4)
    for i in range(60):
        sched.submit(helpers.make_work(f"w{i}", deadline_s=1e6))
        sched.tick()
        clock.advance(9.0)
        sched.progress(f"w{i}", 1)
        sched.finished(f"w{i}", scheduler.COMPLETED)
    soon_s = clock.monotonic() + 2.0
    with pytest.raises(exceptions.DeadlineUnreachable):
        sched.submit(helpers.make_work("x", deadline_s=soon_s))
    clock.advance(30.0)
    soon_s = clock.monotonic() + 2.0
    sched.submit(helpers.make_work("y", deadline_s=soon_s))


def test_long_work_is_not_starved_by_continuous_short_work():
    sched, clock = helpers.make_scheduler(groups=4)
    sched.submit(helpers.make_work("l", max_tokens=8000, deadline_s=1e6))
    done = []
    for i in range(60):
        sched.submit(helpers.make_work(f"s{i}", deadline_s=1e6))
        done += helpers.started_ids(sched.tick())
        clock.advance(0.01)
    assert "l" in done


class SchedulerMachine(stateful.RuleBasedStateMachine):
    """Random calls in any order, checked against a simple model."""

    def __init__(self):
        super().__init__()
        self.sched, self.clock = helpers.make_scheduler(groups=3)
        self.waiting = set()
        self.running = {}
        self.number = 0

    @stateful.rule(
        customer=st.sampled_from("abc"),
        priority=st.integers(0, 9),
        max_tokens=st.sampled_from([50, 200, 8000]),
        remaining_s=st.floats(0.1, 20.0),
        resume_from=st.sampled_from([0, 0, 40]),
        exclude=st.sampled_from([(), ("g0",), ("g0", "g1", "g2")]),
    )
    def submit(self, remaining_s, exclude, **fields):
        self.number += 1
        work = helpers.make_work(
            f"w{self.number}",
            deadline_s=self.clock.monotonic() + remaining_s,
            exclude=frozenset(exclude),
            **fields,
        )
        try:
            self.sched.submit(work)
        except exceptions.Refusal:
            return
        self.waiting.add(work.id)

    @stateful.rule()
    def tick(self):
        for decision in self.sched.tick():
            work_id = decision.work_id
            if isinstance(decision, scheduler.Start):
                self.waiting.remove(work_id)
                assert work_id not in self.running
                self.running[work_id] = decision.group_id
            elif isinstance(decision, scheduler.Refuse):
                self.waiting.remove(work_id)
            else:
                assert work_id in self.running

    @stateful.rule(running=st.integers(0, 8), ready=st.booleans())
    def report(self, running, ready):
        statuses = [
            helpers.make_status(
                f"g{i}", running, at_s=self.clock.monotonic(), ready=ready
            )
            for i in range(3)
        ]
        self.sched.update_groups(statuses, helpers.SLOTS, 2)

    @stateful.rule(seconds=st.floats(0.0, 3.0))
    def wait(self, seconds):
        self.clock.advance(seconds)

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(data=st.data(), outcome=st.sampled_from(["completed", "x"]))
    def finish(self, data, outcome):
        work_id = data.draw(st.sampled_from(sorted(self.running)))
        del self.running[work_id]
        self.sched.progress(work_id, 30)
        self.sched.finished(work_id, outcome)

    @stateful.precondition(lambda self: self.waiting)
    @stateful.rule(data=st.data())
    def cancel(self, data):
        work_id = data.draw(st.sampled_from(sorted(self.waiting)))
        self.waiting.remove(work_id)
        self.sched.cancel(work_id)

    @stateful.invariant()
    def counts_agree_with_the_model(self):
        stats = self.sched.stats()
        waiting = stats["waiting_short"] + stats["waiting_long"]
        running = stats["running_short"] + stats["running_long"]
        assert waiting == len(self.waiting)
        assert running == len(self.running)

    @stateful.invariant()
    def no_group_exceeds_its_bound(self):
        # With one router: the slots, the requests that may be queued in the
        # engine (1.2, rounded up), and for each preempted request the one that
        # takes its slot.
        bound = helpers.SLOTS[helpers.DEPLOYMENT] + 2
        groups = list(self.running.values())
        leaving = self.sched.stats()["preempting"]
        for group_id in set(groups):
            assert groups.count(group_id) <= bound + leaving


SchedulerMachine.TestCase.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=40, deadline=None
)
TestSchedulerMachine = SchedulerMachine.TestCase
