"""Guards the memory of a node against answers without end."""

import asyncio
import contextlib
import gc

import pytest

from balsamlug.gateway import answer_buffers
from balsamlug.gateway import attempt as attempts
from balsamlug.gateway import calls
from balsamlug.platform import requests
from balsamlug.router import upstream
from tests.entry import kept_callers
from tests.entry import plain_calls

PIECE = b"x" * 65_536
OWN = "X-Attempt-Id: {id}\r\nX-Server-Seal: s\r\n"
OTHER = "X-Attempt-Id: other\r\nX-Server-Seal: s\r\n"
USELESS = {
    "other request": OTHER,
    "no request": "X-Server-Seal: s\r\n",
    "no seal": "X-Attempt-Id: {id}\r\n",
    "encoded": OWN + "Content-Encoding: gzip\r\n",
}
ANSWERS = 20
# Far more than an answer whose head shows that it is useless may send.
MAX_USELESS_BYTES = 2**20


@contextlib.asynccontextmanager
async def _endless_server(headers: str):
    """Yield address and sizes of answers without end."""
    sizes: list[int] = []

    async def serve(reader, writer) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        lines = head.splitlines()
        ids = [x for x in lines if x.lower().startswith("x-attempt-id")]
        name = ids[0].partition(": ")[2] if ids else ""
        text = "HTTP/1.1 200 OK\r\n" + headers.replace("{id}", name) + "\r\n"
        number = len(sizes)
        sizes.append(0)
        with contextlib.suppress(OSError):
            writer.write(text.encode())
            while True:
                writer.write(PIECE)
                await writer.drain()
                sizes[number] += len(PIECE)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    try:
        yield f"127.0.0.1:{port}", sizes
    finally:
        server.close()


async def _attempt(address: str, name: str, buffers) -> attempts.Answer:
    attempt = attempts.Attempt(
        requests.PlatformHeaders(), name, buffers=buffers
    )
    headers = {"X-Attempt-Id": name}
    call = upstream.Call(address, "GET", "/x", headers)
    return await asyncio.wait_for(attempt.run(call), 20)


@pytest.mark.parametrize("name", USELESS)
def test_answer_that_is_useless_by_its_head_is_not_kept(name):
    async def main():
        buffers = answer_buffers.AnswerBuffers()
        async with _endless_server(USELESS[name]) as (address, sizes):
            answer = await _attempt(address, "r1", buffers)
        assert answer.outcome is attempts.Outcome.BROKEN
        assert answer.body == b""
        assert buffers.total_bytes == 0
        assert sizes[0] < 16 * MAX_USELESS_BYTES

    asyncio.run(main())


def test_answers_without_end_are_bounded_together():
    most = 0

    class Watched(answer_buffers.AnswerBuffers):
        def add(self, buffer, size):
            nonlocal most
            super().add(buffer, size)
            most = max(most, self.total_bytes)

    async def main():
        buffers = Watched()
        async with _endless_server(OWN) as (address, _):
            answers = await asyncio.gather(
                *(
                    _attempt(address, f"r{number}", buffers)
                    for number in range(ANSWERS)
                )
            )
        outcomes = {answer.outcome for answer in answers}
        assert outcomes == {attempts.Outcome.BROKEN}
        assert {answer.body for answer in answers} == {b""}
        assert buffers.total_bytes == 0

    asyncio.run(main())
    assert 0 < most <= answer_buffers.MAX_TOTAL_BYTES


def test_short_answer_is_kept_when_long_ones_exceed_the_limit():
    broken = []
    buffers = answer_buffers.AnswerBuffers()
    short = buffers.open("short", lambda: broken.append("short"))
    short.add(b"answer")
    for number in range(5):
        name = f"long-{number}"
        buffer = buffers.open(name, lambda name=name: broken.append(name))
        buffer.add(bytes(answer_buffers.MAX_ANSWER_BYTES - number))
    assert broken == ["long-0", "long-1", "long-2"]
    assert short.close() == b"answer"


def _live(*classes: type) -> set[int]:
    """Return the ids of objects that have not been freed."""
    return {id(obj) for obj in gc.get_objects() if isinstance(obj, classes)}


def test_refused_request_leaves_no_cycle_that_keeps_its_memory():
    async def main():
        async with plain_calls.running(1, 1, plain_calls.DEADLINE_MS) as plain:
            node = plain.fleet.nodes[0]
            await plain.fleet.ready()
            port = node.peers.settings.caller_port
            async with _endless_server(OTHER) as (address, _):
                entry = plain.fleet.api.table.get("servers", "c-0")["value"]
                plain.fleet.api.write(
                    "servers", "c-0", entry | {"Address": address}
                )
                await plain.fleet.until(
                    lambda: node.state.instances["c-0"].address == address
                )
                gc.collect()
                # Earlier tests of this process may have left some.
                others = _live(calls.ServiceCall, attempts.Attempt)
                gc.disable()
                try:
                    for number in range(5):
                        caller = kept_callers.KeptCaller(port)
                        result = await caller.send(
                            f"r{number}", "/calc/", plain_calls.DEADLINE_MS
                        )
                        assert result.status in {502, 503, 504}
                        caller.close()
                    await asyncio.sleep(0.1)
                    live = _live(calls.ServiceCall, attempts.Attempt)
                    assert not live - others
                finally:
                    gc.enable()

    asyncio.run(main())
