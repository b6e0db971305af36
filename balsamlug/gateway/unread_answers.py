"""Bound on the memory that a node holds for callers that do not read.

A plain answer is passed to its connection completely, and a stream with up to
one read of its upstream. Callers that read slowly or not at all, on many
connections at once, would take more memory than a node has.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Hashable
import enum
from typing import Any
from typing import Protocol

import attrs
import eliot

from balsamlug import clock as clocks
from balsamlug.observability import metrics as metric

BYTES_PER_MB = 1024 * 1024
SWEEP_INTERVAL_S = 0.2
# Callers abandon a stream after two seconds without an event, so one that has
# taken nothing for as long does not read.
STALLED_S = 2.0
# Share of the bound above which answers of callers that do not read are broken
# off. The rest is left to callers that read slowly.
STALLED_SHARE = 0.5
# A caller that takes nothing for this long keeps a descriptor for nothing: the
# longest deadline is 8 s, and bodies of callers may take as long.
EXPIRY_S = 60.0


class Reason(enum.StrEnum):
    """Why an answer is broken off."""

    # The caller has taken nothing for a long time.
    EXPIRED = "expired"
    # The caller does not read, and much memory is held.
    STALLED = "stalled"
    # The bound is reached.
    BOUND = "bound"


class Answer(Protocol):
    """An answer to a caller, as far as it matters here.

    Attributes:
      connection: the same object for all answers of one connection.
      request_id: id of its request.
      request_bytes: body of the request, which is held with the answer.
      held_bytes: size of the writes that are not sent completely, 0 if the
        connection is closed. A write is kept whole until all of it is sent.
      taken_bytes: bytes of the connection that the caller's host has confirmed.
    """

    connection: Hashable
    request_id: str
    request_bytes: int
    held_bytes: int
    taken_bytes: int

    def break_off(self) -> None:
        """Reset the connection and end the request."""


@attrs.define(eq=False)
class _Waiting:
    """An answer of which a part has not been sent.

    Attributes:
      since_s: when its caller was last seen to have taken something.
    """

    answer: Answer
    since_s: float
    taken_bytes: int
    held_bytes: int = 0


def _call_later(delay_s: float, callback: Callable[[], None]) -> None:
    asyncio.get_running_loop().call_later(delay_s, callback)


@attrs.define(eq=False)
class UnreadAnswers:
    """Answers that wait for their callers, and the memory that they take.

    For the bound, an answer is broken off only if it takes more than an even
    share of it, so never a small one because of large ones, and only if others
    wait, too, so that any single answer can be sent.

    Attributes:
      bound_bytes: bound of all answers together.
      total_bytes: what they take, at the last look at each of them.
    """

    _clock: clocks.Clock
    bound_bytes: int
    _metrics: metric.GatewayMetrics
    _schedule: Callable[[float, Callable[[], None]], Any] = _call_later
    total_bytes: int = 0
    _waiting: dict[Hashable, _Waiting] = attrs.field(factory=dict)
    _is_sweeping: bool = False
    _is_checking: bool = False

    def add(self, answer: Answer) -> None:
        """Count an answer that could not be sent completely at once."""
        try:
            self._add(answer)
        except Exception:  # The answer is sent as without a bound.
            eliot.write_traceback()

    def _add(self, answer: Answer) -> None:
        waiting = self._waiting.get(answer.connection)
        if waiting is None or waiting.answer is not answer:
            if waiting is not None:
                self._remove(waiting)
            now_s = self._clock.monotonic()
            waiting = _Waiting(answer, now_s, answer.taken_bytes)
            self._waiting[answer.connection] = waiting
        self._count(waiting)
        if not self._is_sweeping:
            self._is_sweeping = True
            self._schedule(SWEEP_INTERVAL_S, self._sweep)
        if self.total_bytes > self.bound_bytes and not self._is_checking:
            # The writer of this answer must not be called back while it writes.
            self._is_checking = True
            self._schedule(0, self._check)

    def _check(self) -> None:
        self._is_checking = False
        self.enforce()

    def _sweep(self) -> None:
        self._is_sweeping = False
        try:
            self.enforce()
        finally:
            if self._waiting:
                self._is_sweeping = True
                self._schedule(SWEEP_INTERVAL_S, self._sweep)

    def enforce(self) -> None:
        """Look at all answers and break off those that take too much."""
        now_s = self._clock.monotonic()
        for waiting in list(self._waiting.values()):
            self._refresh(waiting, now_s)
        for waiting in self._stalled(now_s, EXPIRY_S):
            self._break_off(waiting, Reason.EXPIRED, now_s)
        stalled_bytes = self.bound_bytes * STALLED_SHARE
        while self.total_bytes > stalled_bytes:
            candidates = self._stalled(now_s, STALLED_S)
            if not self._break_off_one(candidates, Reason.STALLED, now_s):
                break
        while self.total_bytes > self.bound_bytes:
            candidates = list(self._waiting.values())
            if not self._break_off_one(candidates, Reason.BOUND, now_s):
                break
        self._metrics.unread_bytes.set(self.total_bytes)

    def _refresh(self, waiting: _Waiting, now_s: float) -> None:
        answer = waiting.answer
        if not answer.held_bytes:
            self._remove(waiting)
            return
        self._count(waiting)
        if (taken := answer.taken_bytes) != waiting.taken_bytes:
            waiting.taken_bytes, waiting.since_s = taken, now_s

    def _count(self, waiting: _Waiting) -> None:
        answer = waiting.answer
        held = answer.held_bytes + answer.request_bytes
        self.total_bytes += held - waiting.held_bytes
        waiting.held_bytes = held

    def _remove(self, waiting: _Waiting) -> None:
        del self._waiting[waiting.answer.connection]
        self.total_bytes -= waiting.held_bytes

    def _stalled(self, now_s: float, limit_s: float) -> list[_Waiting]:
        waiting = self._waiting.values()
        return [w for w in waiting if now_s - w.since_s >= limit_s]

    def _break_off_one(
        self, candidates: list[_Waiting], reason: Reason, now_s: float
    ) -> bool:
        """Break off the large answer that has waited longest, if any."""
        if len(self._waiting) == 1:
            return False
        share = self.bound_bytes * STALLED_SHARE / len(self._waiting)
        large = [w for w in candidates if w.held_bytes > share]
        if not large:
            return False
        longest = min(large, key=lambda w: (w.since_s, -w.held_bytes))
        self._break_off(longest, reason, now_s)
        return True

    def _break_off(
        self, waiting: _Waiting, reason: Reason, now_s: float
    ) -> None:
        answer = waiting.answer
        eliot.log_message(
            "connection_closed",
            reason="unread",
            detail=reason,
            request=answer.request_id,
            received=True,
            begun=True,
            held_bytes=waiting.held_bytes,
            waited_ms=round((now_s - waiting.since_s) * clocks.MS_PER_S),
            total_bytes=self.total_bytes,
            bound_bytes=self.bound_bytes,
            answers=len(self._waiting),
        )
        self._metrics.unread_broken_off.labels(reason).inc()
        self._remove(waiting)
        answer.break_off()


def create(
    bound_mb: int, clock: clocks.Clock, metrics: metric.GatewayMetrics
) -> UnreadAnswers | None:
    """Return the bound of unread answers, None for a bound of 0."""
    if not bound_mb:
        return None
    return UnreadAnswers(clock, bound_mb * BYTES_PER_MB, metrics)
