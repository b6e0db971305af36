"""Guards against requests that a stop drops while they are received."""

import asyncio
import socket

import pytest

from balsamlug.gateway import durations
from tests.entry import fleet as fleets
from tests.entry import kept_callers
from tests.entry import plain_calls

DEADLINE_MS = 30_000
# The node could exit by then, but has time for a short request.
LATE_S = fleets.GRACE_S * 0.65
REQUEST = kept_callers.request("r1", "/calc/", DEADLINE_MS)
BODY = b"12345678"
LONG_REQUEST = REQUEST.replace(b"Length: 0", b"Length: 8") + BODY


def _run(scenario, monkeypatch) -> None:
    async def main() -> None:
        async with plain_calls.running(2, 1, DEADLINE_MS) as plain:
            node = plain.fleet.nodes[0]
            for _ in range(durations.MIN_SAMPLES):
                node.gateway.ctx.durations.record(
                    plain_calls.DURATION_KEY, 0.01
                )
            port = node.peers.settings.caller_port
            caller = kept_callers.KeptCaller(port)
            await caller.connect()
            # Another request leaves the connection open.
            result = await caller.send("r0", "/calc/", DEADLINE_MS)
            assert result.status == 200
            plain.servers[0].attempts.clear()
            await scenario(plain.servers[0], node, caller)
            caller.close()

    monkeypatch.setitem(plain_calls.ROUTE, "TimeoutMs", DEADLINE_MS)
    asyncio.run(main())


async def _read(caller: kept_callers.KeptCaller) -> kept_callers.Result:
    result = kept_callers.Result("r1", "/calc/", 0.0)
    await caller.read(result)
    return result


@pytest.mark.parametrize("received", [30, len(LONG_REQUEST) - len(BODY) // 2])
def test_request_that_arrives_slowly_is_served(monkeypatch, received):
    async def scenario(server, node, caller):
        stop = asyncio.ensure_future(node.stop())
        caller.writer.write(LONG_REQUEST[:received])
        await asyncio.sleep(LATE_S)
        caller.writer.write(LONG_REQUEST[received:])
        result = await _read(caller)
        assert (result.status, result.is_complete) == (200, True)
        assert server.attempts == ["r1"]
        await stop

    _run(scenario, monkeypatch)


@pytest.mark.parametrize("received", [30, len(LONG_REQUEST) - len(BODY) // 2])
def test_request_that_is_never_complete_is_refused(monkeypatch, received):
    async def scenario(server, node, caller):
        caller.writer.write(LONG_REQUEST[:received])
        await asyncio.sleep(0.1)
        await node.stop()
        result = await _read(caller)
        assert (result.status, result.is_complete) == (503, True)
        assert result.headers["connection"] == "close"
        assert result.retry_after_s > 0
        assert not await caller.reader.read()
        assert not server.attempts

    _run(scenario, monkeypatch)


def test_request_that_arrives_as_the_process_exits_is_refused(monkeypatch):
    async def scenario(server, node, caller):
        end = node.gateway.end_requests
        new = socket.socket()

        def end_while_requests_arrive():
            end()
            sock = caller.writer.get_extra_info("socket")
            # Blocking calls: the loop has no chance to read before the exit.
            assert socket.socket.send(sock._sock, REQUEST) == len(REQUEST)
            new.connect(("127.0.0.1", caller.port))
            new.sendall(REQUEST)

        monkeypatch.setattr(
            type(node.gateway),
            "end_requests",
            lambda g: end_while_requests_arrive(),
        )
        await node.stop()
        result = await _read(caller)
        assert (result.status, result.is_complete) == (503, True)
        new.settimeout(1.0)
        assert new.recv(1000).startswith(b"HTTP/1.1 503 ")
        new.close()
        assert not server.attempts

    _run(scenario, monkeypatch)


def test_idle_connection_ends_without_an_answer(monkeypatch):
    async def scenario(server, node, caller):
        del server
        await node.stop()
        assert not await caller.reader.read()

    _run(scenario, monkeypatch)
