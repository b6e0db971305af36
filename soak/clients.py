"""Clients that send requests over persistent connections and report answers."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import hashlib
import itertools
import random
import time

import attrs

from balsamlug_standins import serving
from balsamlug_standins import site
from soak import plan

DEADLINE_MS = 4000
ANSWER_TIMEOUT_S = 8.0
DEFAULT_PAUSE_S = 0.05
# Upper bound of the delay that a client takes from a Retry-After header.
MAX_PAUSE_S = 0.5
# Name of the requests with the part that crashes servers.
POISONOUS = "poisonous"
FIRST_PART, BAD_PART = "5c1e07a2", "91bd3f06"
POISONOUS_PAUSE_S = 0.3
# More than those whose crashes nodes tell each other one by one.
LONG_PARTS = tuple(f"{number:08x}" for number in range(300))
# Share of the limits that callers use at most.
LIMIT_SHARE = 0.8
MAX_IDLE_S = 4.0
# Callers know no raised limit before the nodes do.
MAX_PIECE_PAUSE_S = LIMIT_SHARE * min(plan.HEAD_LIMITS_MS) / 1000
PIECES_SHARE = 0.5
_request_numbers = itertools.count(1)


@attrs.frozen
class Answer:
    """Answer to one request, as the client received it.

    Attributes:
      status: 0 when the status line and headers did not arrive completely.
      complete: whether the body arrived to its end.
      sent_s, ended_s: when the request was sent, and its answer ended.
      whole_s: when its last byte was sent, 0 if it was not.
      kept: whether the connection had carried another request.
      split: whether the head was sent in two pieces. A node that refuses the
        request between them does not know its id.
    """

    request_id: str
    kind: str
    node: int
    status: int
    headers: dict[str, str]
    body: bytes = b""
    complete: bool = False
    sent_s: float = 0.0
    ended_s: float = 0.0
    whole_s: float = 0.0
    kept: bool = False
    split: bool = False


@attrs.frozen
class Prompt:
    """Shared prompt parts of requests, each of which ends with its own part.

    Without parts, the requests have the same body.
    """

    parts: tuple[str, ...] = ()

    def headers(self, request_id: str) -> list[str]:
        """Return the headers that describe the prompt."""
        if not self.parts:
            return []
        parts = (*self.parts, _own_part(request_id))
        listed = ",".join(f"{part}:30" for part in parts)
        return [f"X-Prefix-Hash: {listed}"]

    def body(self, request_id: str) -> str:
        """Return the body of a request."""
        return _own_part(request_id) if self.parts else "body"


NO_PROMPT = Prompt()


class Connection:
    """A persistent connection to a node, which reopens for the next request."""

    def __init__(self, port: int, node: int) -> None:
        self._port = port
        self._node = node
        self._streams: tuple | None = None

    def close(self) -> None:
        """Close the connection if it is open."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None

    async def request(
        self,
        kind: str,
        request_id: str,
        key: str,
        prompt: Prompt = NO_PROMPT,
        piece_pause_s: float = 0.0,
    ) -> Answer:
        """Send a request and return its answer, which may be incomplete.

        Args:
          piece_pause_s: time between two pieces of the request.
        """
        status, headers, body = 0, {}, bytearray()
        complete = False
        sent_s = time.monotonic()
        whole_s = 0.0
        if self._streams is not None and self._streams[0].at_eof():
            # The node has closed the idle connection.
            self.close()
        kept = self._streams is not None
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                data = _request_data(kind, request_id, key, prompt)
                reader = await self._send(data, piece_pause_s)
                whole_s = time.monotonic()
                status, headers = await _read_head(reader)
                async for chunk in _read_body(reader, headers):
                    body += chunk
                complete = True
        except (OSError, EOFError, ValueError, TimeoutError):
            self.close()
        if headers.get("connection") == "close":
            self.close()
        return Answer(
            request_id,
            kind,
            self._node,
            status,
            headers,
            bytes(body),
            complete,
            sent_s,
            time.monotonic(),
            whole_s,
            kept,
            piece_pause_s > 0,
        )

    async def _send(
        self, data: bytes, piece_pause_s: float
    ) -> asyncio.StreamReader:
        if self._streams is None:
            self._streams = await asyncio.open_connection(
                serving.HOST, self._port
            )
        reader, writer = self._streams
        if piece_pause_s:
            writer.write(data[: len(data) // 2])
            await writer.drain()
            await asyncio.sleep(piece_pause_s)
            data = data[len(data) // 2 :]
        writer.write(data)
        await writer.drain()
        return reader


def new_request_id(kind: str, node: int) -> str:
    """Return a request id that is unique in this process."""
    return f"{kind}-{node}-{next(_request_numbers)}"


async def send_requests(
    kind: str,
    port: int,
    node: int,
    key: str,
    on_answer,
    stop: asyncio.Event,
    prompt: Prompt = NO_PROMPT,
) -> None:
    """Send one request after another until the run stops."""
    conn = Connection(port, node)
    with contextlib.closing(conn):
        while not stop.is_set():
            answer = await conn.request(
                kind, new_request_id(kind, node), key, prompt
            )
            on_answer(answer)
            pause_s = float(answer.headers.get("retry-after", DEFAULT_PAUSE_S))
            await asyncio.sleep(min(pause_s, MAX_PAUSE_S))


async def send_rarely(
    kind: str,
    port: int,
    node: int,
    key: str,
    on_answer,
    stop: asyncio.Event,
    get_variant: Callable[[], plan.Variant | None],
    rng: random.Random,
) -> None:
    """Send requests in pieces over a connection that is idle between them.

    Args:
      get_variant: returns the variant of the configuration in force.
    """
    conn = Connection(port, node)
    with contextlib.closing(conn):
        while not stop.is_set():
            variant = get_variant()
            limit_s = variant.idle_ms / 1000 if variant else MAX_IDLE_S
            idle_s = rng.uniform(0, min(limit_s * LIMIT_SHARE, MAX_IDLE_S))
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(idle_s):
                    await stop.wait()
            pause_s = 0.0
            if rng.random() < PIECES_SHARE:
                pause_s = rng.uniform(0, MAX_PIECE_PAUSE_S)
            request_id = new_request_id(kind, node)
            on_answer(
                await conn.request(kind, request_id, key, piece_pause_s=pause_s)
            )


def shared_parts(are_long: bool) -> tuple[str, ...]:
    """Return the first parts of all requests beside a crashing part."""
    return (FIRST_PART, *(LONG_PARTS if are_long else ()))


async def send_poisonous(
    kind: str,
    port: int,
    node: int,
    key: str,
    on_answer,
    until_s: float,
    shared: tuple[str, ...],
) -> None:
    """Send requests that share nothing but their caller and some parts.

    Args:
      shared: first parts; the part that crashes servers is another one.
    """
    rng = random.Random(node)
    while time.monotonic() < until_s:
        request_id = new_request_id(POISONOUS, node)
        others = [rng.randbytes(4).hex() for _ in range(rng.randrange(2))]
        parts = (*shared, *others, BAD_PART)
        prompt = Prompt(parts)
        with contextlib.closing(Connection(port, node)) as conn:
            on_answer(await conn.request(kind, request_id, key, prompt))
        await asyncio.sleep(rng.uniform(0.5, 1.5) * POISONOUS_PAUSE_S)


def _own_part(request_id: str) -> str:
    return hashlib.sha256(request_id.encode()).hexdigest()[:8]


def _request_data(
    kind: str, request_id: str, key: str, prompt: Prompt
) -> bytes:
    body = prompt.body(request_id)
    lines = [
        f"POST /{kind}/1 HTTP/1.1",
        f"Host: {site.HOST}",
        f"X-Attempt-Id: {request_id}",
        f"X-Deadline-Ms: {DEADLINE_MS}",
        f"X-Model: {site.MODEL}",
        "X-Token-Count: 100,20",
        f"Api-Key: {key}",
        f"Content-Length: {len(body)}",
        *prompt.headers(request_id),
    ]
    return "\r\n".join([*lines, "", body]).encode()


async def _read_head(
    reader: asyncio.StreamReader,
) -> tuple[int, dict[str, str]]:
    raw = await reader.readuntil(b"\r\n\r\n")
    status_line, *lines = raw.decode("latin-1").strip().split("\r\n")
    fields = (line.partition(":") for line in lines)
    headers = {name.strip().lower(): value.strip() for name, _, value in fields}
    return int(status_line.split()[1]), headers


async def _read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> AsyncIterator[bytes]:
    if headers.get("transfer-encoding") != "chunked":
        yield await reader.readexactly(int(headers.get("content-length", 0)))
        return
    while True:
        size = int(await reader.readuntil(b"\r\n"), 16)
        chunk = await reader.readexactly(size + 2)
        if not size:
            return
        yield chunk[:-2]
