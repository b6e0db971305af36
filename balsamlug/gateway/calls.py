"""Forward one call to the instances of a plain service.

A plain service has no groups: any live instance can serve a call. A failed
call is retried on another instance within the limits of its route.
"""

import asyncio
import functools
import random

import attrs

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug import limit_table
from balsamlug import tables
from balsamlug.gateway import attempt as attempts
from balsamlug.gateway import forwarding
from balsamlug.gateway import messages
from balsamlug.router import upstream

Outcome = attempts.Outcome
# An idempotent call is retried on another upstream when the first one has not
# answered within this multiple of the target latency of the route.
HEDGE_TARGET_FACTOR = 1.0
MIN_HEDGE_S = 0.01
# An upstream that failed is chosen only as a last resort for this time.
FAILURE_COOLDOWN_S = 2.0
NOT_RUN_RETRY_MS = 200
SERVER_ERROR = 500
# Outcomes that may be caused by the end of the instance.
_SUSPICIOUS_OUTCOMES = frozenset({Outcome.BROKEN, Outcome.TIMED_OUT})
# Outcomes that show no fault of the instance.
_INNOCENT_OUTCOMES = frozenset(
    {Outcome.ANSWERED, Outcome.NO_PATH, Outcome.PATH_LOST}
)


@attrs.define
class RecentFailures:
    """Time of the last failure of each upstream of a plain service."""

    _clock: clocks.Clock
    _failed_s: dict[str, float] = attrs.field(factory=dict)

    def record(self, instance: str) -> None:
        """Record a failure of an instance."""
        self._failed_s[instance] = self._clock.monotonic()

    def is_recent(self, instance: str) -> bool:
        """Return whether an instance failed within the cooldown."""
        since_s = self._failed_s.get(instance)
        if since_s is None:
            return False
        return self._clock.monotonic() - since_s < FAILURE_COOLDOWN_S


@attrs.frozen
class CallCandidate:
    """An instance that a call may be sent to.

    Attributes:
      in_flight: calls in flight at the instance, from all nodes.
      same_domain: whether it is in the failure domain of this node.
      recently_failed: whether it failed within the cooldown.
    """

    instance: tables.Instance
    in_flight: int
    same_domain: bool
    recently_failed: bool


def choose(
    candidates: list[CallCandidate], rng: random.Random
) -> tables.Instance:
    """Return the healthy instance with the fewest calls per slot.

    Raises:
      NoReadyGroup: there are no candidates.
    """
    if not candidates:
        raise exceptions.NoReadyGroup(
            "no upstream of the service is listed", NOT_RUN_RETRY_MS
        )

    def key(candidate: CallCandidate) -> tuple:
        slots = max(1, candidate.instance.slots)
        full = candidate.in_flight // slots
        return (
            candidate.recently_failed,
            full,
            not candidate.same_domain,
            candidate.in_flight,
            rng.random(),
        )

    return min(candidates, key=key).instance


@attrs.define(eq=False, kw_only=True)
class ServiceCall(forwarding.ForwardedRequest):
    """One call from a caller to a plain service."""

    recent_failures: RecentFailures
    failure_domain: str
    _tried: set[str] = attrs.field(factory=set)
    # Instance of the attempt that replaces a late one.
    _reserved: tables.Instance | None = None
    _timer: asyncio.TimerHandle | None = None
    _instance: str = ""
    _attempt_started_s: float = 0.0

    async def run(self) -> None:
        """Forward the call until an answer has been returned to the caller.

        Raises:
          Refusal: the call cannot be served.
        """
        self.responder.on_close(self._on_caller_disconnect)
        started_s = self.ctx.clock.monotonic()
        while not self._disconnected:
            instance, self._reserved = self._reserved, None
            if instance is None or not self.ctx.warmup.may_take(
                limit_table.instance_key(instance)
            ):
                instance = choose(self._accepting(), self.ctx.rng)
            self._check_grace(self._work_s())
            self.evidence.admit()
            answer = await self._send_attempt(instance)
            self.history.append(f"{instance.id}:{answer.outcome}")
            if answer.outcome is Outcome.CALLER_GONE or self._disconnected:
                return
            if answer.outcome is Outcome.ANSWERED and not self._should_retry(
                answer
            ):
                if answer.is_success:
                    self.evidence.record_answer()
                self._record_duration(started_s)
                self._forward_answer(answer)
                return
            self._check_stop(answer, self._work_s())
            self._prepare_retry(instance, answer)

    def _candidates(self) -> list[CallCandidate]:
        now_s = self.ctx.clock.monotonic()
        return [
            CallCandidate(
                instance,
                self.ctx.loads.total(instance.id, now_s),
                instance.failure_domain == self.failure_domain,
                self.recent_failures.is_recent(instance.id),
            )
            for instance in self.ctx.fleet.instances.values()
            if instance.service == self.service
            and instance.state is tables.InstanceState.LIVE
            and instance.id not in self._tried
            and not self.ctx.exclusion.excludes(instance)
            and self.servers.allows(limit_table.instance_key(instance))
        ]

    def _accepting(self) -> list[CallCandidate]:
        """Return the candidates that have not reached their rate limits."""
        candidates = self.ctx.notices.accepting(self._candidates(), _key_of)
        return self.ctx.rate_limits.accepting(
            self.ctx.warmup.accepting(candidates, _key_of),
            _key_of,
            self.service,
            self.route.priority,
        )

    async def _send_attempt(self, instance: tables.Instance) -> attempts.Answer:
        limit_key = limit_table.instance_key(instance)
        limits = self.ctx.rate_limits.table
        attempt = attempts.Attempt(
            self.ctx.headers,
            self.req.metadata.request_id,
            buffers=self.ctx.buffers,
            on_limit=functools.partial(
                limits.observe, limit_key, name=instance.id
            ),
            on_notice=functools.partial(
                self.ctx.notices.observe, limit_key, name=instance.id
            ),
        )
        self._attempt = attempt
        self._tried.add(instance.id)
        permit = self.ctx.warmup.take(limit_key)
        self.servers.start(limit_key)
        self.evidence.start(
            instance.id,
            instance.incarnation,
            functools.partial(self.ctx.endings.has_ended, instance),
        )
        self.ctx.loads.record_start(instance.id)
        limits.record_sent(limit_key)
        self._instance = instance.id
        self._attempt_started_s = self.ctx.clock.monotonic()
        self._start_timer(attempt)
        self.ctx.log(
            "call_placed",
            request=self.req.metadata.request_id,
            instance=instance.id,
            attempt=self.sent_attempts + 1,
        )
        self.attempted = True
        try:
            answer = await attempt.run(self._build_call(instance))
        finally:
            self._timer.cancel()
            self.ctx.loads.record_end(instance.id)
            self._attempt = None
        self._record_sent(answer)
        self.ctx.warmup.settle(permit, answer.counts)
        if answer.outcome is Outcome.PATH_LOST:
            self._tried.discard(instance.id)
        if not answer.sent:
            limits.withdraw(limit_key)
        if answer.status:
            self.ctx.detector.record_response()
        return answer

    def _work_s(self) -> float | None:
        """Return the longest time that the call may take, None if unknown."""
        return self.ctx.durations.upper(self._duration_key)

    def _record_duration(self, started_s: float) -> None:
        took_s = self.ctx.clock.monotonic() - started_s
        self.ctx.durations.record(self._duration_key, took_s)

    def _remaining_s(self) -> float:
        return max(0.0, self.deadline_s - self.ctx.clock.monotonic())

    def _start_timer(self, attempt: attempts.Attempt) -> None:
        delay_s = self._remaining_s()
        if self._may_repeat():
            hedge_s = (
                HEDGE_TARGET_FACTOR * self.route.target_ms / clocks.MS_PER_S
            )
            delay_s = min(delay_s, max(hedge_s, MIN_HEDGE_S))
        self._timer = asyncio.get_running_loop().call_later(
            delay_s, self._on_timer, attempt
        )

    def _on_timer(self, attempt: attempts.Attempt) -> None:
        """Abort a late attempt if its time is over or another may replace it.

        An upstream that is silent for a while may still answer in time.
        """
        # The deadline must hold also after a defect in the search.
        self._start_timer(attempt)
        if self._remaining_s() > 0 and not self._reserve_other_instance():
            now_s = self.ctx.clock.monotonic()
            self._log_kept(self._instance, now_s - self._attempt_started_s)
            return
        self._timer.cancel()
        attempt.abort(Outcome.TIMED_OUT)

    def _reserve_other_instance(self) -> bool:
        """Reserve an attempt elsewhere and return whether one may follow."""
        if not (self._may_reserve() and self._fits_grace(self._work_s())):
            return False
        try:
            instance = choose(self._accepting(), self.ctx.rng)
        except exceptions.Refusal:
            return False
        if not self._reserve_retry():
            return False
        self._reserved = instance
        return True

    def _build_call(self, instance: tables.Instance) -> upstream.Call:
        dispatch = messages.Dispatch(
            remaining_ms=self._remaining_s() * clocks.MS_PER_S,
            instance=instance.id,
            customer=self.customer,
        )
        body = self.req.body
        has_length = "Content-Length" in self.req.headers
        return self._build_upstream_call(
            instance.address,
            dispatch,
            body if body or has_length else None,
            functools.partial(self._may_send, instance),
            self._work_s(),
        )

    def _may_send(self, instance: tables.Instance) -> bool:
        key = limit_table.instance_key(instance)
        is_evacuated = self.ctx.exclusion.excludes(instance)
        return not is_evacuated and self.ctx.notices.accepts(key)

    def _should_retry(self, answer: attempts.Answer) -> bool:
        """Return whether a server error is retried on another instance."""
        return (
            answer.status >= SERVER_ERROR
            and self.route.repeatable
            and self.servers.allows_another()
            and self._fits_grace(self._work_s())
            and any(self._accepts(_key_of(c)) for c in self._candidates())
            and self.budget.spend()
        )

    def _accepts(self, key: bytes) -> bool:
        """Return whether an instance with this key may be sent a call now."""
        accepts = self.ctx.notices.accepts(key)
        return accepts and self.ctx.warmup.may_take(key)

    def _prepare_retry(
        self, instance: tables.Instance, answer: attempts.Answer
    ) -> None:
        self.may_have_run = self.may_have_run or answer.may_have_run
        if answer.outcome not in _INNOCENT_OUTCOMES:
            self.recent_failures.record(instance.id)
        self.ctx.log(
            "attempt_failed",
            request=self.req.metadata.request_id,
            instance=instance.id,
            ending=answer.outcome,
            detail=answer.detail,
            relay=answer.response.relay,
            sent=self.sent_attempts,
            servers=self.servers.count,
        )
        if answer.outcome is Outcome.ANSWERED:
            return
        if answer.outcome in _SUSPICIOUS_OUTCOMES and answer.may_have_run:
            self.evidence.record_break()
        self._check_retry(answer)
        self.ctx.metrics.retries.labels(str(answer.outcome)).inc()

    def _check_retry(self, answer: attempts.Answer) -> None:
        refusal = self._refusal(answer)
        if self.evidence.is_quarantined():
            raise refusal
        if self.may_have_run and not self.route.repeatable:
            raise refusal
        if not self._remaining_s() or not self.servers.allows_another():
            raise refusal
        if self._is_last_without_path(answer):
            raise refusal
        if answer.sent and not self._spend_retry():
            raise refusal

    def _refusal(self, answer: attempts.Answer) -> exceptions.Refusal:
        if not self.may_have_run:
            return exceptions.UpstreamRefused(answer.detail, NOT_RUN_RETRY_MS)
        if answer.outcome is Outcome.TIMED_OUT:
            return exceptions.AnswerTimedOut("the upstream did not answer")
        return exceptions.UpstreamFailed(answer.detail)


def _key_of(candidate: CallCandidate) -> bytes:
    return limit_table.instance_key(candidate.instance)
