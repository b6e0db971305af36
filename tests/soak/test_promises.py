"""Guards the checker of the soak.

A checker that misses a kind of broken promise would let every run pass.
"""

import pytest

from soak import clients
from soak import plan
from soak import promises
from soak import servers

SEALED = {"x-attempt-id": "r", "x-server-seal": "seal.i-1"}


def _answer(
    kind: str = promises.STREAM,
    status: int = 200,
    headers: dict | None = None,
    body: bytes = promises.EVENTS,
    complete: bool = True,
) -> clients.Answer:
    headers = SEALED if headers is None else headers
    return clients.Answer("r", kind, 0, status, headers, body, complete)


def _find_violations(
    *answers: clients.Answer, runs: dict | None = None
) -> list[str]:
    record = servers.Record()
    record.runs.update(runs or {})
    checker = promises.PromiseChecker(record)
    for answer in answers:
        checker.check_answer(answer)
    return checker.finish()


@pytest.mark.parametrize(
    "answer",
    [
        _answer(),
        _answer(body=promises.EVENTS[:30], complete=False),
        _answer(promises.BOOKING, body=b'{"booked": "r"}'),
        _answer(
            status=503, headers={"x-attempt-id": "r", "retry-after": "0.5"}
        ),
        _answer(status=0, headers={}, body=b"", complete=False),
    ],
)
def test_kept_promises_are_not_reported(answer):
    assert not _find_violations(answer)


@pytest.mark.parametrize(
    "answer",
    [
        _answer(body=promises.EVENTS[:30]),
        _answer(body=promises.EVENTS[5:], complete=False),
        _answer(body=promises.EVENTS + promises.EVENTS, complete=False),
        _answer(headers={"x-attempt-id": "r"}),
        _answer(headers=SEALED | {"x-attempt-id": "other"}),
        _answer(promises.BOOKING, body=b'{"booked": "other"}'),
        _answer(status=503, headers={"x-attempt-id": "r"}),
        _answer(status=502, headers={}),
    ],
)
def test_broken_answers_are_reported(answer):
    assert _find_violations(answer)


def test_a_refusal_of_a_request_that_ran_is_reported():
    refusal = _answer(
        status=503, headers={"x-attempt-id": "r", "retry-after": "0.5"}
    )
    assert _find_violations(refusal, runs={"r": 1})


def test_a_booking_that_ran_twice_is_reported():
    assert _find_violations(runs={f"{promises.BOOKING}-1": 2})


def test_a_revoked_key_that_is_accepted_again_is_reported():
    checker = promises.PromiseChecker(servers.Record())
    checker.check_revoked_key("old", _answer(status=401, headers={}))
    checker.check_revoked_key("old", _answer())
    assert checker.finish()


def test_a_seed_always_gives_the_same_faults():
    plans = [plan.draw_faults(7, 2, nodes=3, servers=8) for _ in range(2)]
    assert plans[0] == plans[1]
    assert len(plans[0]) == 2 * plan.FAULTS_PER_SERIES
