"""Guards against incomplete or altered answers and refusals without a code."""

import asyncio
import json

import pytest

from balsamlug.router import attempt
from balsamlug.router import handlers
from balsamlug.router import watch
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
    return "".join(p["choices"][0].get("text") or "" for p in parsed)


def run(scenario, **kwargs):
    async def main():
        async with fakes.harness(**kwargs) as h:
            await scenario(h)

    asyncio.run(main())


def test_complete_answer():
    async def scenario(h):
        resp, body = await h.post(REQ)
        assert resp.status == 200
        choice = json.loads(body)["choices"][0]
        assert choice["text"] == fakes.answer(5)
        assert choice["finish_reason"] == "length"

    run(scenario)


def test_streamed_answer_ends_with_done():
    async def scenario(h):
        resp, body = await h.post(REQ | {"stream": True})
        assert resp.status == 200
        assert streamed_text(body) == fakes.answer(5)
        assert events(body)[-1] == "data: [DONE]"

    run(scenario)


def test_chat_answer_in_both_forms():
    req = {
        "model": "chat",
        "messages": [{"role": "user", "content": "hi"}],
        "max_tokens": 3,
    }

    async def scenario(h):
        _, body = await h.post(req, "/v1/chat/completions")
        message = json.loads(body)["choices"][0]["message"]
        assert message == {"role": "assistant", "content": fakes.answer(3)}
        _, body = await h.post(req | {"stream": True}, "/v1/chat/completions")
        deltas = [
            json.loads(e[6:])["choices"][0]["delta"].get("content", "")
            for e in events(body)[:-1]
        ]
        assert "".join(deltas) == fakes.answer(3)

    run(scenario)


@pytest.mark.parametrize(
    ("step", "reason"),
    [
        ("cut:2", "cut_off"),
        ("early:2", "ended_early"),
        ("skip:2", "skipped_index"),
        ("repeat:2", "repeated_index"),
        ("garbage:2", "malformed_event"),
        ("status:500", "bad_status"),
        ("status:409", "wrong_group"),
        ("crash:0", "cut_off"),
        ("crash:2", "cut_off"),
        ("unframed:0", "cut_off"),
        ("unframed:2", "cut_off"),
    ],
)
def test_upstream_failure_resumes_elsewhere_from_the_offset(step, reason):
    async def scenario(h):
        shared = [step]
        for engine in h.engines:
            engine.steps = shared
        _, body = await h.post(REQ | {"stream": True})
        assert streamed_text(body) == fakes.answer(5)
        assert events(body)[-1] == "data: [DONE]"
        assert h.metric("upstream_failures_total", reason=reason) == 1
        requests = [r for e in h.engines for r in e.requests]
        assert len(requests) == 2
        assert len({r["request_id"] for r in requests}) == 2
        assert all(len(e.requests) == 1 for e in h.engines)
        offsets = sorted(r["resume_from"] for r in requests)
        assert offsets == [0, 2 if step.endswith(":2") else 0]

    run(scenario)


@pytest.mark.parametrize("step", ["stall:2", "drip:2"])
def test_idle_upstream_is_abandoned_and_cancelled(step, monkeypatch):
    monkeypatch.setattr(attempt, "TOKEN_IDLE_TIMEOUT_S", 0.2)
    monkeypatch.setattr(attempt, "LOST_GROUP_IDLE_S", 0.1)

    async def scenario(h):
        for engine in h.engines:
            engine.steps = [step]
        task = asyncio.create_task(h.post(REQ | {"stream": True}))
        while not any(e.requests for e in h.engines):
            await asyncio.sleep(0.01)
        for engine in h.engines:
            engine.steps = []
        _, body = await task
        assert streamed_text(body) == fakes.answer(5)
        await asyncio.sleep(0.05)
        assert sum(len(e.cancelled) for e in h.engines) == 1

    run(scenario)


def test_failure_without_another_group_ends_with_error_event():
    async def scenario(h):
        h.engines[0].steps = ["early:2"] * 200
        _, body = await h.post(
            REQ | {"stream": True}, headers=fakes.AUTH | {"X-Role": "door"}
        )
        last = events(body)[-1]
        assert last.startswith("event: error\ndata: ")
        error = json.loads(last.split("data: ")[1])["error"]
        assert error["outcome"] == "unknown"
        assert error["code"] == "retry_budget_exhausted"

    run(scenario, engines=1)


def test_group_that_refuses_for_a_moment_does_not_exhaust_the_retries():
    async def scenario(h):
        # Unavailable for longer than the head's interval of member checks.
        h.engines[0].steps = ["status:503"] * 1000
        loop = asyncio.get_running_loop()
        loop.call_later(0.5, h.engines[0].steps.clear)
        _, body = await h.post(REQ | {"stream": True})
        assert streamed_text(body) == fakes.answer(5)
        assert events(body)[-1] == "data: [DONE]"
        assert h.metric("retries_total", reason="unavailable") <= 1

    run(scenario, engines=1)


def test_unreachable_upstreams_are_not_run():
    async def scenario(h):
        h.engines[0].crash()
        resp, body = await h.post(REQ | {"stream": True})
        error = json.loads(body)["error"]
        assert resp.status >= 500
        assert error["outcome"] == "not_run"

    run(scenario, engines=1)


def test_preempted_stream_continues_elsewhere():
    async def scenario(h):
        for engine in h.engines:
            engine.delay_s = 0.02
        req = REQ | {"stream": True, "max_tokens": 10}
        task = asyncio.create_task(h.post(req))
        while not any(e.requests for e in h.engines):
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.06)
        for on_preempt in list(h.router.dispatcher._on_preempt.values()):
            on_preempt()
        _, body = await task
        assert streamed_text(body) == fakes.answer(10)
        requests = [r for e in h.engines for r in e.requests]
        assert len(requests) == 2
        assert max(r["resume_from"] for r in requests) > 0

    run(scenario)


def test_disconnected_caller_releases_its_slot_and_cancels_upstream():
    async def scenario(h):
        h.engines[0].steps = ["stall:1"]
        stream = await fakes.open_stream(h.address)
        body = json.dumps(REQ | {"stream": True}).encode()
        await stream.write(
            b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
            b"Authorization: Bearer k-vedrina\r\nContent-Length: %d\r\n\r\n%s"
            % (len(body), body)
        )
        await stream.read_until(b"t0")
        stream.close()
        await asyncio.sleep(0.1)
        assert len(h.engines[0].cancelled) == 1
        stats = h.router.dispatcher.scheduler.stats()
        assert stats["running_short"] == stats["running_long"] == 0
        assert h.router.lifecycle.in_flight == 0

    run(scenario, engines=1)


def test_stream_to_a_slow_caller_is_stopped(monkeypatch):
    monkeypatch.setattr(watch, "SLOW_CALLER_S", 0.2)

    async def scenario(h):
        h.engines[0].text_bytes = 20_000
        stream = await fakes.open_stream(h.address)
        req = REQ | {"stream": True, "max_tokens": 2000}
        body = json.dumps(req).encode()
        await stream.write(
            b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
            b"Authorization: Bearer k-vedrina\r\nContent-Length: %d\r\n\r\n%s"
            % (len(body), body)
        )
        for _ in range(100):
            await asyncio.sleep(0.05)
            if h.engines[0].cancelled:
                break
        assert len(h.engines[0].cancelled) == 1
        assert h.metric("refusals_total", code="slow_caller") == 1
        assert h.router.lifecycle.in_flight == 0
        stream.close()

    run(scenario, engines=1)


@pytest.mark.parametrize(
    ("body", "headers", "code"),
    [
        (b"{", fakes.AUTH, "malformed_request"),
        (b"[" * 5000, fakes.AUTH, "malformed_request"),
        (b"\xff\xfe", fakes.AUTH, "malformed_request"),
        (b'{"model": NaN}', fakes.AUTH, "malformed_request"),
        (
            b'{"model": "chat", "prompt": "x", "a": %s1%s}'
            % (b"[" * 960, b"]" * 960),
            fakes.AUTH,
            "malformed_request",
        ),
        (
            REQ,
            fakes.AUTH | {"X-Deadline-Ms": "9" * 5000},
            "malformed_request",
        ),
        ([], fakes.AUTH, "malformed_request"),
        ({"model": 1, "prompt": "x"}, fakes.AUTH, "malformed_request"),
        ({"model": "chat", "prompt": ""}, fakes.AUTH, "malformed_request"),
        (REQ | {"max_tokens": 0}, fakes.AUTH, "malformed_request"),
        (REQ | {"max_tokens": True}, fakes.AUTH, "malformed_request"),
        (REQ | {"stream": "yes"}, fakes.AUTH, "malformed_request"),
        (REQ | {"n": 2}, fakes.AUTH, "malformed_request"),
        (REQ | {"resume_from": 2}, fakes.AUTH, "malformed_request"),
        (REQ, fakes.AUTH | {"X-Role": "x"}, "malformed_request"),
        (REQ, fakes.AUTH | {"X-Deadline-Ms": "-1"}, "malformed_request"),
        (REQ, {}, "unknown_customer"),
        (REQ, {"Authorization": "Bearer x"}, "unknown_customer"),
        (REQ, {"Authorization": "Bearer k-other"}, "not_permitted"),
        (REQ | {"model": "none"}, fakes.AUTH, "unknown_route"),
        (REQ | {"prompt": "x" * 17_000}, fakes.AUTH, "body_too_large"),
    ],
)
def test_invalid_requests_are_refused_with_a_code(body, headers, code):
    async def scenario(h):
        resp, answer = await h.post(body, headers=headers)
        error = json.loads(answer)["error"]
        assert (error["code"], error["outcome"]) == (code, "not_run")
        assert resp.headers["X-Request-Id"]
        assert h.metric("refusals_total", code=code) == 1
        assert not any(e.requests for e in h.engines)

    run(scenario, engines=1)


@pytest.mark.parametrize(
    "length", [b"%d" % (2 * handlers.DISCARD_BYTES), b"9" * 5_000]
)
def test_far_too_large_body_is_refused_before_it_is_read(length):
    async def scenario(h):
        stream = await fakes.open_stream(h.address)
        await stream.write(
            b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
            b"Content-Length: %s\r\n\r\n" % length
        )
        assert b" 413 " in await stream.read_until(b"\r\n")

    run(scenario, engines=1)


def test_unknown_paths_and_methods_are_refused_with_a_code():
    async def scenario(h):
        _, body = await h.post({}, "/nothing")
        assert json.loads(body)["error"]["code"] == "unknown_route"
        resp, body = await h.post({}, method="PUT")
        assert resp.status == 405
        assert json.loads(body)["error"]["code"] == "method_not_allowed"

    run(scenario, engines=1)
