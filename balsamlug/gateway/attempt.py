"""Send one request to one upstream and classify the response.

Streams and calls of plain services make one attempt after another until a
response can be forwarded to the caller.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import enum

import attrs

from balsamlug import exceptions
from balsamlug import notices
from balsamlug.gateway import answer_buffers
from balsamlug.gateway import messages
from balsamlug.router import upstream

# Connections within a region open in milliseconds, but TCP retransmits a lost
# SYN only after a second.
CONNECT_TIMEOUT_S = 0.3
# Statuses that callers take as a promise that their request was not executed.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
# Another server answers at the address of the instance.
OTHER_INSTANCE = 421
FIRST_SUCCESS = 200
FIRST_REDIRECT = 300


class Outcome(enum.StrEnum):
    """Outcome of an attempt."""

    ANSWERED = "answered"
    # The upstream states that it did not run the request.
    NOT_RUN = "not_run"
    # No connection was made, so nothing was sent.
    UNREACHABLE = "unreachable"
    # No connection was made, because this node has lost its paths to upstreams.
    NO_PATH = "no_path"
    # The request may have run; the answer is missing, incomplete, unsealed or
    # belongs to another request.
    BROKEN = "broken"
    # A member of the group is unresponsive.
    GROUP_LOST = "group_lost"
    # The connection was lost, and nothing is known against the upstream.
    PATH_LOST = "path_lost"
    TIMED_OUT = "timed_out"
    CALLER_GONE = "caller_gone"
    # The process stops.
    STOPPED = "stopped"


_NOT_RUN_OUTCOMES = frozenset(
    {Outcome.UNREACHABLE, Outcome.NO_PATH, Outcome.NOT_RUN}
)
# Outcomes of timers and of the end of the process, which may come right after
# the end of an answer or while the caller still reads it.
_TIMER_OUTCOMES = frozenset(
    {
        Outcome.TIMED_OUT,
        Outcome.GROUP_LOST,
        Outcome.PATH_LOST,
        Outcome.STOPPED,
    }
)
# Attempts without a path after which a request is refused.
MAX_ATTEMPTS_WITHOUT_PATH = 2


@attrs.define
class Answer:
    """Answer of an upstream, as far as it was received.

    Attributes:
      sent: whether any byte of the request may have been sent.
    """

    outcome: Outcome
    response: upstream.Response
    metadata: messages.ResponseMetadata
    sent: bool = True
    body: bytes = b""
    detail: str = ""

    @property
    def status(self) -> int:
        """Return the status, or 0 if no headers were received."""
        return self.response.status

    @property
    def may_have_run(self) -> bool:
        """Return whether the upstream may have started to run the request."""
        return self.sent and self.outcome not in _NOT_RUN_OUTCOMES

    @property
    def counts(self) -> bool:
        """Return whether the instance has got the request."""
        return self.sent and self.status != OTHER_INSTANCE

    @property
    def is_success(self) -> bool:
        """Return whether the status is a success."""
        return FIRST_SUCCESS <= self.status < FIRST_REDIRECT


@attrs.define(eq=False)
class Attempt:
    """Send one call and classify its response.

    Attributes:
      on_stream_data: receives the body bytes of a successful stream; other
        bodies are buffered.
      buffers: memory of all answers that are buffered.
      accepts_stream: whether a successful answer is streamed.
      streaming: whether the answer is a stream; known once its headers have
        been received.
      outcome: set when the gateway itself ends the attempt.
      on_limit: called with the rate limit in an answer to this request.
      on_notice: called with status and notice of an answer to this request,
        and the node through which it came.
    """

    headers: messages.HeaderCodec
    request_id: str
    on_stream_data: Callable[
        [upstream.Response, bytes], Awaitable[None] | None
    ] = lambda response, data: None
    buffers: answer_buffers.AnswerBuffers = attrs.field(
        factory=answer_buffers.AnswerBuffers
    )
    accepts_stream: bool = False
    streaming: bool = False
    outcome: Outcome | None = None
    on_limit: Callable[[float | None], None] = lambda rate: None
    on_notice: Callable[[int, notices.Notice, str], None] = (
        lambda status, notice, relay: None
    )
    _exchange: upstream.Exchange | None = None
    _task: asyncio.Future | None = None
    _buffer: answer_buffers.AnswerBuffer | None = None
    _metadata: messages.ResponseMetadata | None = None

    async def run(self, call: upstream.Call) -> Answer:
        """Return the answer; faults of the upstream raise no exception."""
        try:
            return await self._run(call)
        finally:
            if self._buffer is not None:
                self._buffer.close()
                self._buffer = None

    async def _run(self, call: upstream.Call) -> Answer:
        self._exchange = upstream.Exchange(self._on_data)
        if self.outcome is not None:
            return self._build_answer(self.outcome, "ended before it was sent")
        self._task = asyncio.ensure_future(self._exchange.run(call))
        try:
            await self._task
        except exceptions.PathLost as exc:
            return self._build_answer(self.outcome or Outcome.NO_PATH, str(exc))
        except exceptions.UpstreamUnreachable as exc:
            return self._build_answer(
                self.outcome or Outcome.UNREACHABLE, str(exc)
            )
        except asyncio.CancelledError:
            if self.outcome is None:
                raise
        if self.outcome is not None:
            return self._build_answer(self.outcome, "ended by this side")
        return self._classify()

    @property
    def relay(self) -> str:
        """Return the id of the node it leads through, "" for a direct one."""
        return self._exchange.response.relay if self._exchange else ""

    def abort(self, outcome: Outcome) -> None:
        """End the attempt and close its connection.

        Neither a timer nor the end of the process ends an attempt whose answer
        has been received.
        """
        if self.outcome is not None or self._has_answer_before(outcome):
            return
        self.outcome = outcome
        if self._exchange is not None:
            self._exchange.abort()
            if not self._exchange.sent:
                # The task is still waiting for the connection.
                self._task.cancel()

    def _has_answer_before(self, outcome: Outcome) -> bool:
        return (
            outcome in _TIMER_OUTCOMES
            and self._exchange is not None
            and self._exchange.response.complete
        )

    def _on_data(self, data: bytes) -> Awaitable[None] | None:
        resp = self._exchange.response
        if self._metadata is None:
            self._read_metadata(resp)
            self.streaming = self.accepts_stream and self._is_verified_success()
        if self.streaming:
            return self.on_stream_data(resp, data)
        if self._head_fault():
            # Only the headers of such an answer are used.
            self._exchange.abort()
            return None
        if self._buffer is None:
            self._buffer = self.buffers.open(
                self.request_id, lambda: self.abort(Outcome.BROKEN)
            )
        self._buffer.add(data)
        return None

    def _read_metadata(self, resp: upstream.Response) -> None:
        self._metadata = self.headers.parse_response(resp.headers)
        is_own = self._metadata.request_id == self.request_id
        if not is_own or resp.status == OTHER_INSTANCE:
            return
        self.on_notice(resp.status, self._metadata.notice, resp.relay)
        # Answers of other parts of a server, such as its listener, have no
        # seal and may lack a limit that holds.
        if self._metadata.sealed or self._metadata.rate_limit is not None:
            self.on_limit(self._metadata.rate_limit)

    def _is_verified_success(self) -> bool:
        status = self._exchange.response.status
        return (
            FIRST_SUCCESS <= status < FIRST_REDIRECT
            and not self._is_encoded()
            and self._metadata.sealed
            and self._metadata.request_id == self.request_id
        )

    def _is_encoded(self) -> bool:
        return "Content-Encoding" in self._exchange.response.headers

    def _classify(self) -> Answer:
        resp = self._exchange.response
        if not resp.status:
            return self._build_answer(self._break_outcome(), "no answer")
        if self._metadata is None:
            self._read_metadata(resp)
        request_id = self._metadata.request_id
        if request_id and request_id != self.request_id:
            # Its promise not to have run holds for the other request only.
            return self._build_answer(
                Outcome.BROKEN, "answer to another request"
            )
        if self._metadata.not_run or resp.status == OTHER_INSTANCE:
            return self._build_answer(Outcome.NOT_RUN, f"status {resp.status}")
        if not request_id:
            return self._build_answer(
                Outcome.BROKEN, "answer without a request id"
            )
        if fault := self._body_fault():
            return self._build_answer(self._break_outcome(), fault)
        if resp.status in NOT_RUN_STATUSES:
            # Forwarded to the caller, this status would state that the request
            # did not run.
            return self._build_answer(
                Outcome.BROKEN,
                f"run ended {resp.status}",
            )
        return self._build_answer(Outcome.ANSWERED, f"status {resp.status}")

    def _head_fault(self) -> str:
        """Return why the headers make the body useless, or ""."""
        resp = self._exchange.response
        if self._metadata.request_id != self.request_id:
            return "answer to another request"
        if not self._metadata.sealed:
            return f"unsealed {resp.status}"
        if FIRST_SUCCESS <= resp.status < FIRST_REDIRECT and self._is_encoded():
            # Callers reject it, because they request bodies without encoding.
            return "encoded body"
        return ""

    def _body_fault(self) -> str:
        """Return why the body is not the server's complete body, or ""."""
        if fault := self._head_fault():
            return fault
        complete = self._exchange.response.complete
        return "" if complete else "the answer was cut off"

    def _break_outcome(self) -> Outcome:
        """Return the outcome of an attempt whose answer cannot be used."""
        lost = self._exchange.response.relay_lost
        return Outcome.PATH_LOST if lost else Outcome.BROKEN

    def _build_answer(self, outcome: Outcome, detail: str) -> Answer:
        resp = self._exchange.response
        metadata = self._metadata or self.headers.parse_response(resp.headers)
        body = b""
        if self._buffer is not None and outcome is Outcome.ANSWERED:
            body = self._buffer.close()
        return Answer(
            outcome, resp, metadata, self._exchange.sent, body, detail
        )
