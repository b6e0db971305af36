"""Serve one call of a plain service."""

import asyncio
import random

import attrs

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug import tables
from balsamlug.gateway import attempt as attempts
from balsamlug.gateway import forwarding
from balsamlug.gateway import messages
from balsamlug.router import upstream

Ending = attempts.Ending
# An idempotent call is given to another upstream when the first one has not
# answered within this many target times.
HEDGE_TARGETS = 1.0
# A failed upstream is the last choice for this time.
FAULT_HOLD_S = 2.0
NOT_RUN_RETRY_MS = 200
SERVER_ERROR = 500


@attrs.define
class Faults:
    """When each upstream of a plain service failed last."""

    _clock: clocks.Clock
    _since_s: dict[str, float] = attrs.field(factory=dict)

    def note(self, instance: str) -> None:
        """Note a failure."""
        self._since_s[instance] = self._clock.monotonic()

    def is_recent(self, instance: str) -> bool:
        """Return whether an upstream failed a moment ago."""
        since_s = self._since_s.get(instance)
        if since_s is None:
            return False
        return self._clock.monotonic() - since_s < FAULT_HOLD_S


@attrs.frozen
class Option:
    """An upstream that a call may be sent to.

    Attributes:
      present: calls in flight there, from all nodes.
      near: whether it is in the failure domain of this node.
      faulty: whether it failed a moment ago.
    """

    instance: tables.Instance
    present: int
    near: bool
    faulty: bool


def choose(options: list[Option], rng: random.Random) -> tables.Instance:
    """Return the sound upstream with the fewest calls for each slot.

    Raises:
      NoReadyGroup: there is no upstream.
    """
    if not options:
        raise exceptions.NoReadyGroup(
            "no upstream of the service is listed", NOT_RUN_RETRY_MS
        )

    def key(option: Option) -> tuple:
        slots = max(1, option.instance.slots)
        full = option.present // slots
        return (
            option.faulty,
            full,
            not option.near,
            option.present,
            rng.random(),
        )

    return min(options, key=key).instance


@attrs.define(eq=False, kw_only=True)
class ServiceCall(forwarding.Forwarded):
    """One call of a caller to a plain service."""

    faults: Faults
    failure_domain: str
    service: str
    _tried: set[str] = attrs.field(factory=set)

    async def run(self) -> None:
        """Return when an answer has been passed on.

        Raises:
          Refusal: the call cannot be served.
        """
        self.responder.on_close(self._caller_gone)
        while not self._gone:
            instance = choose(self._options(), self.ctx.rng)
            answer = await self._try(instance)
            self.history.append(f"{instance.id}:{answer.ending}")
            if answer.ending is Ending.CALLER_GONE or self._gone:
                return
            if answer.ending is Ending.ANSWERED and not self._again(answer):
                self._pass_on(answer)
                return
            self._prepare_next(instance, answer)

    def _options(self) -> list[Option]:
        now_s = self.ctx.clock.monotonic()
        return [
            Option(
                instance,
                self.ctx.loads.total(instance.id, now_s),
                instance.failure_domain == self.failure_domain,
                self.faults.is_recent(instance.id),
            )
            for instance in self.ctx.fleet.instances.values()
            if instance.service == self.service
            and instance.state is tables.InstanceState.LIVE
            and instance.id not in self._tried
        ]

    async def _try(self, instance: tables.Instance) -> attempts.Answer:
        attempt = attempts.Attempt(self.ctx.headers, self.req.facts.request_id)
        self._attempt = attempt
        self._tried.add(instance.id)
        self.ctx.loads.started(instance.id)
        timer = asyncio.get_running_loop().call_later(
            self._time_s(), attempt.abort, Ending.TIMED_OUT
        )
        self.ctx.log(
            "call_placed",
            request=self.req.facts.request_id,
            instance=instance.id,
            attempt=self.sent + 1,
        )
        try:
            answer = await attempt.run(self._call(instance))
        finally:
            timer.cancel()
            self.ctx.loads.ended(instance.id)
            self._attempt = None
        if answer.sent:
            self.sent += 1
        return answer

    def _left_s(self) -> float:
        return max(0.0, self.deadline_s - self.ctx.clock.monotonic())

    def _time_s(self) -> float:
        """Return how long this upstream may take."""
        left_s = self._left_s()
        more = self.sent + 1 < self.route.max_attempts
        if not more or not self.route.repeatable:
            return left_s
        hedge_s = HEDGE_TARGETS * self.route.target_ms / clocks.MS_PER_S
        return min(left_s, hedge_s)

    def _call(self, instance: tables.Instance) -> upstream.Call:
        dispatch = messages.Dispatch(
            remaining_ms=self._left_s() * clocks.MS_PER_S,
            instance=instance.id,
            customer=self.customer,
        )
        body = self.req.body
        has_length = "Content-Length" in self.req.headers
        return self._forwarded(
            instance.address, dispatch, body if body or has_length else None
        )

    def _again(self, answer: attempts.Answer) -> bool:
        """Return whether a failed run may be worth another one."""
        return (
            answer.status >= SERVER_ERROR
            and self.route.repeatable
            and self.sent < self.route.max_attempts
            and bool(self._options())
            and self.ctx.budget.spend()
        )

    def _prepare_next(
        self, instance: tables.Instance, answer: attempts.Answer
    ) -> None:
        self.may_have_run = self.may_have_run or answer.may_have_run
        if answer.ending is not Ending.ANSWERED:
            self.faults.note(instance.id)
        self.ctx.log(
            "attempt_failed",
            request=self.req.facts.request_id,
            instance=instance.id,
            ending=answer.ending,
            detail=answer.detail,
            sent=self.sent,
        )
        if answer.ending is Ending.ANSWERED:
            return
        self._check_retry(answer)
        self.ctx.metrics.retries.labels(str(answer.ending)).inc()

    def _check_retry(self, answer: attempts.Answer) -> None:
        refusal = self._refusal(answer)
        if self.may_have_run and not self.route.repeatable:
            raise refusal
        if not self._left_s() or self.sent >= self.route.max_attempts:
            raise refusal
        if self.sent and not self.ctx.budget.spend():
            raise refusal

    def _refusal(self, answer: attempts.Answer) -> exceptions.Refusal:
        if not self.may_have_run:
            return exceptions.UpstreamRefused(answer.detail, NOT_RUN_RETRY_MS)
        if answer.ending is Ending.TIMED_OUT:
            return exceptions.AnswerTimedOut("the upstream did not answer")
        return exceptions.UpstreamFailed(answer.detail)
