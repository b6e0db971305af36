"""Requests that callers have not sent completely.

The timers of tornado close a connection even if its request was received in the
same iteration of the event loop. A sweep closes only connections on which
nothing has arrived that has not been read.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import http
import json
import socket

import attrs
import eliot

from balsamlug import catalogue as catalogues
from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug.gateway import caller_streams

SWEEP_INTERVAL_S = 0.2
# Callers reuse connections that were idle for up to the limit, and their clocks
# and the network add to that.
TIMEOUT_FACTOR = 1.5
BODY_TIMEOUT_S = 60.0
# Shed connections are closed by then.
OVERLOAD_RETRY_MS = 1000


@attrs.define(eq=False)
class PendingRequest:
    """A request that has not been received completely.

    Attributes:
      since_s: when the connection began to wait for the request.
      limits: limits when the connection began to wait.
      largest: largest limits that have held since then.
      begun_s: when the first byte was seen, None without one.
      body_since_s: when the head was complete, None before.
      request_id: id of the request once its head is complete, empty if it has
        none.
      refused: whether it was answered although it is not complete.
    """

    stream: caller_streams.CallerStream
    since_s: float
    limits: catalogues.CallerLimits
    largest: catalogues.CallerLimits
    begun_s: float | None = None
    body_since_s: float | None = None
    request_id: str = ""
    refused: bool = False

    def head_received(self, now_s: float, request_id: str) -> None:
        """Start to wait for the body."""
        self.body_since_s = now_s
        self.request_id = request_id

    def overdue(self, now_s: float) -> str:
        """Return what is overdue, empty if nothing is."""
        if self.body_since_s is not None:
            late = now_s - self.body_since_s >= BODY_TIMEOUT_S
            return "late_body" if late else ""
        if self.begun_s is None and self._has_buffered():
            self.begun_s = now_s
        if self.begun_s is None:
            idle_s = _timeout_s(self.largest.idle_timeout_ms)
            return "idle" if now_s - self.since_s >= idle_s else ""
        head_s = _timeout_s(self.largest.header_timeout_ms)
        return "late_head" if now_s - self.begun_s >= head_s else ""

    @property
    def has_begun(self) -> bool:
        """Return whether a part of a request that is not refused is there."""
        if self.refused or self.stream.closed():
            return False
        return self.body_since_s is not None or self._has_buffered()

    def refuse(
        self, refusal: exceptions.Refusal, headers: Mapping[str, str]
    ) -> asyncio.Future:
        """Answer the incomplete request; return when that has been sent.

        The connection must be closed, as the rest of the request is not read.
        """
        self.refused = True
        sent = self.stream.write(_refusal_bytes(refusal, headers))
        sent.add_done_callback(lambda f: f.exception())
        return sent

    def has_unread(self) -> bool:
        """Return whether something has arrived that was not handled yet."""
        if not self.stream.reading():
            return True
        try:
            self.stream.socket.recv(1, socket.MSG_PEEK)
        except BlockingIOError:
            return False
        except OSError:
            # The stream finds the same error and closes itself.
            return True
        return True

    def _has_buffered(self) -> bool:
        return self.stream._read_buffer_size > 0


@attrs.define(eq=False)
class PendingRequests:
    """Requests that callers have not sent completely, with their timeouts."""

    _clock: clocks.Clock
    limits: catalogues.CallerLimits
    _refusal_headers: Callable[[str], dict[str, str]]
    _connections: caller_streams.Connections
    _pending: set[PendingRequest] = attrs.field(factory=set)
    _timer: asyncio.TimerHandle | None = None

    def __attrs_post_init__(self) -> None:
        self._connections.max_body_bytes = self.limits.max_body_bytes

    def start(self, stream: caller_streams.CallerStream) -> PendingRequest:
        """Start to wait for a request."""
        limits = self.limits
        pending = PendingRequest(
            stream, self._clock.monotonic(), limits, limits
        )
        self._pending.add(pending)
        if self._timer is None:
            self._schedule()
        return pending

    def finish(self, pending: PendingRequest) -> None:
        """End the wait, because the request is complete or has failed."""
        self._pending.discard(pending)

    @property
    def begun(self) -> list[PendingRequest]:
        """Return the requests of which a part has been received."""
        return [pending for pending in self._pending if pending.has_begun]

    def refuse_begun(self, refusal: exceptions.Refusal) -> None:
        """Answer all requests of which a part has been received."""
        for pending in self.begun:
            self.finish(pending)
            pending.refuse(refusal, self._refusal_headers(pending.request_id))

    def shed(
        self, pending: PendingRequest, refusal: exceptions.Refusal
    ) -> None:
        """Refuse an incomplete request and drop what is left of it."""
        self.finish(pending)
        if pending.refused or pending.stream.closed():
            return
        headers = self._refusal_headers(pending.request_id)
        pending.stream.discard_rest(pending.refuse(refusal, headers))

    def overload_answer(self) -> bytes:
        """Return the answer to a caller whose connection does not fit."""
        return _refusal_bytes(overload(), self._refusal_headers(""))

    def apply(self, limits: catalogues.CallerLimits) -> None:
        """Apply limits; lower ones hold only for requests waited for later."""
        if limits == self.limits:
            return
        self.limits = limits
        self._connections.max_body_bytes = limits.max_body_bytes
        for pending in self._pending:
            pending.largest = _largest(pending.largest, limits)

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def _sweep(self) -> None:
        self._timer = None
        if self._pending:
            self._schedule()
        now_s = self._clock.monotonic()
        for pending in list(self._pending):
            if pending.stream.closed():
                self.finish(pending)
                continue
            reason = pending.overdue(now_s)
            if reason and not pending.has_unread():
                self._close(pending, reason, now_s)

    def _close(
        self, pending: PendingRequest, reason: str, now_s: float
    ) -> None:
        self.finish(pending)
        eliot.log_message(
            "connection_closed",
            reason=reason,
            request=pending.request_id,
            received=False,
            begun=False,
            age_ms=round((now_s - pending.since_s) * clocks.MS_PER_S),
            limit_ms=self.limits.idle_timeout_ms,
            limit_at_start_ms=pending.limits.idle_timeout_ms,
        )
        if reason == "idle":
            pending.stream.close()
            return
        refusal = exceptions.RequestTimedOut("the request was not complete")
        headers = self._refusal_headers(pending.request_id)
        sent = pending.refuse(refusal, headers)
        if sent.done():
            pending.stream.close()
        else:
            sent.add_done_callback(lambda f: pending.stream.close())


def overload() -> exceptions.ReceiveOverloaded:
    """Return the refusal of a request for which the node has no room."""
    return exceptions.ReceiveOverloaded(
        "the node receives too much", OVERLOAD_RETRY_MS
    )


def _largest(
    one: catalogues.CallerLimits, other: catalogues.CallerLimits
) -> catalogues.CallerLimits:
    pairs = zip(attrs.astuple(one), attrs.astuple(other), strict=True)
    return catalogues.CallerLimits(*(max(pair) for pair in pairs))


def _timeout_s(limit_ms: int) -> float:
    return limit_ms / clocks.MS_PER_S * TIMEOUT_FACTOR


def _refusal_bytes(
    refusal: exceptions.Refusal, headers: Mapping[str, str]
) -> bytes:
    body = json.dumps(refusal.body()).encode()
    headers = {
        "Content-Type": "application/json",
        "Content-Length": str(len(body)),
        "Connection": "close",
    } | headers
    if refusal.retry_after_ms is not None:
        after_s = refusal.retry_after_ms / clocks.MS_PER_S
        headers["Retry-After"] = f"{after_s:.3f}"
    reason = http.HTTPStatus(refusal.status).phrase
    lines = [f"HTTP/1.1 {refusal.status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body
