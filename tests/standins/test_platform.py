"""Guards the contract of the object API that the store client relies on."""

import asyncio
import time

import pytest
from tornado import httpclient

from balsamlug_standins import platform
from tests.standins import helpers


def _run(case):
    async def run():
        state = platform.Platform()
        async with helpers.served(platform.application(state)) as client:
            await case(client, state)

    asyncio.run(run())


async def _put(client, value, expected, name="a"):
    body = {"value": value, "expected_version": expected}
    return await client.call(f"/objects/k/{name}", "PUT", body)


def test_conditional_writes_and_versions_never_reused():
    async def case(client, state):
        status, first = await _put(client, {"n": 1}, 0)
        assert status == 200
        conflict = (409, {"error": "conflict", "version": first["version"]})
        assert await _put(client, {"n": 2}, 0) == conflict
        path = f"/objects/k/a?expected_version={first['version']}"
        assert (await client.call(path, "DELETE"))[0] == 200
        assert (await client.call("/objects/k/a"))[0] == 404
        _, second = await _put(client, {"n": 3}, 0)
        assert second["version"] > first["version"]

    _run(case)


def test_value_over_one_megabyte_is_refused():
    async def case(client, state):
        assert (await _put(client, {"t": "x" * 1_000_000}, 0))[0] == 413
        assert (await _put(client, {"t": "x" * 999_000}, 0))[0] == 200

    _run(case)


def test_watch_reports_writes_and_deletes_of_its_kind_only():
    async def case(client, state):
        _, first = await _put(client, {"n": 1}, 0)
        since = first["version"]
        path = f"/watch/k?since={since}&timeout_ms=3000"
        waiting = asyncio.create_task(client.call(path))
        await asyncio.sleep(0.1)
        await client.call(
            "/objects/other/x", "PUT", {"value": {}, "expected_version": 0}
        )
        await asyncio.sleep(0.1)
        assert not waiting.done()
        await _put(client, {"n": 2}, since)
        _, changes = await waiting
        assert [item["value"] for item in changes["items"]] == [{"n": 2}]
        version = changes["items"][0]["version"]
        path = f"/objects/k/a?expected_version={version}"
        await client.call(path, "DELETE")
        _, changes = await client.call(f"/watch/k?since={version}")
        assert (changes["items"], changes["deleted"]) == ([], ["a"])

    _run(case)


def test_writes_over_the_rate_limit_are_refused_and_counted():
    async def case(client, state):
        state.faults.writes_per_s = 5
        statuses = [
            (await _put(client, {}, 0, name=f"n{i}"))[0] for i in range(20)
        ]
        assert 5 <= statuses.count(200) < 20
        assert statuses.count(200) + statuses.count(429) == 20
        _, counters = await client.call("/control/counters")
        assert counters["calls"]["k"]["put"] == 20

    _run(case)


def test_waiting_watch_counts_as_one_call():
    async def case(client, state):
        await client.call("/watch/k?since=0&timeout_ms=200")
        _, counters = await client.call("/control/counters")
        assert counters["calls"]["k"] == {"watch": 1}

    _run(case)


def test_outage_refuses_calls_and_waiting_watches():
    async def case(client, state):
        waiting = asyncio.create_task(
            client.call("/watch/k?since=0&timeout_ms=4000")
        )
        await asyncio.sleep(0.1)
        await client.post("/control/faults", outage="refuse")
        assert (await waiting)[0] == 503
        assert (await _put(client, {}, 0))[0] == 503
        await client.post("/control/faults", outage="")
        assert (await _put(client, {}, 0))[0] == 200

    _run(case)


def test_hanging_outage_sends_no_response_and_writes_nothing():
    async def case(client, state):
        await client.post("/control/faults", outage="hang")
        with pytest.raises(httpclient.HTTPError):
            await client.call("/objects/k", timeout_s=0.3)
        await client.post("/control/faults", outage="")
        assert state.store.revision == 0

    _run(case)


def test_delay_postpones_the_effect_of_a_write():
    async def case(client, state):
        await client.post("/control/faults", delay_ms=200)
        started_s = time.monotonic()
        await _put(client, {}, 0)
        assert time.monotonic() - started_s >= 0.2

    _run(case)


def test_lost_answer_leaves_the_write_in_effect():
    async def case(client, state):
        await client.post("/control/faults", lose_answers=1)
        with pytest.raises((httpclient.HTTPError, OSError)):
            await _put(client, {"n": 1}, 0)
        assert state.store.get("k", "a")["value"] == {"n": 1}
        assert (await _put(client, {}, 0, name="b"))[0] == 200

    _run(case)


def test_instance_list_lags_and_states_are_set():
    async def case(client, state):
        await client.post(
            "/control/instances", instances=[{"id": "i", "state": "live"}]
        )
        _, before = await client.call("/instances")
        await client.post(
            "/control/instances",
            lag_ms=300,
            instances=[{"id": "i", "state": "leaving"}],
        )
        _, lagging = await client.call("/instances")
        assert lagging == before
        since = before["revision"]
        path = f"/instances?since={since}&timeout_ms=3000"
        _, after = await client.call(path)
        assert after["instances"] == [{"id": "i", "state": "leaving"}]
        assert after["revision"] > since

    _run(case)
