"""Guards against refusals that state "not run" after a possible run."""

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
def test_refusal_does_not_deny_a_possible_run(refusal):
    adjusted = service._consistent_with_run(refusal, _Served(may_have_run=True))
    assert adjusted.status == 502
    assert adjusted.outcome == exceptions.UNKNOWN
    assert adjusted.retry_after_ms is None


@pytest.mark.parametrize("refusal", NOT_RUN, ids=lambda r: r.code)
def test_refusal_is_unchanged_when_the_request_never_ran(refusal):
    assert (
        service._consistent_with_run(refusal, _Served(may_have_run=False))
        is refusal
    )
    assert service._consistent_with_run(refusal, None) is refusal


def test_timeout_refusal_is_unchanged():
    refusal = exceptions.AnswerTimedOut("late")
    assert service._consistent_with_run(refusal, _Served(True)) is refusal
