"""Limit on the memory of the answers that a node buffers.

A faulty upstream may answer many requests without end at the same time.
"""

from collections.abc import Callable

import attrs
import eliot

from balsamlug.router import upstream

# A longer answer is broken off.
MAX_ANSWER_BYTES = upstream.MAX_BODY_BYTES
# Twice the longest answer, so that one faulty upstream does not keep another
# one from sending a long answer.
MAX_TOTAL_BYTES = 2 * MAX_ANSWER_BYTES


@attrs.define(eq=False)
class AnswerBuffers:
    """Bodies of all answers that a node is receiving and does not stream."""

    total_bytes: int = 0
    _open: set["AnswerBuffer"] = attrs.field(factory=set)

    def open(
        self, request_id: str, break_off: Callable[[], None]
    ) -> "AnswerBuffer":
        """Return a buffer for the body of one answer.

        Args:
          break_off: called when the answer takes too much memory.
        """
        return AnswerBuffer(self, request_id, break_off)

    def add(self, buffer: "AnswerBuffer", size: int) -> None:
        """Count received bytes; break off the longest answers at a limit."""
        self._open.add(buffer)
        self.total_bytes += size
        if len(buffer.data) > MAX_ANSWER_BYTES:
            self._break_off(buffer)
        while self.total_bytes > MAX_TOTAL_BYTES:
            self._break_off(max(self._open, key=lambda b: len(b.data)))

    def remove(self, buffer: "AnswerBuffer") -> None:
        """Stop counting a buffer."""
        if buffer in self._open:
            self._open.remove(buffer)
            self.total_bytes -= len(buffer.data)

    def _break_off(self, buffer: "AnswerBuffer") -> None:
        eliot.log_message(
            "answer_broken_off",
            request=buffer.request_id,
            received_bytes=len(buffer.data),
            total_bytes=self.total_bytes,
        )
        buffer.close()
        buffer.break_off()


@attrs.define(eq=False)
class AnswerBuffer:
    """Received part of the body of one answer."""

    _buffers: AnswerBuffers
    request_id: str
    break_off: Callable[[], None]
    data: bytearray = attrs.field(factory=bytearray)

    def add(self, data: bytes) -> None:
        """Append received bytes."""
        self.data += data
        self._buffers.add(self, len(data))

    def close(self) -> bytes:
        """Return what was received and release its memory."""
        self._buffers.remove(self)
        received, self.data = bytes(self.data), bytearray()
        return received
