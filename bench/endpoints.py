"""Stand-in engine and load generator of `bench.relay`, as processes."""

import asyncio
import json
from multiprocessing import connection
import random
import time

import attrs

HOST = "127.0.0.1"
# Interval of the engine's steps. Each stream gets one token per gap_s.
TICK_S = 0.005


@attrs.frozen
class Profile:
    """Load of one measurement.

    Attributes:
      tokens: tokens of each answer.
      gap_s: time between two tokens of a stream.
      seconds: measured time, after one second of warm-up.
    """

    name: str
    requests_per_s: float
    tokens: int
    gap_s: float
    seconds: float


class EngineConnection(asyncio.Protocol):
    """Server side of one request to the stand-in engine."""

    def __init__(self, buckets: list[set["EngineConnection"]]) -> None:
        self._buckets = buckets
        self._buffer = b""

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport."""
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
            # A cancel call. It needs no action, since the router also closes
            # the stream.
            self.transport.close()
            return
        self.index = req.get("resume_from", 0)
        self.end_index = req["max_tokens"]
        self.transport.write(
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        random.choice(self._buckets).add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop sending tokens."""
        for bucket in self._buckets:
            bucket.discard(self)

    def send_token(self) -> None:
        """Send one token with the current time between two @ signs."""
        event = b'data: {"index": %d, "text": "@%d@"}\n\n' % (
            self.index,
            time.monotonic_ns(),
        )
        self.index += 1
        chunk = b"%x\r\n%s\r\n" % (len(event), event)
        if self.index < self.end_index:
            self.transport.write(chunk)
            return
        self.transport.write(chunk + b"e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n")
        self.transport.close()
        self.connection_lost(None)


async def engine(port: int, gap_s: float) -> None:
    """Run the stand-in engine.

    The streams are distributed over buckets, and each step sends one token to
    every stream of one bucket.
    """
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
            conn.send_token()


@attrs.define
class Tally:
    """Counters of the load process.

    Attributes:
      broken: requests that ended without the complete answer.
      reads: reads from the sockets that returned data.
      latencies_ns: time from sending to receiving, of sampled tokens.
    """

    completed: int = 0
    broken: int = 0
    tokens: int = 0
    reads: int = 0
    latencies_ns: list[int] = attrs.field(factory=list)


class LoadConnection(asyncio.Protocol):
    """Client side of one request of the load process."""

    def __init__(self, request: bytes, expected: int, tally: Tally) -> None:
        self._request = request
        self._expected = expected
        self._tally = tally
        self._received = 0
        self._complete = False
        self._tail = b""

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Send the request."""
        self._transport = transport
        transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        """Count the received tokens; each contains two @ signs."""
        tally = self._tally
        tokens = data.count(b"@") // 2
        self._received += tokens
        tally.tokens += tokens
        tally.reads += 1
        if tokens and tally.reads % 4 == 0:
            sent_ns = int(data.split(b"@", 2)[1])
            tally.latencies_ns.append(time.monotonic_ns() - sent_ns)
        if b"[DONE]" in self._tail + data:
            self._complete = True
            self._transport.close()
        self._tail = data[-8:]

    def connection_lost(self, exc: Exception | None) -> None:
        """Count the answer as completed or broken."""
        if self._complete and self._received == self._expected:
            self._tally.completed += 1
        else:
            self._tally.broken += 1


def request_bytes(tokens: int) -> bytes:
    """Return a request that both the engine and the router accept."""
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
    port: int, profile: Profile, pipe: connection.Connection
) -> None:
    """Send requests at a constant mean rate.

    The pipe receives "begin" and "end" of the measured time and then the
    `Tally` of that time.
    """
    tally = Tally()
    loop = asyncio.get_running_loop()

    async def send(tokens: int) -> None:
        request = request_bytes(tokens)
        await loop.create_connection(
            lambda: LoadConnection(request, tokens, tally), HOST, port
        )

    pending: set[asyncio.Task] = set()

    def start_request(tokens: int) -> None:
        task = loop.create_task(send(tokens))
        pending.add(task)
        task.add_done_callback(pending.discard)

    # Starts with streams of random remaining length, as a system in steady
    # state has them.
    concurrent = profile.requests_per_s * profile.tokens * profile.gap_s
    for _ in range(int(concurrent)):
        start_request(random.randint(1, profile.tokens))
        await asyncio.sleep(0.002)
    start_s = next_s = loop.time()
    warmed_up = False
    while loop.time() - start_s < profile.seconds + 1:
        start_request(profile.tokens)
        next_s += random.expovariate(profile.requests_per_s)
        await asyncio.sleep(max(0.0, next_s - loop.time()))
        if not warmed_up and loop.time() - start_s > 1:
            warmed_up = True
            at_start = attrs.evolve(tally, latencies_ns=[])
            tally.latencies_ns.clear()
            pipe.send("begin")
    pipe.send("end")
    pipe.send(
        Tally(
            tally.completed - at_start.completed,
            tally.broken - at_start.broken,
            tally.tokens - at_start.tokens,
            tally.reads - at_start.reads,
            tally.latencies_ns,
        )
    )


def run_engine(port: int, gap_s: float) -> None:
    """Run the engine as a process."""
    asyncio.run(engine(port, gap_s))


def run_load(port: int, profile: Profile, pipe: connection.Connection) -> None:
    """Run the load generator as a process."""
    asyncio.run(load(port, profile, pipe))
