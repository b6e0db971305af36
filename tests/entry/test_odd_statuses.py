"""Guards against statuses that HTTP does not define being passed to callers."""

import asyncio

import pytest
from tornado import httpclient
from tornado import web

from balsamlug_standins import members
from balsamlug_standins import plain_servers
from balsamlug_standins import site
from tests.entry import fleet as fleets

SERVICE = "calc"
DEADLINE_MS = 5000
ODD = ("000", "042", "199", "0200", "20", "600", "999", "2000")
CONFIGURATION = site.configuration(
    2,
    [
        site.STREAM,
        {
            "Name": SERVICE,
            "Hostname": site.HOST,
            "PathPrefix": "/calc/",
            "RouteType": "safe",
            "TimeoutMs": DEADLINE_MS,
            "TargetLatencyMs": DEADLINE_MS,
            "Service": SERVICE,
            "MaxAttempts": 2,
        },
    ],
    [site.model_service(fleets.SLOTS), {"Name": SERVICE}],
    [fleets.KEY],
)


def _answer(status: str, request_id: str) -> bytes:
    return (
        f"HTTP/1.1 {status} No\r\nX-Attempt-Id: {request_id}\r\n"
        "X-Server-Seal: s\r\nContent-Length: 4\r\n\r\nbody"
    ).encode()


class _OddServer(plain_servers.PlainServer):
    """Plain server that answers every call with an odd status."""

    status = ""

    def _answer(self, headers: dict[str, str]) -> bytes:
        return _answer(self.status, headers["x-attempt-id"])


class _OddStream(members._Stream):
    async def post(self) -> None:
        conn = self.detach()
        request_id = self.request.headers["X-Attempt-Id"]
        await conn.write(_answer(self.member.odd_status, request_id))


class _OddMember(members.Member):
    """Model server that answers every stream with an odd status."""

    odd_status = ""

    def listen(self, port: int = 0) -> None:
        super().listen(port)
        app: web.Application = self._server.request_callback
        app.add_handlers(".*", [(r"/chat/.*", _OddStream, {"member": self})])


async def _call(fleet: fleets.Fleet) -> httpclient.HTTPResponse:
    port = fleet.nodes[0].peers.settings.caller_port
    return await fleet.http.fetch(
        f"http://127.0.0.1:{port}/calc/1",
        headers={
            "Host": site.HOST,
            "X-Attempt-Id": "c1",
            "X-Deadline-Ms": str(DEADLINE_MS),
            "Api-Key": fleets.KEY,
        },
        raise_error=False,
    )


@pytest.mark.parametrize("status", ODD)
def test_odd_status_is_a_malformed_answer(monkeypatch, status):
    monkeypatch.setattr(_OddServer, "status", status)
    monkeypatch.setattr(_OddMember, "odd_status", status)

    async def scenario() -> None:
        async with fleets.running(3, 1, create_member=_OddMember) as fleet:
            server = _OddServer("c-0", fleet.api, SERVICE)
            await server.listen()
            fleet.api.write("config", "main", CONFIGURATION)
            state = fleet.nodes[0].state
            await fleet.until(lambda: state.catalogue.revision == 2)
            await fleet.until(lambda: len(state.instances) == 4)
            await fleet.ready()
            plain = await _call(fleet)
            stream = await fleet.send_request()
            server.stop()
            # A late answer has the status 504.
            assert (plain.code, stream.code) == (502, 502)

    asyncio.run(scenario())


@pytest.mark.parametrize("status", ["000", "600", "999"])
def test_repeatable_call_is_served_by_another_server(monkeypatch, status):
    monkeypatch.setattr(_OddServer, "status", status)

    async def scenario() -> None:
        async with fleets.running(3, 1) as fleet:
            odd = _OddServer("c-0", fleet.api, SERVICE)
            good = plain_servers.PlainServer("c-1", fleet.api, SERVICE)
            await odd.listen()
            await good.listen()
            fleet.api.write("config", "main", CONFIGURATION)
            state = fleet.nodes[0].state
            await fleet.until(lambda: state.catalogue.revision == 2)
            await fleet.until(lambda: len(state.instances) == 5)
            while not odd.arrivals:
                assert (await _call(fleet)).code == 200
            odd.stop()
            good.stop()

    asyncio.run(scenario())
