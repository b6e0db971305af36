"""Callers that keep their connections, with all that a node sends them."""

import asyncio
import time

import attrs

from balsamlug_standins import site
from tests.entry import fleet as fleets

TIMEOUT_S = 20.0


@attrs.define
class Result:
    """What a caller got for one request.

    Attributes:
      status: 0 if the connection ended without an answer.
      is_complete: whether the answer ended where its framing says.
      sent_s, took_s: time at which the request was sent, and until the end.
      longest_pause_s: longest time between two chunks of the body.
    """

    request_id: str
    target: str
    sent_s: float
    status: int = 0
    is_complete: bool = False
    took_s: float = 0.0
    longest_pause_s: float = 0.0
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes = b""

    @property
    def retry_after_s(self) -> float:
        """Return the time after which to come back, -1 without one."""
        return float(self.headers.get("retry-after", -1))


@attrs.define
class KeptCaller:
    """One caller with one connection, which is opened when it is needed."""

    port: int
    reader: asyncio.StreamReader | None = None
    writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        """Open the connection."""
        self.reader, self.writer = await asyncio.open_connection(
            "127.0.0.1", self.port
        )

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None

    async def send(
        self, request_id: str, target: str, deadline_ms: int, tokens: str = ""
    ) -> Result:
        """Send a request and read its answer."""
        result = Result(request_id, target, time.monotonic())
        try:
            if self.writer is None:
                await self.connect()
            self.writer.write(request(request_id, target, deadline_ms, tokens))
            await self.read(result)
        except (OSError, asyncio.IncompleteReadError):
            self.close()
        result.took_s = time.monotonic() - result.sent_s
        if result.headers.get("connection") == "close":
            self.close()
        return result

    async def read(self, result: Result) -> None:
        """Read an answer.

        Raises:
          IncompleteReadError: the connection ended before the answer did.
        """
        async with asyncio.timeout(TIMEOUT_S):
            head = (await self.reader.readuntil(b"\r\n\r\n")).decode()
            result.status = int(head.split(" ", 2)[1])
            lines = (line.partition(":") for line in head.split("\r\n")[1:])
            result.headers = {k.lower(): v.strip() for k, _, v in lines}
            if "content-length" in result.headers:
                length = int(result.headers["content-length"])
                result.body = await self.reader.readexactly(length)
            else:
                await self._read_chunks(result)
        result.is_complete = True

    async def _read_chunks(self, result: Result) -> None:
        size = 1
        read_s = time.monotonic()
        while size:
            size = int((await self.reader.readuntil(b"\r\n")).strip(), 16)
            pause_s, read_s = time.monotonic() - read_s, time.monotonic()
            result.longest_pause_s = max(result.longest_pause_s, pause_s)
            chunk = await self.reader.readexactly(size + 2)
            result.body += chunk[:-2]


def request(
    request_id: str, target: str, deadline_ms: int, tokens: str = ""
) -> bytes:
    """Return the bytes of a request without a body."""
    lines = [
        f"POST {target} HTTP/1.1",
        f"Host: {site.HOST}",
        f"X-Attempt-Id: {request_id}",
        f"X-Deadline-Ms: {deadline_ms}",
        f"Api-Key: {fleets.KEY}",
        "Content-Length: 0",
    ]
    if tokens:
        lines += [f"X-Model: {site.MODEL}", f"X-Token-Count: {tokens}"]
    return "\r\n".join([*lines, "", ""]).encode()
