"""Options of sockets that both data planes set."""

import fcntl
import socket
import struct
import termios
from typing import Protocol

from tornado import iostream

# Closing with a linger time of zero resets the connection.
_NO_LINGER = struct.pack("ii", 1, 0)
_ZERO_INT = struct.pack("i", 0)


class Descriptor(Protocol):
    """A socket, or the one of a transport."""

    def fileno(self) -> int:
        """Return the file descriptor."""


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
    written = stream._total_write_done_index
    return written - unconfirmed_bytes(stream.socket)


def unconfirmed_bytes(sock: Descriptor) -> int:
    """Return the bytes that an open socket holds for the other host."""
    raw = fcntl.ioctl(sock, termios.TIOCOUTQ, _ZERO_INT)
    return struct.unpack("i", raw)[0]
