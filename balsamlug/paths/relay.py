"""Server side of tunnels: forward bytes between another node and an upstream.

A tunnel leads only to an upstream that this node knows, over a direct
connection of this node.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable

import attrs
import eliot
from tornado import iostream

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug import sockets
from balsamlug.messages import codec
from balsamlug.messages import types
from balsamlug.paths import monitor as monitors
from balsamlug.paths import tunnel
from balsamlug.router import upstream

# Connections within a region open in milliseconds. The client must learn of a
# failure before its own attempt ends.
CONNECT_TIMEOUT_S = 0.15
# Each tunnel needs two of the file descriptors of a node.
MAX_TUNNELS = 256
# Bytes that a tunnel reads at once in each direction. It holds up to two such
# parts of each: one that is read and one that is not sent yet.
READ_BYTES = 16 * 1024
# The other node closes a tunnel right after its end, unless it has stopped.
CLOSE_TIMEOUT_S = 10.0
# A direction in which nothing has moved for this time, although data waits, is
# broken off. A route with a longer timeout raises it. Callers wait for 8 s at
# most, and one that takes nothing is broken off after 60 s
# (`gateway.unread_answers.EXPIRY_S`).
STALL_TIMEOUT_S = 60.0
STALL_CHECK_INTERVAL_S = 1.0

TO_UPSTREAM = "upstream"
TO_NODE = "node"


@attrs.define
class StallTimer:
    """Time for which data of one direction has waited without progress."""

    _position: int | None = None
    _since_s: float = 0.0

    def waited_s(self, now_s: float, position: int | None) -> float:
        """Return the time without progress.

        Args:
          position: changes whenever a part of the data was taken; None if no
            data waits.
        """
        if position is None or position != self._position:
            self._position, self._since_s = position, now_s
        return now_s - self._since_s


class _UpstreamSide(asyncio.BufferedProtocol):
    """Forward what an upstream sends, in frames.

    The event loop would read 256 KiB at once for another kind of protocol.
    """

    def __init__(self, stream: iostream.IOStream) -> None:
        self._stream = stream
        self._transport: asyncio.Transport | None = None
        self._ended = False
        self._buffer = bytearray(READ_BYTES)
        self._unsent = False
        self.writable = asyncio.Event()
        self.writable.set()

    def position_to_upstream(self) -> int | None:
        """Return the bytes that wait for the upstream, None if none do.

        While it is congested, nothing is added to them.
        """
        sock = self._transport.get_extra_info("socket")
        if self.writable.is_set() or sock.fileno() < 0:
            return None
        waiting = self._transport.get_write_buffer_size()
        return waiting + sockets.unconfirmed_bytes(sock)

    def position_to_node(self) -> int | None:
        """Return the bytes that the node has confirmed, None if none wait."""
        if not self._unsent or self._stream.closed():
            return None
        return sockets.confirmed_bytes(self._stream)

    def connection_made(self, transport: asyncio.Transport) -> None:
        self._transport = transport

    def get_buffer(self, sizehint: int) -> bytearray:
        del sizehint
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        data = bytes(memoryview(self._buffer)[:nbytes])
        self._write(tunnel.LENGTH.pack(nbytes) + data)

    def eof_received(self) -> None:
        self._end(tunnel.END_FRAME)

    def connection_lost(self, exc: Exception | None) -> None:
        self.writable.set()
        if not self._ended and not self._stream.closed():
            self._end(tunnel.RESET_FRAME)

    def _end(self, frame: bytes) -> None:
        self._ended = True
        self._write(frame)
        asyncio.get_running_loop().call_later(
            CLOSE_TIMEOUT_S, self._stream.close
        )

    def pause_writing(self) -> None:
        self.writable.clear()

    def resume_writing(self) -> None:
        self.writable.set()

    def _write(self, data: bytes) -> None:
        if self._stream.closed():
            self._transport.abort()
            return
        written = self._stream.write(data)
        if not written.done():
            self._unsent = True
            self._transport.pause_reading()
        written.add_done_callback(self._on_written)

    def _on_written(self, written: asyncio.Future) -> None:
        self._unsent = self._stream.writing()
        if written.exception() is not None:
            self._transport.abort()
        elif not self._transport.is_closing():
            self._transport.resume_reading()


@attrs.define(eq=False)
class Relay:
    """Serve the tunnels that other nodes request.

    Attributes:
      is_upstream: returns whether an address is one of a known upstream.
      notices: returns what upstreams have stated to this node.
      max_tunnels: number of tunnels that may be open.
      open_count: number of open tunnels.
      leaving: whether this node stops and serves no new tunnels, because it
        does not know how long their requests take.
      longest_request_s: returns the time that a request may take, 0 if it is
        not known.
    """

    _monitor: monitors.PathMonitor
    is_upstream: Callable[[str], bool]
    notices: Callable[[], Iterable[types.UpstreamNotice]] = lambda: ()
    max_tunnels: int = attrs.field(factory=lambda: MAX_TUNNELS)
    open_count: int = 0
    leaving: bool = False
    longest_request_s: Callable[[], float] = lambda: 0.0

    async def serve(
        self, stream: iostream.IOStream, request: types.TunnelRequest
    ) -> None:
        """Serve one tunnel until one of its ends closes."""
        self.open_count += 1
        side = _UpstreamSide(stream)
        transport = watch = None
        try:
            status = self._obstacle(request.address)
            if status is None:
                await _send_reply(stream, types.TUNNEL_TRYING)
                status, transport = await self._connect(request.address, side)
            eliot.log_message(
                "tunnel_served",
                node=request.node,
                address=request.address,
                status=status,
                open=self.open_count,
            )
            await _send_reply(stream, status, self.notices())
            if transport is not None:
                watch = asyncio.create_task(
                    self._watch(stream, transport, side, request)
                )
                await self._forward(stream, transport, side)
        except iostream.StreamClosedError:
            pass
        finally:
            self.open_count -= 1
            if watch is not None:
                watch.cancel()
            if transport is not None:
                transport.abort()
            stream.close()

    def _obstacle(self, address: str) -> str | None:
        """Return why no connection is tried, None if there is no reason."""
        if self._monitor.lost_s is not None:
            self._monitor.test(address)
            return types.TUNNEL_UNKNOWN
        if self.leaving or self.open_count > self.max_tunnels:
            return types.TUNNEL_UNKNOWN
        return None if self.is_upstream(address) else types.TUNNEL_UNLISTED

    async def _connect(
        self, address: str, side: _UpstreamSide
    ) -> tuple[str, asyncio.Transport | None]:
        started_s = self._monitor.clock.monotonic()
        try:
            conn = await upstream.connect(
                address, lambda: side, CONNECT_TIMEOUT_S
            )
        except exceptions.UpstreamUnreachable as exc:
            if not await self._monitor.is_up(address, started_s):
                return types.TUNNEL_UNKNOWN, None
            is_refused = isinstance(exc.__cause__, ConnectionRefusedError)
            return (
                types.TUNNEL_REFUSED
                if is_refused
                else types.TUNNEL_UNREACHABLE,
                None,
            )
        self._monitor.record_opened()
        conn.transport.set_write_buffer_limits(high=READ_BYTES)
        return types.TUNNEL_OPEN, conn.transport

    async def _forward(
        self,
        stream: iostream.IOStream,
        transport: asyncio.Transport,
        side: _UpstreamSide,
    ) -> None:
        """Forward what the other node sends until it closes."""
        while True:
            data = await stream.read_bytes(READ_BYTES, partial=True)
            if transport.is_closing():
                # The upstream has ended; its last frames may still be sent.
                continue
            transport.write(data)
            await side.writable.wait()

    async def _watch(
        self,
        stream: iostream.IOStream,
        transport: asyncio.Transport,
        side: _UpstreamSide,
        request: types.TunnelRequest,
    ) -> None:
        """Break off a tunnel of which one end takes nothing for too long."""
        positions = {
            TO_UPSTREAM: side.position_to_upstream,
            TO_NODE: side.position_to_node,
        }
        timers = {name: StallTimer() for name in positions}
        while True:
            await asyncio.sleep(STALL_CHECK_INTERVAL_S)
            now_s = self._monitor.clock.monotonic()
            limit_s = max(STALL_TIMEOUT_S, self.longest_request_s())
            for name, position in positions.items():
                waited_s = timers[name].waited_s(now_s, position())
                if waited_s < limit_s:
                    continue
                eliot.log_message(
                    "tunnel_stalled",
                    node=request.node,
                    address=request.address,
                    stalled=name,
                    waited_ms=round(waited_s * clocks.MS_PER_S),
                    limit_ms=round(limit_s * clocks.MS_PER_S),
                    open=self.open_count,
                )
                # The node still learns that the upstream's connection ended.
                transport.abort()
                if name == TO_NODE:
                    stream.close()
                return


async def _send_reply(
    stream: iostream.IOStream,
    status: str,
    notices: Iterable[types.UpstreamNotice] = (),
) -> None:
    fields = [list(attrs.astuple(notice)) for notice in notices]
    await stream.write(codec.encode(types.TunnelReply(status, fields)))
