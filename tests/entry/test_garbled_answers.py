"""Guards against garbled answers of servers that leave a caller unanswered."""

import asyncio
import random

import attrs
import pytest
from tornado import web

from balsamlug_standins import members
from balsamlug_standins import plain_servers
from balsamlug_standins import site
from tests.entry import faults
from tests.entry import fleet as fleets

CALLS = 60
ANSWER_TIMEOUT_S = 10.0
SERVICE = "calc"
SILENT_S = 1.2
PAUSE_S = 0.05
_OK = "HTTP/1.1 200 OK\r\n"
_LENGTH = "Content-Length: 4\r\n\r\nbody"
ROUTE = {
    "Hostname": site.HOST,
    "TimeoutMs": 5000,
    "TargetLatencyMs": 400,
    "MaxAttempts": 2,
}
# `{own}` stands for the headers that make an answer the server's own.
GARBLED = {
    "whole": _OK + "{own}" + _LENGTH,
    "nothing": "",
    "no http": "\x00\x01garbage\r\n\r\n",
    "part of a head": _OK + "{own}Content-Le",
    "control character": _OK + "X-Odd: a\x01b\r\n{own}" + _LENGTH,
    "carriage return": _OK + "X-Odd: a\rb\r\n{own}" + _LENGTH,
    "zero byte": _OK + "X-Odd: a\x00b\r\n{own}" + _LENGTH,
    "not ascii": _OK + "X-Odd: \xfc\xff\r\n{own}" + _LENGTH,
    "odd name": _OK + "X Odd\xfc: a\r\n{own}" + _LENGTH,
    "no name": _OK + ": a\r\n{own}" + _LENGTH,
    "folded": _OK + "X-Odd: a\r\n b\r\n{own}" + _LENGTH,
    "odd reason": "HTTP/1.1 200 \xfc\x7f\r\n{own}" + _LENGTH,
    "status 000": "HTTP/1.1 000 No\r\n{own}" + _LENGTH,
    "status 999": "HTTP/1.1 999 No\r\n{own}" + _LENGTH,
    "status 2000": "HTTP/1.1 2000 No\r\n{own}" + _LENGTH,
    "interim": "HTTP/1.1 103 Hints\r\nX: y\r\n\r\n" + _OK + "{own}" + _LENGTH,
    "upgrade": (
        "HTTP/1.1 101 Up\r\nUpgrade: x\r\nConnection: upgrade\r\n{own}\r\n"
    ),
    "upgraded 200": (
        _OK + "Upgrade: x\r\nConnection: upgrade\r\n{own}" + _LENGTH
    ),
    "two lengths": _OK + "{own}Content-Length: 9\r\n" + _LENGTH,
    "length and chunks": _OK + "{own}Transfer-Encoding: chunked\r\n" + _LENGTH,
    "negative length": _OK + "{own}Content-Length: -1\r\n\r\nbody",
    "long length": _OK + "{own}Content-Length: " + "9" * 5000 + "\r\n\r\nbody",
    "late end": _OK + "{own}Content-Length: 9\r\n\r\nbody",
    "no length": _OK + "{own}\r\nbody",
    "odd chunk": _OK + "{own}Transfer-Encoding: chunked\r\n\r\nzz\r\nbody",
    "cut chunks": _OK + "{own}Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
    "trailer": (
        _OK + "{own}Transfer-Encoding: chunked\r\nTrailer: X\r\n\r\n"
        "4\r\nbody\r\n0\r\nX: y\r\n\r\n"
    ),
    "no content": "HTTP/1.1 204 None\r\n{own}\r\n",
    "not modified": "HTTP/1.1 304 None\r\n{own}" + _LENGTH,
    "extra answer": (_OK + "{own}" + _LENGTH) * 2,
    "late answer": _OK + "X-Attempt-Id: old\r\nX-Server-Seal: s\r\n" + _LENGTH,
    "no id": _OK + "X-Server-Seal: s\r\n" + _LENGTH,
    "no seal": _OK + "X-Attempt-Id: {id}\r\n" + _LENGTH,
    "odd notices": (
        "HTTP/1.1 503 No\r\n{own}Retry-After: 1e999\r\nServer-Limit: nan\r\n"
        "Server-Leaving: \xb2\r\nX-Not-Executed: 1\r\n" + _LENGTH
    ),
    "long retry time": (
        "HTTP/1.1 503 No\r\n{own}Retry-After: " + "9" * 400 + "\r\n"
        "X-Not-Executed: 1\r\n" + _LENGTH
    ),
    "encoded": _OK + "{own}Content-Encoding: gzip\r\n" + _LENGTH,
    "long head": _OK + "X-Odd: " + "a" * 100_000 + "\r\n{own}" + _LENGTH,
    "many headers": _OK + "X-Odd: a\r\n" * 5_000 + "{own}" + _LENGTH,
    "hop headers": (
        _OK + "Connection: close, X-Seal\r\nKeep-Alive: timeout=1\r\n{own}"
        "Proxy-Connection: x\r\nTE: x\r\nExpect: 100-continue\r\n" + _LENGTH
    ),
}


def _garbled(kind: str, request_id: str) -> bytes:
    own = f"X-Attempt-Id: {request_id}\r\nX-Server-Seal: s\r\n"
    text = GARBLED[kind].replace("{own}", own).replace("{id}", request_id)
    return text.encode("latin-1")


@attrs.define
class PlainServers:
    """Servers that garble the answers to calls of their target's kind."""

    rng: random.Random

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request, sometimes early, in parts or after a silence."""
        if self.rng.random() < 0.1:
            early = _garbled(self.rng.choice([*GARBLED]), "early")
            writer.write(early)
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
        except (asyncio.IncompleteReadError, OSError):
            # A check of the connection, or a caller that read the early answer.
            writer.close()
            return
        kind, request_id = _kind_and_id(head)
        if self.rng.random() < 0.05:
            await asyncio.sleep(SILENT_S)
        answer = _garbled(kind, request_id)
        cut = self.rng.randint(0, len(answer))
        writer.write(answer[:cut])
        await asyncio.sleep(self.rng.choice([0, PAUSE_S]))
        writer.write(answer[cut:])
        if self.rng.random() < 0.5:
            await asyncio.sleep(PAUSE_S)
        writer.close()


def _kind_and_id(head: str) -> tuple[str, str]:
    number = int(head.split(" ", 2)[1].rpartition("/")[2])
    lines = head.splitlines()
    ids = [line for line in lines if line.startswith("X-Attempt-Id: ")]
    return [*GARBLED][number], ids[0].partition(": ")[2]


@attrs.define(eq=False)
class GarblingMember(members.Member):
    """Model server that garbles some of its streams before the first event."""

    rng: random.Random = attrs.field(factory=random.Random)

    def listen(self, port: int = 0) -> None:
        """Serve on a loopback port, and garble streams."""
        super().listen(port)
        app: web.Application = self._server.request_callback
        app.add_handlers(".*", [(r"/chat/.*", _Stream, {"member": self})])


class _Stream(members._Stream):
    async def post(self) -> None:
        if self.member.rng.random() < 0.5:
            await super().post()
            return
        headers = self.request.headers
        kind = self.member.rng.choice([*GARBLED])
        conn = self.detach()
        await conn.write(_garbled(kind, headers["X-Attempt-Id"]))
        await asyncio.sleep(self.member.rng.choice([0, PAUSE_S]))
        conn.close()


def _entry(port: int) -> dict:
    return plain_servers.entry(SERVICE, f"127.0.0.1:{port}")


def _configuration() -> dict:
    routes = [
        ROUTE
        | {
            "Name": kind,
            "PathPrefix": f"/{kind}/",
            "RouteType": kind,
            "Service": SERVICE,
        }
        for kind in ("safe", "unsafe")
    ]
    return site.configuration(
        2,
        [site.STREAM, *routes],
        [site.model_service(fleets.SLOTS), {"Name": SERVICE}],
        [fleets.KEY],
    )


@attrs.define
class Caller:
    """Sends requests, on one connection as long as it is kept."""

    port: int
    name: str
    lost: list[str]
    statuses: dict[int, int]
    _streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def call(self, target: str, number: int) -> None:
        """Send a request and record its answer."""
        if self._streams is None:
            self._streams = await asyncio.open_connection(
                "127.0.0.1", self.port
            )
        reader, writer = self._streams
        request = (
            f"POST {target} HTTP/1.1\r\nHost: {site.HOST}\r\n"
            f"X-Attempt-Id: {self.name}-{number}\r\nX-Deadline-Ms: 5000\r\n"
            f"X-Model: {fleets.MODEL}\r\nX-Token-Count: 100,20\r\n"
            f"Api-Key: {fleets.KEY}\r\nContent-Length: 4\r\n\r\n{number:04}"
        )
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                writer.write(request.encode())
                status, is_kept = await _read_answer(reader)
        except (asyncio.IncompleteReadError, OSError, TimeoutError) as exc:
            self.lost.append(f"{target}: {exc!r}")
            is_kept = False
        else:
            self.statuses[status] = self.statuses.get(status, 0) + 1
        if not is_kept:
            writer.close()
            self._streams = None


async def _read_answer(reader: asyncio.StreamReader) -> tuple[int, bool]:
    """Return the status, and whether the connection is kept."""
    raw = await reader.readuntil(b"\r\n\r\n")
    head = raw.decode("latin-1").lower()
    lines = dict(line.split(": ", 1) for line in head.split("\r\n")[1:-2])
    status = int(head.split(" ")[1])
    if "content-length" in lines:
        if status != 304:
            await reader.readexactly(int(lines["content-length"]))
    elif "transfer-encoding" in lines:
        while size := int(await reader.readuntil(b"\r\n"), 16):
            await reader.readexactly(size + 2)
        await reader.readexactly(2)
    return status, lines.get("connection") != "close"


async def _play(
    seed: int, lost: list[str], statuses: dict[int, int]
) -> list[str]:
    """Return the unexpected exceptions that were logged."""
    rng = random.Random(seed)

    def create(*args, **kwargs) -> GarblingMember:
        return GarblingMember(*args, rng=rng, **kwargs)

    async with fleets.running(6, 1, create_member=create) as fleet:
        plain = PlainServers(rng)
        for number in range(3):
            server = await asyncio.start_server(plain.serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            fleet.api.write("servers", f"p-{number}", _entry(port))
        fleet.api.write("config", "main", _configuration())
        state = fleet.nodes[0].state
        await fleet.until(lambda: state.catalogue.revision == 2)
        await fleet.until(lambda: len(state.instances) == 9)
        await fleet.ready()
        port = fleet.nodes[0].peers.settings.caller_port

        async def call_often(prefix: str) -> None:
            caller = Caller(port, prefix.strip("/"), lost, statuses)
            for number in range(CALLS):
                kind = number % len(GARBLED)
                await caller.call(f"{prefix}{kind}", number)

        with faults.collected() as found:
            async with asyncio.TaskGroup() as group:
                for prefix in ("/safe/", "/unsafe/", "/chat/"):
                    group.create_task(call_often(prefix))
        return found


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_every_request_with_a_garbled_answer_is_answered(seed):
    lost: list[str] = []
    statuses: dict[int, int] = {}
    assert not asyncio.run(_play(seed, lost, statuses))
    assert not lost
    assert not statuses.get(500)
    assert statuses[200] > 0
