"""Configure structured logs, which eliot writes as JSON lines."""

import asyncio
import collections
import json
import os
import pathlib
import select
import sys
import time

import eliot

STDOUT = "-"
# Header with the eliot task id, sent to upstreams and services.
TASK_HEADER = "X-Eliot-Task"
# Header with the request id, returned to the caller.
REQUEST_ID_HEADER = "X-Request-Id"


def configure(log_file: str) -> None:
    """Write log messages as JSON lines to a file or to stdout."""
    if log_file == STDOUT:
        eliot.to_file(sys.stdout)
        return
    file = pathlib.Path(log_file).open("a")  # noqa: SIM115, never closed
    eliot.to_file(file)


# Lines buffered for a slow reader; further lines are counted and dropped.
MAX_WAITING_LINES = 2_000
# Ordinary lines have a few hundred bytes. One with a request id of the greatest
# length has up to 100 KB, of which 2,000 would not fit in a small machine.
MAX_WAITING_BYTES = 4 * 1024 * 1024
FLUSH_S = 0.05
# Before it exits, a process waits at most this long for the reader of its last
# lines.
DRAIN_S = 0.2
# A writable pipe accepts this many bytes in one write without blocking.
PIPE_WRITE_BYTES = 4_096


class BoundedLog:
    """Log destination that never blocks on the reader of its pipe or file.

    Attributes:
      dropped: number of lines dropped because the buffer was full.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, fd: int) -> None:
        self._loop = loop
        self._fd = fd
        self._lines: collections.deque[bytes] = collections.deque()
        self._waiting_bytes = 0
        self._timer: asyncio.TimerHandle | None = None
        self.dropped = 0

    def __call__(self, message: dict) -> None:
        """Buffer an eliot message as a line."""
        if len(self._lines) >= MAX_WAITING_LINES:
            self.dropped += 1
            return
        line = json.dumps(message, default=str, separators=(",", ":"))
        if self._waiting_bytes + len(line) > MAX_WAITING_BYTES:
            self.dropped += 1
            return
        self._append(line.encode() + b"\n")
        if self._timer is None:
            self._timer = self._loop.call_later(FLUSH_S, self._flush)

    def drain(self) -> None:
        """Write the buffered lines before the process exits."""
        deadline_s = time.monotonic() + DRAIN_S
        while (
            self._lines and (remaining_s := deadline_s - time.monotonic()) > 0
        ):
            if self._is_writable(remaining_s):
                os.write(self._fd, self._next_chunk())

    def _flush(self) -> None:
        self._timer = None
        if self.dropped:
            line = json.dumps({"message_type": "log_lines_dropped"})
            dropped, self.dropped = self.dropped, 0
            self._append(f'{line[:-1]}, "count": {dropped}}}\n'.encode())
        while self._lines and self._is_writable():
            os.write(self._fd, self._next_chunk())
        if self._lines:
            self._timer = self._loop.call_later(FLUSH_S, self._flush)

    def _append(self, line: bytes) -> None:
        self._lines.append(line)
        self._waiting_bytes += len(line)

    def _is_writable(self, wait_s: float = 0.0) -> bool:
        return bool(select.select((), (self._fd,), (), wait_s)[1])

    def _next_chunk(self) -> bytes:
        """Return lines that fit in one write; a long line is split."""
        chunk = self._lines.popleft()
        while (
            self._lines and len(chunk) + len(self._lines[0]) <= PIPE_WRITE_BYTES
        ):
            chunk += self._lines.popleft()
        if len(chunk) > PIPE_WRITE_BYTES:
            self._lines.appendleft(chunk[PIPE_WRITE_BYTES:])
        chunk = chunk[:PIPE_WRITE_BYTES]
        self._waiting_bytes -= len(chunk)
        return chunk


def configure_bounded(loop: asyncio.AbstractEventLoop) -> BoundedLog:
    """Write log messages to standard output without blocking the loop."""
    log = BoundedLog(loop, sys.stdout.fileno())
    eliot.add_destinations(log)
    return log
