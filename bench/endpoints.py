"""Stand-in engine and load generator of the relay measurement."""

import asyncio
import json
from multiprocessing import connection
import random
import time

import attrs

HOST = "127.0.0.1"
TICK_S = 0.005


@attrs.frozen
class Profile:
    """Load of one measurement.

    Attributes:
      tokens: tokens of each answer.
      gap_s: time between two tokens of a stream.
    """

    name: str
    requests_per_s: float
    tokens: int
    gap_s: float
    seconds: float


class EngineConnection(asyncio.Protocol):
    """One request to the stand-in engine."""

    def __init__(self, buckets: list[set["EngineConnection"]]) -> None:
        self._buckets = buckets
        self._buffer = b""

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Keep the transport."""
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Start the stream when the request is complete."""
        self._buffer += data
        head, _, body = self._buffer.partition(b"\r\n\r\n")
        length = int(head.lower().partition(b"content-length:")[2].split()[0])
        if len(body) < length:
            return
        req = json.loads(body)
        if "max_tokens" not in req:
            # A cancel call; the router closes the stream as well.
            self.transport.close()
            return
        self.index = req.get("resume_from", 0)
        self.last = req["max_tokens"]
        self.transport.write(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        random.choice(self._buckets).add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """End the stream."""
        for bucket in self._buckets:
            bucket.discard(self)

    def step(self) -> None:
        """Send one token that carries the time."""
        event = b'data: {"index": %d, "text": "@%d@"}\n\n' % (
            self.index,
            time.monotonic_ns(),
        )
        self.index += 1
        chunk = b"%x\r\n%s\r\n" % (len(event), event)
        if self.index < self.last:
            self.transport.write(chunk)
            return
        self.transport.write(chunk + b"e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n")
        self.transport.close()
        self.connection_lost(None)


async def engine(port: int, gap_s: float) -> None:
    """Run the stand-in engine; streams are spread over the steps."""
    buckets: list[set[EngineConnection]] = [
        set() for _ in range(max(1, round(gap_s / TICK_S)))
    ]
    loop = asyncio.get_running_loop()
    await loop.create_server(
        lambda: EngineConnection(buckets), HOST, port, backlog=1024
    )
    start_s = loop.time()
    tick = 0
    while True:
        tick += 1
        await asyncio.sleep(max(0.0, start_s + tick * TICK_S - loop.time()))
        for conn in list(buckets[tick % len(buckets)]):
            conn.step()


@attrs.define
class Tally:
    """What the load process saw.

    Attributes:
      latencies_ns: age of sampled tokens when they arrived.
    """

    completed: int = 0
    broken: int = 0
    tokens: int = 0
    reads: int = 0
    latencies_ns: list[int] = attrs.field(factory=list)


class LoadConnection(asyncio.Protocol):
    """One request of the load process."""

    def __init__(self, request: bytes, expected: int, tally: Tally) -> None:
        self._request = request
        self._expected = expected
        self._tally = tally
        self._got = 0
        self._done = False
        self._tail = b""

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Send the request."""
        self._transport = transport
        transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        """Count tokens; each one carries two marks."""
        tally = self._tally
        tokens = data.count(b"@") // 2
        self._got += tokens
        tally.tokens += tokens
        tally.reads += 1
        if tokens and tally.reads % 4 == 0:
            sent_ns = int(data.split(b"@", 2)[1])
            tally.latencies_ns.append(time.monotonic_ns() - sent_ns)
        if b"[DONE]" in self._tail + data:
            self._done = True
            self._transport.close()
        self._tail = data[-8:]

    def connection_lost(self, exc: Exception | None) -> None:
        """Check that the answer was whole."""
        if self._done and self._got == self._expected:
            self._tally.completed += 1
        else:
            self._tally.broken += 1


def request_bytes(tokens: int) -> bytes:
    """Return a request that the engine and the router both understand."""
    body = json.dumps(
        {
            "model": "bench",
            "prompt": "a prompt",
            "max_tokens": tokens,
            "stream": True,
        }
    ).encode()
    return (
        b"POST /v1/completions HTTP/1.1\r\nHost: bench\r\n"
        b"Authorization: Bearer bench\r\nConnection: close\r\n"
        b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
    )


async def load(
    port: int, profile: Profile, marks: connection.Connection
) -> None:
    """Send requests at a steady rate and report marks on the pipe."""
    tally = Tally()
    loop = asyncio.get_running_loop()

    async def send(tokens: int) -> None:
        request = request_bytes(tokens)
        await loop.create_connection(
            lambda: LoadConnection(request, tokens, tally), HOST, port
        )

    pending: set[asyncio.Task] = set()

    def start(tokens: int) -> None:
        task = loop.create_task(send(tokens))
        pending.add(task)
        task.add_done_callback(pending.discard)

    # Streams of all ages, as in a system that has run for a while.
    concurrent = profile.requests_per_s * profile.tokens * profile.gap_s
    for _ in range(int(concurrent)):
        start(random.randint(1, profile.tokens))
        await asyncio.sleep(0.002)
    start_s = next_s = loop.time()
    began = False
    while loop.time() - start_s < profile.seconds + 1:
        start(profile.tokens)
        next_s += random.expovariate(profile.requests_per_s)
        await asyncio.sleep(max(0.0, next_s - loop.time()))
        if not began and loop.time() - start_s > 1:
            began = True
            first = attrs.evolve(tally, latencies_ns=[])
            tally.latencies_ns.clear()
            marks.send("begin")
    marks.send("end")
    marks.send(
        Tally(
            tally.completed - first.completed,
            tally.broken - first.broken,
            tally.tokens - first.tokens,
            tally.reads - first.reads,
            tally.latencies_ns,
        )
    )


def run_engine(port: int, gap_s: float) -> None:
    """Entry point of the engine process."""
    asyncio.run(engine(port, gap_s))


def run_load(port: int, profile: Profile, marks: connection.Connection) -> None:
    """Entry point of the load process."""
    asyncio.run(load(port, profile, marks))
