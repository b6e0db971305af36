"""Guards the soak's judge: it must find every kind of broken promise."""

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
    whole: bool = True,
) -> clients.Answer:
    headers = SEALED if headers is None else headers
    return clients.Answer("r", kind, 0, status, headers, body, whole)


def _found(*answers: clients.Answer, runs: dict | None = None) -> list[str]:
    record = servers.Record()
    record.runs.update(runs or {})
    judge = promises.Judge(record)
    for answer in answers:
        judge.answered(answer)
    return judge.finish()


@pytest.mark.parametrize(
    "answer",
    [
        _answer(),
        _answer(body=promises.EVENTS[:30], whole=False),
        _answer(promises.BOOKING, body=b'{"booked": "r"}'),
        _answer(
            status=503, headers={"x-attempt-id": "r", "retry-after": "0.5"}
        ),
        _answer(status=0, headers={}, body=b"", whole=False),
    ],
)
def test_kept_promises_are_not_reported(answer):
    assert not _found(answer)


@pytest.mark.parametrize(
    "answer",
    [
        _answer(body=promises.EVENTS[:30]),
        _answer(body=promises.EVENTS[5:], whole=False),
        _answer(body=promises.EVENTS + promises.EVENTS, whole=False),
        _answer(headers={"x-attempt-id": "r"}),
        _answer(headers=SEALED | {"x-attempt-id": "other"}),
        _answer(promises.BOOKING, body=b'{"booked": "other"}'),
        _answer(status=503, headers={"x-attempt-id": "r"}),
        _answer(status=502, headers={}),
    ],
)
def test_broken_answers_are_reported(answer):
    assert _found(answer)


def test_a_refusal_of_a_request_that_ran_is_reported():
    refusal = _answer(
        status=503, headers={"x-attempt-id": "r", "retry-after": "0.5"}
    )
    assert _found(refusal, runs={"r": 1})


def test_a_booking_that_ran_twice_is_reported():
    assert _found(runs={f"{promises.BOOKING}-1": 2})


def test_a_key_that_is_taken_again_is_reported():
    judge = promises.Judge(servers.Record())
    judge.asked_with("old", _answer(status=401, headers={}))
    judge.asked_with("old", _answer())
    assert judge.finish()


def test_a_seed_always_gives_the_same_faults():
    drawn = [plan.drawn(7, 2, nodes=3, servers=8) for _ in range(2)]
    assert drawn[0] == drawn[1]
    assert len(drawn[0]) == 2 * plan.FAULTS_PER_SERIES
