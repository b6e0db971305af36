"""Guards against defects that leave a caller without a complete answer."""

import asyncio

import pytest
from tornado import httpclient

from balsamlug.gateway import attempt as attempts
from balsamlug.gateway import calls
from balsamlug.gateway import failure_detector
from balsamlug.gateway import forwarding
from balsamlug.gateway import placement
from balsamlug.gateway import service
from balsamlug.paths import connector
from balsamlug.router import retries
from balsamlug_standins import members
from tests.entry import fleet as fleets
from tests.entry import plain_calls

WAIT_S = 15.0
ERRORS = [RuntimeError("defect"), asyncio.CancelledError()]


def _raise(error: BaseException):
    def fail(*args, **kwargs):
        raise error

    return fail


def _raise_later(error: BaseException):
    async def fail(*args, **kwargs):
        raise error

    return fail


def _call() -> tuple[httpclient.HTTPResponse, int]:
    """Return the answer to a call, and how often it ran."""

    async def main() -> tuple[httpclient.HTTPResponse, int]:
        async with plain_calls.running(1, 2, 1000) as plain:
            resp = await plain.call("/calc/1", 0)
            return resp, sum(len(s.arrivals) for s in plain.servers)

    return asyncio.run(main())


def _stream() -> httpclient.HTTPResponse:
    async def main() -> httpclient.HTTPResponse:
        async with fleets.running(3, 1) as fleet:
            await fleet.ready()
            return await fleet.send_request()

    return asyncio.run(main())


def _check_not_run(resp: httpclient.HTTPResponse) -> None:
    assert resp.code == 503
    assert float(resp.headers["Retry-After"]) > 0
    assert resp.headers["X-Attempt-Id"]


def _check_unknown(resp: httpclient.HTTPResponse) -> None:
    assert resp.code == 500
    assert "Retry-After" not in resp.headers
    assert resp.headers["X-Attempt-Id"]


@pytest.mark.parametrize("error", ERRORS, ids=repr)
def test_defect_before_the_first_attempt_is_answered_as_not_run(
    monkeypatch, error
):
    monkeypatch.setattr(calls, "choose", _raise(error))
    resp, runs = _call()
    _check_not_run(resp)
    assert not runs


@pytest.mark.parametrize("error", ERRORS, ids=repr)
def test_defect_of_the_routing_is_answered_as_not_run(monkeypatch, error):
    monkeypatch.setattr(service.Gateway, "_target", _raise(error))
    resp, runs = _call()
    _check_not_run(resp)
    assert not runs


@pytest.mark.parametrize("error", ERRORS, ids=repr)
def test_defect_of_an_attempt_is_answered_without_a_promise(monkeypatch, error):
    monkeypatch.setattr(connector.Connector, "connect", _raise_later(error))
    resp, _ = _call()
    _check_unknown(resp)


@pytest.mark.parametrize("error", ERRORS, ids=repr)
def test_defect_after_an_attempt_is_answered_without_a_promise(
    monkeypatch, error
):
    monkeypatch.setattr(attempts.Attempt, "_classify", _raise(error))
    resp, runs = _call()
    _check_unknown(resp)
    assert runs == 1


@pytest.mark.parametrize("error", ERRORS, ids=repr)
def test_defect_of_an_answer_is_answered_without_a_promise(monkeypatch, error):
    monkeypatch.setattr(
        forwarding.ForwardedRequest, "_forward_answer", _raise(error)
    )
    resp, runs = _call()
    _check_unknown(resp)
    assert runs == 1


@pytest.mark.parametrize("error", ERRORS, ids=repr)
def test_defect_of_a_refusal_is_answered(monkeypatch, error):
    monkeypatch.setattr(service.Gateway, "_prepare", _raise(error))
    monkeypatch.setattr(service.Gateway, "_refuse", _raise(error))
    resp, _ = _call()
    assert resp.code == 500


@pytest.mark.parametrize("error", ERRORS, ids=repr)
def test_defect_of_the_placement_of_a_stream_is_answered_as_not_run(
    monkeypatch, error
):
    monkeypatch.setattr(placement, "choose", _raise(error))
    _check_not_run(_stream())


@pytest.mark.parametrize("error", ERRORS, ids=repr)
def test_defect_at_the_end_of_a_request_leaves_its_answer_whole(
    monkeypatch, error
):
    monkeypatch.setattr(service.Gateway, "_record_end", _raise(error))
    resp, _ = _call()
    assert (resp.code, resp.body) == (200, b"ok")


@pytest.mark.parametrize("defect", ["choose", "budget"])
def test_late_call_ends_at_its_deadline_after_a_defect(monkeypatch, defect):
    async def main() -> None:
        async with plain_calls.running(1, 2, 200) as plain:
            for server in plain.servers:
                server.silent = True
            task = asyncio.create_task(plain.call("/calc/1", 0))
            await plain.fleet.until(
                lambda: any(s.arrivals for s in plain.servers)
            )
            if defect == "choose":
                monkeypatch.setattr(calls, "choose", _raise(ERRORS[0]))
            else:
                monkeypatch.setattr(
                    retries.RetryBudget, "spend", _raise(ERRORS[0])
                )
            async with asyncio.timeout(2 * plain_calls.DEADLINE_MS / 1000):
                assert (await task).code == 504

    asyncio.run(main())


def test_silent_stream_ends_at_its_deadline_after_a_defect(monkeypatch):
    async def silent(self, first, cut_at):
        await asyncio.sleep(WAIT_S)

    async def main() -> None:
        async with fleets.running(3, 1) as fleet:
            await fleet.ready()
            task = asyncio.create_task(fleet.send_request())
            async with asyncio.timeout(WAIT_S):
                assert (await task).code == 504

    monkeypatch.setattr(members._Stream, "_send_events", silent)
    monkeypatch.setattr(
        failure_detector.Detector, "is_lost", _raise_later(ERRORS[0])
    )
    asyncio.run(main())
