"""Serve one stream, resumed on another group when its group fails."""

import asyncio
from collections.abc import Awaitable
import functools

import attrs
import eliot

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug import tables
from balsamlug.gateway import attempt as attempts
from balsamlug.gateway import events
from balsamlug.gateway import failure_detector
from balsamlug.gateway import group_choice
from balsamlug.gateway import loads
from balsamlug.gateway import messages
from balsamlug.gateway import placement
from balsamlug.router import upstream

Outcome = attempts.Outcome
# Callers abandon a stream after two seconds without an event. Placement of an
# interrupted stream is retried until this time since its last event.
RESUME_TIMEOUT_S = 1.7
PLACEMENT_RETRY_S = 0.1
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
class StreamRequest(group_choice.PlacedRequest):
    """One stream of a caller.

    Attributes:
      _attempt_modelled_ms: time for the attempt by the model of its group.
      _attempt_wait_ms, _attempt_target_ms: expected time to the first event of
        the attempt, and the time after which it is late.
      _attempt_is_late: whether the attempt waits behind those on time.
      _event_chunks: number of event chunks received in the current attempt.
      _last_event_s: time of the last event of any attempt.
      _last_activity_s: start of the current attempt, or its last event.
      _silence_limit_s: silence after which the group is probed.
      _was_found_silent: whether a member of the group was unresponsive since
        the last event of the attempt.
    """

    first_event_s: float | None = None
    _splitter: events.EventSplitter = attrs.field(factory=events.EventSplitter)
    _candidate: placement.Candidate | None = None
    _event_chunks: int = 0
    _last_event_s: float = 0.0
    _last_activity_s: float = 0.0
    _attempt_started_s: float = 0.0
    _attempt_modelled_ms: float = 0.0
    _attempt_wait_ms: float = 0.0
    _attempt_target_ms: float = 0.0
    _attempt_is_late: bool = False
    _silence_limit_s: float = failure_detector.SILENCE_TIMEOUT_S
    _was_found_silent: bool = False
    # Key in `Loads` while this request waits behind others with low urgency.
    _waiting_key: str = ""
    # Key in `Loads` while no other attempt may follow the current one.
    _bound_key: str = ""

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
                await asyncio.sleep(PLACEMENT_RETRY_S)

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
            await asyncio.sleep(PLACEMENT_RETRY_S)

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

    async def _is_broken_by_path(
        self, answer: attempts.Answer, candidate: placement.Candidate
    ) -> bool:
        """Return whether a path broke off an attempt that none may follow."""
        is_last = not self.servers.allows_another()
        is_cut = (
            answer.outcome is Outcome.BROKEN and not answer.response.complete
        )
        if not (is_last and is_cut and self._may_continue()):
            return False
        connector = self.ctx.connector
        if relay := answer.response.relay:
            return await connector.is_relay_lost(relay, candidate.address)
        now_s = self.ctx.clock.monotonic()
        return not await connector.monitor.is_up(candidate.address, now_s)

    def _start_evidence(self, candidate: placement.Candidate) -> None:
        head = self.ctx.fleet.instances.get(candidate.head)
        has_crashed = functools.partial(
            self.ctx.detector.has_head_crashed,
            self.ctx.groups.group(candidate.group),
            head.incarnation if head is not None else "",
        )
        self.evidence.start(candidate.group, candidate.generation, has_crashed)

    def _count_as_waiting(self, placed: placement.Placement) -> None:
        """Count a low-urgency attempt as waiting until its first event."""
        if self._attempt_is_late:
            self._waiting_key = loads.waiting_key(placed.candidate.group)
            self.ctx.loads.record_start(self._waiting_key)

    def _count_if_bound(self, candidate: placement.Candidate) -> None:
        """Count the attempt if none may follow it now."""
        if not self._bound_key and not self._may_reserve():
            self._bound_key = loads.bound_key(candidate.group)
            self.ctx.loads.record_start(self._bound_key)

    def _stop_bound(self) -> None:
        if self._bound_key:
            self.ctx.loads.record_end(self._bound_key)
            self._bound_key = ""

    def _stop_waiting(self) -> None:
        if self._waiting_key:
            self.ctx.loads.record_end(self._waiting_key)
            self._waiting_key = ""

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

    async def _watch(
        self, attempt: attempts.Attempt, candidate: placement.Candidate
    ) -> None:
        """Abort the attempt at the deadline or when its group is lost."""
        while True:
            now_s = self.ctx.clock.monotonic()
            if now_s >= self.deadline_s:
                attempt.abort(Outcome.TIMED_OUT)
                return
            silent_s = now_s - self._last_activity_s
            if silent_s >= self._silence_limit_s:
                try:
                    outcome = await self._check_silence(
                        attempt, candidate, silent_s
                    )
                except Exception:  # The deadline must hold after a defect.
                    eliot.write_traceback()
                    outcome = None
                    self._silence_limit_s = (
                        silent_s + failure_detector.PROBE_INTERVAL_S
                    )
                if outcome is not None:
                    attempt.abort(outcome)
                    return
                continue
            delay_s = min(
                self._silence_limit_s - silent_s, self.deadline_s - now_s
            )
            await asyncio.sleep(max(delay_s, 0.01))

    async def _check_silence(
        self,
        attempt: attempts.Attempt,
        candidate: placement.Candidate,
        silent_s: float,
    ) -> Outcome | None:
        """Return why to abort a silent attempt, None to continue it."""
        active_s = self._last_activity_s
        reason = f"no event for {silent_s * clocks.MS_PER_S:.0f} ms"
        group = self._assigned_group(candidate)
        is_lost = group is None or await self.ctx.detector.is_lost(
            group, reason
        )
        other = None
        if is_lost and self._assigned_group(candidate) is not None:
            other = await self._find_responding_group(candidate)
        is_path_lost = not is_lost and await self._is_path_lost(
            attempt, candidate
        )
        if self._last_activity_s != active_s:
            if is_lost:
                self._report_progress(candidate)
            return None
        self._was_found_silent = is_lost
        if self._assigned_group(candidate) is None:
            return Outcome.GROUP_LOST
        if other is not None and self._reserve(other):
            return Outcome.GROUP_LOST
        if (
            is_path_lost
            and self._has_place(candidate)
            and self._reserve_retry()
        ):
            return Outcome.PATH_LOST
        if is_lost:
            self._count_if_bound(candidate)
            self._log_kept(candidate.group, silent_s)
        delay_s = (
            PLACEMENT_RETRY_S if is_lost else failure_detector.PROBE_INTERVAL_S
        )
        self._silence_limit_s = silent_s + delay_s
        return None

    def _report_progress(self, candidate: placement.Candidate) -> None:
        """Report an event of a group that was found silent."""
        self._was_found_silent = False
        group = self._assigned_group(candidate)
        if group is not None:
            self.ctx.detector.record_progress(group)

    async def _find_responding_group(
        self, candidate: placement.Candidate
    ) -> placement.Placement | None:
        """Return another group, whose members answer, for a silent attempt.

        Groups that fall silent at the same moment are not all known at once.
        """
        placed = self._find_other_group(candidate)
        if placed is None:
            return None
        group = self._assigned_group(placed.candidate)
        if group is None or await self.ctx.detector.is_lost(
            group, "a stream may move there"
        ):
            return None
        return placed

    def _assigned_group(
        self, candidate: placement.Candidate
    ) -> tables.Group | None:
        """Return the group of a candidate unless it was formed again."""
        group = self.ctx.groups.group(candidate.group)
        is_same = group is not None and group.generation == candidate.generation
        return group if is_same else None

    async def _is_path_lost(
        self, attempt: attempts.Attempt, candidate: placement.Candidate
    ) -> bool:
        """Return whether a silent attempt may have lost only its connection."""
        connector = self.ctx.connector
        if not attempt.relay:
            return connector.monitor.lost_s is not None
        return await connector.is_relay_lost(attempt.relay, candidate.address)

    def _has_place(self, candidate: placement.Candidate) -> bool:
        """Return whether a group takes the rest of a disconnected attempt."""
        if not self._may_continue():
            return False
        open_groups = self.ctx.notices.accepting(
            self.ctx.groups.candidates(
                self.req.metadata.model, frozenset(self._excluded)
            ),
            lambda c: c.limit_key,
        )
        return (
            any(c.key == candidate.key for c in open_groups)
            or self._find_other_group(candidate) is not None
        )

    def _on_stream_data(
        self, resp: upstream.Response, data: bytes
    ) -> Awaitable[None] | None:
        self.ctx.detector.record_response()
        events_data = self._splitter.feed(data)
        if self._splitter.error:
            self._attempt.abort(Outcome.BROKEN)
        if not events_data:
            return None
        if self._splitter.progressed:
            self._record_event()
        if not self.responder.headers_sent:
            self._begin_response(resp)
        return self.responder.write(events_data)

    def _record_event(self) -> None:
        now_s = self.ctx.clock.monotonic()
        self.evidence.record_event()
        self._stop_waiting()
        if self._event_chunks:
            self._record_pause(now_s)
        else:
            self._record_first_event(now_s)
        if self._was_found_silent:
            self._report_progress(self._candidate)
        self._event_chunks += 1
        self._received_events += 1
        self._last_event_s = self._last_activity_s = now_s
        self._silence_limit_s = failure_detector.SILENCE_TIMEOUT_S

    def _record_first_event(self, now_s: float) -> None:
        """Record how long the current attempt took to its first event."""
        took_ms = (now_s - self._attempt_started_s) * clocks.MS_PER_S
        self.ctx.ramps.record_first_event(
            self._candidate.key,
            took_ms,
            self._attempt_wait_ms,
            self._attempt_target_ms,
        )
        # Late requests wait behind others, and resumed streams go first.
        if not (self._attempt_is_late or self.responder.headers_sent):
            self.ctx.admission.record_first_event(
                self.req.metadata.model, self._attempt_wait_ms, took_ms
            )

    def _record_pause(self, now_s: float) -> None:
        """Record the pause since the last event of this attempt."""
        candidate = self._candidate
        key = candidate.group, candidate.generation
        pause_ms = (now_s - self._last_activity_s) * clocks.MS_PER_S
        # The candidate's own model already contains the factor of a slow group,
        # so the pause is compared with that of a healthy one.
        expected_ms = self.ctx.groups.expected_pass_ms(candidate)
        self.ctx.groups.speeds.record(key, pause_ms, expected_ms)

    def _begin_response(self, resp: upstream.Response) -> None:
        self.first_event_s = self.ctx.clock.monotonic() - self.req.received_s
        self.ctx.metrics.first_event_s.observe(self.first_event_s)
        self.may_have_run = True
        returned = self.ctx.headers.returned_headers(resp.headers)
        self.responder.begin(resp.status, returned, None)

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
            self.ctx.durations.record(self.route.name, factor)

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
