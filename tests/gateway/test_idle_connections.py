"""Guards against requests that are read and dropped by an idle timer."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import time

import attrs
import pytest
from tornado import testing

from balsamlug import catalogue as catalogues
from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug.gateway import frontend
from balsamlug.gateway import messages
from balsamlug.gateway import pending_requests
from balsamlug.platform import requests

REQUEST = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
HEAD_END = REQUEST.index(b"\r\n\r\n") + 4
IDLE_MS = 400
LONG_IDLE_MS = 4 * IDLE_MS
# The largest part of the idle limit after which a caller uses a connection.
REUSE_SHARE = 0.8
TIMEOUT_S = 10.0


@attrs.define
class Caller:
    """A connection of a caller to a frontend."""

    frontend: frontend.Frontend
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def answer(self) -> bytes:
        """Return the next answer, empty if the connection has ended."""
        try:
            async with asyncio.timeout(TIMEOUT_S):
                head = await self.reader.readuntil(b"\r\n\r\n")
                length = head.partition(b"Content-Length: ")[2].split()[0]
                return head + await self.reader.readexactly(int(length))
        except (asyncio.IncompleteReadError, ConnectionError):
            return b""

    async def call(self, data: bytes = REQUEST) -> bytes:
        """Send a request and return its answer."""
        self.writer.write(data)
        return await self.answer()

    def apply(self, idle_ms: int) -> None:
        """Apply a configuration with another idle limit."""
        self.frontend.apply(catalogues.CallerLimits(idle_timeout_ms=idle_ms))


@contextlib.asynccontextmanager
async def _connected(limits: catalogues.CallerLimits):
    async def handle(
        req: messages.CallerRequest, responder: frontend.Responder
    ) -> None:
        del req
        responder.answer(200, [], b"done")

    front = frontend.Frontend(
        handle, requests.PlatformHeaders(), clocks.SystemClock(), limits
    )
    sock, port = testing.bind_unused_port()
    front.server.add_sockets([sock])
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        yield Caller(front, reader, writer)
    finally:
        writer.close()
        front.server.stop()


def _run(
    scenario: Callable[[Caller], Awaitable[None]],
    idle_ms: int = IDLE_MS,
    header_ms: int = IDLE_MS,
) -> None:
    async def main() -> None:
        limits = catalogues.CallerLimits(
            header_timeout_ms=header_ms, idle_timeout_ms=idle_ms
        )
        async with _connected(limits) as caller:
            await scenario(caller)

    asyncio.run(main())


def _s(milliseconds: float) -> float:
    return milliseconds / clocks.MS_PER_S


@pytest.mark.parametrize("reused", [False, True])
@pytest.mark.parametrize("sent", [len(REQUEST), HEAD_END, HEAD_END // 2])
def test_request_that_arrives_before_the_idle_timer_is_answered(reused, sent):
    async def scenario(caller: Caller) -> None:
        if reused:
            await caller.call()
        await asyncio.sleep(_s(IDLE_MS))
        caller.writer.write(REQUEST[:sent])
        # The loop handles nothing until the idle limit is over.
        time.sleep(_s(2 * IDLE_MS))
        assert (await caller.call(REQUEST[sent:])).startswith(b"HTTP/1.1 200 ")

    _run(scenario)


def test_raised_limit_holds_for_connections_that_are_idle_already():
    async def scenario(caller: Caller) -> None:
        await caller.call()
        caller.apply(LONG_IDLE_MS)
        await asyncio.sleep(REUSE_SHARE * _s(LONG_IDLE_MS))
        assert (await caller.call()).startswith(b"HTTP/1.1 200 ")

    _run(scenario)


def test_lowered_limit_does_not_hold_for_connections_that_are_idle_already():
    async def scenario(caller: Caller) -> None:
        await caller.call()
        caller.apply(IDLE_MS)
        await asyncio.sleep(REUSE_SHARE * _s(LONG_IDLE_MS))
        assert (await caller.call()).startswith(b"HTTP/1.1 200 ")

    _run(scenario, LONG_IDLE_MS)


def test_limit_that_was_raised_for_a_moment_holds_for_idle_connections():
    async def scenario(caller: Caller) -> None:
        await caller.call()
        caller.apply(LONG_IDLE_MS)
        caller.apply(IDLE_MS)
        await asyncio.sleep(REUSE_SHARE * _s(LONG_IDLE_MS))
        assert (await caller.call()).startswith(b"HTTP/1.1 200 ")

    _run(scenario)


def test_idle_connection_is_closed_after_the_lowered_limit():
    async def scenario(caller: Caller) -> None:
        caller.apply(IDLE_MS)
        await caller.call()
        async with asyncio.timeout(_s(LONG_IDLE_MS)):
            assert await caller.reader.read() == b""

    _run(scenario, LONG_IDLE_MS)


@pytest.mark.parametrize("sent", [HEAD_END // 2, HEAD_END - 1])
def test_head_that_is_not_completed_is_answered_with_408(sent):
    async def scenario(caller: Caller) -> None:
        await caller.call()
        async with asyncio.timeout(_s(2 * LONG_IDLE_MS)):
            answer = await caller.call(REQUEST[:sent])
            assert answer.startswith(b"HTTP/1.1 408 ")
            assert await caller.reader.read() == b""

    _run(scenario, 10 * LONG_IDLE_MS)


def test_body_that_is_not_completed_is_answered_with_408(monkeypatch):
    monkeypatch.setattr(
        "balsamlug.gateway.pending_requests.BODY_TIMEOUT_S", _s(IDLE_MS)
    )

    async def scenario(caller: Caller) -> None:
        await caller.call()
        async with asyncio.timeout(_s(2 * LONG_IDLE_MS)):
            answer = await caller.call(REQUEST[:-1])
            assert answer.startswith(b"HTTP/1.1 408 ")
            assert await caller.reader.read() == b""

    _run(scenario, 10 * LONG_IDLE_MS)


def test_slow_body_outlasts_the_idle_limit():
    async def scenario(caller: Caller) -> None:
        caller.writer.write(REQUEST[:-1])
        await asyncio.sleep(_s(3 * IDLE_MS))
        assert (await caller.call(REQUEST[-1:])).startswith(b"HTTP/1.1 200 ")

    _run(scenario)


def test_request_refused_as_late_is_not_served_when_its_rest_arrives():
    async def scenario(caller: Caller) -> None:
        await caller.call()
        caller.writer.write(REQUEST[:HEAD_END])
        await asyncio.sleep(0.1)
        (pending,) = caller.frontend.pending._pending
        # The caller does not read, so the refusal cannot be sent at once.
        caller.writer.transport.pause_reading()
        for _ in range(20):
            with contextlib.suppress(BlockingIOError):
                while True:
                    pending.stream.socket.send(bytes(2**16))
            await asyncio.sleep(0.01)
        pending.body_since_s -= pending_requests.BODY_TIMEOUT_S
        await asyncio.sleep(2 * pending_requests.SWEEP_INTERVAL_S)
        assert pending.stream.writing()
        caller.writer.write(REQUEST[HEAD_END:])
        await asyncio.sleep(0.1)
        caller.writer.transport.resume_reading()
        async with asyncio.timeout(TIMEOUT_S):
            received = await caller.reader.read()
        assert received.count(b"HTTP/1.1 408 ") == 1
        assert b"HTTP/1.1 200 " not in received

    _run(scenario)


def test_request_refused_at_the_end_of_a_stop_is_not_refused_again_as_late():
    async def scenario(caller: Caller) -> None:
        caller.writer.write(REQUEST[:HEAD_END])
        await asyncio.sleep(0.1)
        (pending,) = caller.frontend.pending._pending
        await caller.frontend.refuse_rest(exceptions.NodeStopping("stops", 1))
        pending.body_since_s -= pending_requests.BODY_TIMEOUT_S
        await asyncio.sleep(2 * pending_requests.SWEEP_INTERVAL_S)
        pending.stream.close()
        received = await caller.reader.read()
        assert received.count(b"HTTP/1.1 ") == 1

    _run(scenario)
