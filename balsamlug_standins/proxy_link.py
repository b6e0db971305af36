"""One proxied connection and the faults that act on its bytes."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import socket
import struct
import time

from balsamlug_standins import proxy_faults
from balsamlug_standins import waiting

CHUNK_BYTES = 16_384
# Limits the bytes that wait in one direction while it is delayed or throttled.
QUEUE_CHUNKS = 64
# Number of pieces per second in which a throttled direction sends.
PIECES_PER_S = 20
# SO_LINGER with a time-out of zero makes close() send a TCP reset.
LINGER_RESET = struct.pack("ii", 1, 0)

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class Link:
    """Forwards bytes between a caller and the target, subject to faults.

    Args:
      on_target_end: awaited before the caller is notified that the target has
        closed or refused a connection.
    """

    def __init__(
        self,
        faults: proxy_faults.RouteFaults,
        changed: waiting.ChangeSignal,
        caller: Streams,
        on_target_end: Callable[[], Awaitable[None]],
    ) -> None:
        self._faults = faults
        self._on_target_end = on_target_end
        self._changed = changed
        self._caller = caller
        self._target: Streams | None = None
        self._duplicate: Streams | None = None
        self._target_lost = faults.half_open
        self._answer_lost = False
        self._silent = False
        self._tasks: list[asyncio.Task] = []

    async def run(self, host: str, port: int) -> None:
        """Connect to the target and forward bytes until both sides end."""
        try:
            await self._changed.wait_until(self._may_connect)
            if self._faults.reset:
                self.reset()
            elif self._target_lost:
                await self._run_half_open()
            else:
                await self._connect(host, port)
                await self._forward()
        except OSError:
            await self._on_target_end()
            self.reset()
        finally:
            self._close_all()

    def apply_faults(self) -> None:
        """Apply the faults that take effect on the open connection at once."""
        if self._faults.reset:
            self.reset()
        elif self._faults.half_open and not self._target_lost:
            self._target_lost = True
            _reset(self._target)
            _reset(self._duplicate)

    def silence(self) -> None:
        """Discard all further bytes and hide the end of each side."""
        self._silent = True

    def reset(self) -> None:
        """Reset all connections of the link and stop forwarding."""
        for streams in (self._caller, self._target, self._duplicate):
            _reset(streams)
        for task in self._tasks:
            task.cancel()

    def _may_connect(self) -> bool:
        if self._faults.reset or self._target_lost:
            return True
        return not (self._faults.drop or self._faults.cut)

    async def _connect(self, host: str, port: int) -> None:
        self._target = await asyncio.open_connection(host, port)
        if self._faults.duplicate:
            self._duplicate = await asyncio.open_connection(host, port)

    async def _forward(self) -> None:
        reader, writer = self._target
        to_target = [writer]
        jobs = []
        if self._duplicate is not None:
            to_target.append(self._duplicate[1])
            jobs.append(_discard(self._duplicate[0]))
        jobs += [
            self._forward_direction(
                self._caller[0], to_target, proxy_faults.TO_TARGET
            ),
            self._forward_direction(
                reader, [self._caller[1]], proxy_faults.TO_CALLER
            ),
        ]
        self._tasks = [asyncio.create_task(job) for job in jobs]
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _forward_direction(
        self,
        reader: asyncio.StreamReader,
        writers: list[asyncio.StreamWriter],
        direction: str,
    ) -> None:
        """Forward one direction and then its end of stream."""
        queue: asyncio.Queue = asyncio.Queue(QUEUE_CHUNKS)
        reading = asyncio.create_task(self._read(reader, queue))
        try:
            while (item := await queue.get()) is not None:
                due_s, data = item
                await asyncio.sleep(max(0.0, due_s - time.monotonic()))
                await self._send(writers, data, direction)
            await self._wait_while_held(direction)
            await self._handle_target_end(direction)
            await reading
            self._forward_end(writers)
        except OSError:
            await self._handle_target_end(direction)
            self._forward_failure()
        finally:
            reading.cancel()

    async def _read(
        self, reader: asyncio.StreamReader, queue: asyncio.Queue
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                due_s = time.monotonic() + self._faults.delay_ms / 1000
                await queue.put((due_s, data))
        finally:
            await queue.put(None)

    async def _send(
        self,
        writers: list[asyncio.StreamWriter],
        data: bytes,
        direction: str,
    ) -> None:
        while data:
            await self._wait_while_held(direction)
            size = self._piece_size(len(data))
            if size < len(data):
                await asyncio.sleep(1 / PIECES_PER_S)
            await self._write(writers, data[:size], direction)
            data = data[size:]

    async def _write(
        self,
        writers: list[asyncio.StreamWriter],
        data: bytes,
        direction: str,
    ) -> None:
        if self._silent:
            return
        if self._target_lost:
            self._discard_or_reset()
            return
        if direction == proxy_faults.TO_CALLER and self._lose_answer():
            return
        for writer in writers:
            writer.write(data)
            await writer.drain()

    async def _wait_while_held(self, direction: str) -> None:
        await self._changed.wait_until(
            lambda: not self._faults.holds(direction)
        )

    def _piece_size(self, size: int) -> int:
        rate = self._faults.bytes_per_s
        if rate <= 0:
            return size
        return min(size, max(1, int(rate / PIECES_PER_S)))

    def _lose_answer(self) -> bool:
        """Return whether to discard the response, from its first byte on.

        The caller's connection is reset at the first byte.
        """
        if not self._answer_lost and self._faults.lose_answers > 0:
            self._faults.lose_answers -= 1
            self._answer_lost = True
            _reset(self._caller)
        return self._answer_lost

    async def _handle_target_end(self, direction: str) -> None:
        if direction == proxy_faults.TO_CALLER:
            await self._on_target_end()

    def _end_is_hidden(self) -> bool:
        """Return whether a fault hides the end of one side from the other."""
        return self._target_lost or self._answer_lost or self._silent

    def _forward_failure(self) -> None:
        if not self._end_is_hidden():
            self.reset()

    def _forward_end(self, writers: list[asyncio.StreamWriter]) -> None:
        if self._end_is_hidden():
            return
        for writer in writers:
            with contextlib.suppress(OSError, RuntimeError):
                writer.write_eof()

    def _discard_or_reset(self) -> None:
        """Discard bytes during the fault; reset the link after it."""
        if not self._faults.half_open:
            self.reset()

    async def _run_half_open(self) -> None:
        while await self._caller[0].read(CHUNK_BYTES):
            self._discard_or_reset()

    def _close_all(self) -> None:
        for streams in (self._caller, self._target, self._duplicate):
            if streams is not None:
                streams[1].close()


def _reset(streams: Streams | None) -> None:
    if streams is None or streams[1].is_closing():
        return
    sock = streams[1].get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    streams[1].transport.abort()


async def _discard(reader: asyncio.StreamReader) -> None:
    with contextlib.suppress(OSError):
        while await reader.read(CHUNK_BYTES):
            pass
