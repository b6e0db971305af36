"""Guards behaviour of the engine that relay and ownership tests rely on."""

import asyncio
import contextlib

import pytest

from balsamlug_standins import answers
from balsamlug_standins import engine
from balsamlug_standins import engine_core
from balsamlug_standins import engine_settings
from tests.standins import helpers

FAST_SETTINGS = {"load_ms": 50, "token_interval_ms": 5}


@contextlib.asynccontextmanager
async def _engines(count, **settings):
    async with contextlib.AsyncExitStack() as stack:
        started = []
        for index in range(count):
            core = engine_core.Engine(
                f"e{index}",
                "inc",
                engine_settings.EngineSettings(**(FAST_SETTINGS | settings)),
            )
            loops = asyncio.create_task(core.run())
            stack.callback(loops.cancel)
            app = engine.application(core)
            client = await stack.enter_async_context(helpers.served(app))
            started.append((core, client))
        yield started


async def _join(started, generation=1, fencing=1, **changes):
    members = [core.instance for core, _ in started]
    addresses = [client.address for _, client in started]
    responses = []
    for rank, (_, client) in enumerate(started):
        order = {
            "fencing": fencing,
            "kind": "join",
            "group": "g",
            "generation": generation,
            "rank": rank,
            "members": members,
            "addresses": addresses,
            "model": "m",
            "version": "1",
        }
        responses.append(await client.post("/v1/orders", **(order | changes)))
    return responses


async def _form(started):
    await _join(started)
    await helpers.eventually(lambda: not started[0][0].unavailable_reason)


def _request(**changes):
    return {
        "request_id": "r",
        "model": "m",
        "prompt": "p",
        "max_tokens": 6,
        "stream": True,
        "group": "g",
        "generation": 1,
    } | changes


def _text(events):
    return "".join(event["text"] for event in events)


def test_answer_is_complete_and_resumable():
    async def run():
        async with _engines(1) as started:
            await _form(started)
            _, client = started[0]
            complete, done = await client.stream(
                "/v1/completions", **_request()
            )
            assert done
            assert _text(complete) == answers.complete_text("p", 6)
            remaining, done = await client.stream(
                "/v1/completions", **_request(resume_from=4)
            )
            assert done
            assert remaining == complete[4:]
            _, body = await client.post(
                "/v1/completions", **_request(stream=False)
            )
            assert body["text"] == answers.complete_text("p", 6)

    asyncio.run(run())


def test_other_generation_is_refused_and_not_recorded():
    async def run():
        async with _engines(1) as started:
            await _form(started)
            core, client = started[0]
            refused = await client.post(
                "/v1/completions", **_request(generation=2)
            )
            assert refused == (409, {"error": "wrong_group"})
            assert core.record()["requests"] == []

    asyncio.run(run())


@pytest.mark.parametrize("fencing", [True, False])
def test_old_fencing_number_is_refused_only_with_fencing(fencing):
    async def run():
        async with _engines(1, fencing=fencing) as started:
            await _join(started, generation=2, fencing=7)
            stale_responses = await _join(started, generation=1, fencing=6)
            core, _ = started[0]
            if fencing:
                assert stale_responses == [
                    (409, {"error": "stale_fencing", "fencing": 7})
                ]
                assert core.status()["generation"] == 2
            else:
                assert stale_responses == [(200, {"applied": True})]
                assert core.status()["generation"] == 1

    asyncio.run(run())


def test_loading_takes_time_and_remaining_members_keep_their_weights():
    async def run():
        async with _engines(1, load_ms=200) as started:
            core, _ = started[0]
            await _join(started)
            assert core.status()["state"] == "loading"
            await helpers.eventually(lambda: core.status()["state"] == "ready")
            await _join(started, generation=2)
            assert core.status()["state"] == "ready"

    asyncio.run(run())


def test_unresponsive_member_fails_streams_of_the_head():
    async def run():
        async with _engines(2, token_interval_ms=50) as started:
            await _form(started)
            head, member = started
            stream = asyncio.create_task(
                head[1].stream("/v1/completions", **_request(max_tokens=900))
            )
            await helpers.eventually(
                lambda: head[0].batcher.runs_in_state("running")
            )
            member[0].settings.status_delay_ms = 60_000
            _, done = await stream
            assert not done
            assert head[0].record()["requests"][0]["state"] == "failed"
            refused = await head[1].post("/v1/completions", **_request())
            assert refused == (503, {"error": "member_lost"})

    asyncio.run(run())


def test_queue_is_ordered_by_priority():
    async def run():
        async with _engines(1, capacity=1) as started:
            await _form(started)
            core, client = started[0]
            requests = [
                client.stream(
                    "/v1/completions",
                    **_request(request_id=name, priority=priority),
                )
                for name, priority in (("a", 5), ("b", 5), ("c", 0))
            ]
            await asyncio.gather(*requests)
            runs = sorted(
                core.record()["requests"], key=lambda r: r["started_at_ms"]
            )
            order = [run["request_id"] for run in runs]
            assert order.index("c") < 2

    asyncio.run(run())


def test_cancel_and_disconnect_stop_a_run():
    async def run():
        async with _engines(1) as started:
            await _form(started)
            core, client = started[0]
            long_request = _request(max_tokens=100_000)
            stream = asyncio.create_task(
                client.stream("/v1/completions", **long_request)
            )
            await helpers.eventually(
                lambda: core.batcher.runs_in_state("running")
            )
            cancelled = await client.post("/v1/requests/r/cancel")
            assert cancelled == (200, {"cancelled": 1})
            assert not (await stream)[1]
            reader, writer = await asyncio.open_connection(
                *client.address.split(":")
            )
            body = str(long_request).replace("'", '"').replace("True", "true")
            writer.write(
                b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
                + f"Content-Length: {len(body)}\r\n\r\n{body}".encode()
            )
            await helpers.eventually(
                lambda: core.batcher.runs_in_state("running")
            )
            writer.close()
            await helpers.eventually(
                lambda: not core.batcher.runs_in_state("running")
            )
            states = [run["state"] for run in core.record()["requests"]]
            assert states == ["cancelled", "disconnected"]

    asyncio.run(run())


def test_load_report_lags():
    async def run():
        async with _engines(1, load_lag_ms=400) as started:
            await _form(started)
            core, client = started[0]
            stream = asyncio.create_task(
                client.stream("/v1/completions", **_request(max_tokens=100_000))
            )
            await helpers.eventually(
                lambda: core.batcher.runs_in_state("running")
            )
            await helpers.eventually(
                lambda: core.status()["load"]["running"] == 1
            )
            await client.post("/v1/requests/r/cancel")
            await stream
            assert core.status()["load"]["running"] == 1
            await helpers.eventually(
                lambda: core.status()["load"]["running"] == 0
            )

    asyncio.run(run())


def test_cache_events_are_delayed_and_have_gaps():
    async def run():
        settings = {"event_delay_ms": 200, "event_gap_every": 2}
        async with _engines(1, **settings) as started:
            await _form(started)
            _, client = started[0]
            await client.stream(
                "/v1/completions", **_request(prompt="x" * 256, max_tokens=1)
            )
            _, early = await client.call("/v1/cache-events?since=0")
            assert early == {"events": [], "next": 0}
            await asyncio.sleep(0.25)
            _, delayed = await client.call("/v1/cache-events?since=0")
            assert [e["sequence"] for e in delayed["events"]] == [1, 3]

    asyncio.run(run())


def test_imported_kv_saves_the_prefill():
    async def run():
        async with _engines(2, prefill_ms_per_1k=1000) as started:
            for index, core_and_client in enumerate(started):
                await _join([core_and_client], generation=index + 1)
            await helpers.eventually(
                lambda: not any(core.unavailable_reason for core, _ in started)
            )
            (_, first), (second_core, second) = started
            long_prompt = _request(prompt="y" * 1000, max_tokens=2)
            await first.stream("/v1/completions", **long_prompt)
            _, exported = await first.call("/v1/kv/r")
            assert (await second.post("/v1/kv/r", **exported))[0] == 200
            async with asyncio.timeout(0.8):
                _, done = await second.stream(
                    "/v1/completions", **(long_prompt | {"generation": 2})
                )
            assert done

    asyncio.run(run())
