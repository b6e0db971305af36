"""Options of sockets that both data planes set."""

import socket
import struct

from tornado import iostream

# Closing with a linger time of zero resets the connection.
_NO_LINGER = struct.pack("ii", 1, 0)


def reset_when_closed(stream: iostream.IOStream) -> None:
    """Let the end of a connection be a reset, so that it looks irregular."""
    if not stream.closed():
        stream.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER
        )
