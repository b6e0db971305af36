"""Guards against admission of late work and unbounded retry hints."""

import pytest

from balsamlug import exceptions
from balsamlug.router import admission


def test_work_that_starts_in_time_is_admitted():
    admission.check_deadline(5.0, 1.0, 0.5, 1.0)


def test_work_that_would_be_late_is_refused_as_not_run():
    with pytest.raises(exceptions.DeadlineUnreachable) as info:
        admission.check_deadline(2.0, 4.0, 0.5, 4.0)
    assert info.value.outcome == exceptions.NOT_RUN
    assert info.value.retry_after_ms == 2000


def test_retry_hint_is_bounded():
    assert (
        admission.deadline_refusal(1e9).retry_after_ms == admission.MAX_RETRY_MS
    )
    assert (
        admission.deadline_refusal(0.0).retry_after_ms == admission.MIN_RETRY_MS
    )


def test_work_of_a_customer_at_its_queue_limit_is_refused():
    admission.check_queue(9, 10, 1.0)
    with pytest.raises(exceptions.QueueFull):
        admission.check_queue(10, 10, 1.0)
