"""HTTP client for upstreams, with a new connection for each call.

This module never retries a call, and a call can be aborted while the upstream
sends nothing, which `tornado.simple_httpclient` does not support. Reading the
chunks of a stream with tornado took most of the relay's time, so the connection
is an asyncio protocol and `httptools` parses the answer.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import attrs
import httptools
from tornado import httputil

from balsamlug import exceptions
from balsamlug import http_status
from balsamlug import limit_table
from balsamlug import notices
from balsamlug import timeouts

CONNECT_TIMEOUT_S = 1.0
# Limit on bytes in a row that are not part of a body: heads, interim answers,
# chunk extensions and trailers.
MAX_HEADER_BYTES = 64 * 1024
# A body is collected completely before it is used, and a node may have 152 MB.
MAX_BODY_BYTES = 8 * 1024 * 1024
# Received data is parsed in pieces of this size, so that a limit is checked
# before much more is kept.
_PIECE_BYTES = 16 * 1024
# Requests per second that an upstream accepts from all routers together.
LIMIT_HEADER = "Server-Limit"
# "1" while the upstream leaves.
LEAVING_HEADER = "Server-Leaving"
BODILESS_STATUSES = {204, 304}
_LINE_ENDS = ("\r", "\n")

OnData = Callable[[bytes], Awaitable[None] | None]


@attrs.frozen(eq=False)
class Connection:
    """An open connection to an upstream.

    Attributes:
      relay: id of the node through which it leads, empty if it is direct.
    """

    transport: asyncio.Transport
    relay: str = ""


# Takes address, protocol factory and timeout in seconds.
Connect = Callable[..., Awaitable[Connection]]


async def connect(
    address: str,
    protocol: Callable[[], asyncio.Protocol] = asyncio.Protocol,
    timeout_s: float = CONNECT_TIMEOUT_S,
) -> Connection:
    """Return a new direct connection.

    Raises:
      UpstreamUnreachable: the address refuses connections, cannot be reached or
        does not answer in time.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    try:
        async with timeouts.timeout(timeout_s):
            transport, _ = await loop.create_connection(
                protocol, host, int(port)
            )
    except (OSError, TimeoutError) as exc:
        raise exceptions.UpstreamUnreachable(
            f"{address} accepts no connection"
        ) from exc
    return Connection(transport)


@attrs.frozen
class Call:
    """One HTTP request to an upstream.

    Attributes:
      address: "ip:port".
      path: path with the query.
      permitted: whether the request may still be sent, such as before its
        deadline; checked when the connection is open. The process may have been
        paused since the request was built.
      connect: opens the connection.
    """

    address: str
    method: str
    path: str
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes | None = None
    connect_timeout_s: float = CONNECT_TIMEOUT_S
    permitted: Callable[[], bool] = lambda: True
    connect: Connect = connect


@attrs.define
class Response:
    """Received part of an answer.

    Attributes:
      status: 0 until the headers of the final answer have arrived, and if its
        status is malformed.
      complete: whether the body ended where its framing says.
      relay: id of the node through which it came, empty if it came directly.
      relay_lost: whether that node ended the connection.
    """

    status: int = 0
    headers: httputil.HTTPHeaders = attrs.field(factory=httputil.HTTPHeaders)
    complete: bool = False
    relay: str = ""
    relay_lost: bool = False

    @property
    def rate_limit(self) -> float | None:
        """Return the rate limit that the upstream states, None if none."""
        return limit_table.parse(self.headers.get(LIMIT_HEADER, ""))

    @property
    def notice(self) -> notices.Notice:
        """Return what the upstream states of its availability."""
        return notices.parse(
            self.headers.get(LEAVING_HEADER, ""),
            self.headers.get("Retry-After", ""),
        )

    @property
    def is_framed(self) -> bool:
        """Return whether the headers determine where the body ends."""
        return (
            "Content-Length" in self.headers
            or "Transfer-Encoding" in self.headers
        )


def _ignore_data(data: bytes) -> None:
    """Drop the data of an exchange that has ended."""
    del data


class Exchange(asyncio.Protocol):
    """One call on one connection, which can be aborted at any time.

    Args:
      on_data: called with body bytes; reading pauses until an awaitable result
        is done.

    Attributes:
      sent: whether any byte of the request may have been sent.
    """

    def __init__(self, on_data: OnData) -> None:
        self.response = Response()
        self.aborted = False
        self.sent = False
        self._on_data = on_data
        self._transport: asyncio.Transport | None = None
        self._finished = asyncio.get_running_loop().create_future()
        # Ends the wait for a reader that is paused and may stay so.
        self._aborted = asyncio.get_running_loop().create_future()
        self._parser = httptools.HttpResponseParser(self)
        self._body: list[bytes] = []
        self._bytes_without_body = 0
        self._method = ""
        self._resuming: asyncio.Future | None = None

    async def run(self, call: Call) -> Response:
        """Send the request and read the answer.

        A truncated or malformed answer is returned with `complete` false.

        Raises:
          UpstreamUnreachable: no connection was made, or the request was no
            longer permitted, so nothing ran.
        """
        self._method = call.method
        data = _request_bytes(call)
        conn = await call.connect(
            call.address, lambda: self, call.connect_timeout_s
        )
        self.response.relay = conn.relay
        try:
            if not call.permitted():
                raise exceptions.UpstreamUnreachable(
                    "the request was no longer permitted when it could be sent"
                )
            if not self.aborted:
                self.sent = True
                conn.transport.write(data)
                await self._finished
            while self._resuming is not None and not self.aborted:
                await asyncio.wait(
                    (self._resuming, self._aborted),
                    return_when=asyncio.FIRST_COMPLETED,
                )
        finally:
            conn.transport.abort()
            self._release()
        return self.response

    def _release(self) -> None:
        """Drop received bytes, and references that form cycles."""
        self._finish()
        self._body.clear()
        self._parser = None
        self._on_data = _ignore_data

    def abort(self) -> None:
        """Close the connection; no more data is forwarded."""
        self.aborted = True
        if not self._aborted.done():
            self._aborted.set_result(None)
        self._finish()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Store the transport."""
        self._transport = transport

    def eof_received(self) -> None:
        """Finish the call; a body without framing ends with the connection."""
        # The transport would first write the rest of a long request, which the
        # upstream may never read.
        resp = self.response
        if resp.status and not resp.is_framed and not self._finished.done():
            resp.complete = True
        self._finish()

    def connection_lost(self, exc: Exception | None) -> None:
        """Finish the call; without an end of data its answer is incomplete."""
        if not self._finished.done():
            self.response.relay_lost = isinstance(exc, exceptions.RelayLost)
        self._finish()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes and forward their body bytes in one call."""
        view = memoryview(data)
        for start in range(0, len(view), _PIECE_BYTES):
            if self._finished.done():
                break
            self._parse(view[start : start + _PIECE_BYTES])
        if self._body and not self.aborted:
            body = b"".join(self._body)
            self._body.clear()
            writable = self._on_data(body)
            if writable is not None:
                self._pause(writable)

    def _parse(self, piece: memoryview) -> None:
        parts = len(self._body)
        try:
            self._parser.feed_data(piece)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            # An error after a complete answer does not affect the answer.
            self._finish()
        if len(self._body) > parts:
            self._bytes_without_body = 0
            # Small chunks take many times their size as separate objects.
            self._body[parts:] = [b"".join(self._body[parts:])]
            return
        self._bytes_without_body += len(piece)
        if self._bytes_without_body > MAX_HEADER_BYTES:
            self._finish()

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header to the answer; called by the parser."""
        if self._finished.done():
            return
        self.response.headers.add(
            name.decode("latin-1"), value.decode("latin-1")
        )

    def on_headers_complete(self) -> None:
        """Set the status of the answer; called by the parser."""
        if self._finished.done():
            return
        status = self._parser.get_status_code()
        if not http_status.is_final(status):
            is_interim = http_status.is_interim(status, self.response.headers)
            self.response.headers = httputil.HTTPHeaders()
            if not is_interim:
                self._finish()
            return
        self.response.status = status
        if self._method == "HEAD" or status in BODILESS_STATUSES:
            self.on_message_complete()

    def on_body(self, body: bytes) -> None:
        """Collect a part of the body; called by the parser."""
        if not self._finished.done():
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Mark the answer as complete; called by the parser."""
        if self.response.status and not self._finished.done():
            self.response.complete = True
            self._finish()

    def _finish(self) -> None:
        if self._transport is not None:
            self._transport.close()
        if not self._finished.done():
            self._finished.set_result(None)

    def _pause(self, writable: Awaitable[None]) -> None:
        self._transport.pause_reading()
        self._resuming = asyncio.ensure_future(writable)
        self._resuming.add_done_callback(self._resume)

    def _resume(self, fut: asyncio.Future) -> None:
        del fut
        self._resuming = None
        if not self._transport.is_closing():
            self._transport.resume_reading()


async def fetch(
    call: Call, timeout_s: float, max_body_bytes: int = MAX_BODY_BYTES
) -> tuple[Response, bytes]:
    """Make a call and return the complete answer.

    Raises:
      UpstreamUnreachable: no connection was made.
      RelayLost: the node that served the tunnel has ended.
      UpstreamFailed: the answer is missing, late, cut off, malformed or longer
        than the limit.
    """
    body = bytearray()

    def collect(data: bytes) -> None:
        body.extend(data)
        if len(body) > max_body_bytes:
            exchange.abort()

    exchange = Exchange(collect)
    try:
        resp = await asyncio.wait_for(exchange.run(call), timeout_s)
    except TimeoutError as exc:
        raise exceptions.UpstreamFailed("no answer in time") from exc
    if resp.relay_lost:
        raise exceptions.RelayLost("the tunnel ended")
    if not resp.complete or len(body) > max_body_bytes:
        raise exceptions.UpstreamFailed("the answer was cut off")
    return resp, bytes(body)


def _request_bytes(call: Call) -> bytes:
    """Return the bytes of the request.

    Raises:
      MalformedRequest: the request line or a header contains a line end, which
        would add a header to the request.
    """
    headers = {"Host": call.address} | call.headers | {"Connection": "close"}
    if call.body is not None:
        headers["Content-Length"] = str(len(call.body))
    lines = [f"{call.method} {call.path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if any(end in line for line in lines for end in _LINE_ENDS):
        raise exceptions.MalformedRequest("a header contains a line end")
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode("latin-1", "replace") + (call.body or b"")
