"""Guards against requests over a limit that get no answer."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import pytest
from tornado import testing

from balsamlug import catalogue as catalogues
from balsamlug import clock as clocks
from balsamlug.gateway import frontend
from balsamlug.gateway import messages
from balsamlug.platform import requests

TIMEOUT_S = 5.0
HEAD_BYTES = 1000
BODY_BYTES = 2000
LIMITS = catalogues.CallerLimits(HEAD_BYTES, BODY_BYTES)
LARGE_LIMITS = catalogues.CallerLimits(4 * HEAD_BYTES, 4 * BODY_BYTES)


def _request(head: int = 0, body: int = 0, chunked: bool = False) -> bytes:
    if not chunked:
        framing, data = f"Content-Length: {body}", b"b" * body
    else:
        framing = "Transfer-Encoding: chunked"
        data = b"%x\r\n%s\r\n0\r\n\r\n" % (body, b"b" * body)
    text = f"POST / HTTP/1.1\r\nHost: h\r\nX: {'x' * head}\r\n{framing}\r\n\r\n"
    return text.encode() + data


REQUEST = _request()
LARGE_REQUESTS = {
    "head": (_request(head=HEAD_BYTES), b"431"),
    "body": (_request(body=BODY_BYTES + 1), b"413"),
    "chunks": (_request(body=BODY_BYTES + 1, chunked=True), b"413"),
}
LARGE = pytest.mark.parametrize(
    ("request_", "status"), LARGE_REQUESTS.values(), ids=LARGE_REQUESTS
)

Send = Callable[[bytes], Awaitable[bytes]]


def _run(
    scenario: Callable[[frontend.Frontend, Send], Awaitable[None]],
    limits: catalogues.CallerLimits = LIMITS,
) -> None:
    async def handle(
        req: messages.CallerRequest, responder: frontend.Responder
    ) -> None:
        refusal = req.refusal
        responder.answer(200 if refusal is None else refusal.status, [], b"")

    async def main() -> None:
        front = frontend.Frontend(
            handle, requests.PlatformHeaders(), clocks.SystemClock(), limits
        )
        sock, port = testing.bind_unused_port()
        front.server.add_sockets([sock])
        reader, writer = await asyncio.open_connection("127.0.0.1", port)

        async def send(data: bytes) -> bytes:
            """Return the status of the answer, empty if there is none."""
            writer.write(data)
            try:
                head = await reader.readuntil(b"\r\n\r\n")
            except (asyncio.IncompleteReadError, ConnectionError):
                return b""
            return head.split(b" ")[1]

        try:
            async with asyncio.timeout(TIMEOUT_S):
                await scenario(front, send)
        finally:
            writer.close()
            front.server.stop()

    asyncio.run(main())


@LARGE
def test_request_over_a_limit_is_refused_and_its_connection_kept(
    request_, status
):
    async def scenario(front: frontend.Frontend, send: Send) -> None:
        assert await send(request_) == status
        assert await send(REQUEST) == b"200"

    _run(scenario)


@LARGE
def test_raised_limit_holds_for_open_connections(request_, status):
    async def scenario(front: frontend.Frontend, send: Send) -> None:
        assert await send(REQUEST) == b"200"
        front.apply(LARGE_LIMITS)
        assert await send(request_) == b"200"

    _run(scenario)


@LARGE
def test_lowered_limit_does_not_hold_for_a_request_that_may_be_on_its_way(
    request_, status
):
    async def scenario(front: frontend.Frontend, send: Send) -> None:
        assert await send(REQUEST) == b"200"
        front.apply(LIMITS)
        assert await send(request_) == b"200"
        assert await send(request_) == status

    _run(scenario, LARGE_LIMITS)


def test_limit_of_no_bytes_refuses_every_body_and_no_request_without_one():
    async def scenario(front: frontend.Frontend, send: Send) -> None:
        assert await send(_request(body=1)) == b"413"
        assert await send(_request(body=1, chunked=True)) == b"413"
        assert await send(REQUEST) == b"200"

    _run(scenario, catalogues.CallerLimits(HEAD_BYTES, 0))
