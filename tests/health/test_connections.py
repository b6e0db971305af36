"""Guards probes over persistent connections.

A stopped or unresponsive engine must be detected, and a late response must not
be read as the answer to a later probe.
"""

import asyncio

import pytest
from tornado import httpclient
from tornado import httpserver
from tornado import testing
from tornado import web

from balsamlug.health import connections

TIMEOUT_S = 0.3
# Longer than any pause of the test process; for tests without late responses.
PATIENT_S = 10.0


class Handler(web.RequestHandler):
    peers = set()
    delay_s = 0.0
    code = 200

    async def get(self):
        await asyncio.sleep(Handler.delay_s)
        Handler.peers.add(self.request.connection.stream.socket.getpeername())
        self.set_status(Handler.code)
        self.write({"instance": "a"})


def serve(socket):
    app = web.Application([("/v1/status", Handler)])
    server = httpserver.HTTPServer(app)
    server.add_socket(socket)
    return server


def run_scenario(test, timeout_s=PATIENT_S):
    """Run a scenario with a listening server and a client."""

    async def scenario():
        Handler.peers, Handler.delay_s, Handler.code = set(), 0.0, 200
        socket, port = testing.bind_unused_port()
        client = connections.StatusClient(timeout_s)
        server = serve(socket)
        try:
            await test(client, server, f"127.0.0.1:{port}")
        finally:
            client.close()
            server.stop()

    asyncio.run(scenario())


def test_probes_share_a_connection_until_the_target_is_dropped():
    async def scenario(client, server, address):
        for _ in range(3):
            assert await client.fetch(address) == {"instance": "a"}
        assert len(Handler.peers) == 1
        client.retain(set())
        await client.fetch(address)
        assert len(Handler.peers) == 2

    run_scenario(scenario)


def test_stopped_engine_refuses_connections_instead_of_timing_out():
    async def scenario(client, server, address):
        await client.fetch(address)
        server.stop()
        await server.close_all_connections()
        with pytest.raises(ConnectionRefusedError):
            await client.fetch(address)

    run_scenario(scenario)


def test_closed_connection_is_replaced():
    async def scenario(client, server, address):
        await client.fetch(address)
        await server.close_all_connections()
        assert await client.fetch(address) == {"instance": "a"}

    run_scenario(scenario)


def test_late_response_is_not_read_as_the_next_one():
    async def scenario(client, server, address):
        Handler.delay_s = TIMEOUT_S * 1.5
        with pytest.raises(TimeoutError):
            await client.fetch(address)
        Handler.delay_s = 0.0
        await client.fetch(address)
        assert len(Handler.peers) == 1

    run_scenario(scenario, TIMEOUT_S)


def test_error_status_is_reported_as_an_http_error():
    async def scenario(client, server, address):
        Handler.code = 503
        with pytest.raises(httpclient.HTTPClientError) as caught:
            await client.fetch(address)
        assert caught.value.code == 503

    run_scenario(scenario)
