"""Structured logs with eliot."""

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
# Carries the eliot task id to upstreams and services.
TASK_HEADER = "X-Eliot-Task"
# Carries the request id back to the caller.
REQUEST_ID_HEADER = "X-Request-Id"


def configure(log_file: str) -> None:
    """Write log messages as JSON lines to a file or to stdout."""
    if log_file == STDOUT:
        eliot.to_file(sys.stdout)
        return
    file = pathlib.Path(log_file).open("a")  # noqa: SIM115, open for life
    eliot.to_file(file)


# Lines that wait for a slow reader; later ones are counted and dropped.
MAX_WAITING_LINES = 2_000
FLUSH_S = 0.05
# The last lines of a process wait this long for their reader.
DRAIN_S = 0.2
# A pipe takes this much at once without blocking when it is writable.
PIPE_BYTES = 4_096


class BoundedLog:
    """Write log lines to a pipe or file without ever waiting for its reader.

    Attributes:
      dropped: lines that were lost because too many were waiting.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, fd: int) -> None:
        self._loop = loop
        self._fd = fd
        self._lines: collections.deque[bytes] = collections.deque()
        self._timer: asyncio.TimerHandle | None = None
        self.dropped = 0

    def __call__(self, message: dict) -> None:
        """Take one message of eliot."""
        if len(self._lines) >= MAX_WAITING_LINES:
            self.dropped += 1
            return
        line = json.dumps(message, default=str, separators=(",", ":"))
        self._lines.append(line.encode() + b"\n")
        if self._timer is None:
            self._timer = self._loop.call_later(FLUSH_S, self._flush)

    def drain(self) -> None:
        """Write the lines that wait, before the process ends."""
        until_s = time.monotonic() + DRAIN_S
        while self._lines and (left_s := until_s - time.monotonic()) > 0:
            if self._is_writable(left_s):
                os.write(self._fd, self._next_block())

    def _flush(self) -> None:
        self._timer = None
        if self.dropped:
            note = json.dumps({"message_type": "log_lines_dropped"})
            lost, self.dropped = self.dropped, 0
            self._lines.append(f'{note[:-1]}, "count": {lost}}}\n'.encode())
        while self._lines and self._is_writable():
            os.write(self._fd, self._next_block())
        if self._lines:
            self._timer = self._loop.call_later(FLUSH_S, self._flush)

    def _is_writable(self, wait_s: float = 0.0) -> bool:
        return bool(select.select((), (self._fd,), (), wait_s)[1])

    def _next_block(self) -> bytes:
        """Return lines that fit into one write; a long line goes in parts."""
        block = self._lines.popleft()
        while self._lines and len(block) + len(self._lines[0]) <= PIPE_BYTES:
            block += self._lines.popleft()
        if len(block) > PIPE_BYTES:
            self._lines.appendleft(block[PIPE_BYTES:])
        return block[:PIPE_BYTES]


def configure_bounded(loop: asyncio.AbstractEventLoop) -> BoundedLog:
    """Write log messages to standard output without blocking the loop."""
    log = BoundedLog(loop, sys.stdout.fileno())
    eliot.add_destinations(log)
    return log
