"""Guards against answers without framing that are misjudged as complete."""

import asyncio
import contextlib
import socket
import struct

import pytest

from balsamlug import exceptions
from balsamlug.router import upstream

FIN = "fin"
RESET = "reset"
HALF_CLOSE = "half close"
# Closing with a linger time of zero sends RST.
_NO_LINGER = struct.pack("ii", 1, 0)
# The receiver has read what was sent before within this time.
PAUSE_S = 0.05
TIMEOUT_S = 2.0
# More than the socket buffers of both sides hold.
LONG_BODY = b"b" * (16 * 1024 * 1024)
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER)
    writer.transport.abort()


_ENDINGS = {
    FIN: lambda writer: writer.close(),
    RESET: _reset,
    HALF_CLOSE: lambda writer: writer.write_eof(),
}


def fetch(
    pieces: list[bytes],
    ending: str = FIN,
    method: str = "GET",
    body: bytes | None = None,
) -> tuple[upstream.Response, bytes]:
    """Return the answer of a server that sends these pieces."""

    async def main() -> tuple[upstream.Response, bytes]:
        writers = []

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writers.append(writer)
            await reader.readuntil(b"\r\n\r\n")
            writer.transport.pause_reading()
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(PAUSE_S)
            _ENDINGS[ending](writer)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        call = upstream.Call(f"127.0.0.1:{port}", method, "/p", {}, body)
        try:
            return await upstream.fetch(call, TIMEOUT_S)
        finally:
            server.close()
            for writer in writers:
                writer.transport.abort()

    return asyncio.run(main())


COMPLETE = {
    "one piece": ([HEAD + b"\r\nbody"], b"body"),
    "split": ([HEAD[:9], HEAD[9:], b"\r", b"\nbo", b"dy"], b"body"),
    "HTTP/1.0": ([b"HTTP/1.0 200 OK\r\n\r\nbody"], b"body"),
    "keep-alive": ([HEAD + b"Connection: keep-alive\r\n\r\nbody"], b"body"),
    "HTTP/1.0 keep-alive": (
        [b"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\n\r\nbody"],
        b"body",
    ),
    "close": ([HEAD + b"Connection: close\r\n\r\nbody"], b"body"),
    "empty": ([HEAD + b"\r\n"], b""),
    "after interim answers": (
        [
            b"HTTP/1.1 100 Continue\r\n\r\n",
            b"HTTP/1.1 103 Early Hints\r\nContent-Length: 9\r\n\r\n",
            HEAD + b"\r\nbody",
        ],
        b"body",
    ),
    "like an answer": ([HEAD + b"\r\n", CHUNKED], CHUNKED),
    "long": ([HEAD + b"\r\n", LONG_BODY[: 5 << 20]], LONG_BODY[: 5 << 20]),
}


@pytest.mark.parametrize("case", COMPLETE)
def test_unframed_answer_ends_with_its_connection(case):
    pieces, body = COMPLETE[case]
    resp, received = fetch(pieces)
    assert resp.status == 200
    assert received == body


@pytest.mark.parametrize("case", COMPLETE)
def test_unframed_answer_that_is_reset_is_not_complete(case):
    with pytest.raises(exceptions.UpstreamFailed):
        fetch(COMPLETE[case][0], RESET)


def test_unframed_answer_over_the_limit_is_cut():
    body = b"b" * (upstream.MAX_BODY_BYTES + 1)
    with pytest.raises(exceptions.UpstreamFailed):
        fetch([HEAD + b"\r\n", body])


BROKEN = {
    "status line": [HEAD],
    "part of the head": [HEAD + b"X-A: 1\r\n"],
    "interim answer": [b"HTTP/1.1 100 Continue\r\n\r\n"],
    "switched protocol": [
        b"HTTP/1.1 101 Switching Protocols\r\n"
        b"Connection: upgrade\r\nUpgrade: x\r\n\r\nbody"
    ],
    "length": [HEAD + b"Content-Length: 5\r\n\r\nbody"],
    "HTTP/1.0 length": [b"HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nbody"],
    "two lengths": [
        HEAD + b"Content-Length: 4\r\nContent-Length: 5\r\n\r\nbody"
    ],
    "empty length": [HEAD + b"Content-Length: \r\n\r\nbody"],
    "bad length": [HEAD + b"Content-Length: 4x\r\n\r\nbody"],
    "length and chunks": [
        HEAD + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\nbody"
    ],
    "before the chunks": [CHUNKED],
    "between chunks": [CHUNKED, b"4\r\nbody\r\n"],
    "after the last chunk": [CHUNKED, b"4\r\nbody\r\n0\r\n"],
    "in the trailers": [CHUNKED, b"4\r\nbody\r\n0\r\nX-A: 1\r\n"],
    "unknown coding": [HEAD + b"Transfer-Encoding: gzip\r\n\r\nbody"],
}


@pytest.mark.parametrize("ending", [FIN, RESET, HALF_CLOSE])
@pytest.mark.parametrize("case", BROKEN)
def test_cut_framed_answer_is_not_complete(case, ending):
    with pytest.raises(exceptions.UpstreamFailed) as info:
        fetch(BROKEN[case], ending)
    assert "in time" not in str(info.value)


@pytest.mark.parametrize("ending", [FIN, RESET])
@pytest.mark.parametrize(
    ("status", "method"), [("204", "GET"), ("304", "GET"), ("200", "HEAD")]
)
def test_answer_without_body_is_complete_with_its_head(status, method, ending):
    answer = f"HTTP/1.1 {status} X\r\nX-A: 1\r\n\r\n".encode()
    resp, body = fetch([answer, b"more"], ending, method)
    assert (resp.status, body) == (int(status), b"")


def test_half_close_during_a_long_request_ends_an_unframed_answer():
    body = None
    with contextlib.suppress(exceptions.UpstreamFailed):
        body = fetch([HEAD + b"\r\nbody"], HALF_CLOSE, "POST", LONG_BODY)[1]
    assert body == b"body"


@pytest.mark.parametrize("case", ["status line", "length", "between chunks"])
def test_half_close_during_a_long_request_ends_a_cut_answer(case):
    with pytest.raises(exceptions.UpstreamFailed) as info:
        fetch(BROKEN[case], HALF_CLOSE, "POST", LONG_BODY)
    assert "in time" not in str(info.value)


def test_aborted_unframed_answer_is_not_complete():
    async def main() -> upstream.Response:
        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD + b"\r\nbody")
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        exchange = upstream.Exchange(lambda data: exchange.abort())
        resp = await exchange.run(
            upstream.Call(f"127.0.0.1:{port}", "GET", "/")
        )
        server.close()
        return resp

    assert not asyncio.run(main()).complete
