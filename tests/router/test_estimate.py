"""Guards against long work that is not recognised."""

from balsamlug.router import estimate
from balsamlug.router import work as work_lib
from tests.router import helpers


def _finish(estimator, count, tokens, **changes):
    for i in range(count):
        work = helpers.make_work(f"w{i}", **changes)
        entry = work_lib.Entry(work, 1.0, is_long=False, queued_s=0.0)
        entry.tokens = tokens
        estimator.completed(entry, 4.0)


def test_history_corrects_a_limit_far_above_the_answers():
    estimator = estimate.Estimator()
    work = helpers.make_work(max_tokens=4096)
    assert estimator.is_long(work)
    _finish(estimator, 40, 80, max_tokens=4096)
    assert not estimator.is_long(work)


def test_customer_without_history_uses_that_of_all():
    estimator = estimate.Estimator()
    _finish(estimator, 40, 80, max_tokens=4096)
    other = helpers.make_work(customer="new", max_tokens=4096)
    assert estimator.tokens(other) < 200


def test_resumed_work_counts_only_the_rest():
    estimator = estimate.Estimator()
    whole = helpers.make_work(max_tokens=1000)
    rest = helpers.make_work(max_tokens=1000, resume_from=300)
    assert estimator.tokens(whole) - estimator.tokens(rest) == 300
