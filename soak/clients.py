"""Callers that keep their connections and note every answer."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import itertools

import attrs

from balsamlug_standins import serving
from balsamlug_standins import site

DEADLINE_MS = 4000
TIMEOUT_S = 8.0
PAUSE_S = 0.05
# Callers that were refused wait at most this long.
LONGEST_PAUSE_S = 0.5
_numbers = itertools.count(1)


@attrs.frozen
class Answer:
    """What a caller saw.

    Attributes:
      status: 0 when no whole head of an answer arrived.
      whole: whether the body arrived to its end.
    """

    request_id: str
    kind: str
    node: int
    status: int
    headers: dict[str, str]
    body: bytes = b""
    whole: bool = False


class Connection:
    """One kept connection to a node."""

    def __init__(self, port: int, node: int) -> None:
        self._port = port
        self._node = node
        self._streams: tuple | None = None

    def close(self) -> None:
        """Close it."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None

    async def ask(self, kind: str, request_id: str, key: str) -> Answer:
        """Send a request and read what comes back."""
        status, headers, body = 0, {}, bytearray()
        whole = False
        try:
            async with asyncio.timeout(TIMEOUT_S):
                reader = await self._send(_head(kind, request_id, key))
                status, headers = await _read_head(reader)
                async for piece in _read_body(reader, headers):
                    body += piece
                whole = True
        except (OSError, EOFError, ValueError, TimeoutError):
            self.close()
        if headers.get("connection") == "close":
            self.close()
        return Answer(
            request_id, kind, self._node, status, headers, bytes(body), whole
        )

    async def _send(self, data: bytes) -> asyncio.StreamReader:
        if self._streams is None:
            self._streams = await asyncio.open_connection(
                serving.HOST, self._port
            )
        reader, writer = self._streams
        writer.write(data)
        await writer.drain()
        return reader


def fresh_id(kind: str, node: int) -> str:
    """Return the id of a new request."""
    return f"{kind}-{node}-{next(_numbers)}"


async def caller(
    kind: str, port: int, node: int, key: str, on_answer, stop: asyncio.Event
) -> None:
    """Ask again and again until the end of the run."""
    conn = Connection(port, node)
    with contextlib.closing(conn):
        while not stop.is_set():
            answer = await conn.ask(kind, fresh_id(kind, node), key)
            on_answer(answer)
            told_s = float(answer.headers.get("retry-after", PAUSE_S))
            await asyncio.sleep(min(told_s, LONGEST_PAUSE_S))


def _head(kind: str, request_id: str, key: str) -> bytes:
    lines = [
        f"POST /{kind}/1 HTTP/1.1",
        f"Host: {site.HOST}",
        f"X-Attempt-Id: {request_id}",
        f"X-Deadline-Ms: {DEADLINE_MS}",
        f"X-Model: {site.MODEL}",
        "X-Token-Count: 100,20",
        f"Api-Key: {key}",
        "Content-Length: 4",
    ]
    return "\r\n".join([*lines, "", "body"]).encode()


async def _read_head(
    reader: asyncio.StreamReader,
) -> tuple[int, dict[str, str]]:
    raw = await reader.readuntil(b"\r\n\r\n")
    first, *rest = raw.decode("latin-1").strip().split("\r\n")
    pairs = (line.partition(":") for line in rest)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    return int(first.split()[1]), headers


async def _read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> AsyncIterator[bytes]:
    if headers.get("transfer-encoding") != "chunked":
        yield await reader.readexactly(int(headers.get("content-length", 0)))
        return
    while True:
        size = int(await reader.readuntil(b"\r\n"), 16)
        piece = await reader.readexactly(size + 2)
        if not size:
            return
        yield piece[:-2]
