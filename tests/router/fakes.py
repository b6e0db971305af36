"""Fake upstreams and a router that run in the event loop of the test."""

import asyncio
import contextlib
import json
import random
import time

import attrs
from tornado import httpserver
from tornado import iostream
from tornado import netutil
from tornado import tcpclient
from tornado import web

from balsamlug import clock as clocks
from balsamlug.config import schema
from balsamlug.messages import types
from balsamlug.observability import metrics
from balsamlug.router import app
from balsamlug.router import upstream
from balsamlug_standins import memory_store
from balsamlug_standins import processes

BASE = """
[limits]
max_body_kb = 16
stream_buffer_kb = 16

[deployment:chat]
model = surf-7b
group_size = 2

[customer:vedrina]
key = k-vedrina
deadline_ms = 3000
deployments = chat

[customer:other]
key = k-other
deployments =

[role:vedrina/door]
priority = 0
deadline_ms = 1500
"""
# A fake engine crashes when it runs this prompt.
CRASH_PROMPT = "poison"
REFRESH_PERIOD_S = 0.5
AUTH = {"Authorization": "Bearer k-vedrina"}
# Ports stay reserved, also those on which nothing listens.
PORTS = processes.Ports()


def token(index: int) -> str:
    """Return the text of a token of every fake engine."""
    return f"t{index} "


def answer(count: int) -> str:
    """Return the complete text of an answer."""
    return "".join(token(index) for index in range(count))


@attrs.define(eq=False)
class Engine:
    """Fake engine that takes its behaviour for each request from a list.

    A step is "ok", "status:<code>", "cut:<n>" (close after n tokens),
    "early:<n>", "stall:<n>", "drip:<n>" (send single bytes after n tokens),
    "skip:<n>", "repeat:<n>", "garbage:<n>",
    "crash:<n>" (close after n tokens and stop listening), "restart:<n>" (close
    after n tokens, and a successor without a group listens at once) or
    "unframed:<n>" (like a crash, for a stream without framing).

    Attributes:
      on_crash_prompt: name of the step that the crashing prompt takes.
      status: answer of /v1/status, None to answer 404.
      limit: requests per second that it states to accept, None for no limit.
      leaving: whether it states in all answers that it leaves.
      retry_after: Retry-After of the 503 with which it rejects all requests,
        empty while it accepts them.
      arrivals: monotonic time of each request.
      stalled: number of answers that have stalled.
    """

    steps: list[str] = attrs.field(factory=list)
    requests: list[dict] = attrs.field(factory=list)
    cancelled: list[str] = attrs.field(factory=list)
    headers: list[dict] = attrs.field(factory=list)
    delay_s: float = 0.0
    text_bytes: int = 0
    gate: asyncio.Event | None = None
    stalled: int = 0
    address: str = ""
    on_crash_prompt: str = "crash"
    status: dict | None = None
    limit: float | None = None
    leaving: bool = False
    retry_after: str = ""
    arrivals: list[float] = attrs.field(factory=list)
    running: list[str] = attrs.field(factory=list)
    server: httpserver.HTTPServer | None = None

    def listen(self) -> None:
        """Accept connections on a free port."""
        routes = [
            (r"/v1/completions", _Completions, {"engine": self}),
            (r"/v1/requests/(.*)/cancel", _Cancel, {"engine": self}),
            (r"/v1/status", _Status, {"engine": self}),
        ]
        self.server, self.address = serve(web.Application(routes))

    def crash(self) -> None:
        """Stop listening and drop all connections."""
        self.server.stop()
        self._drop_connections()

    def restart(self) -> None:
        """Drop all connections and answer as a successor without a group."""
        self.status = status(incarnation="2")
        self._drop_connections()

    def _drop_connections(self) -> None:
        for conn in list(self.server._connections):
            conn.stream.close()


class _Completions(web.RequestHandler):
    def initialize(self, engine: Engine) -> None:
        self.engine = engine

    async def post(self) -> None:
        engine = self.engine
        body = json.loads(self.request.body)
        engine.requests.append(body)
        engine.arrivals.append(time.monotonic())
        engine.headers.append(dict(self.request.headers))
        step = engine.steps.pop(0) if engine.steps else "ok"
        if body["prompt"] == CRASH_PROMPT:
            step = f"{engine.on_crash_prompt}:{body['resume_from'] + 1}"
        engine.running.append(body["prompt"])
        if engine.limit is not None:
            self.set_header("Server-Limit", str(engine.limit))
        if engine.leaving:
            self.set_header("Server-Leaving", "1")
        if engine.retry_after:
            self.set_header("Retry-After", engine.retry_after)
            step = "status:503"
        try:
            await self.run_step(step, body)
        finally:
            engine.running.remove(body["prompt"])

    async def run_step(self, step: str, body: dict) -> None:
        engine = self.engine
        name, _, number = step.partition(":")
        if name == "status":
            self.set_status(int(number))
            await self.finish({"error": "wrong_group"})
            return
        last = body["max_tokens"] if name == "ok" else int(number)
        if engine.gate is not None:
            await engine.gate.wait()
        if name == "unframed":
            await self.unframed(body["resume_from"], last)
            return
        for index in range(body["resume_from"], last):
            await self.emit(index)
        if name != "ok":
            # Lets the router read the tokens before the fault occurs.
            await asyncio.sleep(0.03)
        await _STEPS[name](self, last)

    async def emit(self, index: int) -> None:
        text = token(index) + "x" * self.engine.text_bytes
        event = json.dumps({"index": index, "text": text})
        self.write(f"data: {event}\n\n")
        await self.flush()
        if self.engine.delay_s:
            await asyncio.sleep(self.engine.delay_s)

    async def unframed(self, first: int, last: int) -> None:
        conn = self.detach()
        await conn.write(b"HTTP/1.1 200 OK\r\n\r\n")
        for index in range(first, last):
            event = json.dumps({"index": index, "text": token(index)})
            await conn.write(f"data: {event}\n\n".encode())
        await asyncio.sleep(0.03)
        self.engine.crash()
        conn.close()

    async def done(self, last: int) -> None:
        await self.finish("data: [DONE]\n\n")

    async def cut(self, last: int) -> None:
        self.detach().close()

    async def early(self, last: int) -> None:
        await self.finish()

    async def stall(self, last: int) -> None:
        await self.flush()
        self.engine.stalled += 1
        await asyncio.sleep(30)

    async def drip(self, last: int) -> None:
        for _ in range(600):
            self.write(b"d")
            await self.flush()
            await asyncio.sleep(0.05)

    async def skip(self, last: int) -> None:
        await self.emit(last + 1)
        await asyncio.sleep(30)

    async def repeat(self, last: int) -> None:
        await self.emit(last - 1)
        await asyncio.sleep(30)

    async def garbage(self, last: int) -> None:
        self.write("data: {]\n\n")
        await self.flush()
        await asyncio.sleep(30)

    async def crash(self, last: int) -> None:
        self.engine.crash()

    async def restart(self, last: int) -> None:
        self.engine.restart()


_STEPS = {
    "ok": _Completions.done,
    "cut": _Completions.cut,
    "early": _Completions.early,
    "stall": _Completions.stall,
    "drip": _Completions.drip,
    "skip": _Completions.skip,
    "repeat": _Completions.repeat,
    "garbage": _Completions.garbage,
    "crash": _Completions.crash,
    "restart": _Completions.restart,
}


class _Cancel(web.RequestHandler):
    def initialize(self, engine: Engine) -> None:
        self.engine = engine

    def post(self, request_id: str) -> None:
        self.engine.cancelled.append(request_id)


class _Status(web.RequestHandler):
    def initialize(self, engine: Engine) -> None:
        self.engine = engine

    def get(self) -> None:
        if self.engine.status is None:
            raise web.HTTPError(404)
        self.finish(self.engine.status)


def serve(application: web.Application) -> tuple[httpserver.HTTPServer, str]:
    """Serve an application on a free port and return the address."""
    server = httpserver.HTTPServer(application)
    sockets = netutil.bind_sockets(0, "127.0.0.1")
    server.add_sockets(sockets)
    return server, f"127.0.0.1:{sockets[0].getsockname()[1]}"


def status(incarnation: str = "1", **group: object) -> dict:
    """Return the status of an engine, which is in no group by default."""
    fields = {
        "instance": "e0",
        "incarnation": incarnation,
        "state": "ready" if group else "idle",
        "members": [],
    }
    return fields | group


async def open_stream(address: str) -> iostream.IOStream:
    """Return a raw connection to an address."""
    host, _, port = address.rpartition(":")
    return await tcpclient.TCPClient().connect(host, int(port))


def free_port() -> int:
    """Return a port that no other process can use while the tests run."""
    return PORTS.take()


@attrs.define(eq=False)
class Harness:
    """Router with fake engines, one for each group.

    Attributes:
      generation: generation of all groups.
    """

    router: app.Router
    engines: list[Engine]
    address: str
    generation: int = 1
    reported: dict[int, tuple[bool, str]] = attrs.field(factory=dict)

    def report(self, index: int, ready: bool = True, reason: str = "") -> None:
        """Publish a group's readiness; `refresh` repeats it."""
        self.reported[index] = (ready, reason)
        report = types.GroupReport(
            f"g{index}",
            "prober",
            "chat",
            self.generation,
            ready,
            not ready,
            reason,
            self.engines[index].address,
            [0, 0, 16, 0, 0],
            0,
        )
        self.router.fleet.publish(report, self.router.clock.monotonic())

    async def refresh(self) -> None:
        """Repeat the last reports before they expire."""
        while True:
            await asyncio.sleep(REFRESH_PERIOD_S)
            for index, status in list(self.reported.items()):
                self.report(index, *status)

    async def post(
        self,
        body: object,
        path: str = "/v1/completions",
        headers: dict[str, str] = AUTH,
        method: str = "POST",
    ) -> tuple[upstream.Response, bytes]:
        """Send a request to the router and return the complete answer."""
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        call = upstream.Call(self.address, method, path, headers, data)
        return await upstream.fetch(call, 10.0)

    def metric(self, name: str, **labels: str) -> float:
        """Return the value of a metric, 0 if it was never set."""
        value = self.router.metrics.registry.get_sample_value(
            f"balsamlug_{name}", labels
        )
        return value or 0.0


@attrs.define
class PermitNode:
    """Node that grants one permit for each fingerprint or group at a time."""

    router: app.Router
    held: dict[str, str] = attrs.field(factory=dict)

    def handle(self, message: types.PermitRequest) -> None:
        """Answer a permit request, or release a permit."""
        key, holder = message.fingerprint, message.holder
        if message.step == "ask":
            granted = self.held.setdefault(key, holder) == holder
            answer = types.PermitGrant(key, holder, granted, 10)
            loop = asyncio.get_running_loop()
            loop.call_soon(self.router.permits.handle_grant, answer)
        elif self.held.get(key) == holder:
            del self.held[key]


@contextlib.asynccontextmanager
async def harness(engines: int = 2, services_text: str = ""):
    """Run a router whose groups are all ready."""
    ports = processes.Ports()
    port = ports.take()
    node = schema.NodeSettings(
        "n1",
        "vedrina",
        "r1",
        "f1",
        "127.0.0.1",
        port,
        ports.take(),
        1,
        1,
        "http://127.0.0.1:1",
    )
    store = memory_store.MemoryStore(random.Random(1))
    router = app.Router(
        node,
        clocks.SystemClock(),
        random.Random(1),
        store,
        metrics.RouterMetrics(),
    )
    fake_engines = [Engine() for _ in range(engines)]
    for engine in fake_engines:
        engine.listen()
    result = Harness(router, fake_engines, f"127.0.0.1:{port}")
    now_s = router.clock.monotonic()
    value = {"base": BASE + services_text, "overlays": {}}
    assert router.fleet.publish(types.ConfigUpdate(1, value), now_s)
    router.permits.send = PermitNode(router).handle
    # The control link never connects, so the view is marked as current here.
    router.link._last_connected_s = now_s + 3600
    for index in range(engines):
        result.report(index)
    server = router.listen()
    loops = asyncio.create_task(router.run_loops())
    refresh = asyncio.create_task(result.refresh())
    try:
        yield result
    finally:
        loops.cancel()
        refresh.cancel()
        server.stop()
        await server.close_all_connections()
        for engine in fake_engines:
            engine.crash()
        ports.release()
