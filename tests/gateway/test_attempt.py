"""Guards against invalid answers of upstreams that are taken for valid ones."""

import asyncio
import socket
import struct
import time

import pytest

from balsamlug.gateway import answer_buffers
from balsamlug.gateway import attempt as attempts
from balsamlug.platform import requests
from balsamlug.router import upstream

Outcome = attempts.Outcome
PAUSE_S = 0.05
# Closing with a linger time of zero sends RST.
_NO_LINGER = struct.pack("ii", 1, 0)
SEALED = b"X-Attempt-Id: r1\r\nX-Server-Seal: s\r\n"


def _raw_answer(status: str, headers: bytes, body: bytes = b"") -> bytes:
    return b"HTTP/1.1 " + status.encode() + b"\r\n" + headers + b"\r\n" + body


async def _serve(answer: bytes, reset_connection: bool) -> asyncio.Server:
    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        await writer.drain()
        if reset_connection:
            # The receiver reads the answer before the reset.
            await asyncio.sleep(PAUSE_S)
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER
            )
            writer.transport.abort()
        writer.close()

    return await asyncio.start_server(handle, "127.0.0.1", 0)


def _run(
    answer: bytes,
    reset_connection: bool = False,
    accepts_stream: bool = False,
) -> attempts.Answer:
    async def main() -> attempts.Answer:
        server = await _serve(answer, reset_connection)
        port = server.sockets[0].getsockname()[1]
        attempt = attempts.Attempt(
            requests.PlatformHeaders(), "r1", accepts_stream=accepts_stream
        )
        call = upstream.Call(f"127.0.0.1:{port}", "GET", "/x")
        try:
            return await attempt.run(call)
        finally:
            server.close()

    return asyncio.run(main())


def test_complete_answer_is_accepted():
    answer = _run(
        _raw_answer("200 OK", SEALED + b"Content-Length: 4\r\n", b"body")
    )
    assert answer.outcome is Outcome.ANSWERED
    assert answer.is_success
    assert answer.body == b"body"


def test_server_error_is_an_answer():
    answer = _run(_raw_answer("500 Oops", SEALED + b"Content-Length: 0\r\n"))
    assert answer.outcome is Outcome.ANSWERED
    assert not answer.is_success


@pytest.mark.parametrize(
    "answer",
    [
        _raw_answer("200 OK", SEALED + b"Content-Length: 9\r\n", b"body"),
        _raw_answer("200 OK", b"X-Attempt-Id: r1\r\nContent-Length: 0\r\n"),
        _raw_answer(
            "200 OK",
            b"X-Attempt-Id: r0\r\nX-Server-Seal: s\r\nContent-Length: 0\r\n",
        ),
        _raw_answer(
            "200 OK",
            SEALED + b"Transfer-Encoding: chunked\r\n",
            b"4\r\nbody\r\n",
        ),
        _raw_answer("503 Full", SEALED + b"Content-Length: 0\r\n"),
        b"\x00\x01 no answer at all\r\n\r\n",
        b"",
    ],
    ids=[
        "short",
        "unsealed",
        "another",
        "unended",
        "promise",
        "garbage",
        "nothing",
    ],
)
def test_invalid_answer_is_broken(answer):
    assert _run(answer).outcome is Outcome.BROKEN


@pytest.mark.parametrize("status", ["503 Full", "421 Other", "429 Slow"])
def test_refusal_of_another_request_is_no_promise_for_this_one(status):
    refusal = b"X-Attempt-Id: r0\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n"
    answer = _run(_raw_answer(status, refusal))
    assert answer.outcome is Outcome.BROKEN
    assert answer.may_have_run


@pytest.mark.parametrize("accepts_stream", [False, True])
@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/1.1 200 OK\r\n" + SEALED,
        b"HTTP/1.1 200 OK\r\n" + SEALED + b"Content-Le",
        b"HTTP/1.1 200 OK\r\n" + SEALED + b"Content-Length: 4\r\n",
        b"HTTP/1.1 200 O",
        b"HTTP/1.1 503 Full\r\nX-Attempt-Id: r1\r\nX-Not-Executed: 1\r\n",
    ],
)
def test_answer_that_ends_inside_its_head_is_broken(head, accepts_stream):
    answer = _run(head, accepts_stream=accepts_stream)
    assert answer.outcome is Outcome.BROKEN
    assert answer.may_have_run
    assert not answer.body


def test_bytes_after_the_answer_are_ignored():
    complete = _raw_answer("200 OK", SEALED + b"Content-Length: 4\r\n", b"body")
    answer = _run(complete + _raw_answer("200 OK", SEALED, b"another"))
    assert answer.outcome is Outcome.ANSWERED
    assert answer.body == b"body"


def test_answer_without_length_ends_with_its_connection():
    answer = _run(_raw_answer("200 OK", SEALED, b"body"))
    assert answer.outcome is Outcome.ANSWERED
    assert answer.body == b"body"


UNFRAMED = {
    "short": (SEALED, b"body"),
    "empty": (SEALED, b""),
    "keep-alive": (SEALED + b"Connection: keep-alive\r\n", b"body"),
    "long": (SEALED, b"b" * (5 * 1024 * 1024)),
    "at the limit": (SEALED, b"b" * answer_buffers.MAX_ANSWER_BYTES),
}


@pytest.mark.parametrize("case", UNFRAMED)
def test_whole_unframed_answer_is_accepted(case):
    headers, body = UNFRAMED[case]
    answer = _run(_raw_answer("200 OK", headers, body))
    assert answer.outcome is Outcome.ANSWERED
    assert answer.body == body


@pytest.mark.parametrize("case", UNFRAMED)
def test_unframed_answer_that_is_reset_is_broken(case):
    headers, body = UNFRAMED[case]
    answer = _run(_raw_answer("200 OK", headers, body), reset_connection=True)
    assert answer.outcome is Outcome.BROKEN
    assert answer.may_have_run


def test_unframed_answer_over_the_limit_is_broken():
    body = b"b" * (answer_buffers.MAX_ANSWER_BYTES + 1)
    answer = _run(_raw_answer("200 OK", SEALED, body))
    assert answer.outcome is Outcome.BROKEN


@pytest.mark.parametrize("status", ["503 Full", "429 Busy", "400 Bad"])
def test_not_executed_header_means_not_run(status):
    headers = SEALED + b"X-Not-Executed: 1\r\nContent-Length: 0\r\n"
    assert _run(_raw_answer(status, headers)).outcome is Outcome.NOT_RUN


def test_misdirected_request_has_not_run():
    answer = _raw_answer("421 Misdirected", b"Content-Length: 0\r\n")
    assert _run(answer).outcome is Outcome.NOT_RUN


def test_failure_without_not_executed_header_may_have_run():
    answer = _run(_raw_answer("503 Full", b"Content-Length: 0\r\n"))
    assert answer.outcome is Outcome.BROKEN
    assert answer.sent


def test_refused_connection_sends_nothing():
    async def main() -> attempts.Answer:
        attempt = attempts.Attempt(requests.PlatformHeaders(), "r1")
        return await attempt.run(upstream.Call("127.0.0.1:1", "GET", "/x"))

    answer = asyncio.run(main())
    assert answer.outcome is Outcome.UNREACHABLE
    assert not answer.sent


def test_attempt_can_be_aborted():
    async def main() -> attempts.Answer:
        server = await _serve(b"HTTP/1.1 200 OK\r\n", reset_connection=False)
        port = server.sockets[0].getsockname()[1]
        attempt = attempts.Attempt(requests.PlatformHeaders(), "r1")
        call = upstream.Call(f"127.0.0.1:{port}", "GET", "/x")
        asyncio.get_running_loop().call_soon(attempt.abort, Outcome.TIMED_OUT)
        try:
            return await attempt.run(call)
        finally:
            server.close()

    assert asyncio.run(main()).outcome is Outcome.TIMED_OUT


def test_unsealed_answer_without_end_is_cut():
    # Bytes of a faulty server are not collected.
    answer = _run(
        _raw_answer(
            "200 OK", b"Content-Length: 99999999\r\n", b"a" * 1024 * 1024
        )
    )
    assert answer.outcome is Outcome.BROKEN
    assert not answer.body


@pytest.mark.parametrize("accepts_stream", [False, True])
def test_encoded_success_is_broken(accepts_stream):
    # Callers do not take an encoded body for the server's body.
    headers = SEALED + b"Content-Encoding: gzip\r\nContent-Length: 4\r\n"
    answer = _run(
        _raw_answer("200 OK", headers, b"body"), accepts_stream=accepts_stream
    )
    assert answer.outcome is Outcome.BROKEN


@pytest.mark.parametrize(
    "outcome",
    [
        Outcome.TIMED_OUT,
        Outcome.GROUP_LOST,
        Outcome.PATH_LOST,
        Outcome.STOPPED,
    ],
)
def test_complete_answer_is_kept_when_its_time_ends_in_the_same_iteration(
    outcome,
):
    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        head = SEALED + b"Content-Length: 4\r\n"
        writer.write(_raw_answer("200 OK", head, b"body"))
        # The loop handles nothing until the time is over.
        time.sleep(2 * PAUSE_S)
        writer.close()

    async def main() -> attempts.Answer:
        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        attempt = attempts.Attempt(requests.PlatformHeaders(), "r1")
        loop = asyncio.get_running_loop()
        loop.call_later(PAUSE_S, attempt.abort, outcome)
        try:
            return await attempt.run(
                upstream.Call(f"127.0.0.1:{port}", "GET", "/x")
            )
        finally:
            server.close()

    answer = asyncio.run(main())
    assert answer.outcome is Outcome.ANSWERED
    assert answer.body == b"body"
