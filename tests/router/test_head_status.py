"""Guards against missed ends of engines, and live ones taken for ended."""

import asyncio
import json
import time

import pytest

from balsamlug.router import head_status
from tests.router import fakes

HeadState = head_status.HeadState
SILENT_ENGINE = None
IN_GROUP = {"group": "g0", "generation": 1}


def _answer(status: dict) -> bytes:
    body = json.dumps(status).encode()
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


async def _listen(answer: bytes | None) -> tuple[asyncio.Server, str]:
    """Serve one answer to every request, or none."""

    async def serve(reader, writer):
        if answer is None:
            await asyncio.sleep(10)
        else:
            writer.write(answer)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    return server, f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


def _check(answer: bytes | None, incarnation: str = "1") -> HeadState:
    async def main() -> HeadState:
        server, address = await _listen(answer)
        state = await head_status.check(address, incarnation)
        server.close()
        return state

    return asyncio.run(main())


@pytest.fixture(autouse=True)
def _short_timeout(monkeypatch):
    monkeypatch.setattr(head_status, "PROBE_TIMEOUT_S", 0.2)


def test_process_that_refuses_connections_has_ended():
    address = f"127.0.0.1:{fakes.free_port()}"
    state = asyncio.run(head_status.check(address, "1"))
    assert state is HeadState.ENDED


@pytest.mark.parametrize(
    "answer", [b"", _answer(fakes.status(incarnation="2", **IN_GROUP))]
)
def test_pause_of_this_process_does_not_hide_that_an_engine_has_ended(answer):
    async def main() -> HeadState:
        server, address = await _listen(answer)
        check = asyncio.create_task(head_status.check(address, "1"))
        # Before the connection is open.
        pause_s = 2 * head_status.PROBE_TIMEOUT_S
        asyncio.get_running_loop().call_soon(time.sleep, pause_s)
        state = await check
        server.close()
        return state

    assert asyncio.run(main()) is HeadState.ENDED


@pytest.mark.parametrize(
    ("answer", "state"),
    [
        (b"", HeadState.ENDED),
        (b"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n", HeadState.ALIVE),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", HeadState.ALIVE),
        (SILENT_ENGINE, HeadState.SILENT),
    ],
)
def test_process_that_accepts_but_closes_without_answer_is_dead(answer, state):
    assert _check(answer) is state


def test_successor_at_the_address_shows_that_the_process_has_ended():
    successor = _answer(fakes.status(incarnation="2", **IN_GROUP))
    assert _check(successor, "1") is HeadState.ENDED
    assert _check(successor, "2") is HeadState.ALIVE
    # Without a known incarnation, only the group can show a restart.
    assert _check(successor, "") is HeadState.ALIVE
    assert _check(_answer(fakes.status()), "") is HeadState.ENDED


@pytest.mark.parametrize(
    ("head", "other", "expected"),
    [
        (SILENT_ENGINE, _answer(fakes.status(**IN_GROUP)), True),
        (SILENT_ENGINE, SILENT_ENGINE, False),
        (_answer(fakes.status(**IN_GROUP)), SILENT_ENGINE, False),
    ],
)
def test_dark_head_counts_unless_its_whole_domain_is_dark(
    head, other, expected
):
    async def main() -> bool:
        servers, addresses = zip(
            await _listen(head), await _listen(other), strict=True
        )
        group = head_status.Head(addresses[0], "1", addresses[1:])
        lost = await group.is_lost_alone()
        for server in servers:
            server.close()
        return lost

    assert asyncio.run(main()) is expected
