"""Guards against plain calls whose unframed answers are cut unnoticed."""

import asyncio
import socket
import struct

import attrs
import pytest
from tornado import httpclient

from balsamlug_standins import plain_servers
from balsamlug_standins import site
from tests.entry import fleet as fleets

SERVICE = "plain-service"
BODY = b"b" * (5 * 1024 * 1024)
# Closing with a linger time of zero sends RST.
_NO_LINGER = struct.pack("ii", 1, 0)
# The receiver has read what was sent before within this time.
PAUSE_S = 0.05


@attrs.define
class PlainServers:
    """Servers whose answers end with their connections.

    Attributes:
      faults: endings of the next answers.
      runs: ids of the attempts that ran.
    """

    faults: list[str] = attrs.field(factory=list)
    runs: list[str] = attrs.field(factory=list)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request."""
        request = await reader.readuntil(b"\r\n\r\n")
        (id_line,) = [
            line
            for line in request.decode().splitlines()
            if line.startswith("X-Attempt-Id: ")
        ]
        self.runs.append(id_line.partition(": ")[2])
        fault = self.faults.pop(0) if self.faults else ""
        length = f"Content-Length: {len(BODY)}\r\n" if fault == "short" else ""
        head = (
            f"HTTP/1.1 200 OK\r\n{id_line}\r\nX-Server-Seal: s\r\n"
            f"{length}Connection: keep-alive\r\n\r\n"
        )
        writer.write(head.encode() + (BODY[:-1] if fault else BODY))
        await writer.drain()
        if fault == "reset":
            await asyncio.sleep(PAUSE_S)
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER
            )
            writer.transport.abort()
        writer.close()


def _entry(port: int) -> dict:
    return plain_servers.entry(SERVICE, f"127.0.0.1:{port}")


def _configuration(route_type: str) -> dict:
    route = {
        "Name": "plain",
        "Hostname": site.HOST,
        "PathPrefix": "/chat/",
        "RouteType": route_type,
        "TimeoutMs": 5000,
        "TargetLatencyMs": 2000,
        "Service": SERVICE,
        "MaxAttempts": 2,
    }
    return site.configuration(2, [route], [{"Name": SERVICE}], [fleets.KEY])


def _call(
    route_type: str, faults: list[str]
) -> tuple[httpclient.HTTPResponse, list[str]]:
    """Return the answer to one call and the ids of the attempts that ran."""

    async def main() -> httpclient.HTTPResponse:
        async with fleets.running(engines=0, nodes=1) as fleet:
            for number in range(2):
                server = await asyncio.start_server(
                    servers.serve, "127.0.0.1", 0
                )
                port = server.sockets[0].getsockname()[1]
                fleet.api.write("servers", f"p-{number}", _entry(port))
            fleet.api.write("config", "main", _configuration(route_type))
            table = fleet.nodes[0].state
            await fleet.until(lambda: table.catalogue.revision == 2)
            await fleet.until(lambda: len(table.instances) == 2)
            return await fleet.send_request()

    servers = PlainServers(faults)
    return asyncio.run(main()), servers.runs


@pytest.mark.parametrize("route_type", ["safe", "unsafe"])
def test_long_unframed_answer_is_returned_whole(route_type):
    resp, runs = _call(route_type, [])
    assert resp.code == 200
    assert resp.body == BODY
    assert resp.headers["X-Server-Seal"] == "s"
    assert len(runs) == 1


@pytest.mark.parametrize("fault", ["reset", "short"])
def test_cut_answer_of_an_unsafe_call_fails_and_runs_once(fault):
    resp, runs = _call("unsafe", [fault])
    assert resp.code == 502
    assert "X-Server-Seal" not in resp.headers
    assert len(runs) == 1


@pytest.mark.parametrize("fault", ["reset", "short"])
def test_cut_answer_of_a_safe_call_is_retried(fault):
    resp, runs = _call("safe", [fault])
    assert resp.code == 200
    assert resp.body == BODY
    assert len(runs) == 2
