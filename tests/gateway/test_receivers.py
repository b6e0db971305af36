"""Guards against requests that are held beyond the budget, or lost by it."""

import asyncio

import pytest
from tornado import testing

from balsamlug import catalogue as catalogues
from balsamlug import clock as clocks
from balsamlug.gateway import body_buffers
from balsamlug.gateway import frontend
from balsamlug.gateway import receive_budget
from balsamlug.platform import requests

TIMEOUT_S = 20.0
KIB = 1024
BODY_BYTES = 256 * KIB
LIMITS = catalogues.CallerLimits(max_body_bytes=BODY_BYTES)
# One body and the margin beside it are the least budget.
BUDGET_BYTES = BODY_BYTES + receive_budget.MARGIN_BYTES
BOUNDS = receive_budget.ReceiveLimits(1, 8, 8)


def _head(framing: str) -> bytes:
    return f"POST / HTTP/1.1\r\nHost: h\r\n{framing}\r\n\r\n".encode()


def _chunked(size: int, total: int) -> bytes:
    chunk = b"%x\r\n%s\r\n" % (size, b"b" * size)
    return _head("Transfer-Encoding: chunked") + chunk * (total // size)


def _run(scenario) -> None:
    async def main() -> None:
        bodies = []

        async def handle(req, responder) -> None:
            bodies.append(len(req.body))
            refusal = req.refusal
            status = 200 if refusal is None else refusal.status
            responder.answer(status, [], b"")

        shed = []
        front = frontend.Frontend(
            handle,
            requests.PlatformHeaders(),
            clocks.SystemClock(),
            LIMITS,
            BOUNDS,
            shed.append,
        )
        sock, port = testing.bind_unused_port()
        front.server.add_sockets([sock])

        async def connect(data: bytes):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(data)
            return reader, writer

        try:
            async with asyncio.timeout(TIMEOUT_S):
                await scenario(front, connect, bodies, shed)
        finally:
            front.server.stop()
            await front.server.close_all_connections()

    asyncio.run(main())


async def _status(reader: asyncio.StreamReader) -> bytes:
    return (await reader.readuntil(b"\r\n\r\n")).split(b" ")[1]


@pytest.mark.parametrize(
    ("size", "total"),
    [
        (1, 64 * KIB),
        (2, 20 * KIB),
        (10, 6 * KIB),
        (2 * KIB, BODY_BYTES),
        (64 * KIB, BODY_BYTES),
    ],
)
def test_single_chunked_body_within_the_limits_is_served(size, total):

    async def scenario(front, connect, bodies, shed) -> None:
        data = _chunked(size, total) + b"0\r\n\r\n"
        reader, _ = await connect(data)
        assert await _status(reader) == b"200"
        assert bodies == [total // size * size]
        assert not shed

    _run(scenario)


def test_single_body_of_the_limit_is_served():
    async def scenario(front, connect, bodies, shed) -> None:
        data = _head(f"Content-Length: {BODY_BYTES}") + b"b" * BODY_BYTES
        reader, _ = await connect(data)
        assert await _status(reader) == b"200"
        assert bodies == [BODY_BYTES]
        assert not front.connections.serving_bytes

    _run(scenario)


def test_declared_length_far_over_the_limit_is_refused_at_its_head():
    async def scenario(front, connect, bodies, shed) -> None:
        reader, _ = await connect(_head(f"Content-Length: {2**40}"))
        assert await _status(reader) == b"413"
        # The connection ends without the body.
        await reader.read()
        assert not bodies

    _run(scenario)


@pytest.mark.parametrize("framing", [f"Content-Length: {2**40}", "chunked"])
def test_refusal_reaches_a_caller_that_is_still_sending(framing):
    async def scenario(front, connect, bodies, shed) -> None:
        data = _chunked(64 * KIB, 8 * BODY_BYTES)
        if framing != "chunked":
            data = _head(framing) + b"b" * 8 * BODY_BYTES
        reader, writer = await connect(data)
        # Raises ConnectionResetError if the node does not read the rest.
        await writer.drain()
        assert await _status(reader) == b"413"
        assert (await reader.read()).endswith(b"}")

    _run(scenario)


def test_chunked_body_far_over_the_limit_is_refused_before_its_end():
    async def scenario(front, connect, bodies, shed) -> None:
        reader, _ = await connect(_chunked(64 * KIB, 3 * BODY_BYTES))
        assert await _status(reader) == b"413"
        await reader.read()
        assert not bodies

    _run(scenario)


def test_chunk_far_over_the_limit_is_refused_as_too_long():
    async def scenario(front, connect, bodies, shed) -> None:
        head = _head("Transfer-Encoding: chunked")
        reader, _ = await connect(
            head + b"40000000\r\n" + b"b" * 2 * BODY_BYTES
        )
        assert await _status(reader) == b"413"

    _run(scenario)


def test_crowd_of_small_chunks_is_refused_except_for_the_first():
    async def scenario(front, connect, bodies, shed) -> None:
        data = _chunked(2, 64 * KIB)
        crowd = [await connect(data)]
        while not front.connections.small_chunks_s:
            await asyncio.sleep(0.01)
        crowd += [await connect(data) for _ in range(5)]
        refused = [asyncio.ensure_future(_status(r)) for r, _ in crowd]
        done, _ = await asyncio.wait(
            refused, return_when=asyncio.FIRST_COMPLETED
        )
        # A later attempt may be served, so the refusal is not final.
        assert {task.result() for task in done} == {b"503"}
        ordinary, _ = await connect(_chunked(64, 3 * KIB) + b"0\r\n\r\n")
        assert await _status(ordinary) == b"200"
        crowd[0][1].write(b"0\r\n\r\n")
        assert await refused[0] == b"200"
        assert bodies == [3 * KIB, 64 * KIB]
        for _, writer in crowd:
            writer.transport.abort()
        await asyncio.gather(*refused, return_exceptions=True)

    _run(scenario)


def test_closed_connection_in_small_chunks_no_longer_counts():
    async def scenario(front, connect, bodies, shed) -> None:
        data = _chunked(2, 16 * KIB)
        crowd = [await connect(data) for _ in range(2)]
        while len(front.connections.small_chunks_s) < len(crowd):
            await asyncio.sleep(0.01)
        for _, writer in crowd:
            writer.transport.abort()
        while front.connections.small_chunks_s:
            await asyncio.sleep(0.01)
        reader, _ = await connect(data + b"0\r\n\r\n")
        assert await _status(reader) == b"200"
        assert not front.connections.small_chunks_s

    _run(scenario)


def test_endless_head_is_refused():
    async def scenario(front, connect, bodies, shed) -> None:
        reader, _ = await connect(_head("X: ")[:-4] + b"x" * 200 * KIB)
        assert await _status(reader) == b"431"

    _run(scenario)


def test_crowd_over_the_budget_gets_refusals_and_an_ordinary_call_does_not():
    async def scenario(front, connect, bodies, shed) -> None:
        part = BODY_BYTES - KIB
        data = _head(f"Content-Length: {BODY_BYTES}") + b"b" * part
        crowd = [await connect(data) for _ in range(7)]
        while front.connections._held_bytes > BUDGET_BYTES or not shed:
            await asyncio.sleep(0.01)
        ordinary, _ = await connect(_head("Content-Length: 4") + b"body")
        assert await _status(ordinary) == b"200"
        statuses = [asyncio.ensure_future(_status(r)) for r, _ in crowd]
        done, _ = await asyncio.wait(
            statuses, return_when=asyncio.FIRST_COMPLETED
        )
        assert {task.result() for task in done} == {b"503"}
        for _, writer in crowd:
            writer.transport.abort()
        await asyncio.gather(*statuses, return_exceptions=True)
        assert bodies == [4]

    _run(scenario)


def test_idle_connections_give_way_to_a_caller():
    async def scenario(front, connect, bodies, shed) -> None:
        idle = [await connect(b"") for _ in range(BOUNDS.connections)]
        await asyncio.sleep(0.1)
        reader, _ = await connect(_head("Content-Length: 0"))
        assert await _status(reader) == b"200"
        assert not await idle[0][0].read()

    _run(scenario)


def test_request_of_an_old_connection_is_not_taken_for_an_old_request():
    async def scenario(front, connect, bodies, shed) -> None:
        reader, writer = await connect(_head("Content-Length: 0"))
        assert await _status(reader) == b"200"
        crowd = [
            await connect(_head("Content-Length: 4"))
            for _ in range(BOUNDS.connections - 1)
        ]
        await asyncio.sleep(0.1)
        writer.write(_head("Content-Length: 4"))
        await asyncio.sleep(0.1)
        await connect(b"")
        assert await _status(crowd[0][0]) == b"503"
        writer.write(b"body")
        assert await _status(reader) == b"200"

    _run(scenario)


def test_caller_without_room_for_its_connection_gets_a_refusal():
    async def scenario(front, connect, bodies, shed) -> None:
        front.connections.limits = receive_budget.ReceiveLimits(1, 0, 8)
        reader, _ = await connect(b"")
        assert await _status(reader) == b"503"

    _run(scenario)


def test_buffer_keeps_its_bytes_when_limits_are_raised_meanwhile():
    buffer = body_buffers.BodyBuffer()
    parts = [bytes([n]) * 40 * KIB for n in range(1, 5)]
    for number, part in enumerate(parts):
        buffer.append(part, (number + 1) * 40 * KIB)
    assert buffer.read() == b"".join(parts)
    buffer.close()
    assert (len(buffer), buffer.read()) == (0, b"")


def test_defect_closes_only_its_connection(monkeypatch):
    async def scenario(front, connect, bodies, shed) -> None:
        data = _head("Content-Length: 4") + b"body"
        with monkeypatch.context() as patch:
            patch.setattr(front.connections, "account", None)
            reader, _ = await connect(data)
            assert not await reader.read()
        reader, _ = await connect(data)
        assert await _status(reader) == b"200"
        assert bodies == [4]

    _run(scenario)


@pytest.mark.parametrize(
    ("digits", "status"), [("9" * 5000, b"413"), ("0" * 20 + "4", b"200")]
)
def test_declared_length_with_many_digits_is_judged(digits, status):
    # int() raises ValueError beyond 4,300 digits.
    async def scenario(front, connect, bodies, shed) -> None:
        data = _head(f"Content-Length: {digits}") + b"body"
        reader, _ = await connect(data)
        assert await _status(reader) == status

    _run(scenario)


def test_body_counts_as_served_from_its_end_on():
    # Others that end in the same iteration would be accepted beside it.
    async def scenario(front, connect, bodies, shed) -> None:
        accept, serving = front.accept, []

        def observe(*args) -> None:
            accept(*args)
            serving.append(front.connections.serving_bytes)

        front.accept = observe
        data = _head(f"Content-Length: {BODY_BYTES}") + b"b" * BODY_BYTES
        reader, _ = await connect(data)
        assert await _status(reader) == b"200"
        assert serving == [BODY_BYTES]
        while front.connections.serving_bytes:
            await asyncio.sleep(0.01)

    _run(scenario)


def test_refused_connection_keeps_no_part_of_a_head():
    # Heads kept until the connection is closed would not be accounted for.
    async def scenario(front, connect, bodies, shed) -> None:
        reader, _ = await connect(_head("X: ")[:-4] + b"x" * 20 * KIB)
        while front.connections._held_bytes < 20 * KIB:
            await asyncio.sleep(0.01)
        (stream,) = front.connections._open
        stream.on_shed()
        assert not stream.buffered_bytes
        assert await _status(reader) == b"503"
        assert (await reader.read()).endswith(b"}")

    _run(scenario)


def test_long_requests_sent_ahead_are_served_in_order():
    async def scenario(front, connect, bodies, shed) -> None:
        release, handle = asyncio.Event(), front._handle

        async def wait(req, responder) -> None:
            await release.wait()
            await handle(req, responder)

        front._handle = wait
        data = _head(f"Content-Length: {BODY_BYTES}") + b"b" * BODY_BYTES
        reader, writer = await connect(data + data + data)
        await asyncio.sleep(0.3)
        release.set()
        for _ in range(3):
            assert await _status(reader) == b"200"
        assert bodies == [BODY_BYTES] * 3

    _run(scenario)
