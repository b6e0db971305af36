"""Exceptions of the package, from refused requests to store failures."""

from typing import ClassVar

import attrs

NOT_RUN = "not_run"
UNKNOWN = "unknown"
RAN = "ran"


# Errors of code that decodes a value of another process, for any value.
MALFORMED_VALUE = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
)


class BalsamlugError(Exception):
    """Base of all exceptions raised by this package."""


@attrs.define(eq=False)
class Refusal(BalsamlugError):
    """The request is answered with an error.

    Attributes:
      message: explanation for the caller.
      retry_after_ms: delay before a retry may succeed, or None when a retry
        cannot succeed.
      code: stable code in the error body and in the refusal counter.
      status: HTTP status.
      outcome: NOT_RUN when no upstream can have processed the request, RAN
        when it ran earlier, else UNKNOWN.
    """

    code: ClassVar[str] = "internal"
    status: ClassVar[int] = 500
    outcome: ClassVar[str] = UNKNOWN

    message: str = ""
    retry_after_ms: int | None = None

    def __str__(self) -> str:
        return f"{self.code}: {self.message}"

    def body(self) -> dict:
        """Return the JSON error body."""
        return {
            "error": {
                "code": self.code,
                "message": self.message,
                "outcome": self.outcome,
                "retry_after_ms": self.retry_after_ms,
            }
        }


class MalformedRequest(Refusal):
    """The request cannot be parsed or a field has the wrong type."""

    code = "malformed_request"
    status = 400
    outcome = NOT_RUN


class RequestTimedOut(Refusal):
    """The caller did not send its complete request in time."""

    code = "request_timed_out"
    status = 408
    outcome = NOT_RUN


class HeadTooLarge(Refusal):
    """The request line and headers exceed the configured limit."""

    code = "head_too_large"
    status = 431
    outcome = NOT_RUN


class BodyTooLarge(Refusal):
    """The request body exceeds the configured limit."""

    code = "body_too_large"
    status = 413
    outcome = NOT_RUN


class ReceiveOverloaded(Refusal):
    """The node holds too much of incomplete requests to receive this one."""

    code = "receive_overloaded"
    status = 503
    outcome = NOT_RUN


class UnknownCustomer(Refusal):
    """The bearer key belongs to no customer."""

    code = "unknown_customer"
    status = 401
    outcome = NOT_RUN


class NotPermitted(Refusal):
    """The customer may not use the deployment."""

    code = "not_permitted"
    status = 403
    outcome = NOT_RUN


class UnknownRoute(Refusal):
    """No deployment, service or path has this name."""

    code = "unknown_route"
    status = 404
    outcome = NOT_RUN


class MethodNotAllowed(Refusal):
    """The path exists but does not support this HTTP method."""

    code = "method_not_allowed"
    status = 405
    outcome = NOT_RUN


class QueueFull(Refusal):
    """The customer's queue is full."""

    code = "queue_full"
    status = 429
    outcome = NOT_RUN


class DeadlineUnreachable(Refusal):
    """The first token would arrive after the deadline."""

    code = "deadline_unreachable"
    status = 503
    outcome = NOT_RUN


class NoReadyGroup(Refusal):
    """No group of the deployment is ready."""

    code = "no_ready_group"
    status = 503
    outcome = NOT_RUN


class RateLimited(Refusal):
    """All servers have got as many requests as they state to accept."""

    code = "rate_limited"
    status = 429
    outcome = NOT_RUN


class WarmingUp(Refusal):
    """All instances are cold and have got the requests that they accept."""

    code = "warming_up"
    status = 503
    outcome = NOT_RUN


class UpstreamsPaused(Refusal):
    """All upstreams have stated that they want no requests for some time."""

    code = "upstreams_paused"
    status = 503
    outcome = NOT_RUN


class NodeNotReady(Refusal):
    """The node has no configuration or no current view, or is stopping."""

    code = "node_not_ready"
    status = 503
    outcome = NOT_RUN


class NodeStopping(NodeNotReady):
    """The request may outlast the process; another node can take it."""


class Quarantined(Refusal):
    """The request is suspected of crashing upstreams."""

    code = "quarantined"
    status = 422
    outcome = NOT_RUN


class SuspectedRequest(Refusal):
    """The request was in flight in several groups when they were lost."""

    code = "suspected_request"
    status = 503
    outcome = NOT_RUN


class KeyMissing(Refusal):
    """A non-idempotent call carries no idempotency key."""

    code = "key_missing"
    status = 400
    outcome = NOT_RUN


class KeyExpired(Refusal):
    """The idempotency key is older than the retention."""

    code = "key_expired"
    status = 410
    outcome = NOT_RUN


class KeyReused(Refusal):
    """The idempotency key was used with another request."""

    code = "key_reused"
    status = 422
    outcome = NOT_RUN


class CallInProgress(Refusal):
    """An earlier call with this key has not finished."""

    code = "in_progress"
    status = 409


class OutcomeUnknown(Refusal):
    """An earlier call with this key ended without a recorded answer."""

    code = "outcome_unknown"
    status = 504


class AnswerNotKept(Refusal):
    """The call ran once, and its recorded answer is no longer available."""

    code = "answer_not_kept"
    status = 410
    outcome = RAN


class StoreUnavailable(Refusal):
    """The call needs a claim and the object API is unavailable."""

    code = "store_unavailable"
    status = 503
    outcome = NOT_RUN


class UpstreamUnreachable(Refusal):
    """No upstream accepted a connection, so none received the request."""

    code = "upstream_unreachable"
    status = 502
    outcome = NOT_RUN


class PathLost(UpstreamUnreachable):
    """This node has no path to upstreams, and no other node could tell.

    It is no evidence against the upstream.
    """

    code = "path_lost"
    status = 503


class UpstreamFailed(Refusal):
    """The upstream failed and may have processed the request."""

    code = "upstream_failed"
    status = 502


class RelayLost(UpstreamFailed):
    """The node that served a tunnel ended before the upstream's connection.

    It is no evidence against the upstream.
    """


class UpstreamRefused(Refusal):
    """The upstream reports that it did not run the request."""

    code = "upstream_refused"
    status = 503
    outcome = NOT_RUN


class AnswerTimedOut(Refusal):
    """The upstream did not answer within the timeout of the route."""

    code = "answer_timed_out"
    status = 504


class RetryBudgetExhausted(Refusal):
    """The upstream failed and the retry budget is exhausted."""

    code = "retry_budget_exhausted"
    status = 503


class SlowCaller(Refusal):
    """The caller reads the stream too slowly."""

    code = "slow_caller"
    status = 503


class InternalFailure(Refusal):
    """An unexpected exception occurred in this package."""

    code = "internal"
    status = 500


class InternalRefusal(Refusal):
    """An unexpected exception occurred before the request was sent on."""

    code = "internal_not_run"
    status = 503
    outcome = NOT_RUN


class StoreError(BalsamlugError):
    """Base of object API failures."""


@attrs.define(eq=False)
class StoreConflict(StoreError):
    """The object has another version than expected.

    Attributes:
      version: current version, 0 when the object does not exist.
    """

    version: int = 0


@attrs.define(eq=False)
class StoreRateLimited(StoreError):
    """The object API refuses calls for a limited time."""

    retry_after_ms: int = 0


class StoreOutage(StoreError):
    """The object API is unavailable, or a call failed or timed out."""


class StoreAnswerIncomplete(StoreOutage):
    """An answer began and could not be read to its end.

    It may be too large for this client, or to arrive in time.
    """


class StoreNotFound(StoreError):
    """The object does not exist."""


class StoreHistoryGone(StoreError):
    """The object API no longer has the changes since a revision."""


class StoreValueTooLarge(StoreError):
    """The value exceeds one megabyte."""


@attrs.define(eq=False)
class ProtocolError(BalsamlugError):
    """A peer or upstream sent bytes that violate the protocol.

    Attributes:
      reason: stable one-word label for the counter.
    """

    reason: str = "malformed"


class MessageRejected(ProtocolError):
    """A whole message cannot be used; later messages of its sender may be."""


@attrs.frozen
class ConfigProblem:
    """One problem in the configuration.

    Attributes:
      file: name of the file or text with the problem.
      section: INI section.
      option: INI option, empty when the section itself is wrong.
      message: description of the problem.
      allowed: description of the allowed values.
    """

    file: str
    section: str
    option: str
    message: str
    allowed: str


@attrs.define(eq=False)
class ConfigError(BalsamlugError):
    """The configuration is invalid; carries every problem found."""

    problems: list[ConfigProblem] = attrs.field(factory=list)

    def __str__(self) -> str:
        return "\n".join(
            f"{p.file}: [{p.section}] {p.option}: {p.message}"
            f" (allowed: {p.allowed})"
            for p in self.problems
        )


@attrs.define(eq=False)
class ConfigConflict(BalsamlugError):
    """Another operator has committed a revision in the meantime.

    Attributes:
      expected: newest revision that the operator had read.
      current: current revision.
    """

    expected: int = 0
    current: int = 0


def release_frames(exc: BaseException | None) -> None:
    """Remove the traceback of a handled exception and of its causes.

    A frame that holds the exception in a variable forms a cycle with it, so all
    that the frames hold would stay until the garbage collector runs.
    """
    while exc is not None:
        exc.__traceback__ = None
        exc = exc.__context__
