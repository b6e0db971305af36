"""Run a generation request in one group, as one attempt of the relay."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import enum
import json

import attrs

from balsamlug import exceptions
from balsamlug.observability import logs
from balsamlug.router import runtime as runtimes
from balsamlug.router import scheduler as schedulers
from balsamlug.router import sse
from balsamlug.router import upstream

OK = 200
CONFLICT = 409
# The engine's group cannot run requests now, for example because a member does
# not respond.
UNAVAILABLE = 503
# The engine rejects the request itself, so another group would reject it too;
# 408 and 429 depend on the engine's state.
CLIENT_ERRORS = frozenset(range(400, 500)) - {408, CONFLICT, 429}
MAX_ERROR_BYTES = 4096
# A group that is observed as not ready counts as lost when its stream has been
# idle for this long.
LOST_GROUP_IDLE_S = 1.0
# Ten times the longest gap between tokens at the design load; a stopped engine
# is detected earlier through its group's readiness.
TOKEN_IDLE_TIMEOUT_S = 5.0
MIN_FIRST_TOKEN_S = 1.0
MAX_FIRST_TOKEN_S = 10.0


class Outcome(enum.StrEnum):
    """Outcome of an attempt."""

    COMPLETE = "complete"
    WRONG_GROUP = "wrong_group"
    UNREACHABLE = "unreachable"
    CUT_OFF = "cut_off"
    ENDED_EARLY = "ended_early"
    BAD_STATUS = "bad_status"
    UNAVAILABLE = "unavailable"
    REJECTED = "rejected"
    MALFORMED = "malformed"
    SILENT = "silent"
    GROUP_LOST = "group_lost"
    PREEMPTED = "preempted"
    CALLER_GONE = "caller_gone"
    SLOW_CALLER = "slow_caller"


# Outcomes after which the engine has not run the request.
NOT_RUN = {Outcome.WRONG_GROUP, Outcome.UNREACHABLE}
# Outcomes after which the request may be retried, within the retry budget.
FAILURES = NOT_RUN | {
    Outcome.CUT_OFF,
    Outcome.ENDED_EARLY,
    Outcome.BAD_STATUS,
    Outcome.UNAVAILABLE,
    Outcome.MALFORMED,
    Outcome.SILENT,
    Outcome.GROUP_LOST,
}
# Outcomes that leave the engine nothing to cancel.
NOTHING_TO_CANCEL = NOT_RUN | {
    Outcome.COMPLETE,
    Outcome.BAD_STATUS,
    Outcome.UNAVAILABLE,
    Outcome.REJECTED,
}

OnTokens = Callable[[list[str]], Awaitable[None] | None]


@attrs.define(eq=False)
class Attempt:
    """Send a request to a group's head and forward its tokens in order.

    Attributes:
      id: request id sent to the engine, a different one for each attempt.
      reason: label for the failure counter.
      last_data_s: time of the last data from the upstream.
      paused: whether reading is paused because the caller's buffer is full.
    """

    id: str
    start: schedulers.Start
    work: schedulers.Work
    _runtime: runtimes.Runtime
    _on_tokens: OnTokens
    outcome: Outcome | None = None
    reason: str = ""
    last_data_s: float = 0.0
    paused: bool = False
    _statements_read: bool = False
    _error_body: bytearray = attrs.field(factory=bytearray)
    _reader: sse.TokenReader = attrs.field(init=False)
    _exchange: upstream.Exchange = attrs.field(init=False)
    _aborted: asyncio.Future = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._reader = sse.TokenReader(self.work.resume_from)
        self._exchange = upstream.Exchange(self._on_data)
        self._aborted = asyncio.get_running_loop().create_future()
        self.last_data_s = self._runtime.clock.monotonic()

    async def run(self, payload: dict, task_id: str) -> Outcome:
        """Run the attempt and return its outcome.

        Args:
          payload: fields of the engine request that the caller determines.
        """
        call = self._call(payload, task_id)
        self._runtime.attempts[self.id] = self
        try:
            resp = await self._exchange.run(call)
            self._set_outcome(self._outcome_for(resp))
        except exceptions.UpstreamUnreachable:
            self._set_outcome(Outcome.UNREACHABLE)
        finally:
            del self._runtime.attempts[self.id]
            self._cancel_upstream()
        return self.outcome

    def abort(self, outcome: Outcome) -> None:
        """Close the upstream connection and discard later data."""
        if self.outcome is not None:
            return
        self._set_outcome(outcome)
        self._exchange.abort()
        if not self._aborted.done():
            self._aborted.set_result(None)

    def idle_timeout_s(self) -> float:
        """Return how long the upstream may send nothing at this point."""
        if self._reader.expected > self.work.resume_from:
            return TOKEN_IDLE_TIMEOUT_S
        remaining_s = self.work.deadline_s - self.last_data_s
        return min(max(remaining_s, MIN_FIRST_TOKEN_S), MAX_FIRST_TOKEN_S)

    def _call(self, payload: dict, task_id: str) -> upstream.Call:
        body = payload | {
            "request_id": self.id,
            "stream": True,
            "priority": self.start.engine_priority,
            "resume_from": self.work.resume_from,
            "group": self.start.group_id,
            "generation": self.start.generation,
        }
        headers = {
            "Content-Type": "application/json",
            logs.TASK_HEADER: task_id,
        }
        return upstream.Call(
            self.start.head_address,
            "POST",
            "/v1/completions",
            headers,
            json.dumps(body).encode(),
            permitted=lambda: self._runtime.dispatcher.may_send(self.start),
            connect=self._runtime.connector.connect,
        )

    def _on_data(self, chunk: bytes) -> Awaitable[None] | None:
        self._read_statements()
        status = self._exchange.response.status
        if status != OK:
            self._error_body += chunk
            if len(self._error_body) >= MAX_ERROR_BYTES:
                self.abort(self._outcome_for_status(status))
            return None
        try:
            texts = self._reader.feed(chunk)
        except exceptions.ProtocolError as exc:
            self.reason = exc.reason
            self.abort(Outcome.MALFORMED)
            return None
        if not texts:
            # Parts of an event are no sign that the engine makes progress.
            return None
        self.last_data_s = self._runtime.clock.monotonic()
        writable = self._on_tokens(texts)
        return self._pause(writable) if writable is not None else None

    def _read_statements(self) -> None:
        """Record what the head states of itself in its answer."""
        resp = self._exchange.response
        if resp.status and not self._statements_read:
            self._statements_read = True
            self._runtime.dispatcher.observe_head(self.start, resp)

    async def _pause(self, writable: Awaitable[None]) -> None:
        self.paused = True
        pending = asyncio.ensure_future(writable)
        await asyncio.wait(
            (pending, self._aborted), return_when=asyncio.FIRST_COMPLETED
        )
        self.paused = False
        self.last_data_s = self._runtime.clock.monotonic()

    def _outcome_for(self, resp: upstream.Response) -> Outcome:
        self._read_statements()
        if resp.status not in (0, OK):
            return self._outcome_for_status(resp.status)
        if self._reader.done:
            return Outcome.COMPLETE
        # The connection of an engine that crashes ends like an unframed stream.
        has_ended = resp.complete and resp.is_framed
        return Outcome.ENDED_EARLY if has_ended else Outcome.CUT_OFF

    def _outcome_for_status(self, status: int) -> Outcome:
        if status == CONFLICT and b'"wrong_group"' in self._error_body:
            return Outcome.WRONG_GROUP
        if status == UNAVAILABLE:
            return Outcome.UNAVAILABLE
        is_rejected = status in CLIENT_ERRORS
        return Outcome.REJECTED if is_rejected else Outcome.BAD_STATUS

    def _set_outcome(self, outcome: Outcome) -> None:
        if self.outcome is None:
            self.outcome = outcome

    def _cancel_upstream(self) -> None:
        if self.outcome not in NOTHING_TO_CANCEL:
            self._runtime.cancel_upstream(self.start.head_address, self.id)
