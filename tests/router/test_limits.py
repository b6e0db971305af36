"""Guards upstreams of the router that state how many requests they accept."""

import asyncio
import json

from tests.router import fakes

REQUEST = {"model": "chat", "max_tokens": 2, "stream": False}
LIMIT = 2.0
INTERVAL_S = 0.05
PLAYED_S = 4.0
# The platform's bound for 4 s.
ALLOWED = 1.5 * LIMIT * PLAYED_S + 5


async def _send_all(h, answers: list) -> None:
    async def send(number: int) -> None:
        resp, body = await h.post(REQUEST | {"prompt": f"p{number}"})
        answers.append((resp, body))

    tasks = []
    for number in range(int(PLAYED_S / INTERVAL_S)):
        tasks.append(asyncio.create_task(send(number)))
        await asyncio.sleep(INTERVAL_S)
    await asyncio.gather(*tasks)


def test_engine_gets_no_more_requests_than_it_states():
    async def main():
        async with fakes.harness(2) as h:
            for engine in h.engines:
                engine.limit = LIMIT
            answers: list = []
            await _send_all(h, answers)
            for engine in h.engines:
                assert LIMIT * PLAYED_S / 2 <= len(engine.requests) <= ALLOWED
            refused = [a for a in answers if a[0].status != 200]
            assert refused
            for resp, body in refused:
                assert resp.status == 429
                assert json.loads(body)["error"]["code"] == "rate_limited"
                assert float(resp.headers["Retry-After"]) > 0

    asyncio.run(main())


def test_engine_without_a_limit_gets_the_rest():
    async def main():
        async with fakes.harness(2) as h:
            h.engines[0].limit = LIMIT
            answers: list = []
            await _send_all(h, answers)
            assert {resp.status for resp, _ in answers} == {200}
            assert len(h.engines[0].requests) <= ALLOWED

    asyncio.run(main())
