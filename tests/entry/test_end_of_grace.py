"""Guards against connections that a stop ends without an answer."""

import asyncio
import time
import types

import pytest

from balsamlug_standins import members
from tests.entry import fleet as fleets
from tests.entry import kept_callers
from tests.entry import plain_calls

GRACE_S = 2
DEADLINE_MS = 30_000
# A request that is still running at the end of the grace period.
ENDLESS_S = 20.0
TARGET = "/calc/"


def _run(scenario, monkeypatch, kind: str = "unsafe") -> None:
    async def main() -> None:
        async with plain_calls.running(2, 1, DEADLINE_MS) as plain:
            node = plain.fleet.nodes[0]
            await plain.fleet.ready()
            plain.servers[0].delays = {TARGET: ENDLESS_S}
            await scenario(plain, node)

    monkeypatch.setattr(fleets, "GRACE_S", GRACE_S)
    monkeypatch.setitem(plain_calls.ROUTE, "TimeoutMs", DEADLINE_MS)
    monkeypatch.setitem(plain_calls.ROUTE, "RouteType", kind)
    asyncio.run(main())


def _send(node, target=TARGET, tokens="") -> asyncio.Future:
    port = node.peers.settings.caller_port
    caller = kept_callers.KeptCaller(port)
    return asyncio.ensure_future(caller.send("r1", target, DEADLINE_MS, tokens))


async def _stop(node) -> None:
    started_s = time.monotonic()
    await node.stop()
    assert time.monotonic() - started_s < GRACE_S


@pytest.mark.parametrize("kind", ["safe", "unsafe"])
def test_call_that_may_have_run_is_answered_without_a_promise(
    monkeypatch, kind
):
    async def scenario(plain, node):
        call = _send(node)
        await plain.fleet.until(lambda: bool(plain.servers[0].arrivals))
        await _stop(node)
        result = await call
        assert (result.status, result.is_complete) == (504, True)
        assert result.headers["connection"] == "close"
        assert result.took_s < GRACE_S

    _run(scenario, monkeypatch, kind)


def test_call_that_was_not_sent_is_refused_as_not_run(monkeypatch):
    async def scenario(plain, node):
        async def connect(*args, **options):
            await asyncio.sleep(ENDLESS_S)

        node.gateway.ctx.connector = types.SimpleNamespace(connect=connect)
        call = _send(node)
        await plain.fleet.until(lambda: bool(node.gateway.in_flight))
        await _stop(node)
        result = await call
        assert (result.status, result.is_complete) == (503, True)
        assert result.retry_after_s > 0
        assert not plain.servers[0].arrivals

    _run(scenario, monkeypatch)


def test_stream_that_has_not_begun_is_answered(monkeypatch):
    async def silent(self, first, cut_at):
        await asyncio.sleep(ENDLESS_S)

    async def is_lost(group, reason):
        return False

    async def scenario(plain, node):
        stream = _send(node, "/chat/1", "100,20")
        await plain.fleet.until(
            lambda: any(h.started_attempts for h in plain.fleet.open_heads())
        )
        node.gateway.ctx.detector = types.SimpleNamespace(
            is_lost=is_lost, record_response=lambda: None
        )
        await _stop(node)
        result = await stream
        assert (result.status, result.is_complete) == (504, True)

    monkeypatch.setattr(members._Stream, "_send_events", silent)
    _run(scenario, monkeypatch)


def test_begun_stream_ends_visibly_incomplete(monkeypatch):
    async def scenario(plain, node):
        for member in plain.fleet.servers.values():
            member.event_counts = {"/chat/1": 1000}
        stream = _send(node, "/chat/1", "100,2000")
        await plain.fleet.until(
            lambda: any(h.started_attempts for h in plain.fleet.open_heads())
        )
        await _stop(node)
        result = await stream
        assert (result.status, result.is_complete) == (200, False)
        assert result.body.startswith(b"id: 1\n")

    _run(scenario, monkeypatch)
