"""Serve one stream, resumed on another group when its group fails."""

import asyncio
import functools

import attrs

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug.gateway import attempt as attempts
from balsamlug.gateway import event_forwarding
from balsamlug.gateway import failure_detector
from balsamlug.gateway import group_choice
from balsamlug.gateway import messages
from balsamlug.gateway import placement
from balsamlug.router import upstream

Outcome = attempts.Outcome
# Callers abandon a stream after two seconds without an event. Placement of an
# interrupted stream is retried until this time since its last event.
RESUME_TIMEOUT_S = 1.7
NOT_RUN_RETRY_MS = 300
# Outcomes after which the group gets no new requests during its cooldown.
_COOLDOWN_OUTCOMES = frozenset(
    {Outcome.UNREACHABLE, Outcome.BROKEN, Outcome.GROUP_LOST, Outcome.NOT_RUN}
)
# Outcomes that may be caused by the loss of the group.
_SUSPICIOUS_OUTCOMES = frozenset(
    {Outcome.UNREACHABLE, Outcome.BROKEN, Outcome.GROUP_LOST}
)


@attrs.define(eq=False, kw_only=True)
class StreamRequest(event_forwarding.EventForwardingRequest):
    """One stream of a caller.

    Attributes:
      _attempt_modelled_ms: time for the attempt by the model of its group.
    """

    _attempt_modelled_ms: float = 0.0

    async def run(self) -> None:
        """Serve the stream until it has been forwarded completely.

        Raises:
          Refusal: the request cannot be served or completed.
        """
        self._splitter.last_id = self.req.metadata.last_event
        self.responder.on_close(self._on_caller_disconnect)
        while not self._disconnected:
            placed = await self._place()
            answer = await self._send_attempt(placed)
            self._check_ending(answer)
            self.history.append(f"{placed.candidate.group}:{answer.outcome}")
            if self._finish(answer):
                return
            self._check_stop(answer, self._work_s(placed.candidate))
            self._prepare_retry(placed, answer)
            if answer.outcome is Outcome.NO_PATH:
                await asyncio.sleep(group_choice.PLACEMENT_RETRY_S)

    async def _place(self) -> placement.Placement:
        """Return the next group; an interrupted stream waits for one."""
        while True:
            try:
                return self._choose()
            except exceptions.NodeStopping:
                raise
            except exceptions.Refusal:
                if (
                    not self.responder.headers_sent
                    or not self._may_wait_for_group()
                ):
                    raise
            await asyncio.sleep(group_choice.PLACEMENT_RETRY_S)

    def _may_wait_for_group(self) -> bool:
        now_s = self.ctx.clock.monotonic()
        silent_s = now_s - self._last_event_s
        may_wait = silent_s < RESUME_TIMEOUT_S and self.ctx.grace.rest_s > 0
        return may_wait and not self._disconnected

    def _may_wait_for_path(self) -> bool:
        return self.responder.headers_sent and self._may_wait_for_group()

    async def _send_attempt(
        self, placed: placement.Placement
    ) -> attempts.Answer:
        candidate = placed.candidate
        limits = self.ctx.rate_limits.table
        attempt = attempts.Attempt(
            self.ctx.headers,
            self.req.metadata.request_id,
            self._on_stream_data,
            self.ctx.buffers,
            accepts_stream=True,
            on_limit=functools.partial(
                limits.observe, candidate.limit_key, name=candidate.head
            ),
            on_notice=functools.partial(
                self.ctx.notices.observe,
                candidate.limit_key,
                name=candidate.head,
            ),
        )
        self._attempt = attempt
        self._candidate = candidate
        self._start_evidence(candidate)
        self.servers.start(candidate.limit_key)
        self._event_chunks = 0
        self._was_found_silent = False
        self._last_activity_s = self.ctx.clock.monotonic()
        self._attempt_modelled_ms = self._modelled_ms(candidate)
        self._attempt_started_s = self._last_activity_s
        self._attempt_wait_ms = placed.wait_ms
        self._attempt_is_late = placed.urgency >= placement.URGENCY_RETRIED
        self._attempt_target_ms = self._target_left_ms()
        self._last_event_s = self._last_event_s or self._last_activity_s
        self._silence_limit_s = failure_detector.first_event_timeout_s(
            placed.wait_ms / clocks.MS_PER_S
        )
        self.ctx.loads.record_start(candidate.group)
        limits.record_sent(candidate.limit_key)
        self._count_as_waiting(placed)
        self._count_if_bound(candidate)
        watch = asyncio.create_task(self._watch(attempt, candidate))
        self.attempted = True
        try:
            answer = await attempt.run(self._build_call(placed))
        finally:
            watch.cancel()
            self.ctx.loads.record_end(candidate.group)
            self._stop_waiting()
            self._stop_bound()
            self._attempt = None
        if await self._is_broken_by_path(answer, candidate):
            answer.outcome = Outcome.PATH_LOST
        self._record_sent(answer)
        self.ctx.warmup.settle(self._permit, answer.counts)
        if answer.outcome is Outcome.NOT_RUN and answer.counts:
            self.ctx.ramps.record_refused(candidate.key)
        if not answer.sent:
            limits.withdraw(candidate.limit_key)
        if answer.status:
            self.ctx.detector.record_response()
        return answer

    def _start_evidence(self, candidate: placement.Candidate) -> None:
        head = self.ctx.fleet.instances.get(candidate.head)
        has_crashed = functools.partial(
            self.ctx.detector.has_head_crashed,
            self.ctx.groups.group(candidate.group),
            head.incarnation if head is not None else "",
        )
        self.evidence.start(candidate.group, candidate.generation, has_crashed)

    def _build_call(self, placed: placement.Placement) -> upstream.Call:
        dispatch = messages.Dispatch(
            remaining_ms=self._remaining_ms(),
            instance=placed.candidate.head,
            customer=self.customer,
            urgency=placed.urgency,
            last_event=self._splitter.last_id,
        )
        body = self.req.body or None
        return self._build_upstream_call(
            placed.candidate.address,
            dispatch,
            body,
            lambda: (
                self.ctx.groups.may_send(placed.candidate)
                and self.ctx.notices.accepts(placed.candidate.limit_key)
            ),
            self._work_s(placed.candidate),
        )

    def _check_ending(self, answer: attempts.Answer) -> None:
        """Classify a stream that ended inside an event as broken off."""
        if (
            answer.outcome is Outcome.ANSWERED
            and answer.is_success
            and not self._splitter.is_complete
        ):
            answer.outcome = Outcome.BROKEN
            answer.detail = "the stream ended inside an event"

    def _finish(self, answer: attempts.Answer) -> bool:
        """Forward a final answer and return whether the request has ended."""
        if answer.outcome is Outcome.CALLER_GONE or self._disconnected:
            return True
        if answer.outcome is not Outcome.ANSWERED:
            return False
        if not answer.is_success:
            return self._forward_failure(answer)
        if not self.responder.headers_sent:
            self._begin_response(answer.response)
        self.evidence.record_proof()
        self._record_duration()
        self.responder.finish()
        return True

    def _record_duration(self) -> None:
        """Record how long the attempt took, relative to its model."""
        took_s = self.ctx.clock.monotonic() - self._attempt_started_s
        if self.req.metadata.answer_tokens:
            factor = took_s * clocks.MS_PER_S / self._attempt_modelled_ms
            self.ctx.durations.record(self._duration_key, factor)

    def _forward_failure(self, answer: attempts.Answer) -> bool:
        if self.responder.headers_sent:
            return False
        self._forward_answer(answer)
        return True

    def _prepare_retry(
        self, placed: placement.Placement, answer: attempts.Answer
    ) -> None:
        """Prepare an attempt on another group.

        Raises:
          Refusal: the request must not be sent to another group.
        """
        candidate = placed.candidate
        self.may_have_run = self.may_have_run or answer.may_have_run
        if answer.outcome in _SUSPICIOUS_OUTCOMES:
            self._check_group(candidate)
            if answer.may_have_run:
                self.evidence.record_break()
        if answer.outcome is Outcome.NO_PATH:
            self._excluded.add(candidate.group)
        if answer.outcome in _COOLDOWN_OUTCOMES:
            self._excluded.add(candidate.group)
            self.ctx.groups.record_failure(
                candidate.group, candidate.generation
            )
        self.ctx.log(
            "attempt_failed",
            request=self.req.metadata.request_id,
            group=candidate.group,
            generation=candidate.generation,
            ending=answer.outcome,
            detail=answer.detail,
            member_at_fault=answer.metadata.member_at_fault,
            last_event=self._splitter.last_id,
            relay=answer.response.relay,
            sent=self.sent_attempts,
            servers=self.servers.count,
        )
        self._check_retry(answer)
        self.ctx.metrics.retries.labels(str(answer.outcome)).inc()
        self._splitter.reset()

    def _check_group(self, candidate: placement.Candidate) -> None:
        """Check in the background whether the group was lost."""
        check = asyncio.create_task(self._check_group_loss(candidate))
        self.ctx.background.add(check)
        check.add_done_callback(self.ctx.background.discard)

    async def _check_group_loss(self, candidate: placement.Candidate) -> None:
        group = self.ctx.groups.group(candidate.group)
        if group is not None and group.generation == candidate.generation:
            await self.ctx.detector.is_lost(group, "an attempt failed")

    def _check_retry(self, answer: attempts.Answer) -> None:
        refusal = _refusal(answer, self.may_have_run)
        if self._is_last_without_path(answer) and not self._may_wait_for_path():
            raise refusal
        if not self.responder.headers_sent and self.evidence.is_quarantined():
            raise refusal
        if self.may_have_run and not self.route.repeatable:
            raise refusal
        if answer.outcome is Outcome.TIMED_OUT:
            raise refusal
        if not self.servers.allows_another():
            raise refusal
        if answer.sent and not self._spend_retry():
            raise refusal


def _refusal(answer: attempts.Answer, may_have_run: bool) -> exceptions.Refusal:
    if may_have_run and answer.outcome is Outcome.TIMED_OUT:
        return exceptions.AnswerTimedOut("the time of the request is over")
    if may_have_run:
        return exceptions.UpstreamFailed(answer.detail)
    return exceptions.UpstreamRefused(answer.detail, NOT_RUN_RETRY_MS)
