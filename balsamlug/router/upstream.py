"""HTTP calls to upstreams, one fresh connection for each call.

`tornado.simple_httpclient` cannot abort a call while the upstream is silent,
so its parts are used directly: `TCPClient` and `HTTP1Connection`. Like it,
they use one connection per call and never repeat a request.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

import attrs
from tornado import http1connection
from tornado import httputil
from tornado import iostream
from tornado import tcpclient

from balsamlug import exceptions

CONNECT_TIMEOUT_S = 1.0
CHUNK_BYTES = 64 * 1024
MAX_HEADER_BYTES = 64 * 1024
MAX_BODY_BYTES = 64 * 1024 * 1024

OnData = Callable[[bytes], Awaitable[None] | None]


@attrs.frozen
class Call:
    """One HTTP request to an upstream.

    Attributes:
      address: "ip:port".
      path: path with the query.
    """

    address: str
    method: str
    path: str
    headers: dict[str, str] = attrs.field(factory=dict)
    body: bytes | None = None


@attrs.define
class Response:
    """What arrived of an answer.

    Attributes:
      status: 0 until the headers have arrived.
      complete: whether the body ended as its framing says.
    """

    status: int = 0
    headers: httputil.HTTPHeaders = attrs.field(factory=httputil.HTTPHeaders)
    complete: bool = False


class Exchange(httputil.HTTPMessageDelegate):
    """One call on one connection, which can be aborted at any time.

    Args:
      on_data: takes body bytes; an awaitable result pauses reading.
    """

    def __init__(self, on_data: OnData) -> None:
        self.response = Response()
        self.aborted = False
        self._on_data = on_data
        self._stream: iostream.IOStream | None = None

    async def run(self, call: Call) -> Response:
        """Send the request and read the answer.

        An answer that breaks off or is malformed is not complete.

        Raises:
          UpstreamUnreachable: no connection was made, so nothing ran.
        """
        stream = await connect(call.address)
        if self.aborted:
            stream.close()
            return self.response
        self._stream = stream
        try:
            await self._talk(stream, call)
        except iostream.StreamClosedError:
            self.response.complete = False
        finally:
            stream.close()
        return self.response

    def abort(self) -> None:
        """Close the connection; no more data is passed on."""
        self.aborted = True
        if self._stream is not None:
            self._stream.close()

    def headers_received(
        self,
        start_line: httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Take the status line and headers."""
        self.response.status = start_line.code
        self.response.headers = headers

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Pass body bytes on."""
        return None if self.aborted else self._on_data(chunk)

    def finish(self) -> None:
        """Note the end of the body."""
        self.response.complete = not self.aborted

    def on_connection_close(self) -> None:
        """Ignore the close; `run` ends with the reading of the answer."""

    async def _talk(self, stream: iostream.IOStream, call: Call) -> None:
        params = http1connection.HTTP1ConnectionParameters(
            no_keep_alive=True,
            chunk_size=CHUNK_BYTES,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_BODY_BYTES,
        )
        conn = http1connection.HTTP1Connection(stream, True, params)
        headers = httputil.HTTPHeaders(call.headers)
        headers["Host"] = call.address
        headers["Connection"] = "close"
        if call.body is not None:
            headers["Content-Length"] = str(len(call.body))
        line = httputil.RequestStartLine(call.method, call.path, "HTTP/1.1")
        # A broken connection is reported by the reading side.
        _ignore(conn.write_headers(line, headers, call.body or None))
        conn.finish()
        await conn.read_response(self)


async def connect(
    address: str, timeout_s: float = CONNECT_TIMEOUT_S
) -> iostream.IOStream:
    """Return a new connection.

    Raises:
      UpstreamUnreachable: refused, unreachable or too slow.
    """
    host, _, port = address.rpartition(":")
    client = tcpclient.TCPClient()
    try:
        stream = await client.connect(host, int(port), timeout=timeout_s)
    except (OSError, iostream.StreamClosedError, TimeoutError) as exc:
        raise exceptions.UpstreamUnreachable(
            f"{address} accepts no connection"
        ) from exc
    finally:
        client.close()
    stream.set_nodelay(True)
    return stream


async def refuses(address: str) -> bool:
    """Return whether nothing listens at an address any more."""
    try:
        stream = await connect(address)
    except exceptions.UpstreamUnreachable as exc:
        cause = exc.__cause__
        error = getattr(cause, "real_error", None) or cause
        return isinstance(error, ConnectionRefusedError)
    stream.close()
    return False


async def fetch(call: Call, timeout_s: float) -> tuple[Response, bytes]:
    """Make a call and return the whole answer.

    Raises:
      UpstreamUnreachable: no connection was made.
      UpstreamFailed: the answer is missing, late, cut off or malformed.
    """
    body = bytearray()
    exchange = Exchange(body.extend)
    try:
        resp = await asyncio.wait_for(exchange.run(call), timeout_s)
    except TimeoutError as exc:
        exchange.abort()
        raise exceptions.UpstreamFailed("no answer in time") from exc
    if not resp.complete:
        raise exceptions.UpstreamFailed("the answer was cut off")
    return resp, bytes(body)


def _ignore(fut: asyncio.Future) -> None:
    fut.add_done_callback(lambda done: done.cancelled() or done.exception())
