"""Guards against suspected requests without a permit, and leaked permits."""

import asyncio

import pytest

from balsamlug import exceptions
from balsamlug.messages import types
from balsamlug.router import permits as permits_module


def run(scenario):
    async def main():
        sent = []
        permits = permits_module.Permits(sent.append)
        await scenario(permits, sent)

    asyncio.run(main())


def steps(sent) -> list[str]:
    return [message.step for message in sent]


async def answer(permits, granted, retry_after_ms=0):
    await asyncio.sleep(0)
    permits.handle_grant(types.PermitGrant("fp", "w1", granted, retry_after_ms))


def test_refused_request_is_quarantined_with_a_retry_hint():
    async def scenario(permits, sent):
        request = asyncio.create_task(permits.acquire("fp", "w1", retry=False))
        await answer(permits, granted=False, retry_after_ms=700)
        with pytest.raises(exceptions.Quarantined) as info:
            await request
        assert info.value.retry_after_ms == 700
        assert info.value.outcome == exceptions.NOT_RUN

    run(scenario)


def test_interrupted_request_retries_until_the_permit_is_granted():
    async def scenario(permits, sent):
        request = asyncio.create_task(permits.acquire("fp", "w1", retry=True))
        await answer(permits, granted=False, retry_after_ms=1)
        await asyncio.sleep(0.02)
        await answer(permits, granted=True)
        await request
        assert steps(sent) == ["ask", "ask"]

    run(scenario)


def test_timeout_is_a_refusal_and_a_late_permit_is_released(monkeypatch):
    monkeypatch.setattr(permits_module, "ANSWER_TIMEOUT_S", 0.01)

    async def scenario(permits, sent):
        with pytest.raises(exceptions.Quarantined):
            await permits.acquire("fp", "w1", retry=False)
        await answer(permits, granted=True)
        assert steps(sent) == ["ask", "release", "release"]

    run(scenario)


def test_request_cancelled_while_it_waits_releases_the_permit():
    async def scenario(permits, sent):
        request = asyncio.create_task(permits.acquire("fp", "w1", retry=True))
        await asyncio.sleep(0)
        request.cancel()
        with pytest.raises(asyncio.CancelledError):
            await request
        assert steps(sent) == ["ask", "release"]

    run(scenario)
