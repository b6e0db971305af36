"""Guards the admin port against callers that keep it from its platform."""

import asyncio
import contextlib

import prometheus_client as prom
import pytest
from tornado import testing

from balsamlug.controller import admin

TIMEOUT_S = 20.0
READY = b"GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n"
HALF = {
    "idle": b"",
    "half_head": READY[:-2],
    "half_body": READY[:-2] + b"Content-Length: 9\r\n\r\n",
}


def _run(scenario):
    view = admin.View(dict, lambda _: [], lambda: "", prom.CollectorRegistry())

    async def main():
        server = admin.make_server(view)
        sock, port = testing.bind_unused_port()
        server.add_sockets([sock])

        async def connect(data):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(data)
            return reader, writer

        try:
            async with asyncio.timeout(TIMEOUT_S):
                await scenario(connect)
        finally:
            server.stop()
            await server.close_all_connections()

    asyncio.run(main())


@pytest.mark.parametrize("kind", HALF)
def test_readiness_is_answered_beside_a_crowd_of_unfinished_requests(kind):
    async def scenario(connect):
        crowd = [
            await connect(HALF[kind])
            for _ in range(2 * admin.MAX_ADMIN_CONNECTIONS)
        ]
        # The oldest connections have given way.
        assert not await crowd[0][0].read()
        reader, _ = await connect(READY)
        assert (await reader.readline()).startswith(b"HTTP/1.1 200 ")

    _run(scenario)


def test_endless_head_is_not_kept():
    async def scenario(connect):
        reader, writer = await connect(b"GET / HTTP/1.1\r\nX: ")
        writer.write(b"x" * 2 * admin.MAX_ADMIN_HEAD_BYTES)
        with contextlib.suppress(ConnectionResetError):
            assert not await reader.read()

    _run(scenario)
