"""Guards against partial or unrelated answers that count as complete."""

import asyncio
import time
import tracemalloc

import pytest

from balsamlug import exceptions
from balsamlug.router import upstream
from tests.router import fakes


def fetch(answer: bytes, method: str = "POST", body: bytes | None = b"x"):
    async def main():
        requests = []

        async def serve(reader, writer):
            requests.append(await reader.readuntil(b"\r\n\r\n"))
            writer.write(answer)
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        call = upstream.Call(f"127.0.0.1:{port}", method, "/p", {}, body)
        try:
            return await upstream.fetch(call, 2.0)
        finally:
            server.close()
            assert len(requests) == 1

    return asyncio.run(main())


@pytest.mark.parametrize(
    ("answer", "status", "body"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", 200, b"ab"),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"1\r\na\r\n1\r\nb\r\n0\r\n\r\n",
            200,
            b"ab",
        ),
        (b"HTTP/1.0 200 OK\r\n\r\nuntil close", 200, b"until close"),
        (
            b"HTTP/1.1 100 Continue\r\n\r\n"
            b"HTTP/1.1 204 No Content\r\nX-A: 1\r\n\r\n",
            204,
            b"",
        ),
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nConnection: close\r\n\r\n"
            b"aHTTP/1.1 500 No\r\nContent-Length: 1\r\n\r\nb",
            200,
            b"a",
        ),
    ],
)
def test_reads_every_framing_of_a_complete_answer(answer, status, body):
    resp, received_body = fetch(answer)
    assert (resp.status, received_body) == (status, body)


def test_head_has_no_body():
    answer = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"
    resp, received_body = fetch(answer, "HEAD", None)
    assert (resp.status, received_body) == (200, b"")
    assert resp.headers["Content-Length"] == "5"


@pytest.mark.parametrize(
    "answer",
    [
        b"",
        b"no http\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"HTTP/1.1 200 OK\r\nX: " + b"a" * upstream.MAX_HEADER_BYTES,
        b"HTTP/1.1 200 OK\r\nX: 1",
    ],
)
def test_partial_and_malformed_answers_have_an_unknown_outcome(answer):
    with pytest.raises(exceptions.UpstreamFailed) as info:
        fetch(answer)
    assert info.value.outcome == exceptions.UNKNOWN


def test_refused_connection_did_not_run():
    async def main():
        address = f"127.0.0.1:{fakes.free_port()}"
        with pytest.raises(exceptions.UpstreamUnreachable):
            await upstream.fetch(upstream.Call(address, "GET", "/"), 1.0)

    asyncio.run(main())


def test_line_end_in_a_header_is_not_sent():
    async def main():
        call = upstream.Call("127.0.0.1:1", "GET", "/", {"A": "b\r\nC: d"})
        with pytest.raises(exceptions.MalformedRequest):
            await upstream.fetch(call, 1.0)

    asyncio.run(main())


HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
ENDLESS = {
    "status line": (b"HTTP/1.1 200 ", b"a"),
    "header name": (HEAD, b"a"),
    "header value": (HEAD + b"X: ", b"a"),
    "headers": (HEAD, b"X: 1\r\n"),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "chunk extension": (CHUNKED + b"1;", b"a"),
    "trailers": (CHUNKED + b"1\r\na\r\n0\r\n", b"X: 1\r\n"),
    "no protocol": (b"", b"\0"),
    "body without length": (HEAD + b"\r\n", b"a"),
    "chunks": (CHUNKED, b"1\r\na\r\n"),
    "body with length": (HEAD + b"Content-Length: 999999999\r\n\r\n", b"a"),
}
MEMORY_LIMIT_BYTES = 2 * 1024 * 1024
ENDLESS_LIMIT_S = 3.0


async def _send_without_end(writer, start: bytes, repeated: bytes) -> None:
    writer.write(start)
    block = repeated * (32 * 1024 // len(repeated))
    try:
        while not writer.is_closing():
            writer.write(block)
            await writer.drain()
    except ConnectionError:
        pass
    writer.close()


@pytest.mark.parametrize("case", ENDLESS)
def test_answer_without_end_is_cut_and_takes_little_memory(case):
    async def main():
        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            await _send_without_end(writer, *ENDLESS[case])

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        call = upstream.Call(f"127.0.0.1:{port}", "GET", "/")
        tracemalloc.start()
        started_s = time.monotonic()
        with pytest.raises(exceptions.UpstreamFailed):
            await upstream.fetch(call, 2 * ENDLESS_LIMIT_S, 256 * 1024)
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        server.close()
        assert peak < MEMORY_LIMIT_BYTES
        assert time.monotonic() - started_s < ENDLESS_LIMIT_S

    asyncio.run(main())


def test_long_body_with_few_other_bytes_is_read():
    body = b"a" * (2 * upstream.MAX_HEADER_BYTES)
    chunks = b"1\r\na\r\n" * len(body) + b"0\r\n\r\n"
    assert fetch(CHUNKED + chunks)[1] == body


def test_request_that_is_no_longer_permitted_is_not_sent():
    # The process may be paused between its decision and the open connection.
    async def main():
        received = []
        permitted = [True]

        async def serve(reader, writer):
            received.append(await reader.read())
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        call = upstream.Call(
            f"127.0.0.1:{port}", "POST", "/", permitted=lambda: permitted[0]
        )
        task = asyncio.create_task(upstream.fetch(call, 1.0))
        await asyncio.sleep(0)
        permitted[0] = False
        with pytest.raises(exceptions.UpstreamUnreachable) as info:
            await task
        assert info.value.outcome == exceptions.NOT_RUN
        await asyncio.sleep(0.05)
        server.close()
        assert received == [b""]

    asyncio.run(main())


@pytest.mark.parametrize("is_complete", [False, True])
def test_aborted_call_does_not_wait_for_a_reader_that_is_paused(is_complete):
    # Its group would count the request as running while the caller does not
    # read.
    async def main() -> upstream.Response:
        paused = asyncio.Event()

        def pause(data: bytes) -> asyncio.Future:
            del data
            paused.set()
            return asyncio.get_running_loop().create_future()

        async def serve(reader, writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            length = 1 if is_complete else 2
            writer.write(
                b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\na" % length
            )
            await reader.read()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        exchange = upstream.Exchange(pause)
        call = upstream.Call(f"127.0.0.1:{port}", "GET", "/")
        task = asyncio.create_task(exchange.run(call))
        await paused.wait()
        exchange.abort()
        resp = await asyncio.wait_for(task, 2.0)
        server.close()
        return resp

    assert asyncio.run(main()).complete is is_complete
