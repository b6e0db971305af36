"""Guards against an exit before an answer has been sent."""

import asyncio

from tornado import testing

from balsamlug import catalogue as catalogues
from balsamlug import clock as clocks
from balsamlug.gateway import frontend
from balsamlug.platform import requests

# More than the socket buffers of both sides hold.
LONG_BODY = b"b" * (16 * 1024 * 1024)
REQUEST = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"


def test_frontend_is_busy_until_the_caller_has_read_its_answer():
    async def main():
        async def handle(req, responder):
            responder.closes_connection = True
            responder.answer(200, [], LONG_BODY)

        front = frontend.Frontend(
            handle,
            requests.PlatformHeaders(),
            clocks.SystemClock(),
            catalogues.CallerLimits(),
        )
        sock, port = testing.bind_unused_port()
        front.server.add_sockets([sock])
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        assert not front.busy
        writer.write(REQUEST)
        await asyncio.sleep(0.2)
        assert front.busy
        assert len(await reader.read()) > len(LONG_BODY)
        await asyncio.sleep(0.1)
        assert not front.busy
        writer.close()
        front.server.stop()

    asyncio.run(main())


def test_part_of_a_request_makes_the_frontend_busy():
    async def main():
        async def handle(req, responder):
            responder.answer(200, [], b"")

        front = frontend.Frontend(
            handle,
            requests.PlatformHeaders(),
            clocks.SystemClock(),
            catalogues.CallerLimits(),
        )
        sock, port = testing.bind_unused_port()
        front.server.add_sockets([sock])
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for part in (REQUEST[:10], REQUEST[10:]):
            await asyncio.sleep(0.1)
            assert front.busy is (part == REQUEST[10:])
            writer.write(part)
        await reader.readuntil(b"\r\n\r\n")
        await asyncio.sleep(0.1)
        assert not front.busy
        writer.close()
        front.server.stop()

    asyncio.run(main())
