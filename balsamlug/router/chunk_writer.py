"""Write the chunks of a streamed answer directly to the caller's socket."""

import asyncio

from tornado import httputil
from tornado import iostream
from tornado import web


class ChunkWriter:
    """Send the body of one answer, framed for the caller's HTTP version.

    tornado writes the headers and the end of the body. In between, bytes are
    written directly to the socket, and through tornado's stream when the socket
    does not accept them.
    """

    def __init__(self, handler: web.RequestHandler) -> None:
        self._handler = handler
        self._chunked = handler.request.version != "HTTP/1.0"
        self._stream: iostream.IOStream | None = None

    def write(self, data: bytes) -> asyncio.Future | None:
        """Send bytes; the result is None when the socket accepted all of them.

        Raises:
          StreamClosedError: the caller has closed its connection.
        """
        if self._stream is None:
            return self._start(data)
        if self._chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        if self._stream.closed():
            raise iostream.StreamClosedError
        if self._stream.writing():
            return self._stream.write(data)
        sent = self._send_to_socket(data)
        if sent == len(data):
            return None
        return self._stream.write(data[sent:])

    def _start(self, data: bytes) -> asyncio.Future:
        conn: httputil.HTTPConnection = self._handler.request.connection
        self._stream = conn.stream
        self._handler.write(data)
        return self._handler.flush()

    def _send_to_socket(self, data: bytes) -> int:
        try:
            return self._stream.socket.send(data)
        except BlockingIOError:
            return 0
        except OSError as exc:
            self._stream.close(exc)
            raise iostream.StreamClosedError(exc) from exc
