"""HTTP client for engine status probes, with persistent connections.

A probe over a new connection costs about three times the CPU time, most of it
for connecting. A probe may be retried on another connection, since a status
request changes nothing in the engine.
"""

import asyncio
import socket

import attrs
from tornado import http1connection
from tornado import httpclient
from tornado import httputil
from tornado import iostream

from balsamlug import http_status
from balsamlug.store import decoding

MAX_STATUS_BYTES = 64 * 1024
MAX_HEADER_BYTES = 16 * 1024
HTTP_OK = 200
STATUS_PATH = "/v1/status"


class _Response(httputil.HTTPMessageDelegate):
    """Collect one response."""

    def __init__(self) -> None:
        self.code = 0
        self.body = b""
        self.finished = False
        self.keep_alive = True

    def headers_received(self, start_line, headers) -> None:
        self.code = start_line.code
        self.keep_alive = headers.get(
            "Connection", ""
        ).lower() != "close" and http_status.is_final(self.code)

    def data_received(self, chunk: bytes) -> None:
        self.body += chunk

    def finish(self) -> None:
        self.finished = True


@attrs.define
class StatusClient:
    """Fetch status bodies, with one idle connection for each address.

    Attributes:
      timeout_s: bound of the connection set-up and the response together.
    """

    timeout_s: float
    _idle: dict[str, iostream.IOStream] = attrs.field(factory=dict)

    async def fetch(self, address: str) -> dict:
        """Return the JSON body of the status.

        Raises:
          OSError: no response; ConnectionRefusedError if nothing listens.
          HTTPClientError: the response has an error status.
          ValueError: the response is not JSON, or its status is malformed.
        """
        response = await asyncio.wait_for(self._get(address), self.timeout_s)
        if not http_status.is_final(response.code):
            raise ValueError(f"malformed status {response.code}")
        if response.code != HTTP_OK:
            raise httpclient.HTTPClientError(response.code)
        body = decoding.decode(response.body)
        if isinstance(body, decoding.Unreadable):
            raise ValueError(body.reason)
        return body

    def retain(self, addresses: set[str]) -> None:
        """Close idle connections to all but the given addresses."""
        for address in self._idle.keys() - addresses:
            self._idle.pop(address).close()

    def close(self) -> None:
        """Close all idle connections."""
        self.retain(set())

    async def _get(self, address: str) -> _Response:
        stream = self._idle.pop(address, None)
        if stream is not None and not stream.closed():
            response = await self._exchange(stream, address)
            if response.finished:
                return response
        # The engine closed the idle connection or was restarted.
        response = await self._exchange(await _connect(address), address)
        if not response.finished:
            raise ConnectionResetError(address)
        return response

    async def _exchange(
        self, stream: iostream.IOStream, address: str
    ) -> _Response:
        """Send one request; an unfinished response means a closed stream."""
        response = _Response()
        try:
            await _request(stream, address, response)
        except iostream.StreamClosedError:
            return response
        except BaseException:
            # A late response must not be read as that to the next probe.
            stream.close()
            raise
        if response.finished and response.keep_alive:
            self._release(address, stream)
        else:
            stream.close()
        return response

    def _release(self, address: str, stream: iostream.IOStream) -> None:
        if address in self._idle:
            stream.close()
        else:
            self._idle[address] = stream


async def _connect(address: str) -> iostream.IOStream:
    host, _, port = address.rpartition(":")
    stream = iostream.IOStream(
        socket.socket(socket.AF_INET), max_buffer_size=MAX_STATUS_BYTES * 2
    )
    try:
        await stream.connect((host, int(port)))
    except iostream.StreamClosedError as exc:
        raise exc.real_error or exc from exc
    except BaseException:
        stream.close()
        raise
    stream.set_nodelay(True)
    return stream


async def _request(
    stream: iostream.IOStream, address: str, response: _Response
) -> None:
    conn = http1connection.HTTP1Connection(
        stream,
        True,
        http1connection.HTTP1ConnectionParameters(
            no_keep_alive=False,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_STATUS_BYTES,
        ),
    )
    start_line = httputil.RequestStartLine("GET", STATUS_PATH, "HTTP/1.1")
    headers = httputil.HTTPHeaders({"Host": address})
    await conn.write_headers(start_line, headers)
    conn.finish()
    await conn.read_response(response)
