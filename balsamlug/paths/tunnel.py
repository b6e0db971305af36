"""Client side of a tunnel: a connection through another node.

The client sends a `TunnelRequest` and receives one or two messages of type
`TunnelReply`. Then bytes to the upstream follow as they are. Bytes from the
upstream come in frames, each with a 4-byte length. An empty frame is the end of
the upstream's connection, and `RESET_FRAME` its reset. A tunnel that ends
without either was ended by the other node.
"""

import asyncio
from collections.abc import Callable
import struct

from balsamlug import exceptions
from balsamlug import validation
from balsamlug.messages import codec
from balsamlug.messages import types

LENGTH = struct.Struct(">I")
END_FRAME = LENGTH.pack(0)
_RESET_LENGTH = 0xFFFFFFFF
# Nodes that do not know this frame break off the tunnel, as it is oversized.
RESET_FRAME = LENGTH.pack(_RESET_LENGTH)
MAX_FRAME_BYTES = 64 * 1024


class Tunnel(asyncio.Protocol):
    """Pass what arrives through another node on to a protocol.

    Attributes:
      trying: done once the other node has begun to connect, or has replied.
      reply: last answer of the other node, once it has answered.
    """

    def __init__(
        self,
        request: types.TunnelRequest,
        on_closed: Callable[[], None] = lambda: None,
    ) -> None:
        loop = asyncio.get_running_loop()
        self.trying: asyncio.Future[None] = loop.create_future()
        self.reply: asyncio.Future[types.TunnelReply] = loop.create_future()
        self._request = request
        self._on_closed = on_closed
        self._transport: asyncio.Transport | None = None
        self._inner: asyncio.Protocol | None = None
        self._buffer = bytearray()
        self._ended = False
        # Why the tunnel ended before a protocol was attached.
        self._failure: Exception | None = None

    def attach(self, inner: asyncio.Protocol) -> asyncio.Transport:
        """Pass all that arrives from now on to a protocol."""
        self._inner = inner
        inner.connection_made(self._transport)
        if self._failure is not None:
            asyncio.get_running_loop().call_soon(
                inner.connection_lost, self._failure
            )
        return self._transport

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Request the tunnel."""
        self._transport = transport
        transport.write(codec.encode(self._request))

    def data_received(self, data: bytes) -> None:
        """Parse the reply or frames of the upstream."""
        self._buffer += data
        while len(self._buffer) >= LENGTH.size and not self._ended:
            (length,) = LENGTH.unpack_from(self._buffer)
            end = LENGTH.size + length
            if length == _RESET_LENGTH:
                self._break_off(ConnectionResetError("the upstream reset"))
                return
            if length > MAX_FRAME_BYTES:
                self._break_off(exceptions.ProtocolError("oversized"))
                return
            if len(self._buffer) < end:
                return
            body = bytes(self._buffer[LENGTH.size : end])
            del self._buffer[:end]
            self._handle(body)

    def eof_received(self) -> None:
        """End the tunnel; without an end frame it was broken off."""

    def connection_lost(self, exc: Exception | None) -> None:
        """End the tunnel."""
        del exc
        self._on_closed()
        self._break_off(exceptions.RelayLost("the tunnel ended"))

    def pause_writing(self) -> None:
        """Pass the state of the write buffer on."""
        if self._inner is not None:
            self._inner.pause_writing()

    def resume_writing(self) -> None:
        """Pass the state of the write buffer on."""
        if self._inner is not None:
            self._inner.resume_writing()

    def _handle(self, body: bytes) -> None:
        if not self.reply.done():
            self._read_reply(body)
        elif self._inner is None:
            self._break_off(exceptions.ProtocolError("unexpected_data"))
        elif body:
            self._inner.data_received(body)
        else:
            self._ended = True
            self._inner.eof_received()
            self._transport.close()

    def _read_reply(self, body: bytes) -> None:
        try:
            message = codec.decode_body(body)
            validation.check(message)
        except exceptions.ProtocolError as exc:
            if exc.reason != codec.UNKNOWN_TYPE:
                self._break_off(exc)
            return
        if not isinstance(message, types.TunnelReply):
            self._break_off(exceptions.ProtocolError("unexpected_type"))
        elif message.status == types.TUNNEL_TRYING:
            self._set_trying()
        else:
            self._set_reply(message)

    def _set_trying(self) -> None:
        if not self.trying.done():
            self.trying.set_result(None)

    def _set_reply(self, reply: types.TunnelReply) -> None:
        self._set_trying()
        self.reply.set_result(reply)

    def _break_off(self, exc: Exception) -> None:
        if not self.reply.done():
            self._set_reply(types.TunnelReply(types.TUNNEL_UNKNOWN))
        if self._inner is None:
            self._failure = self._failure or exc
        elif not self._ended:
            self._inner.connection_lost(exc)
        self._ended = True
        self._transport.abort()
