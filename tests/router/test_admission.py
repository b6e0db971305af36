"""Guards against admitting late work and useless retry hints."""

import pytest

from balsamlug import exceptions
from balsamlug.router import admission


def test_admits_work_that_starts_in_time():
    admission.check_deadline(5.0, 1.0, 0.5, 1.0)


def test_refuses_work_that_would_be_late_as_not_run():
    with pytest.raises(exceptions.DeadlineUnreachable) as caught:
        admission.check_deadline(2.0, 4.0, 0.5, 4.0)
    assert caught.value.outcome == exceptions.NOT_RUN
    assert caught.value.retry_after_ms == 2000


def test_retry_hint_is_bounded():
    assert (
        admission.deadline_refusal(1e9).retry_after_ms == admission.MAX_RETRY_MS
    )
    assert (
        admission.deadline_refusal(0.0).retry_after_ms == admission.MIN_RETRY_MS
    )


def test_refuses_a_customer_at_its_queue_limit():
    admission.check_queue(9, 10, 1.0)
    with pytest.raises(exceptions.QueueFull):
        admission.check_queue(10, 10, 1.0)
