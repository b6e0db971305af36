"""Model servers whose events come at the times that the users' pages state."""

import asyncio
from collections.abc import Callable
import contextlib

import attrs
from tornado import web

from balsamlug_standins import members
from balsamlug_standins import serving
from review import harness

HOST = "ficu95.example"
SERVICE, MODEL = "huvo11a", "daka510000"
KEY = "n2ctnfzs989anu6wsjnb"
GROUP_SIZE = 3
SLOTS = 13
# Figures of the wire examples: tokens of an event, and times of a token step.
STRIDE = 6
STEP_MS, PER_SEQ_MS, CONTEXT_PER_K = 6.45, 0.1934, 0.00586
USUAL = {"prompt": 1115, "answer": 152}


def service() -> dict:
    """Return the service as the operator describes it."""
    model = {
        "Name": MODEL,
        "size": GROUP_SIZE,
        "Share": 1.0,
        "pace": 1.0,
        "LoadS": 12.0,
        "WarmS": 1.1,
    }
    engine = {
        "BatchSlots": SLOTS,
        "KvCapacity": 1235000,
        "Stride": STRIDE,
        "Models": [model],
        "step_ms": STEP_MS,
        "per_seq_ms": PER_SEQ_MS,
        "context_per_k": CONTEXT_PER_K,
        "read_per_s": 56100.0,
        "pairs_per_m": 0.309,
        "chunk": 2048,
        "report_lag_ms": 200.0,
        "LoadsPerS": 5.5,
        "loads_at_once": 8,
        "usual": USUAL,
        "CachedPrefixes": 1,
        "far_x": 2.5,
        "FormMs": 300.0,
    }
    return {"Name": SERVICE, "HealthPath": "/healthz", "Engine": engine}


def route(**changes: object) -> dict:
    """Return a streaming route of the service."""
    return {
        "Name": "plan",
        "Hostname": HOST,
        "PathPrefix": "/plan/",
        "RouteType": "streaming",
        "TimeoutMs": 8000,
        "TargetLatencyMs": 400,
        "GapTargetMs": 250,
        "Priority": 1,
        "Service": SERVICE,
        "MaxAttempts": 2,
        "Public": False,
        "SessionAffinity": True,
        "StreamResume": True,
    } | changes


def configuration(version: int, **changes: object) -> dict:
    """Return the operator's configuration."""
    return {
        "Version": version,
        "Routes": [route(**changes)],
        "Services": [service()],
        "Limits": {
            "MaxHeaderBytes": 16384,
            "MaxBodyBytes": 4194304,
            "HeaderTimeoutMs": 3000,
            "IdleTimeoutMs": 15000,
        },
        "Tenants": [{"Name": "hule930", "ApiKeys": [KEY], "Priority": 1}],
    }


def request(
    events: int, deadline_ms: int = 8000, last_event: str = ""
) -> tuple[str, bytes]:
    """Return id and bytes of a request for a stream of so many events."""
    name = harness.request_id()
    headers = {
        "Host": HOST,
        "X-Attempt-Id": name,
        "X-Model": MODEL,
        "X-Token-Count": f"100,{events * STRIDE}",
        "X-Prefix-Hash": f"5c1e07a2:40,{name}:60",
        "X-Deadline-Ms": str(deadline_ms),
        "Api-Key": KEY,
    }
    if last_event:
        headers["Last-Event-Id"] = last_event
    path = f"/plan/{events}"
    return name, harness.request_bytes("POST", path, headers, b"prompt")


@attrs.define(eq=False)
class PacedMember(members.Member):
    """Model server that takes its times from the configuration.

    Attributes:
      running: requests that run now.
      ended: id and number of events of each request that ran to its end.
      unframed: streams have neither a length nor chunks.
      on_order: called with the server, an order, its status, and the group and
        the members before it.
    """

    running: int = 0
    ended: list[tuple[str, int]] = attrs.field(factory=list)
    unframed: bool = False
    on_order: Callable = lambda server, body, status, group, members: None

    def order(self, body: dict) -> int:
        """Apply an order and return the HTTP status of the response."""
        group, others = self.group and dict(self.group), self.members
        status = super().order(body)
        self.on_order(self, body, status, group, others)
        return status

    def listen(self, port: int = 0) -> None:
        """Serve on a loopback port, 0 for a free one, and register."""
        self.framed = not self.unframed
        app = web.Application(
            self._handlers(), log_function=lambda handler: None
        )
        self._server, port = serving.listen(app, port, serving.ResettableServer)
        self.address = f"{serving.HOST}:{port}"
        self.peers[self.id] = self
        self.announce()

    def _handlers(self) -> list:
        handlers = {"member": self}
        return [
            (r"/-/report", members._Report, handlers),
            (r"/-/order", members._Order, handlers),
            (r"/.*", PacedStream, handlers),
        ]

    def pass_s(self) -> float:
        """Return the time between two events."""
        context = CONTEXT_PER_K * (USUAL["prompt"] + USUAL["answer"]) / 1000
        step_ms = STEP_MS + self.running * (PER_SEQ_MS + context)
        return STRIDE * step_ms / 1000


class PacedStream(members._Stream):
    """Stream as many events as the path says."""

    async def _send_events(self, first: int, cut_at: int) -> None:
        del cut_at
        name = self.request.headers["X-Attempt-Id"]
        count = int(self.request.path.rpartition("/")[2])
        self.member.running += 1
        try:
            for number in range(first, count + 1):
                await asyncio.sleep(self.member.pass_s())
                await self._wait_until_complete()
                event = f"id: {number}\ndata: token{number}\n\n".encode()
                await self._send(event)
            self.member.ended.append((name, count))
        finally:
            self.member.running -= 1


def start(
    deployment: harness.Deployment,
    count: int,
    first: int = 0,
    peers: dict[str, members.Member] | None = None,
    create: type[PacedMember] = PacedMember,
    **more: object,
) -> list[PacedMember]:
    """Start servers of one domain.

    Args:
      first: number of the first server.
      peers: servers of the domain that run already.
      create: class of the servers.
    """
    peers = {} if peers is None else peers
    servers = []
    for number in range(first, first + count):
        server = create(
            f"i-{number}",
            deployment.store,
            domain="amhara-a-d0",
            service=SERVICE,
            zone="amhara-a",
            slots=SLOTS,
            warm_s=1.1,
            load_s=1.2,
            peers=peers,
            **more,
        )
        server.listen()
        servers.append(server)
    return servers


def head(servers: list[PacedMember]) -> PacedMember:
    """Return the head of the group that serves."""
    return next(s for s in servers if s.group and s.group["State"] == "open")


async def stream(
    port: int, events: int, timeout_s: float = 9.0
) -> harness.Answer:
    """Send a request on a new connection and return its answer."""
    name, data = request(events)
    return await harness.exchange(port, data, timeout_s, name)


def events_of(answer: harness.Answer) -> int:
    """Return the number of events in an answer."""
    return answer.body.count(b"\n\n")


async def wait_for_service(deployment: harness.Deployment) -> None:
    """Wait until every node serves a stream."""

    async def serves() -> bool:
        answers = await asyncio.gather(
            *(stream(n.caller_port, 2) for n in deployment.nodes)
        )
        return all(a.status == 200 and a.complete for a in answers)

    await harness.until(serves, "service")


class KeptConnection:
    """Connection of a client that is used for several requests."""

    async def open(self, port: int) -> None:
        """Connect to a node."""
        self._reader, self._writer = await asyncio.open_connection(
            harness.HOST, port
        )

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()

    async def send(
        self, deployment: harness.Deployment, name: str, data: bytes
    ) -> harness.Answer:
        """Send a request; the answer is incomplete if the connection ends."""
        sent_s = asyncio.get_running_loop().time()
        status, headers, body, complete = 0, {}, bytearray(), False
        with contextlib.suppress(OSError, EOFError, ValueError, TimeoutError):
            async with asyncio.timeout(10.0):
                self._writer.write(data)
                status, headers = await harness.read_head(self._reader)
                async for part in harness.read_body(self._reader, headers):
                    body += part
                complete = True
        deployment.record.note(
            f"request {name}: status {status}, {len(body)} bytes,"
            f" {'complete' if complete else 'cut off'}"
        )
        return harness.Answer(
            name, status, headers, bytes(body), complete, sent_s
        )


async def connect(
    deployment: harness.Deployment, node: harness.Node, events: int = 5
) -> KeptConnection:
    """Open a connection to a node and use it once."""
    kept = KeptConnection()
    await kept.open(node.caller_port)
    name, data = request(events)
    await kept.send(deployment, name, data)
    return kept
