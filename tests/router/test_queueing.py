"""Guards against lost or reordered work and unfair service in the queue."""

import hypothesis
from hypothesis import strategies as st
import pytest

from balsamlug.router import queueing
from balsamlug.router import work as work_lib
from tests.router import helpers


def _entry(number, customer="c1", priority=5, weight=1.0, cost=10.0):
    work = helpers.make_work(
        f"w{number}", customer=customer, priority=priority, weight=weight
    )
    return work_lib.Entry(work, cost, is_long=False, queued_s=0.0)


def _drain(queue):
    order = []
    while queue:
        entry = queue.peek()
        queue.start(entry)
        order.append(entry)
    return order


def test_urgent_work_of_a_customer_is_served_first_in_its_order():
    queue = queueing.FairQueue()
    entries = [_entry(i, priority=p) for i, p in enumerate((5, 1, 5, 1))]
    for entry in entries:
        queue.push(entry)
    assert _drain(queue) == [entries[i] for i in (1, 3, 0, 2)]


def test_resumed_work_is_served_before_work_of_its_priority():
    queue = queueing.FairQueue()
    first, resumed = _entry(1), _entry(2)
    queue.push(first)
    queue.push(resumed, front=True)
    assert queue.peek() is resumed


@hypothesis.given(st.integers(1, 5), st.integers(1, 5), st.integers(1, 50))
def test_backlogged_customers_are_served_by_weight(heavy, light, cost):
    queue = queueing.FairQueue()
    for i in range(60):
        queue.push(_entry(i, "a", weight=heavy, cost=cost))
        queue.push(_entry(100 + i, "b", weight=light, cost=cost))
    first = [entry.work.customer for entry in _drain(queue)[:40]]
    expected = 40 * heavy / (heavy + light)
    assert abs(first.count("a") - expected) <= 2


def test_an_idle_customer_gains_no_credit():
    queue = queueing.FairQueue()
    for i in range(10):
        queue.push(_entry(i, "busy"))
    for _ in range(8):
        queue.start(queue.peek())
    for i in range(10, 20):
        queue.push(_entry(i, "late"))
    order = [entry.work.customer for entry in _drain(queue)]
    assert order.index("busy") <= 1


@hypothesis.given(
    st.lists(st.tuples(st.sampled_from("abc"), st.integers(0, 3)))
)
def test_every_entry_leaves_exactly_once(rows):
    queue = queueing.FairQueue()
    entries = [_entry(i, c, priority=p) for i, (c, p) in enumerate(rows)]
    for entry in entries:
        queue.push(entry)
    removed = entries[::3]
    for entry in removed:
        queue.remove(entry)
    order = _drain(queue)
    assert sorted(e.work.id for e in order + removed) == sorted(
        e.work.id for e in entries
    )
    assert len(queue) == 0


def test_cost_ahead_counts_others_only_up_to_their_fair_share():
    queue = queueing.FairQueue()
    queue.push(_entry(1, "own", cost=10.0))
    for i in range(10):
        queue.push(_entry(10 + i, "large", cost=10.0))
    ahead = queue.cost_ahead(helpers.make_work(customer="own"))
    assert ahead == pytest.approx(20.0)
