"""Send and receive messages over a Tornado stream."""

from tornado import iostream

from balsamlug import exceptions
from balsamlug.messages import codec
from balsamlug.messages import types

# A peer that does not read is disconnected before its pending writes exhaust
# the memory.
MAX_WRITE_BUFFER_BYTES = 8 * 1024 * 1024


class MessageStream:
    """Sends and receives complete messages on one connection."""

    def __init__(
        self,
        stream: iostream.IOStream,
        max_write_buffer_bytes: int = MAX_WRITE_BUFFER_BYTES,
    ) -> None:
        stream.max_write_buffer_size = max_write_buffer_bytes
        stream.set_nodelay(True)
        self._stream = stream
        self._header: bytes | None = None
        self.sent_bytes = 0
        self.received_bytes = 0

    def send(self, message: types.Message) -> None:
        """Queue a message as one frame."""
        self.send_frames([codec.encode(message)])

    def send_frames(self, frames: list[bytes]) -> None:
        """Queue encoded frames in one write.

        The connection is closed if its write buffer is full.
        """
        data = b"".join(frames)
        if self._stream.closed():
            return
        try:
            self._stream.write(data)
        except (iostream.StreamClosedError, iostream.StreamBufferFullError):
            self.close()
            return
        self.sent_bytes += len(data)

    async def wait_for_message(self) -> None:
        """Wait for the first bytes of the next message, and leave them.

        Raises:
          StreamClosedError: the connection was closed.
        """
        if self._header is None:
            self._header = await self._stream.read_bytes(codec.LENGTH_BYTES)

    async def receive(
        self, max_bytes: int = codec.MAX_LARGE_FRAME_BYTES
    ) -> types.Message:
        """Return the next message.

        Args:
          max_bytes: largest length of its frame.

        Raises:
          MessageRejected: the message cannot be used; the next one may be.
          ProtocolError: the peer violated the protocol; the stream is closed.
          StreamClosedError: the connection was closed.
        """
        await self.wait_for_message()
        header, self._header = self._header, None
        try:
            length = codec.frame_length(header)
            if length > max_bytes:
                raise exceptions.ProtocolError("oversized")
            body = await self._stream.read_bytes(length) if length else b""
            self.received_bytes += codec.LENGTH_BYTES + length
            return codec.decode_body(body)
        except exceptions.MessageRejected:
            raise
        except exceptions.ProtocolError:
            self.close()
            raise

    def close(self) -> None:
        """Close the connection."""
        self._stream.close()

    def closed(self) -> bool:
        """Return whether the connection is closed."""
        return self._stream.closed()
