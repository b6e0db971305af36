"""Serve one stream through as many groups as it needs."""

import asyncio
from collections.abc import Awaitable

import attrs

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug.gateway import attempt as attempts
from balsamlug.gateway import events
from balsamlug.gateway import forwarding
from balsamlug.gateway import loads
from balsamlug.gateway import messages
from balsamlug.gateway import placement
from balsamlug.gateway import silence
from balsamlug.router import upstream

Ending = attempts.Ending
# Callers leave a stream after two seconds without an event. An interrupted
# one is placed again until this much of that is used.
RESUME_WITHIN_S = 1.7
PLACE_AGAIN_S = 0.1
# A first event is missing when it takes this much longer than expected.
FIRST_EVENT_FACTOR = 2.0
NOT_RUN_RETRY_MS = 300
# Endings after which the group is left alone for a moment.
_FAULTS = frozenset(
    {Ending.UNREACHABLE, Ending.BROKEN, Ending.GROUP_LOST, Ending.NOT_RUN}
)
# Endings that may mean that the group was lost.
_DOUBTS = frozenset({Ending.UNREACHABLE, Ending.BROKEN, Ending.GROUP_LOST})


@attrs.define(eq=False, kw_only=True)
class StreamRequest(forwarding.Forwarded):
    """One stream of a caller.

    Attributes:
      waited_ms: time since the request was first refused, 0 if it was not.
      _event_s: time of the last event, of whichever attempt.
      _heard_s: start of the present attempt, or its last event.
    """

    priority: int
    waited_ms: float
    fingerprint: str
    first_event_s: float | None = None
    _cutter: events.EventCutter = attrs.field(factory=events.EventCutter)
    _excluded: set[str] = attrs.field(factory=set)
    _candidate: placement.Candidate | None = None
    _passes: int = 0
    _event_s: float = 0.0
    _heard_s: float = 0.0
    _awaited_s: float = silence.SILENCE_S
    # Key in the table of loads while this request waits behind others.
    _waiting: str = ""

    async def run(self) -> None:
        """Return when the whole stream has been passed on.

        Raises:
          Refusal: nothing was passed on and the request cannot be served.
        """
        self._cutter.last = self.req.facts.last_event
        self.responder.on_close(self._caller_gone)
        while not self._gone:
            placed = await self._place()
            answer = await self._try(placed)
            self.history.append(f"{placed.candidate.group}:{answer.ending}")
            if self._ended(answer):
                return
            self._prepare_next(placed, answer)

    async def _place(self) -> placement.Placed:
        """Return the next group; an interrupted stream waits for one."""
        while True:
            try:
                return self._choose()
            except exceptions.Refusal:
                if not self.responder.begun or not self._may_wait():
                    raise
            await asyncio.sleep(PLACE_AGAIN_S)

    def _may_wait(self) -> bool:
        now_s = self.ctx.clock.monotonic()
        silent_s = now_s - self._event_s
        return not self._gone and silent_s < RESUME_WITHIN_S

    def _choose(self) -> placement.Placed:
        facts = self.req.facts
        groups = self.ctx.groups
        found = groups.candidates(facts.model, frozenset(self._excluded))
        if not found and self.responder.begun:
            # The only group may have been formed again.
            found = groups.candidates(facts.model, frozenset())
        now_s = self.ctx.clock.monotonic()
        held_ms = (now_s - self.req.received_s) * clocks.MS_PER_S
        unseen = groups.unseen(found)
        placed = placement.choose(
            placement.Work(
                model=facts.model,
                prompt_tokens=facts.prompt_tokens,
                target_left_ms=self.route.target_ms - self.waited_ms - held_ms,
                deadline_left_ms=self._left_ms(),
                returned=self.waited_ms > 0,
                resumed=self.responder.begun,
                priority=self.priority,
            ),
            found,
            self.ctx.rng,
            unseen,
        )
        self.ctx.log(
            "request_placed",
            request=facts.request_id,
            group=placed.candidate.group,
            present=placed.candidate.present,
            waiting=placed.candidate.waiting,
            unseen=round(unseen, 1),
            candidates=len(found),
            wait_ms=round(placed.wait_ms),
            urgency=placed.urgency,
            attempt=self.sent + 1,
        )
        return placed

    def _left_ms(self) -> float:
        now_s = self.ctx.clock.monotonic()
        return (self.deadline_s - now_s) * clocks.MS_PER_S

    async def _try(self, placed: placement.Placed) -> attempts.Answer:
        candidate = placed.candidate
        attempt = attempts.Attempt(
            self.ctx.headers,
            self.req.facts.request_id,
            self._on_stream,
            takes_stream=True,
        )
        self._attempt = attempt
        self._candidate = candidate
        self._passes = 0
        self._heard_s = self.ctx.clock.monotonic()
        self._event_s = self._event_s or self._heard_s
        self._awaited_s = _first_event_s(placed)
        self.ctx.loads.started(candidate.group)
        self._wait_behind_others(placed)
        watch = asyncio.create_task(self._watch(attempt, candidate))
        try:
            answer = await attempt.run(self._call(placed))
        finally:
            watch.cancel()
            self.ctx.loads.ended(candidate.group)
            self._got_slot()
            self._attempt = None
        if answer.sent:
            self.sent += 1
        if answer.status:
            self.ctx.detector.heard()
        return answer

    def _wait_behind_others(self, placed: placement.Placed) -> None:
        """Count an attempt as waiting until its first event."""
        if placed.urgency >= placement.URGENCY_RETURNED:
            self._waiting = loads.waiting(placed.candidate.group)
            self.ctx.loads.started(self._waiting)

    def _got_slot(self) -> None:
        if self._waiting:
            self.ctx.loads.ended(self._waiting)
            self._waiting = ""

    def _call(self, placed: placement.Placed) -> upstream.Call:
        dispatch = messages.Dispatch(
            remaining_ms=self._left_ms(),
            instance=placed.candidate.head,
            customer=self.customer,
            urgency=placed.urgency,
            last_event=self._cutter.last,
        )
        body = self.req.body or None
        return self._forwarded(placed.candidate.address, dispatch, body)

    async def _watch(
        self, attempt: attempts.Attempt, candidate: placement.Candidate
    ) -> None:
        """End the attempt at the deadline or when its group is lost."""
        while True:
            now_s = self.ctx.clock.monotonic()
            if now_s >= self.deadline_s:
                attempt.abort(Ending.TIMED_OUT)
                return
            quiet_s = now_s - self._heard_s
            if quiet_s >= self._awaited_s:
                if await self._is_lost(candidate, quiet_s):
                    attempt.abort(Ending.GROUP_LOST)
                    return
                self._awaited_s = quiet_s + silence.PROBE_INTERVAL_S
                continue
            rest_s = min(self._awaited_s - quiet_s, self.deadline_s - now_s)
            await asyncio.sleep(max(rest_s, 0.01))

    async def _is_lost(
        self, candidate: placement.Candidate, quiet_s: float
    ) -> bool:
        group = self.ctx.groups.group(candidate.group)
        if group is None or group.generation != candidate.generation:
            return True
        reason = f"no event for {quiet_s * clocks.MS_PER_S:.0f} ms"
        return await self.ctx.detector.is_lost(group, reason)

    def _on_stream(
        self, resp: upstream.Response, data: bytes
    ) -> Awaitable[None] | None:
        self.ctx.detector.heard()
        whole = self._cutter.feed(data)
        if self._cutter.fault:
            self._attempt.abort(Ending.BROKEN)
        if not whole:
            return None
        now_s = self.ctx.clock.monotonic()
        self._got_slot()
        if self._passes:
            self._measure(now_s)
        self._passes += 1
        self._event_s = self._heard_s = now_s
        self._awaited_s = silence.SILENCE_S
        if not self.responder.begun:
            self._begin(resp)
        return self.responder.write(whole)

    def _measure(self, now_s: float) -> None:
        """Note the pause since the last event of this attempt."""
        candidate = self._candidate
        key = candidate.group, candidate.generation
        pause_ms = (now_s - self._heard_s) * clocks.MS_PER_S
        # The factor of a slow group is part of its model already.
        usual = self.ctx.groups.usual_pass_ms(candidate)
        self.ctx.groups.speeds.measured(key, pause_ms, usual)

    def _begin(self, resp: upstream.Response) -> None:
        self.first_event_s = self.ctx.clock.monotonic() - self.req.received_s
        self.ctx.metrics.first_event_s.observe(self.first_event_s)
        self.may_have_run = True
        returned = self.ctx.headers.returned(resp.headers)
        self.responder.begin(resp.status, returned, None)

    def _ended(self, answer: attempts.Answer) -> bool:
        """Pass on a final answer; return whether there was one."""
        if answer.ending is Ending.CALLER_GONE or self._gone:
            return True
        if answer.ending is not Ending.ANSWERED:
            return False
        if not answer.is_success:
            return self._pass_on_failure(answer)
        if not self._cutter.is_clean:
            return False
        if not self.responder.begun:
            self._begin(answer.response)
        self.ctx.suspects.served(self.fingerprint)
        self.responder.finish()
        return True

    def _pass_on_failure(self, answer: attempts.Answer) -> bool:
        if self.responder.begun:
            return False
        self._pass_on(answer)
        return True

    def _prepare_next(
        self, placed: placement.Placed, answer: attempts.Answer
    ) -> None:
        """Get ready for another group.

        Raises:
          Refusal: there must not be another one.
        """
        candidate = placed.candidate
        self.may_have_run = self.may_have_run or answer.may_have_run
        if answer.ending in _DOUBTS:
            self._check_group(candidate)
        if answer.ending in _FAULTS:
            self._excluded.add(candidate.group)
            self.ctx.groups.fault(candidate.group, candidate.generation)
        self.ctx.log(
            "attempt_failed",
            request=self.req.facts.request_id,
            group=candidate.group,
            generation=candidate.generation,
            ending=answer.ending,
            detail=answer.detail,
            member_at_fault=answer.verdict.member_at_fault,
            last_event=self._cutter.last,
            sent=self.sent,
        )
        self._check_retry(answer)
        self.ctx.metrics.retries.labels(str(answer.ending)).inc()
        self._cutter.restart()

    def _check_group(self, candidate: placement.Candidate) -> None:
        """Find out whether the group was lost; nothing waits for it."""
        check = asyncio.create_task(self._judge_group(candidate))
        self.ctx.background.add(check)
        check.add_done_callback(self.ctx.background.discard)

    async def _judge_group(self, candidate: placement.Candidate) -> None:
        suspected = self.may_have_run
        group = self.ctx.groups.group(candidate.group)
        if group is None or group.generation != candidate.generation:
            return
        lost = await self.ctx.detector.is_lost(group, "an attempt failed")
        if lost and suspected:
            self.ctx.suspects.crashed(
                self.fingerprint, candidate.group, candidate.generation
            )

    def _check_retry(self, answer: attempts.Answer) -> None:
        refusal = _refusal(answer, self.may_have_run)
        if self.ctx.suspects.is_quarantined(self.fingerprint):
            raise refusal
        if self.may_have_run and not self.route.repeatable:
            raise refusal
        if answer.ending is Ending.TIMED_OUT:
            raise refusal
        if self.sent >= self.route.max_attempts:
            raise refusal
        if self.sent and not self.ctx.budget.spend():
            raise refusal


def _first_event_s(placed: placement.Placed) -> float:
    expected_s = placed.wait_ms / clocks.MS_PER_S
    return silence.SILENCE_S + FIRST_EVENT_FACTOR * expected_s


def _refusal(answer: attempts.Answer, may_have_run: bool) -> exceptions.Refusal:
    if may_have_run and answer.ending is Ending.TIMED_OUT:
        return exceptions.AnswerTimedOut("the time of the request is over")
    if may_have_run:
        return exceptions.UpstreamFailed(answer.detail)
    return exceptions.UpstreamRefused(answer.detail, NOT_RUN_RETRY_MS)
