"""Guards against refusals that say not run although a run may have begun."""

import pytest

from balsamlug import exceptions
from balsamlug.gateway import service


class _Served:
    def __init__(self, may_have_run: bool) -> None:
        self.may_have_run = may_have_run


NOT_RUN = [
    exceptions.NoReadyGroup("none", 100),
    exceptions.QueueFull("full", 100),
    exceptions.UpstreamRefused("421", 100),
]


@pytest.mark.parametrize("refusal", NOT_RUN, ids=lambda r: r.code)
def test_a_run_that_may_have_begun_is_not_denied(refusal):
    told = service._consistent_with_run(refusal, _Served(may_have_run=True))
    assert told.status == 502
    assert told.outcome == exceptions.UNKNOWN
    assert told.retry_after_ms is None


@pytest.mark.parametrize("refusal", NOT_RUN, ids=lambda r: r.code)
def test_a_request_that_never_ran_keeps_its_refusal(refusal):
    assert (
        service._consistent_with_run(refusal, _Served(may_have_run=False))
        is refusal
    )
    assert service._consistent_with_run(refusal, None) is refusal


def test_a_time_out_is_no_promise():
    refusal = exceptions.AnswerTimedOut("late")
    assert service._consistent_with_run(refusal, _Served(True)) is refusal
