"""HTTP server for callers.

The gateway's handler is called once a request has been received completely.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import http

import eliot
from tornado import httputil
from tornado import iostream

from balsamlug import catalogue as catalogues
from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug import sockets
from balsamlug.gateway import caller_streams
from balsamlug.gateway import messages
from balsamlug.gateway import pending_requests
from balsamlug.gateway import receive_budget
from balsamlug.gateway import receivers
from balsamlug.gateway import unread_answers

# tornado closes the connection above this, which the receiver refuses before.
MAX_READ_HEAD_BYTES = 64 * 1024 * 1024
BODILESS_STATUSES = frozenset({204, 304})
# Only callers of this version read a body in chunks.
CHUNKED_VERSION = "HTTP/1.1"
# Iterations of the event loop in which a new connection is accepted and a
# request on it is received and answered.
RECEIVE_ITERATIONS = 8

Handler = Callable[["messages.CallerRequest", "Responder"], Awaitable[None]]


class Responder:
    """Answer one request of a caller.

    Attributes:
      headers_sent: whether the status line was sent.
      finished: whether the answer is complete or was aborted.
      closed: whether the caller has closed the connection.
      closes_connection: whether the connection is closed after this answer.
      request_id, request_bytes: id of the request and length of its body.
      unread: counts this answer while its caller does not read it, if set.
    """

    request_id: str = ""
    request_bytes: int = 0
    unread: unread_answers.UnreadAnswers | None = None

    def __init__(
        self,
        conn: httputil.HTTPConnection,
        line: httputil.RequestStartLine,
        request_headers: httputil.HTTPHeaders,
    ) -> None:
        self._conn = conn
        self._line = line
        self._request_headers = request_headers
        # The end of the connection is the end of the body.
        self._unframed = False
        self._held_bytes = 0
        self.headers_sent = False
        self.finished = False
        self.closed = False
        self.closes_connection = False
        self._on_close: Callable[[], None] = _ignore_close
        conn.set_close_callback(self._on_connection_closed)

    def on_close(self, callback: Callable[[], None]) -> None:
        """Call a function when the caller closes the connection."""
        self._on_close = callback
        if self.closed:
            callback()

    def begin(
        self,
        status: int,
        headers: Iterable[tuple[str, str]],
        length: int | None,
    ) -> None:
        """Send the status and headers.

        A body without a length is chunked, or ends with the connection if the
        caller does not read chunks.
        """
        if length is None and self._line.version != CHUNKED_VERSION:
            self._unframed = self.closes_connection = True
            # tornado would announce that the connection is kept.
            self._request_headers.pop("Connection", None)
        out = httputil.HTTPHeaders()
        for name, value in headers:
            out.add(name, value)
        if length is not None and self._has_body(status):
            out["Content-Length"] = str(length)
        if self.closes_connection:
            out["Connection"] = "close"
        line = httputil.ResponseStartLine("HTTP/1.1", status, _reason(status))
        self._ignore_write_error(self._conn.write_headers(line, out))
        self.headers_sent = True

    def answer(
        self, status: int, headers: Iterable[tuple[str, str]], body: bytes
    ) -> None:
        """Send a complete answer."""
        self.begin(status, headers, len(body))
        if body and self._has_body(status):
            self.write(body)
        self.finish()

    def write(self, data: bytes) -> Awaitable[None] | None:
        """Send a part of the body.

        Returns:
          an awaitable if the connection is congested; the producer pauses until
          it is done.
        """
        if self.closed:
            return None
        held = self.held_bytes
        fut = self._conn.write(data)
        if fut.done() and self._ignore_write_error(fut):
            return None
        self._held_bytes = held + len(data)
        if self.unread is not None:
            self.unread.add(self)
        return _wait_for_write(fut)

    def finish(self) -> None:
        """End the answer."""
        self._end()
        if not self.closed:
            self._conn.finish()
            if self.closes_connection:
                self._close_when_sent()

    async def sent(self) -> None:
        """Wait until all written bytes have been sent, or cannot be sent."""
        stream: iostream.IOStream = self._conn.stream
        if stream.writing():
            await _wait_for_write(stream.write(b""))

    def abort(self) -> None:
        """Close the connection so that the answer is visibly incomplete."""
        self._end()
        if self._unframed:
            sockets.reset_when_closed(self._conn.stream)
        self._conn.close()

    @property
    def connection(self) -> iostream.IOStream:
        """Return the connection of the caller."""
        return self._conn.stream

    @property
    def held_bytes(self) -> int:
        """Return the size of the writes that are not sent completely."""
        return self._held_bytes if self._conn.stream.writing() else 0

    @property
    def taken_bytes(self) -> int:
        """Return the bytes that the caller's host has confirmed."""
        return sockets.confirmed_bytes(self._conn.stream)

    def break_off(self) -> None:
        """Reset the connection, and end the request like its caller would."""
        # A regular close would leave the bytes that the operating system holds.
        sockets.reset_when_closed(self._conn.stream)
        self._conn.stream.close()
        self._on_connection_closed()

    def _end(self) -> None:
        self.finished = True
        # The callback holds the request, which holds this object.
        self._on_close = _ignore_close

    def _has_body(self, status: int) -> bool:
        return self._line.method != "HEAD" and status not in BODILESS_STATUSES

    def _close_when_sent(self) -> None:
        """Close the connection after all written bytes have been sent."""
        stream: iostream.IOStream = self._conn.stream
        if stream.closed():
            return
        # A write is done when all earlier bytes have been sent.
        fut = stream.write(b"")
        self._ignore_write_error(fut)
        if fut.done():
            # No further request may be read meanwhile.
            self._conn.close()
            return
        fut.add_done_callback(lambda f: self._conn.close())

    def _ignore_write_error(self, fut: asyncio.Future) -> bool:
        fut.add_done_callback(lambda f: f.exception())
        return True

    def _on_connection_closed(self) -> None:
        if not self.closed:
            self.closed = True
            self._on_close()


def _ignore_close() -> None:
    """Do nothing when the connection of an ended answer is closed."""


async def _wait_for_write(fut: asyncio.Future) -> None:
    """Wait for a write; the close callback handles a closed connection."""
    try:
        await fut
    except iostream.StreamClosedError:
        return


def _reason(status: int) -> str:
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return "Unknown"


class Frontend(httputil.HTTPServerConnectionDelegate):
    """Serve the connections of callers.

    Attributes:
      pending: requests that are awaited or not complete.
      connections: all connections, and what they hold.
      unread: bound of what is held for callers that do not read, if any.
    """

    unread: unread_answers.UnreadAnswers | None = None

    def __init__(
        self,
        handle: Handler,
        headers: messages.HeaderCodec,
        clock: clocks.Clock,
        limits: catalogues.CallerLimits,
        receive_limits: receive_budget.ReceiveLimits | None = None,
        on_shed: Callable[[str], None] = lambda reason: None,
    ) -> None:
        self._handle = handle
        self.headers = headers
        self.clock = clock
        self.connections = caller_streams.Connections(
            clock, receive_limits or receive_budget.ReceiveLimits(), on_shed
        )
        self.pending = pending_requests.PendingRequests(
            clock, limits, headers.refusal_headers, self.connections
        )
        self._tasks: set[asyncio.Task] = set()
        self.server = caller_streams.CallerServer(
            self,
            self.connections,
            self.pending.overload_answer,
            chunk_size=receivers.READ_BYTES,
            max_header_size=MAX_READ_HEAD_BYTES,
        )
        self.server.conn_params.header_timeout = None

    def apply(self, limits: catalogues.CallerLimits) -> None:
        """Apply limits, also to open connections."""
        self.pending.apply(limits)

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Return the receiver of the next request of a connection."""
        del server_conn
        return receivers.Receiver(self, request_conn)

    @property
    def busy(self) -> bool:
        """Return whether a request is being received, served or answered."""
        return bool(self._tasks) or bool(self.pending.begun)

    async def refuse_rest(self, refusal: exceptions.Refusal) -> None:
        """Accept no more connections; refuse requests that are not complete.

        What has arrived until now is received before.
        """
        for _ in range(RECEIVE_ITERATIONS):
            await asyncio.sleep(0)
        self.server.stop()
        self.pending.refuse_begun(refusal)

    def accept(
        self,
        req: messages.CallerRequest,
        conn: httputil.HTTPConnection,
        line: httputil.RequestStartLine,
    ) -> None:
        """Start to serve a complete request."""
        responder = Responder(conn, line, req.headers)
        responder.request_id = req.metadata.request_id
        responder.request_bytes = len(req.body)
        responder.unread = self.unread
        # Others that end before the task starts must find no room for two.
        self.connections.serving_bytes += len(req.body)
        task = asyncio.create_task(self._run(req, responder))
        self._tasks.add(task)
        task.add_done_callback(lambda task: self._ended(task, len(req.body)))

    def _ended(self, task: asyncio.Task, body_bytes: int) -> None:
        self._tasks.discard(task)
        self.connections.serving_bytes -= body_bytes

    async def _run(
        self, req: messages.CallerRequest, responder: Responder
    ) -> None:
        try:
            await self._handle(req, responder)
            await responder.sent()
        except (Exception, asyncio.CancelledError):
            eliot.write_traceback()
            if not (responder.finished or responder.closed):
                self._end_unanswered(req, responder)

    def _end_unanswered(
        self, req: messages.CallerRequest, responder: Responder
    ) -> None:
        """End a request that a defect has left without a complete answer."""
        request_id = req.metadata.request_id
        if not responder.headers_sent:
            headers = self.headers.refusal_headers(request_id)
            status = exceptions.InternalFailure.status
            responder.answer(status, headers.items(), b"")
            return
        age_s = self.clock.monotonic() - req.received_s
        eliot.log_message(
            "connection_closed",
            reason="defect",
            request=request_id,
            received=True,
            begun=True,
            age_ms=round(age_s * clocks.MS_PER_S),
        )
        responder.abort()
