"""Guards against answers with an undefined status that are taken as answers."""

import asyncio

import pytest
from tornado import httputil

from balsamlug import exceptions
from balsamlug import http_status
from balsamlug.health import connections
from balsamlug.router import upstream
from balsamlug.store import client

ODD = ("000", "042", "199", "0200", "20", "600", "999", "2000")
# Longer than any pause of the test process.
TIMEOUT_S = 10.0
BODY = b'{"revision": 1}'


def _run(line, scenario, headers=b"Content-Length: 15\r\n"):
    """Run a scenario with the address of a server that sends a status line."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 %s No\r\n%s\r\n%s" % (line, headers, BODY))
        await reader.read()
        writer.close()

    async def main():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        try:
            async with asyncio.timeout(TIMEOUT_S):
                return await scenario(f"127.0.0.1:{port}")
        finally:
            server.close()

    return asyncio.run(main())


@pytest.mark.parametrize("status", ODD)
@pytest.mark.parametrize("method", ["GET", "HEAD"])
def test_odd_status_fails_a_call_at_once(status, method):
    async def scenario(address):
        call = upstream.Call(address, method, "/")
        with pytest.raises(exceptions.UpstreamFailed, match="cut off"):
            await upstream.fetch(call, TIMEOUT_S)

    _run(status.encode(), scenario)


@pytest.mark.parametrize("status", ODD)
def test_odd_status_of_the_store_is_an_outage(status):
    async def scenario(address):
        store = client.ObjectStore(f"http://{address}")
        with pytest.raises(exceptions.StoreOutage):
            await store.get("kind", "name")
        store.close()

    _run(status.encode(), scenario)


@pytest.mark.parametrize("status", ODD)
def test_odd_status_of_a_health_check_is_an_error(status):
    async def scenario(address):
        checks = connections.StatusClient(TIMEOUT_S)
        with pytest.raises((ValueError, ConnectionResetError)):
            await checks.fetch(address)
        assert not checks._idle

    _run(status.encode(), scenario)


@pytest.mark.parametrize("line", [b"600", b"204"])
def test_status_without_a_body_is_judged_as_well(line):
    async def scenario(address):
        call = upstream.Call(address, "GET", "/")
        if line == b"204":
            resp, _ = await upstream.fetch(call, TIMEOUT_S)
            assert resp.status == 204
            return
        with pytest.raises(exceptions.UpstreamFailed):
            await upstream.fetch(call, TIMEOUT_S)

    _run(line, scenario, headers=b"")


@pytest.mark.parametrize(
    ("status", "headers", "expected"),
    [
        (100, {}, True),
        (103, {"Link": "x"}, True),
        (101, {}, False),
        (103, {"Content-Length": "4"}, True),
        (199, {}, True),
        (199, {"Content-Length": "4"}, False),
        (199, {"Transfer-Encoding": "chunked"}, False),
        (99, {}, False),
        (200, {}, False),
    ],
)
def test_only_a_well_formed_interim_answer_is_skipped(
    status, headers, expected
):
    headers = httputil.HTTPHeaders(headers)
    assert http_status.is_interim(status, headers) is expected


@pytest.mark.parametrize("status", [*range(0, 200), *range(600, 1000)])
def test_no_status_outside_its_range_is_final(status):
    assert not http_status.is_final(status)
