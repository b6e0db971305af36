"""Guards instances of plain services against calls that crash them."""

import asyncio
import contextlib
import json

import attrs

from balsamlug_standins import plain_servers
from balsamlug_standins import serving
from balsamlug_standins import site
from tests.entry import fleet as fleets

INSTANCES = 6
# Each call is tried at two instances.
CALLS = 3
MAX_CRASHES = 3
CRASHING = b"crash"
ROUTE = {
    "Name": "calc",
    "Hostname": site.HOST,
    "PathPrefix": "/calc/",
    "RouteType": "safe",
    "TimeoutMs": 2000,
    "TargetLatencyMs": 1000,
    "Service": "calc",
    "MaxAttempts": 2,
}
PARTS = {"X-Prefix-Hash": "shared:10,bad:40,own:9"}


@attrs.define(eq=False)
class _Instance:
    """Server of a plain service that ends when it reads a crashing body."""

    name: str
    crashed: list[str]
    server: asyncio.Server | None = None

    async def listen(self, api) -> None:
        self.server = await asyncio.start_server(self._serve, serving.HOST, 0)
        port = self.server.sockets[0].getsockname()[1]
        address = f"{serving.HOST}:{port}"
        entry = plain_servers.entry("calc", address)
        api.write("servers", self.name, entry)

    async def _serve(self, reader, writer) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            body = await reader.readexactly(5)
            if body == CRASHING:
                self.crashed.append(self.name)
                self.server.close()
            else:
                writer.write(_answer(head))
        writer.close()


def _answer(head: str) -> bytes:
    attempt = next(
        line for line in head.split("\r\n") if line.startswith("X-Attempt-Id")
    )
    return (
        f"HTTP/1.1 200 OK\r\n{attempt}\r\nX-Server-Seal: s\r\n"
        "Content-Length: 2\r\n\r\nok"
    ).encode()


@contextlib.asynccontextmanager
async def _running():
    crashed = []
    async with fleets.running(engines=3, configured=False) as fleet:
        spec = site.configuration(
            1,
            [site.STREAM, ROUTE],
            [site.model_service(fleets.SLOTS), {"Name": "calc"}],
            [fleets.KEY],
        )
        fleet.api.write("config", "main", spec)
        instances = [_Instance(f"c-{n}", crashed) for n in range(INSTANCES)]
        for instance in instances:
            await instance.listen(fleet.api)
        await fleet.until(
            lambda: all(
                sum(i.service == "calc" for i in n.state.instances.values())
                == INSTANCES
                for n in fleet.nodes
            )
        )
        try:
            yield fleet, crashed
        finally:
            for instance in instances:
                instance.server.close()


async def _call(fleet, number: int, body: bytes, **headers):
    port = fleet.nodes[number % 2].peers.settings.caller_port
    return await fleet.http.fetch(
        f"http://127.0.0.1:{port}/calc/1",
        method="POST",
        body=body,
        headers={
            "Host": site.HOST,
            "X-Attempt-Id": f"r{number}",
            "X-Deadline-Ms": "2000",
            "Api-Key": fleets.KEY,
            **headers,
        },
        raise_error=False,
    )


def test_repeated_call_that_crashes_instances_is_refused():
    async def scenario():
        async with _running() as (fleet, crashed):
            for number in range(CALLS):
                resp = await _call(fleet, number, CRASHING)
                # Callers come back after some time.
                await asyncio.sleep(0.5)
            assert resp.code == 503, (resp.code, crashed)
            error = json.loads(resp.body)["error"]
            assert error["code"] == "suspected_request"
            assert len(crashed) <= MAX_CRASHES
            assert (await _call(fleet, CALLS, b"sound")).code == 200

    asyncio.run(scenario())


def test_call_is_served_though_a_part_of_its_prompt_crashed_engines():
    """Guards calls of plain services, which do not run the prompt."""

    async def scenario():
        async with _running() as (fleet, _):
            for generation in range(3):
                fleet.nodes[0].gateway.ctx.quarantine.record_crash(
                    ["part:bad"], "g", generation
                )
            assert (await _call(fleet, 0, b"sound", **PARTS)).code == 200

    asyncio.run(scenario())
