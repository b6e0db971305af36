"""Tests that the stand-in of a model server crashes as the platform says."""

import asyncio
import contextlib
import time

import pytest
from tornado import httpclient

from balsamlug_standins import members
from balsamlug_standins import object_api

EVENTS = "".join(
    f"id: {n}\ndata: token{n}\n\n" for n in range(1, members.EVENTS + 1)
).encode()
DOWN_S = 0.3
BAD_PREFIX = "0a:100,bad:20,0c:5"


def _run(scenario, **settings) -> None:
    async def main() -> None:
        api = object_api.ObjectApi()
        server = members.Member(
            "i-1",
            api,
            bad_parts=frozenset({"bad"}),
            down_s=DOWN_S,
            **settings,
        )
        server.listen()
        _open_group(server)
        with contextlib.closing(httpclient.AsyncHTTPClient()) as http:
            try:
                await scenario(server, http)
            finally:
                server.stop()

    asyncio.run(main())


def _open_group(server: members.Member) -> None:
    server.group = {"Name": "g.1", "epoch": 1, "rank": 0, "State": "open"}
    server.members = (server.id,)


async def _send(
    server: members.Member, http: httpclient.AsyncHTTPClient, **headers: str
) -> httpclient.HTTPResponse:
    return await http.fetch(
        f"http://{server.address}/chat/1",
        method="POST",
        body=b"prompt",
        headers={"X-Attempt-Id": "r"} | headers,
        raise_error=False,
    )


async def _open_request(
    server: members.Member, prefix: str
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, _, port = server.address.partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    lines = [
        "POST /chat/1 HTTP/1.1",
        "Host: h",
        "X-Attempt-Id: r",
        f"X-Prefix-Hash: {prefix}",
        "Content-Length: 0",
    ]
    writer.write("\r\n".join([*lines, "", ""]).encode())
    return reader, writer


async def _read_until_reset(
    server: members.Member, prefix: str = BAD_PREFIX
) -> bytes:
    reader, writer = await _open_request(server, prefix)
    received = bytearray()
    with contextlib.closing(writer), pytest.raises(ConnectionResetError):
        while data := await reader.read(1000):
            received += data
    return bytes(received)


@pytest.mark.parametrize(
    "prefix", ["", "0a:100,0c:5", "0a:100,bad:5", "bad:5", "0a:100,bad1:2,c:1"]
)
def test_other_requests_are_answered(prefix):
    async def scenario(server, http):
        resp = await _send(server, http, **{"X-Prefix-Hash": prefix})
        assert resp.code == 200
        assert not server.crashes

    _run(scenario)


@pytest.mark.parametrize("prefix", ["bad:1,0c:5", "0a:100, bad:20 ,0b:1,0c:5"])
def test_bad_part_that_is_not_the_last_crashes_the_server(prefix):
    async def scenario(server, http):
        del http
        await _read_until_reset(server, prefix)
        assert len(server.crashes) == 1
        assert server.started_attempts == ["r"]

    _run(scenario)


@pytest.mark.parametrize("sends_head", [True, False])
def test_crash_resets_all_connections(sends_head):
    async def scenario(server, http):
        del http
        host, _, port = server.address.partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        started_s = time.monotonic()
        received = await _read_until_reset(server)
        assert time.monotonic() - started_s >= members.CRASH_DELAY_S
        assert received.startswith(b"HTTP/1.1 200") == sends_head
        assert bool(received) == sends_head
        with contextlib.closing(writer), pytest.raises(ConnectionResetError):
            await reader.read(1)
        with pytest.raises(ConnectionRefusedError):
            await asyncio.open_connection(host, int(port))

    _run(scenario, sends_head=sends_head)


@pytest.mark.parametrize("restarts_renamed", [False, True])
def test_crashed_server_restarts_without_state(restarts_renamed):
    async def scenario(server, http):
        address, born = server.address, server.born
        await _read_until_reset(server)
        assert server.group is None
        await asyncio.sleep(DOWN_S + 0.1)
        assert server.address == address
        assert server.born > born
        assert (server.id != "i-1") == restarts_renamed
        assert server.peers == {server.id: server}
        assert (await _send(server, http)).code == 503
        entry = server.store.table.get("servers", server.id)["value"]
        assert entry["born"] == server.born
        assert "group" not in entry

    _run(scenario, restarts_renamed=restarts_renamed)


def test_entry_of_a_crashed_server_lapses():
    async def scenario(server, http):
        del http
        await _read_until_reset(server)
        await asyncio.sleep(DOWN_S + 0.1)
        names = {"i-1", server.id}
        assert len(names) == 2
        table = server.store.table
        assert all(table.get("servers", name) for name in names)
        await asyncio.sleep(members.LISTING_TIMEOUT_S - DOWN_S)
        assert table.get("servers", "i-1") is None
        assert table.get("servers", server.id)

    _run(scenario, restarts_renamed=True)


def test_second_request_on_the_way_does_not_crash_the_next_incarnation():
    async def scenario(server, http):
        del http
        await asyncio.gather(*(_read_until_reset(server) for _ in range(3)))
        await asyncio.sleep(DOWN_S + members.CRASH_DELAY_S + 0.1)
        assert len(server.crashes) == 1

    _run(scenario)


async def _read_to_end(server: members.Member) -> tuple[bytes, bytes]:
    reader, writer = await _open_request(server, "")
    with contextlib.closing(writer):
        head, _, body = (await reader.read()).partition(b"\r\n\r\n")
    return head.lower(), body


def test_unframed_stream_ends_with_its_connection():
    async def scenario(server, http):
        del http
        head, body = await _read_to_end(server)
        assert b"x-server-seal" in head
        assert b"transfer-encoding" not in head
        assert b"content-length" not in head
        assert body == EVENTS

    _run(scenario, framed=False)


@pytest.mark.parametrize("framed", [False, True])
def test_one_of_several_streams_is_cut_inside_an_event(framed):
    async def scenario(server, http):
        del http
        if not framed:
            assert (await _read_to_end(server))[1] == EVENTS
        else:
            server.started_attempts.append("another")
        body = (await _read_to_end(server))[1]
        assert b"data: token4\n\n" in body
        assert b"data: token5" not in body
        assert body.rstrip(b"\r\n").endswith(b"id: 5\ndata")
        assert not body.endswith(b"\r\n0\r\n\r\n")

    _run(scenario, framed=framed, runs_per_cut=2)
