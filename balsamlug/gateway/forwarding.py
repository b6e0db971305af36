"""Base class for requests that the gateway forwards to upstreams.

Streams and calls of plain services are its two kinds.
"""

from collections.abc import Callable

import attrs

from balsamlug import catalogue as catalogues
from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug.gateway import attempt as attempts
from balsamlug.gateway import context as contexts
from balsamlug.gateway import evidence as evidences
from balsamlug.gateway import frontend
from balsamlug.gateway import messages
from balsamlug.gateway import sent_servers
from balsamlug.router import retries
from balsamlug.router import upstream

# A request is sent within this time of the choice of its upstream. The process
# may be paused meanwhile, and its headers state the time that was left before.
SEND_TIMEOUT_S = attempts.CONNECT_TIMEOUT_S + 0.2


@attrs.define(eq=False, kw_only=True)
class ForwardedRequest:
    """A caller's request that is sent to one upstream after another.

    Attributes:
      service: service of the route that was chosen for the request.
      budget: retries that requests for the service may use.
      evidence: whether the request crashes servers, as far as it is known.
      customer: name of the owner of the key, empty on public routes.
      accepted_s: monotonic time at which the request was complete.
      attempted: whether an attempt was started, which may have sent the
        request.
      sent_attempts: number of attempts that sent the request.
      servers: servers that the request was sent to.
      may_have_run: whether an upstream may have started to run the request.
      history: upstream and outcome of each attempt.
    """

    ctx: contexts.Context
    req: messages.CallerRequest
    responder: frontend.Responder
    route: catalogues.Route
    service: str
    budget: retries.RetryBudget
    customer: str
    accepted_s: float
    deadline_s: float
    evidence: evidences.Evidence
    attempted: bool = False
    sent_attempts: int = 0
    may_have_run: bool = False
    history: list[str] = attrs.field(factory=list)
    servers: sent_servers.SentServers = attrs.field(
        init=False,
        default=attrs.Factory(
            lambda self: sent_servers.SentServers(self.route.max_attempts),
            takes_self=True,
        ),
    )
    _attempt: attempts.Attempt | None = None
    _disconnected: bool = False
    _attempts_without_path: int = 0
    _retry_reserved: bool = False
    # Number of the attempt that was last logged as kept.
    _kept_attempt: int = 0

    async def run(self) -> None:
        """Serve the request until it has ended.

        Raises:
          Refusal: the request cannot be served.
        """
        raise NotImplementedError

    @property
    def _duration_key(self) -> str:
        # A route may be moved to another service, or lead to several.
        return f"{self.route.name}/{self.service}"

    def stop(self) -> None:
        """End the request because the process exits."""
        if self._attempt is not None:
            self._attempt.abort(attempts.Outcome.STOPPED)

    def _fits_grace(self, work_s: float | None) -> bool:
        """Return whether an attempt that starts now may end before a stop.

        Args:
          work_s: see `grace.Grace.admits`.
        """
        return self.ctx.grace.admits(self.accepted_s, self.deadline_s, work_s)

    def _check_grace(self, work_s: float | None) -> None:
        """Refuse the request if it may outlast the grace period.

        Args:
          work_s: see `grace.Grace.admits`.

        Raises:
          NodeStopping: it may.
        """
        if self._fits_grace(work_s):
            return
        grace = self.ctx.grace
        now_s = self.ctx.clock.monotonic()
        self.ctx.log(
            "outlasts_grace",
            request=self.req.metadata.request_id,
            route=self.route.name,
            rest_ms=round(grace.rest_s * clocks.MS_PER_S),
            work_ms=None if work_s is None else round(work_s * clocks.MS_PER_S),
            deadline_ms=round((self.deadline_s - now_s) * clocks.MS_PER_S),
            age_ms=round((now_s - self.accepted_s) * clocks.MS_PER_S),
            sent=self.sent_attempts,
        )
        raise grace.refusal("the request may outlast this node")

    def _check_stop(
        self, answer: attempts.Answer, work_s: float | None
    ) -> None:
        """Refuse the request if its attempt ended because of the stop.

        Raises:
          AnswerTimedOut: the request may have run.
          NodeStopping: it has not run.
        """
        self.may_have_run = self.may_have_run or answer.may_have_run
        if answer.outcome is attempts.Outcome.STOPPED:
            if self.may_have_run:
                raise exceptions.AnswerTimedOut("the node stops")
            raise self.ctx.grace.refusal("the node stops")
        if not answer.sent:
            # The connection may have opened too late.
            self._check_grace(work_s)

    def _on_caller_disconnect(self) -> None:
        self._disconnected = True
        if self._attempt is not None:
            self._attempt.abort(attempts.Outcome.CALLER_GONE)

    def _build_upstream_call(
        self,
        address: str,
        dispatch: messages.Dispatch,
        body: bytes | None,
        may_send: Callable[[], bool] = lambda: True,
        work_s: float | None = None,
    ) -> upstream.Call:
        """Return the call that forwards the request to an upstream.

        Args:
          may_send: checked when the connection is open.
          work_s: see `grace.Grace.admits`.
        """
        headers = self.ctx.headers
        clock = self.ctx.clock
        latest_s = min(self.deadline_s, clock.monotonic() + SEND_TIMEOUT_S)
        return upstream.Call(
            address,
            self.req.method,
            self.req.target,
            headers.forwarded_headers(self.req.headers)
            | headers.dispatch_headers(dispatch),
            body,
            attempts.CONNECT_TIMEOUT_S,
            permitted=lambda: (
                clock.monotonic() < latest_s
                and may_send()
                and self._fits_grace(work_s)
            ),
            connect=self.ctx.connector.connect,
        )

    def _record_sent(self, answer: attempts.Answer) -> None:
        """Count an attempt that has ended, if it was sent."""
        is_disconnected = answer.outcome is attempts.Outcome.PATH_LOST
        self.servers.end(answer.sent, answer.sent and is_disconnected)
        self.sent_attempts += answer.sent
        if answer.response.relay and is_disconnected:
            self.ctx.connector.record_lost(answer.response.relay)

    def _may_repeat(self) -> bool:
        """Return whether another attempt may replace the current one."""
        return self._may_continue() and self.servers.allows_another()

    def _may_continue(self) -> bool:
        """Return whether the current attempt may go on in another one."""
        return self.route.repeatable and not self.evidence.is_quarantined()

    def _may_reserve(self) -> bool:
        """Return whether to search an upstream for an attempt to reserve."""
        return self._may_repeat() and self.budget.has_left()

    def _reserve_retry(self) -> bool:
        """Reserve one retry of the budget and return whether it was allowed."""
        self._retry_reserved = self.budget.spend()
        return self._retry_reserved

    def _spend_retry(self) -> bool:
        """Use the reserved retry or one more of the budget, if allowed."""
        reserved, self._retry_reserved = self._retry_reserved, False
        return reserved or self.budget.spend()

    def _log_kept(self, upstream_name: str, silent_s: float) -> None:
        """Log once that a silent attempt has no other to replace it."""
        attempt = self.sent_attempts + 1
        if self._kept_attempt == attempt:
            return
        self._kept_attempt = attempt
        self.ctx.log(
            "attempt_kept",
            request=self.req.metadata.request_id,
            upstream=upstream_name,
            attempt=attempt,
            silent_ms=round(silent_s * clocks.MS_PER_S),
            repeatable=self.route.repeatable,
        )

    def _is_last_without_path(self, answer: attempts.Answer) -> bool:
        """Count an attempt that had no path; return whether none may follow.

        Another upstream could be reached only by chance.
        """
        self._attempts_without_path += (
            answer.outcome is attempts.Outcome.NO_PATH
        )
        return self._attempts_without_path >= attempts.MAX_ATTEMPTS_WITHOUT_PATH

    def _forward_answer(self, answer: attempts.Answer) -> None:
        """Send the complete answer of an upstream to the caller."""
        returned_headers = self.ctx.headers.returned_headers(
            answer.response.headers
        )
        self.responder.answer(answer.status, returned_headers, answer.body)
