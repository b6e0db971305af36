"""Deliver the tokens of a generation to its caller.

The relay writes to a delivery, which streams the tokens as server-sent events
or collects them for a single body.
"""

import asyncio
from collections.abc import Awaitable
import json
import time

import attrs
from tornado import iostream
from tornado import web

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug.router import chunk_writer
from balsamlug.router import sse

# A caller that does not read must not delay a graceful stop for longer.
END_TIMEOUT_S = 10.0


@attrs.frozen
class AnswerFormat:
    """Builder of the JSON bodies of an answer.

    Attributes:
      id: id of the completion.
      chat: whether bodies have the chat form, else the completion form.
    """

    id: str
    model: str
    chat: bool
    created: int = attrs.field(factory=lambda: int(time.time()))

    def chunk(self, text: str | None, finish: str | None) -> dict:
        """Return one event of a stream."""
        if not self.chat:
            choice = {"index": 0, "text": text or "", "finish_reason": finish}
            return self._body("text_completion", choice)
        delta = {} if text is None else {"content": text}
        choice = {"index": 0, "delta": delta, "finish_reason": finish}
        return self._body("chat.completion.chunk", choice)

    def complete_body(self, text: str, finish: str, usage: dict) -> dict:
        """Return the body of an answer that is not streamed."""
        choice: dict = {"index": 0, "finish_reason": finish}
        if self.chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        object_type = "chat.completion" if self.chat else "text_completion"
        return self._body(object_type, choice) | {"usage": usage}

    def frame(self) -> tuple[bytes, bytes]:
        """Return the event bytes before and after the JSON text of a token."""
        placeholder = "\0"
        event = sse.data_event(self.chunk(placeholder, None))
        before, after = event.split(json.dumps(placeholder).encode())
        return before, after

    def _body(self, object_type: str, choice: dict) -> dict:
        return {
            "id": self.id,
            "object": object_type,
            "created": self.created,
            "model": self.model,
            "choices": [choice],
        }


@attrs.define(eq=False)
class StreamDelivery:
    """Write tokens to a caller as server-sent events.

    Tokens that arrive during a write are combined in the next write.

    Attributes:
      blocked_since_s: time since which the buffer has been full, or None.
    """

    _handler: web.RequestHandler
    _format: AnswerFormat
    _buffer_limit_bytes: int
    _clock: clocks.Clock
    blocked_since_s: float | None = None
    started: bool = False
    _writer: chunk_writer.ChunkWriter = attrs.field(init=False)
    _frame: tuple[bytes, bytes] = attrs.field(init=False)
    _pending: list[bytes] = attrs.field(factory=list)
    _pending_bytes: int = 0
    _flushing: asyncio.Future | None = None
    _writable: asyncio.Future | None = None
    # Resolved by `close`, because a write to a caller that has disconnected may
    # never finish.
    _closed: asyncio.Future = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._writer = chunk_writer.ChunkWriter(self._handler)
        self._frame = self._format.frame()
        self._closed = asyncio.get_running_loop().create_future()

    def write_tokens(self, texts: list[str]) -> Awaitable[None] | None:
        """Queue tokens; await the result when the buffer is full."""
        before, after = self._frame
        dump = sse.dump_text
        data = b"".join([before + dump(text) + after for text in texts])
        return self._write(data)

    async def end(self, finish: str) -> None:
        """Write the final events of a complete answer and wait for the write.

        Raises:
          SlowCaller: the caller does not read in time.
        """
        event = sse.data_event(self._format.chunk(None, finish))
        self._write(event + sse.DONE_EVENT)
        try:
            async with asyncio.timeout(END_TIMEOUT_S):
                await self._wait_until_flushed()
        except TimeoutError as exc:
            raise exceptions.SlowCaller("the stream was not read") from exc

    def close(self) -> None:
        """Discard unwritten data and resume a paused relay."""
        if not self._closed.done():
            self._closed.set_result(None)
        self._pending.clear()
        self._pending_bytes = 0
        self._resume_relay()

    async def _wait_until_flushed(self) -> None:
        while self._flushing is not None and not self._closed.done():
            await asyncio.wait(
                (self._flushing, self._closed),
                return_when=asyncio.FIRST_COMPLETED,
            )

    def _write(self, data: bytes) -> Awaitable[None] | None:
        if self._closed.done():
            return None
        if self._flushing is None:
            self._send(data)
            return None
        self._pending.append(data)
        self._pending_bytes += len(data)
        if self._pending_bytes <= self._buffer_limit_bytes:
            return None
        if self._writable is None:
            self._writable = asyncio.get_running_loop().create_future()
            self.blocked_since_s = self._clock.monotonic()
        return self._writable

    def _flush(self) -> None:
        if not self._pending:
            return
        data = b"".join(self._pending)
        self._pending.clear()
        self._pending_bytes = 0
        self._send(data)

    def _send(self, data: bytes) -> None:
        self._set_stream_headers()
        try:
            fut = self._writer.write(data)
        except iostream.StreamClosedError:
            self.close()
            return
        if fut is not None:
            self._flushing = fut
            fut.add_done_callback(self._on_flushed)

    def _on_flushed(self, fut: asyncio.Future) -> None:
        if fut.cancelled() or isinstance(
            fut.exception(), iostream.StreamClosedError
        ):
            self.close()
            return
        self._flushing = None
        self._resume_relay()
        self._flush()

    def _set_stream_headers(self) -> None:
        if not self.started:
            self.started = True
            self._handler.set_header("Content-Type", sse.CONTENT_TYPE)
            self._handler.set_header("Cache-Control", "no-cache")

    def _resume_relay(self) -> None:
        self.blocked_since_s = None
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None


@attrs.define(eq=False)
class BufferedDelivery:
    """Collect tokens for a single body."""

    blocked_since_s: float | None = None
    texts: list[str] = attrs.field(factory=list)

    def write_tokens(self, texts: list[str]) -> None:
        """Collect tokens."""
        self.texts += texts

    def close(self) -> None:
        """Do nothing, as nothing has been written to the caller yet."""
