"""Guards against work that is classified wrongly as long or short."""

from balsamlug.router import estimate
from balsamlug.router import work as work_lib
from tests.router import helpers


def _finish(estimator, count, tokens, **changes):
    for i in range(count):
        work = helpers.make_work(f"w{i}", **changes)
        entry = work_lib.Entry(work, 1.0, is_long=False, queued_s=0.0)
        entry.tokens = tokens
        estimator.record_completion(entry, 4.0)


def test_history_of_short_answers_overrides_a_high_max_tokens():
    estimator = estimate.Estimator()
    work = helpers.make_work(max_tokens=4096)
    assert estimator.is_long(work)
    _finish(estimator, 40, 80, max_tokens=4096)
    assert not estimator.is_long(work)


def test_customer_without_history_uses_that_of_all_customers():
    estimator = estimate.Estimator()
    _finish(estimator, 40, 80, max_tokens=4096)
    other = helpers.make_work(customer="new", max_tokens=4096)
    assert estimator.remaining_tokens(other) < 200


def test_only_the_remaining_tokens_of_resumed_work_count():
    estimator = estimate.Estimator()
    new_work = helpers.make_work(max_tokens=1000)
    resumed = helpers.make_work(max_tokens=1000, resume_from=300)
    assert (
        estimator.remaining_tokens(new_work)
        - estimator.remaining_tokens(resumed)
        == 300
    )
