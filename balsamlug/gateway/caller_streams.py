"""Connections of callers, with what each of them holds.

Bounds the memory and the descriptors of all connections together. The
decisions are those of `receive_budget`.
"""

import asyncio
import collections
from collections.abc import Callable
import contextlib
import socket

import eliot
from tornado import httpserver
from tornado import iostream

from balsamlug import clock as clocks
from balsamlug.gateway import connection_order
from balsamlug.gateway import receive_budget

# The rest of a refused request is read and dropped for this time, as a reset
# would take the refusal from a caller that is still sending.
LINGER_S = 1.0
DISCARD_READ_BYTES = 64 * 1024
# Heads and chunks that may be small are read in pieces of this size, as the
# work for each byte is large: 1 KiB has up to 200 chunks, which take 3 ms.
PIECE_BYTES = 1024
# Such pieces in one iteration of the event loop, for all connections together.
# With more, an iteration takes so long that connections to upstreams time out.
# Heads do not wait for chunks, so that ordinary requests pass small chunks.
HEAD = "head"
CHUNKS = "chunks"
# The few bodies that are known to be in small chunks have one turn each, so
# that they delay neither each other nor bodies that have just begun.
SMALL_CHUNKS = "small_chunks"
MAX_PIECES = {HEAD: 8, CHUNKS: 2, SMALL_CHUNKS: 1}
SMALL_PIECE_BYTES = 512
# Shed connections are logged together, at most this often.
LOG_INTERVAL_S = 1.0
OVER_BUDGET = "over_budget"
NO_DESCRIPTOR = "no_descriptor"


class CallerStream(iostream.IOStream):
    """A connection of a caller that reports what it receives.

    Attributes:
      body_bytes: bytes of a body that are held outside of the read buffer.
      held_bytes: all bytes that it is accounted for.
      progress_s: when its request began, or when it began to wait for one.
      awaited: whether the next request is awaited or incomplete. Otherwise one
        is being served.
      requests: number of requests that were received completely.
      framed_bytes: bytes received since the head of the request.
      discards: whether all that arrives is dropped.
      turns: with which others it is read in pieces and in turns, None to be
        read as it arrives.
      on_received: called when bytes have arrived.
      on_shed: ends the connection, with a refusal if possible.
    """

    def __init__(self, sock: socket.socket, table: "Connections") -> None:
        super().__init__(sock, read_chunk_size=PIECE_BYTES)
        self._table = table
        self.body_bytes = 0
        self.held_bytes = 0
        self.progress_s = table.clock.monotonic()
        self.awaited = True
        self.requests = 0
        self.framed_bytes = 0
        self.discards = False
        self.turns: str | None = HEAD
        self.on_received: Callable[[], None] = _ignore
        self.on_shed: Callable[[], None] = self.close

    @property
    def buffered_bytes(self) -> int:
        """Return the number of bytes that were received and not parsed."""
        return self._read_buffer_size

    @property
    def is_idle(self) -> bool:
        """Return whether no part of a request has arrived."""
        return self.awaited and not self.held_bytes and not self.has_unread()

    def has_unread(self) -> bool:
        """Return whether something has arrived that was not read."""
        if self.closed() or self._read_buffer_size:
            return not self.closed()
        try:
            self.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            return False
        return True

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read, account for what was read, and drop it once refused."""
        if self._must_wait():
            return None
        count = super().read_from_fd(buf)
        if not count:
            return count
        if not self.discards:
            if self.turns is not None:
                self._table.take_turn(self)
            self.framed_bytes += count
            self._table.account(self, count)
            self.on_received()
        return None if self.discards else count

    def await_request(self) -> None:
        """Begin to wait for the next request."""
        self.awaited = True
        self.progress_s = self._table.clock.monotonic()
        self._table.reorder(self)

    def begin_serving(self) -> None:
        """Record that a request was received completely."""
        self.awaited = False
        self.requests += 1
        self._table.reorder(self)

    def read_by(self, size: int) -> None:
        """Read so many bytes at once, as they arrive."""
        self.read_chunk_size = size
        self.turns = None

    def read_in_turns(self, turns: str) -> None:
        """Read in pieces and in turns with others."""
        is_small = turns == SMALL_CHUNKS
        self.read_chunk_size = SMALL_PIECE_BYTES if is_small else PIECE_BYTES
        self.turns = turns

    def _handle_read(self) -> None:
        # tornado would search its whole buffer although nothing was added. The
        # event is repeated in the next iteration.
        if not self._must_wait():
            super()._handle_read()

    def _must_wait(self) -> bool:
        return self.turns is not None and not self._table.has_turn(self)

    def discard_rest(self, sent: asyncio.Future) -> None:
        """Drop all that arrives; close when the caller had time to read.

        Args:
          sent: done when the refusal has been sent.
        """
        self.discards = True
        # What is dropped is no longer accounted for.
        self._read_buffer = bytearray()
        self._read_buffer_size = 0
        self.read_by(DISCARD_READ_BYTES)
        self.body_bytes = 0
        self._table.account(self)
        self.io_loop.call_later(LINGER_S, self.close)
        sent.add_done_callback(lambda fut: self._end_writing())

    def watch_end(self) -> None:
        """Read from now on, so that the end of the caller is noticed."""
        if not self.closed():
            ended = self.read_until_close()
            ended.add_done_callback(lambda fut: fut.exception())

    def close_fd(self) -> None:
        """Close the socket and forget the connection."""
        self._table.forget(self)
        super().close_fd()

    def _end_writing(self) -> None:
        if not self.closed():
            with contextlib.suppress(OSError):
                self.socket.shutdown(socket.SHUT_WR)


def _ignore() -> None:
    """Do nothing when bytes arrive."""


class Connections:
    """All connections of callers, and what they hold together.

    Attributes:
      limits: bounds of the node.
      serving_bytes: bytes of the bodies of requests that are being served.
      small_chunks_s: when something was last read of each body that is received
        in small chunks.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        limits: receive_budget.ReceiveLimits,
        on_shed: Callable[[str], None],
    ) -> None:
        self.clock = clock
        self.limits = limits
        self.max_body_bytes = 0
        self.serving_bytes = 0
        self.small_chunks_s: dict[CallerStream, float] = {}
        # Pieces that were read in this iteration of the event loop.
        self._pieces: collections.Counter[str | CallerStream] = (
            collections.Counter()
        )
        self._on_shed = on_shed
        self._held_bytes = 0
        self._open: set[CallerStream] = set()
        self._order = connection_order.ConnectionOrder()
        self._shed_counts: collections.Counter[str] = collections.Counter()
        self._logged_s = float("-inf")

    @property
    def budget_bytes(self) -> int:
        """Return the bytes that all requests may hold."""
        one_body = self.max_body_bytes + receive_budget.MARGIN_BYTES
        return max(self.limits.budget_bytes, one_body)

    def has_turn(self, stream: CallerStream) -> bool:
        """Return whether one more piece may be read in this iteration."""
        return self._pieces[_sharing(stream)] < MAX_PIECES[stream.turns]

    def take_turn(self, stream: CallerStream) -> None:
        """Count a piece that was read."""
        if not self._pieces:
            asyncio.get_running_loop().call_soon(self._pieces.clear)
        self._pieces[_sharing(stream)] += 1

    def admit_small_chunks(self, stream: CallerStream) -> bool:
        """Return whether a body in small chunks is received further."""
        now_s = self.clock.monotonic()
        self.small_chunks_s.pop(stream, None)
        others_s = self.small_chunks_s.values()
        if not receive_budget.fits_small_chunks(others_s, now_s):
            return False
        self.small_chunks_s[stream] = now_s
        stream.read_in_turns(SMALL_CHUNKS)
        return True

    def end_body(self, stream: CallerStream) -> None:
        """Count a body that is complete or refused no longer."""
        stream.body_bytes = 0
        self.small_chunks_s.pop(stream, None)

    def open(self, sock: socket.socket) -> CallerStream:
        """Return the stream of a new connection."""
        stream = CallerStream(sock, self)
        self._open.add(stream)
        self._order.update(stream)
        return stream

    def reorder(self, stream: CallerStream) -> None:
        """Update when a connection gives way to others."""
        if stream in self._open:
            self._order.update(stream)

    def forget(self, stream: CallerStream) -> None:
        """Remove a closed connection."""
        self.small_chunks_s.pop(stream, None)
        if stream in self._open:
            self._open.remove(stream)
            self._order.remove(stream)
            self._held_bytes -= stream.held_bytes
            stream.held_bytes = 0

    def account(self, stream: CallerStream, arriving: int = 0) -> None:
        """Update what a connection holds; shed some if it is too much."""
        if stream not in self._open:
            return
        held = stream.body_bytes + stream.buffered_bytes + arriving
        if stream.discards:
            held = 0
        self._held_bytes += held - stream.held_bytes
        stream.held_bytes = held
        self._order.update(stream)
        # Requests that are served leave room to receive others.
        room = self.budget_bytes - self.serving_bytes
        room = max(room, self.budget_bytes // 2)
        if held and self._held_bytes > room:
            target = int(room * receive_budget.SHED_TO_SHARE)
            self._shed(self._held_bytes - target)

    def fits(self, body_bytes: int) -> bool:
        """Return whether a complete request may be served besides others.

        A single one always may, and so may an ordinary one, of which each
        connection has one at most.
        """
        if body_bytes <= receive_budget.ORDINARY_BYTES:
            return True
        is_single = not self.serving_bytes
        total = self.serving_bytes + body_bytes
        return is_single or total <= self.budget_bytes

    def make_room(self) -> bool:
        """Return whether one more connection fits, after closing another.

        Refused connections give way first, then idle ones that have sent no
        request yet, other idle ones and those with incomplete requests, each
        kind in the order in which they became so.
        """
        if len(self._open) < self.limits.connections:
            return True
        stream = self._order.least_needed()
        self.record(NO_DESCRIPTOR)
        if stream is None:
            return False
        if not (stream.discards or stream.is_idle):
            stream.on_shed()
        stream.close()
        return True

    def record(self, reason: str) -> None:
        """Count a connection that was shed; log the counts now and then."""
        self._on_shed(reason)
        self._shed_counts[reason] += 1
        now_s = self.clock.monotonic()
        if now_s - self._logged_s < LOG_INTERVAL_S:
            return
        self._logged_s = now_s
        eliot.log_message(
            "callers_shed",
            reasons=dict(self._shed_counts),
            connections=len(self._open),
            max_connections=self.limits.connections,
            held_bytes=self._held_bytes,
            serving_bytes=self.serving_bytes,
            budget_bytes=self.budget_bytes,
        )
        self._shed_counts.clear()

    def _shed(self, excess_bytes: int) -> None:
        now_s = self.clock.monotonic()
        for stream in receive_budget.to_shed(self._open, excess_bytes, now_s):
            self.record(OVER_BUDGET)
            stream.on_shed()


def _sharing(stream: CallerStream) -> str | CallerStream:
    """Return what shares the turns of a connection."""
    return stream if stream.turns == SMALL_CHUNKS else stream.turns


class CallerServer(httpserver.HTTPServer):
    """HTTP server that accepts no more connections than fit."""

    def initialize(
        self,
        delegate: object,
        connections: Connections,
        refusal: Callable[[], bytes],
        chunk_size: int,
        **options: object,
    ) -> None:
        """Set the bounds.

        Args:
          refusal: returns the answer to a caller whose connection does not
            fit.
        """
        super().initialize(delegate, chunk_size=chunk_size, **options)
        self._table = connections
        self._refusal = refusal

    def _handle_connection(self, sock: socket.socket, address: object) -> None:
        if not self._table.make_room():
            with contextlib.suppress(OSError):
                sock.setblocking(False)
                sock.send(self._refusal())
                sock.shutdown(socket.SHUT_WR)
            sock.close()
            return
        stream = self._table.open(sock)
        self.handle_stream(stream, address)
