"""One request sent to one upstream."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import enum

import attrs

from balsamlug import exceptions
from balsamlug.gateway import messages
from balsamlug.router import upstream

# Connections within a region open in milliseconds; a lost opening packet is
# sent again after a second only.
CONNECT_TIMEOUT_S = 0.3
# Statuses that tell a caller that its request has not run.
PROMISES = frozenset({408, 421, 429, 503})
MAX_ANSWER_BYTES = 64 * 1024 * 1024
FIRST_SUCCESS = 200
FIRST_REDIRECT = 300


class Ending(enum.StrEnum):
    """How an attempt ended."""

    ANSWERED = "answered"
    # The upstream states that it did not run the request.
    NOT_RUN = "not_run"
    # No connection was made, so nothing was sent.
    UNREACHABLE = "unreachable"
    # The request may have run; the answer is missing, broken or not its own.
    BROKEN = "broken"
    # A member of the group does not answer.
    GROUP_LOST = "group_lost"
    TIMED_OUT = "timed_out"
    CALLER_GONE = "caller_gone"


_NOT_RUN = frozenset({Ending.UNREACHABLE, Ending.NOT_RUN})


@attrs.define
class Answer:
    """Answer of an upstream, as far as it arrived.

    Attributes:
      sent: whether any byte of the request may have left.
    """

    ending: Ending
    response: upstream.Response
    verdict: messages.Verdict
    sent: bool = True
    body: bytes = b""
    detail: str = ""

    @property
    def status(self) -> int:
        """Return the status, 0 when no headers arrived."""
        return self.response.status

    @property
    def may_have_run(self) -> bool:
        """Return whether the upstream may have begun to run the request."""
        return self.sent and self.ending not in _NOT_RUN

    @property
    def is_success(self) -> bool:
        """Return whether the upstream vouches for a success."""
        return FIRST_SUCCESS <= self.status < FIRST_REDIRECT


@attrs.define(eq=False)
class Attempt:
    """Send one call and judge what comes back.

    Attributes:
      on_stream: takes body bytes of a successful stream; other bodies are
        collected.
      streaming: whether the answer turned out to be a stream.
      ending: set when this side ends the attempt.
    """

    headers: messages.Headers
    request_id: str
    on_stream: Callable[[upstream.Response, bytes], Awaitable[None] | None] = (
        lambda response, data: None
    )
    takes_stream: bool = False
    streaming: bool = False
    ending: Ending | None = None
    _exchange: upstream.Exchange | None = None
    _task: asyncio.Future | None = None
    _body: bytearray = attrs.field(factory=bytearray)
    _verdict: messages.Verdict | None = None

    async def run(self, call: upstream.Call) -> Answer:
        """Return the answer; never raises for a fault of the upstream."""
        self._exchange = upstream.Exchange(self._on_data)
        if self.ending is not None:
            return self._answer(self.ending, "ended before it was sent")
        self._task = asyncio.ensure_future(self._exchange.run(call))
        try:
            await self._task
        except exceptions.UpstreamUnreachable as exc:
            return self._answer(self.ending or Ending.UNREACHABLE, str(exc))
        except asyncio.CancelledError:
            if self.ending is None:
                raise
        if self.ending is not None:
            return self._answer(self.ending, "ended by this side")
        return self._judge()

    def abort(self, ending: Ending) -> None:
        """End the attempt and close its connection."""
        if self.ending is None:
            self.ending = ending
            if self._exchange is not None:
                self._exchange.abort()
                if not self._exchange.sent:
                    # It still waits for the connection.
                    self._task.cancel()

    def _on_data(self, data: bytes) -> Awaitable[None] | None:
        resp = self._exchange.response
        if self._verdict is None:
            self._verdict = self.headers.verdict(resp.headers)
            self.streaming = self.takes_stream and self._is_own_success()
        if self.streaming:
            return self.on_stream(resp, data)
        self._body += data
        if len(self._body) > MAX_ANSWER_BYTES:
            self.abort(Ending.BROKEN)
        return None

    def _is_own_success(self) -> bool:
        status = self._exchange.response.status
        return (
            FIRST_SUCCESS <= status < FIRST_REDIRECT
            and self._verdict.sealed
            and self._verdict.request_id == self.request_id
        )

    def _judge(self) -> Answer:
        resp = self._exchange.response
        if not resp.status:
            return self._answer(Ending.BROKEN, "no answer")
        if self._verdict is None:
            self._verdict = self.headers.verdict(resp.headers)
        if self._verdict.not_run or resp.status == 421:
            return self._answer(Ending.NOT_RUN, f"status {resp.status}")
        if self._verdict.request_id != self.request_id:
            return self._answer(Ending.BROKEN, "answer to another request")
        if not resp.complete:
            return self._answer(Ending.BROKEN, "the answer was cut off")
        if not self._verdict.sealed:
            return self._answer(Ending.BROKEN, f"unsealed {resp.status}")
        if resp.status in PROMISES:
            # Passed on, it would say that the request did not run.
            return self._answer(Ending.BROKEN, f"run ended {resp.status}")
        return self._answer(Ending.ANSWERED, f"status {resp.status}")

    def _answer(self, ending: Ending, detail: str) -> Answer:
        resp = self._exchange.response
        verdict = self._verdict or self.headers.verdict(resp.headers)
        return Answer(
            ending,
            resp,
            verdict,
            self._exchange.sent,
            bytes(self._body),
            detail,
        )
