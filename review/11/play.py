"""The store turns a third of the machines away, those that read it most."""

import asyncio
import contextlib
import itertools
import pathlib
import time

from balsamlug_standins import object_api
from balsamlug_standins import plain_servers
from review import kit3

FOLDER = pathlib.Path(__file__).resolve().parent
SERVICE = "wuno96b"
NODES = 18
REFUSED = 6
REFUSED_S = 9.0
OTHER_KEY = "anfqasnmgkcuyj8pjbvk"
CONFIG_APPLY_S = 2.0
MAX_STRETCH_S = 5.0
BUSY = (
    b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n"
    b"Connection: close\r\n\r\n"
)


class StorePath:
    """The way of one machine to the store, which may turn it away."""

    def __init__(self, store: str) -> None:
        self._host, _, port = store.rpartition(":")
        self._port = int(port)
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self.refuses = False
        self.calls: list[float] = []

    async def listen(self) -> str:
        """Serve on a free port and return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    def refuse(self) -> None:
        """Turn the machine away, also where it waits for changes."""
        self.refuses = True
        for writer in list(self._writers):
            writer.write(BUSY)
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.calls.append(time.monotonic())
        with contextlib.suppress(OSError, EOFError):
            if self.refuses:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(BUSY)
                await writer.drain()
                writer.close()
                return
            self._writers.add(writer)
            there, back = await asyncio.open_connection(self._host, self._port)
            forth = asyncio.create_task(_pump(reader, back))
            await _pump(there, writer)
            forth.cancel()
        self._writers.discard(writer)


async def _pump(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> None:
    with contextlib.suppress(OSError):
        while data := await reader.read(65536):
            writer.write(data)
            await writer.drain()
    writer.close()


async def main(record: kit3.Record) -> int:
    """Play the case and return its exit code."""
    api = object_api.ObjectApi()
    address = api.listen()
    routes = [kit3.route("book", "unsafe", SERVICE, MaxAttempts=1)]
    services = [{"Name": SERVICE, "MaxConnections": 208}]
    spec = kit3.configuration(7, routes, services)
    spec["Tenants"][0]["ApiKeys"] = [kit3.KEY, OTHER_KEY]
    api.write("config", "main", spec)
    servers = [plain_servers.PlainServer(f"i-{n}", api, SERVICE) for n in "012"]
    for server in servers:
        await server.listen()
    paths = [StorePath(address) for _ in range(NODES)]
    addresses = [await path.listen() for path in paths]
    deployment = kit3.Deployment(addresses, NODES)
    deployment.start()
    try:
        await deployment.ready(40)
        return await _play(record, api, spec, deployment, paths, servers)
    finally:
        deployment.stop()
        for server in servers:
            server.stop()
        api.stop()


async def _play(
    record: kit3.Record,
    api: object_api.ObjectApi,
    spec: dict,
    deployment: kit3.Deployment,
    paths: list[StorePath],
    servers: list[plain_servers.PlainServer],
) -> int:
    await asyncio.sleep(10)
    recent_s = time.monotonic() - 5
    calls = [sum(t > recent_s for t in path.calls) for path in paths]
    record(f"calls to the store in 5 s, by machine: {calls}")
    busiest = sorted(range(NODES), key=lambda n: -calls[n])[:REFUSED]
    if kit3.TROUBLE:
        for number in busiest:
            paths[number].refuse()
        record(f"the store turns {busiest} away for {REFUSED_S:g} s")
    begun_s = time.monotonic()
    await asyncio.sleep(0.2)
    changed = [spec["Tenants"][0] | {"ApiKeys": [OTHER_KEY]}]
    api.write("config", "main", spec | {"Version": 8, "Tenants": changed})
    acknowledged_s = time.monotonic()
    record("version 8, without the first key, is acknowledged")
    bound_s = acknowledged_s + CONFIG_APPLY_S + MAX_STRETCH_S
    others = [n for n in range(NODES) if n not in busiest]
    late: set[str] = set()
    for count in itertools.count():
        now_s = time.monotonic()
        if now_s > begun_s + REFUSED_S - 0.2:
            break
        name = f"m{others[count % len(others)]}-{count}"
        if now_s > bound_s + 0.05:
            late.add(name)
        node = deployment.nodes[others[count % len(others)]]
        headers = {
            "X-Attempt-Id": name,
            "X-Deadline-Ms": "1500",
            "Api-Key": kit3.KEY,
        }
        answer = await kit3.request(
            node.ip, node.caller_port, "POST", "/book/1", headers, b"p" * 100
        )
        after_s = now_s - acknowledged_s
        record(f"{name}, {after_s:.2f} s after: {answer.status}")
        await asyncio.sleep(0.05)
    for path in paths:
        path.refuses = False
    ran = {name for server in servers for name in server.attempts}
    record(
        "requests with the dropped key, sent later than"
        f" {CONFIG_APPLY_S + MAX_STRETCH_S:g} s after: {len(late)}, of which"
        f" ran: {len(late & ran)}"
    )
    return kit3.BROKEN if late & ran else kit3.HELD


kit3.play(FOLDER, main)
