"""Guards against answers that callers take for complete ones."""

import asyncio
from collections.abc import Callable

import pytest
from tornado import httputil
from tornado import testing

from balsamlug import catalogue as catalogues
from balsamlug import clock as clocks
from balsamlug.gateway import frontend
from balsamlug.gateway import messages
from balsamlug.gateway import unread_answers
from balsamlug.observability import metrics
from balsamlug.platform import requests

TIMEOUT_S = 2.0
# More than the socket buffers of both sides hold.
LONG_BODY = b"b" * (16 * 1024 * 1024)
HEADERS = [("X-Server-Seal", "s")]
OLD_REQUESTS = {
    "HTTP/1.0": "POST / HTTP/1.0\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.0 keep-alive": (
        "POST / HTTP/1.0\r\nConnection: keep-alive\r\nContent-Length: 0\r\n\r\n"
    ),
}
REQUEST = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"
HEAD_REQUEST = "HEAD / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"


def _receive(
    request: str, answer: Callable[[frontend.Responder], None]
) -> bytes:
    """Return what a caller receives until its connection ends."""

    async def main() -> bytes:
        async def handle(
            req: messages.CallerRequest, responder: frontend.Responder
        ) -> None:
            del req
            answer(responder)

        front = frontend.Frontend(
            handle,
            requests.PlatformHeaders(),
            clocks.SystemClock(),
            catalogues.CallerLimits(),
        )
        sock, port = testing.bind_unused_port()
        front.server.add_sockets([sock])
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            writer.write(request.encode())
            return await asyncio.wait_for(reader.read(), TIMEOUT_S)
        finally:
            writer.close()
            front.server.stop()

    return asyncio.run(main())


def _stream(responder: frontend.Responder) -> None:
    responder.begin(200, HEADERS, None)
    responder.write(b"id: 1\n\n")


def _stream_to_its_end(responder: frontend.Responder) -> None:
    _stream(responder)
    responder.finish()


def _stream_and_break_off(responder: frontend.Responder) -> None:
    _stream(responder)
    # The caller reads the first event before the connection ends.
    asyncio.get_running_loop().call_later(0.05, responder.abort)


def _answer(responder: frontend.Responder) -> None:
    responder.answer(200, HEADERS, b"body")


def test_broken_off_stream_lacks_its_last_chunk():
    received = _receive(REQUEST, _stream_and_break_off)
    assert b"Transfer-Encoding: chunked" in received
    assert received.endswith(b"7\r\nid: 1\n\n\r\n")


@pytest.mark.parametrize("request_", OLD_REQUESTS.values(), ids=OLD_REQUESTS)
def test_stream_to_an_http_1_0_caller_ends_with_its_connection(request_):
    try:
        received = _receive(request_, _stream_to_its_end)
    except TimeoutError:
        received = b"no end"
    assert received.endswith(b"\r\n\r\nid: 1\n\n")
    assert b"keep-alive" not in received.lower()


@pytest.mark.parametrize("request_", OLD_REQUESTS.values(), ids=OLD_REQUESTS)
def test_stream_broken_off_at_an_http_1_0_caller_does_not_look_complete(
    request_,
):
    received = None
    try:
        received = _receive(request_, _stream_and_break_off)
    except ConnectionResetError:
        received = "reset"
    assert received == "reset"


@pytest.mark.parametrize("status", [200, 502, 503])
def test_head_request_is_answered_without_a_body(status):
    received = _receive(
        HEAD_REQUEST,
        lambda responder: responder.answer(status, HEADERS, b"body"),
    )
    assert received.startswith(f"HTTP/1.1 {status} ".encode())
    assert received.endswith(b"\r\n\r\n")


def test_connection_is_kept_after_a_refused_head_request():
    received = _receive(
        HEAD_REQUEST.replace("Connection: close\r\n", "") + HEAD_REQUEST,
        lambda responder: responder.answer(503, HEADERS, b"body"),
    )
    assert received.count(b"HTTP/1.1 503 ") == 2


@pytest.mark.parametrize("status", [204, 304])
def test_answer_without_body_has_no_framing(status):
    received = _receive(
        REQUEST.replace("Host", "Connection: close\r\nHost"),
        lambda responder: responder.answer(status, HEADERS, b""),
    )
    assert received.startswith(f"HTTP/1.1 {status} ".encode())
    assert b"chunked" not in received
    assert b"Content-Length" not in received


def test_answer_has_a_length():
    received = _receive(
        REQUEST.replace("Host", "Connection: close\r\nHost"), _answer
    )
    assert b"Content-Length: 4" in received
    assert received.endswith(b"\r\n\r\nbody")


def _answer_at_length(responder: frontend.Responder) -> None:
    responder.closes_connection = True
    responder.answer(200, HEADERS, LONG_BODY)


def _stream_at_length(responder: frontend.Responder) -> None:
    responder.closes_connection = True
    responder.begin(200, HEADERS, None)
    responder.write(LONG_BODY)
    responder.finish()


@pytest.mark.parametrize("answer", [_answer_at_length, _stream_at_length])
@pytest.mark.parametrize("version", ["HTTP/1.0", "HTTP/1.1"])
def test_last_answer_of_a_connection_is_sent_completely(answer, version):
    received = _receive(REQUEST.replace("HTTP/1.1", version), answer)
    assert len(received) > len(LONG_BODY)


def _fail(responder: frontend.Responder) -> None:
    raise RuntimeError("defect")


def _cancel(responder: frontend.Responder) -> None:
    raise asyncio.CancelledError


def _answer_with_a_line_end(responder: frontend.Responder) -> None:
    headers = httputil.HTTPHeaders()
    headers["X-Server-Seal"] = "s\r\nX-Not-Executed: 1"
    responder.answer(200, headers.get_all(), b"body")


@pytest.mark.parametrize("defect", [_fail, _cancel, _answer_with_a_line_end])
def test_defect_before_an_answer_is_answered(defect):
    try:
        received = _receive(
            REQUEST + REQUEST.replace("Host", "Connection: close\r\nHost"),
            defect,
        )
    except TimeoutError:
        received = b"no answer"
    assert received.count(b"HTTP/1.1 500 ") == 2
    assert b"Retry-After" not in received
    assert b"X-Not-Executed" not in received


@pytest.mark.parametrize("defect", [_fail, _cancel])
def test_defect_inside_an_answer_does_not_make_it_look_complete(defect):
    def begin_and_fail(responder: frontend.Responder) -> None:
        responder.begin(200, HEADERS, 4)
        defect(responder)

    received = _receive(REQUEST, begin_and_fail)
    assert received.endswith(b"\r\n\r\n")
    assert received.count(b"HTTP/1.1 ") == 1


def test_unread_answer_is_reset_and_its_request_ends(monkeypatch):
    # Without an end, the caller's request and answer stay in memory.
    monkeypatch.setattr(unread_answers, "EXPIRY_S", 0.0)

    async def main() -> None:
        closed = asyncio.Event()

        async def handle(req, responder) -> None:
            del req
            responder.on_close(closed.set)
            responder.begin(200, HEADERS, len(LONG_BODY))
            await responder.write(LONG_BODY)
            assert responder.closed

        clock = clocks.SystemClock()
        front = frontend.Frontend(
            handle,
            requests.PlatformHeaders(),
            clock,
            catalogues.CallerLimits(),
        )
        front.unread = unread_answers.UnreadAnswers(
            clock, 1, metrics.GatewayMetrics()
        )
        sock, port = testing.bind_unused_port()
        front.server.add_sockets([sock])
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", port, limit=1024
        )
        writer.write(REQUEST.encode())
        await asyncio.wait_for(closed.wait(), TIMEOUT_S)
        with pytest.raises(ConnectionResetError):
            while await reader.read(1024):
                pass
        while front.busy:
            await asyncio.sleep(0.01)
        assert not front.unread.total_bytes
        front.server.stop()

    asyncio.run(asyncio.wait_for(main(), 2 * TIMEOUT_S))
