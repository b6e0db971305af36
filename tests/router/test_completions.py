"""Guards against answers that are incomplete, altered or untyped."""

import asyncio
import json

from tests.router import fakes

REQ = {"model": "surf-7b", "prompt": "hi", "max_tokens": 5}


def events(body: bytes) -> list[str]:
    return [e for e in body.decode().split("\n\n") if e]


def streamed_text(body: bytes) -> str:
    parsed = [
        json.loads(e.removeprefix("data: "))
        for e in events(body)
        if e.startswith("data: {")
    ]
    return "".join(p["choices"][0]["text"] for p in parsed)


def test_whole_answer():
    async def scenario():
        async with fakes.harness() as h:
            resp, body = await h.post(REQ)
            assert resp.status == 200
            choice = json.loads(body)["choices"][0]
            assert choice["text"] == fakes.answer(5)
            assert choice["finish_reason"] == "length"

    asyncio.run(scenario())


def test_streamed_answer_ends_with_done():
    async def scenario():
        async with fakes.harness() as h:
            resp, body = await h.post(REQ | {"stream": True})
            assert resp.status == 200
            assert streamed_text(body) == fakes.answer(5)
            assert events(body)[-1] == "data: [DONE]"

    asyncio.run(scenario())
