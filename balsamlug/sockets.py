"""Options of sockets that both data planes set."""

import fcntl
import socket
import struct
import termios

from tornado import iostream

# Closing with a linger time of zero resets the connection.
_NO_LINGER = struct.pack("ii", 1, 0)
_ZERO_INT = struct.pack("i", 0)


def reset_when_closed(stream: iostream.IOStream) -> None:
    """Let the end of a connection be a reset, so that it looks irregular."""
    if not stream.closed():
        stream.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _NO_LINGER
        )


def confirmed_bytes(stream: iostream.IOStream) -> int:
    """Return the bytes that the other host has confirmed, 0 once closed.

    The operating system takes bytes in large steps from this process, so that a
    reader of 10 kB/s would seem to stand still for a minute.
    """
    if stream.closed():
        return 0
    raw = fcntl.ioctl(stream.socket, termios.TIOCOUTQ, _ZERO_INT)
    return stream._total_write_done_index - struct.unpack("i", raw)[0]
