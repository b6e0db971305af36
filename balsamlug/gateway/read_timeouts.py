"""Close connections of callers that send no complete request in time.

The timers of tornado close a connection even if its request was received in the
same iteration of the event loop. A sweep closes only connections on which
nothing has arrived that has not been read.
"""

import asyncio
from collections.abc import Callable
import json
import socket

import attrs
import eliot
from tornado import iostream

from balsamlug import catalogue as catalogues
from balsamlug import clock as clocks
from balsamlug import exceptions

SWEEP_INTERVAL_S = 0.2
# Callers reuse connections that were idle for up to the limit, and their clocks
# and the network add to that.
TIMEOUT_FACTOR = 1.5
BODY_TIMEOUT_S = 60.0


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
      refused: whether it was answered before it was complete. Its rest may
        still arrive while the answer is sent.
    """

    stream: iostream.IOStream
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
        if self.begun_s is None and self._has_begun():
            self.begun_s = now_s
        if self.begun_s is None:
            idle_s = _timeout_s(self.largest.idle_timeout_ms)
            return "idle" if now_s - self.since_s >= idle_s else ""
        head_s = _timeout_s(self.largest.header_timeout_ms)
        return "late_head" if now_s - self.begun_s >= head_s else ""

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

    def _has_begun(self) -> bool:
        return self.stream._read_buffer_size > 0


@attrs.define(eq=False)
class ReadTimeouts:
    """Requests that callers have not sent completely."""

    _clock: clocks.Clock
    limits: catalogues.CallerLimits
    _refusal_headers: Callable[[str], dict[str, str]]
    _pending: set[PendingRequest] = attrs.field(factory=set)
    _timer: asyncio.TimerHandle | None = None

    def start(self, stream: iostream.IOStream) -> PendingRequest:
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

    def apply(self, limits: catalogues.CallerLimits) -> None:
        """Apply limits; lower ones hold only for requests waited for later."""
        if limits == self.limits:
            return
        self.limits = limits
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
                self._pending.discard(pending)
                continue
            reason = pending.overdue(now_s)
            if reason and not pending.has_unread():
                self._close(pending, reason, now_s)

    def _close(
        self, pending: PendingRequest, reason: str, now_s: float
    ) -> None:
        self._pending.discard(pending)
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
        else:
            self._refuse(pending)

    def _refuse(self, pending: PendingRequest) -> None:
        """Answer an incomplete request, and close its connection."""
        pending.refused = True
        refusal = exceptions.RequestTimedOut("the request was not complete")
        body = json.dumps(refusal.body()).encode()
        headers = {
            "Content-Type": "application/json",
            "Content-Length": str(len(body)),
            "Connection": "close",
        } | self._refusal_headers(pending.request_id)
        lines = [f"HTTP/1.1 {refusal.status} Request Timeout"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        head = "\r\n".join(lines) + "\r\n\r\n"
        stream = pending.stream
        written = stream.write(head.encode("latin-1") + body)
        if written.done():
            # The rest of the request must not be served meanwhile.
            stream.close()
        else:
            written.add_done_callback(lambda f: f.exception() or stream.close())


def _largest(
    one: catalogues.CallerLimits, other: catalogues.CallerLimits
) -> catalogues.CallerLimits:
    pairs = zip(attrs.astuple(one), attrs.astuple(other), strict=True)
    return catalogues.CallerLimits(*(max(pair) for pair in pairs))


def _timeout_s(limit_ms: int) -> float:
    return limit_ms / clocks.MS_PER_S * TIMEOUT_FACTOR
