"""Receive one request of a caller, within the limits of what it may send.

A request is refused as soon as it is known to exceed a limit. Its connection is
kept if the rest is short, else the rest is dropped and the connection closed.
"""

import asyncio
from collections.abc import Awaitable
import sys
from typing import Protocol

from tornado import http1connection
from tornado import httputil

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug.gateway import body_buffers
from balsamlug.gateway import caller_streams
from balsamlug.gateway import messages
from balsamlug.gateway import pending_requests
from balsamlug.gateway import receive_budget

# Bytes over a limit that are read and dropped, so that the connection is kept.
DISCARD_BYTES = 64 * 1024
# A declared length with more digits is over every limit, and so are its first
# ones.
MAX_LENGTH_DIGITS = 18
# Bytes of a head over its limit that are read. Each time that a part of a head
# arrives, tornado searches all of it for the end.
DISCARD_HEAD_BYTES = 16 * 1024
# Bytes of a body that are read at once. tornado keeps them until they are
# passed on, so many connections must not have much of it.
READ_BYTES = 16 * 1024
# The same for a body in chunks, once these have proved to be large enough.
CHUNKED_READ_BYTES = 4 * 1024
# Bytes of a following request that are read while one is served. Callers wait
# for an answer before they send the next request; the start of that one may
# arrive before the served one has ended.
MAX_PIPELINED_BYTES = 128 * 1024
# A chunked body is passed on in pieces of this size, and one is parsed in each
# iteration of the event loop. Larger pieces of tiny chunks delay all others.
CHUNKED_PIECE_BYTES = 2 * 1024
_CHUNKED = http1connection.HTTP1ConnectionParameters(
    chunk_size=CHUNKED_PIECE_BYTES
)


class Owner(Protocol):
    """The server to which complete requests are passed."""

    clock: clocks.Clock
    headers: messages.HeaderCodec
    connections: caller_streams.Connections
    pending: pending_requests.PendingRequests

    def accept(
        self,
        req: messages.CallerRequest,
        conn: httputil.HTTPConnection,
        line: httputil.RequestStartLine,
    ) -> None:
        """Start to serve a complete request."""


class Receiver(httputil.HTTPMessageDelegate):
    """Buffer one request until it is complete."""

    def __init__(self, owner: Owner, conn: httputil.HTTPConnection) -> None:
        self._owner = owner
        self._conn = conn
        self._stream: caller_streams.CallerStream = conn.stream
        self._line: httputil.RequestStartLine | None = None
        self._headers = httputil.HTTPHeaders()
        self._body = body_buffers.BodyBuffer()
        self._body_bytes = 0
        self._has_begun = False
        self._is_chunked = False
        self._refusal: exceptions.Refusal | None = None
        self._received_s = 0.0
        self._metadata: messages.RequestMetadata | None = None
        self._pending = owner.pending.start(conn.stream)
        self._stream.await_request()
        self._stream.read_in_turns(caller_streams.HEAD)
        self._stream.on_received = self._check_head
        self._stream.on_shed = self._shed_for_others

    @property
    def _max_body_bytes(self) -> int:
        return self._pending.largest.max_body_bytes

    def _check_head(self) -> None:
        """Refuse a head that is far too long before it is complete."""
        if not self._has_begun:
            self._has_begun = True
            self._stream.progress_s = self._owner.clock.monotonic()
        limit = self._pending.largest.max_header_bytes + DISCARD_HEAD_BYTES
        if self._line is None and self._stream.held_bytes > limit:
            self._shed(exceptions.HeadTooLarge("the headers are too long"))

    def headers_received(
        self,
        start_line: httputil.RequestStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        """Store the request line and the headers."""
        self._line, self._headers = start_line, headers
        self._received_s = self._owner.clock.monotonic()
        self._metadata = self._owner.headers.parse_request(headers)
        self._pending.head_received(self._received_s, self._metadata.request_id)
        self._stream.on_received = self._check_framing
        self._stream.framed_bytes = self._stream.buffered_bytes
        self._is_chunked = _is_chunked(headers)
        if self._is_chunked:
            self._conn.params = _CHUNKED
            self._stream.read_in_turns(caller_streams.CHUNKS)
        else:
            self._stream.read_by(READ_BYTES)
        # The receiver refuses longer bodies; tornado would answer with 400.
        self._conn.set_max_body_size(sys.maxsize)
        if _head_bytes(start_line, headers) > (
            self._pending.largest.max_header_bytes
        ):
            self._refusal = exceptions.HeadTooLarge("the headers are too long")
        declared = _declared_bytes(headers)
        if declared > self._max_body_bytes:
            self._refusal = exceptions.BodyTooLarge("the body is too long")
        if declared > self._max_body_bytes + DISCARD_BYTES:
            self._refuse_at_head()

    def _refuse_at_head(self) -> None:
        """Refuse a request whose body need not be read."""
        # tornado handles no more of a detached connection.
        self._conn.detach()
        self._shed(self._refusal)
        self._stream.watch_end()

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Store a part of the body."""
        if self._pending.refused:
            return None
        self._body_bytes += len(chunk)
        if self._body_bytes > self._max_body_bytes + DISCARD_BYTES:
            self._shed(exceptions.BodyTooLarge("the body is too long"))
            return None
        if self._body_bytes > self._max_body_bytes:
            self._refusal = exceptions.BodyTooLarge("the body is too long")
        if self._refusal is None:
            self._body.append(chunk, self._max_body_bytes)
        else:
            self._body.close()
        self._stream.body_bytes = len(self._body)
        self._owner.connections.account(self._stream)
        if not self._is_chunked:
            return None
        self._check_framing()
        if not self._pending.refused:
            self._set_turns()
        return asyncio.sleep(0)

    def _set_turns(self) -> None:
        """Read a body in turns with others until its chunks are large."""
        if self._stream.turns == caller_streams.SMALL_CHUNKS:
            return
        parsed = self._stream.framed_bytes - self._stream.buffered_bytes
        if receive_budget.has_large_chunks(parsed, self._body_bytes):
            self._stream.read_by(CHUNKED_READ_BYTES)
        else:
            self._stream.read_in_turns(caller_streams.CHUNKS)

    def _check_framing(self) -> None:
        """Refuse a body in small chunks beside others of that kind."""
        if not self._is_chunked or self._pending.refused:
            return
        # tornado holds up to one piece that it has parsed.
        body = self._body_bytes + CHUNKED_PIECE_BYTES
        unparsed = self._stream.held_bytes - self._stream.body_bytes
        parsed = self._stream.framed_bytes - unparsed
        is_known = self._stream.turns == caller_streams.SMALL_CHUNKS
        if not is_known and not receive_budget.has_small_chunks(parsed, body):
            return
        if not self._owner.connections.admit_small_chunks(self._stream):
            self._owner.connections.record(caller_streams.SMALL_CHUNKS)
            self._owner.pending.shed(self._pending, pending_requests.overload())
            self._release()

    def _shed_for_others(self) -> None:
        self._owner.pending.shed(self._pending, pending_requests.overload())
        self._release()

    def _shed(self, refusal: exceptions.Refusal) -> None:
        self._owner.connections.record(refusal.code)
        self._owner.pending.shed(self._pending, refusal)
        self._release()

    def _release(self) -> None:
        self._body.close()
        self._owner.connections.end_body(self._stream)
        self._stream.on_received = self._check_pipelined
        self._stream.on_shed = self._stream.close

    def _check_pipelined(self) -> None:
        if self._stream.held_bytes > MAX_PIPELINED_BYTES:
            self._stream.close()

    def finish(self) -> None:
        """Pass the complete request to the owner."""
        self._owner.pending.finish(self._pending)
        body = self._body.read()
        self._release()
        self._owner.connections.account(self._stream)
        if self._pending.refused:
            return
        self._stream.begin_serving()
        if self._refusal is None and not self._owner.connections.fits(
            len(body)
        ):
            self._owner.connections.record(caller_streams.OVER_BUDGET)
            self._refusal, body = pending_requests.overload(), b""
        req = messages.CallerRequest(
            method=self._line.method,
            target=self._line.path,
            host=self._headers.get("Host", ""),
            headers=self._headers,
            body=body,
            metadata=self._metadata,
            received_s=self._received_s,
            refusal=self._refusal,
        )
        self._owner.accept(req, self._conn, self._line)

    def on_connection_close(self) -> None:
        """Discard an incomplete request."""
        self._owner.pending.finish(self._pending)
        self._release()


def _is_chunked(headers: httputil.HTTPHeaders) -> bool:
    """Return whether a body is sent in chunks."""
    return "chunked" in headers.get("Transfer-Encoding", "").lower()


def _declared_bytes(headers: httputil.HTTPHeaders) -> int:
    """Return the declared length, 0 if tornado must judge it."""
    raw = headers.get("Content-Length", "")
    if not (raw.isascii() and raw.isdigit()):
        return 0
    # int() raises ValueError for more than 4,300 digits.
    return int(raw.lstrip("0")[:MAX_LENGTH_DIGITS] or "0")


def _head_bytes(
    line: httputil.RequestStartLine, headers: httputil.HTTPHeaders
) -> int:
    """Return the length of a head, without optional spaces."""
    fields = (f"{name}: {value}\r\n" for name, value in headers.get_all())
    return len(" ".join(line) + "\r\n\r\n") + sum(map(len, fields))
