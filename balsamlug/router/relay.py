"""Run a generation request in as many attempts as it needs.

The handler of the generation paths starts a `Generation`, which gets a group
from the scheduler, relays tokens from its engine to the caller, and resumes in
another group when an attempt fails or is preempted.
"""

import asyncio
from collections.abc import Awaitable
from typing import Protocol

import attrs

from balsamlug import exceptions
from balsamlug import state
from balsamlug.router import attempt as attempts
from balsamlug.router import dispatch
from balsamlug.router import head_status
from balsamlug.router import runtime as runtimes
from balsamlug.router import scheduler as schedulers
from balsamlug.router import work as work_lib

Outcome = attempts.Outcome
# Shorter than the 0.5 s between the reports of a repaired group.
PLACE_RETRY_S = 0.2
# A suspicion about a request reaches every node within this time.
SUSPICION_SPREAD_S = 1.0
# After these outcomes the group gets no new work until a newer report says that
# it is ready.
_GROUP_FAULTS = {
    Outcome.WRONG_GROUP,
    Outcome.UNREACHABLE,
    Outcome.SILENT,
    Outcome.GROUP_LOST,
}

# Refusals after which a group may become available for an interrupted request.
_PLACEMENT_REFUSALS = (
    exceptions.NoReadyGroup,
    exceptions.RateLimited,
    exceptions.UpstreamsPaused,
)

_DISPATCH_OUTCOMES = {
    Outcome.COMPLETE: dispatch.COMPLETED,
    Outcome.PREEMPTED: dispatch.PREEMPTED,
    Outcome.CALLER_GONE: dispatch.CANCELLED,
    Outcome.SLOW_CALLER: dispatch.CANCELLED,
    Outcome.WRONG_GROUP: dispatch.NOT_RUN,
    Outcome.UNREACHABLE: dispatch.NOT_RUN,
}


class CallerGone(exceptions.BalsamlugError):
    """The caller closed its connection."""


class Delivery(Protocol):
    """Destination of the tokens of a generation.

    Attributes:
      blocked_since_s: time since which the caller's buffer is full, or None.
    """

    blocked_since_s: float | None

    def close(self) -> None:
        """Discard buffered data and resume a paused relay."""

    def write_tokens(self, texts: list[str]) -> Awaitable[None] | None:
        """Deliver tokens; the relay waits for an awaitable result."""


@attrs.define(eq=False)
class Generation:
    """One request of a caller.

    Attributes:
      payload: fields of the engine request that the caller determines.
      task_id: eliot task id sent to upstreams.
      delivered: number of tokens forwarded, which is the resume offset.
      history: group and outcome of each attempt, for the log.
    """

    work: schedulers.Work
    payload: dict
    task_id: str
    _runtime: runtimes.Runtime
    delivery: Delivery
    delivered: int = 0
    history: list[str] = attrs.field(factory=list)
    _failed_groups: set[str] = attrs.field(factory=set)
    _may_have_run: bool = False
    _attempt: attempts.Attempt | None = None
    _task: asyncio.Task | None = None
    _stop_error: exceptions.BalsamlugError | None = None
    _started_s: float = 0.0
    _first_token_timeout_s: float = 0.0
    _last_token_s: float = 0.0
    _crashed_at_s: float = float("-inf")

    async def run(self) -> None:
        """Return when every token has been delivered.

        Raises:
          Refusal: the request cannot be served, or not completely.
          CallerGone: the caller closed its connection.
        """
        self._task = asyncio.current_task()
        self._started_s = self._runtime.clock.monotonic()
        self._first_token_timeout_s = self.work.deadline_s - self._started_s
        self._runtime.budget.first_attempt()
        try:
            await self._run()
        except asyncio.CancelledError:
            if self._stop_error is None:
                raise
            raise self._stop_error from None
        except exceptions.Refusal as refusal:
            if self._may_have_run:
                refusal.outcome = exceptions.UNKNOWN
            await self._wait_for_suspicion_spread()
            raise
        finally:
            self._task = None

    async def _wait_for_suspicion_spread(self) -> None:
        """Delay a refusal until the other nodes have received the suspicion.

        The caller may retry the request immediately through another node.
        """
        remaining_s = (
            self._crashed_at_s
            + SUSPICION_SPREAD_S
            - self._runtime.clock.monotonic()
        )
        if remaining_s > 0:
            await asyncio.sleep(remaining_s)

    def stop(self, exc: exceptions.BalsamlugError, outcome: Outcome) -> None:
        """Stop the request because of its caller."""
        if self._stop_error is not None:
            return
        self._stop_error = exc
        if self._attempt is not None:
            self._attempt.abort(outcome)
        elif self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        while True:
            start = await self._place()
            outcome = await self._run_attempt(start)
            self.history.append(f"{start.group_id}:{outcome}")
            if self._stop_error is not None:
                raise self._stop_error
            if outcome is Outcome.COMPLETE or self._has_all_tokens():
                return
            self._prepare_next(start, outcome)

    async def _place(self) -> schedulers.Start:
        """Return the group and priority of the next attempt.

        An interrupted request waits for a group to become ready again. A
        request that never ran is refused, so that its caller can use another
        node.
        """
        runtime = self._runtime
        while True:
            try:
                return await runtime.isolation.place(
                    self.work, runtime.dispatcher, self._may_have_run
                )
            except _PLACEMENT_REFUSALS as refusal:
                if not self._may_wait_after(refusal):
                    raise
            await asyncio.sleep(PLACE_RETRY_S)
            self.work = attrs.evolve(self.work, exclude=self._excluded_groups())

    def _may_wait_after(self, refusal: exceptions.Refusal) -> bool:
        if self._runtime.clock.monotonic() >= self.work.deadline_s:
            return False
        if isinstance(refusal, exceptions.UpstreamsPaused):
            # Without a token, the caller is better told when to return.
            return self.delivered > 0
        return self._may_have_run

    def _excluded_groups(self) -> frozenset[str]:
        """Return the groups that failed, or none if no other group is ready."""
        ready = self._runtime.dispatcher.ready_groups(self.work.deployment)
        other_groups = {group.group_id for group in ready} - self._failed_groups
        return frozenset(self._failed_groups) if other_groups else frozenset()

    def _has_all_tokens(self) -> bool:
        """Return whether every token arrived and only the end was lost."""
        return self.delivered >= self.work.max_tokens

    async def _run_attempt(self, start: schedulers.Start) -> Outcome:
        attempt_id = f"{self.work.id}-{len(self.history)}"
        runtime = self._runtime
        attempt = attempts.Attempt(
            attempt_id, start, self.work, runtime, self._on_tokens
        )
        self._attempt = attempt
        runtime.dispatcher.register_attempt(
            self.work.id, lambda: attempt.abort(Outcome.PREEMPTED)
        )
        runtime.isolation.record_attempt(
            attempt_id, start, self.work.fingerprint
        )
        try:
            began_s = runtime.clock.monotonic()
            head = runtime.heads.find(start)
            outcome = await attempt.run(self.payload, self.task_id)
            # A resumed attempt did not run what came before.
            if outcome is Outcome.COMPLETE and not self.work.resume_from:
                runtime.isolation.record_served(self.work.fingerprint, began_s)
            await self._record_group_fault(start, outcome, head)
        finally:
            self._attempt = None
            runtime.isolation.remove_attempt(attempt_id)
            self._release(start, attempt.outcome)
            runtime.isolation.release(start.group_id, self.work)
        if outcome in attempts.FAILURES:
            reason = attempt.reason or str(outcome)
            runtime.metrics.upstream_failures.labels(reason).inc()
        return outcome

    async def _record_group_fault(
        self, start: schedulers.Start, outcome: Outcome, head: head_status.Head
    ) -> None:
        runtime = self._runtime
        if await self._has_crashed(start, outcome, head):
            self._crashed_at_s = runtime.clock.monotonic()
            runtime.isolation.record_crash(
                start.group_id, start.generation, str(outcome)
            )
            runtime.dispatcher.record_fault(start.group_id)
        elif outcome in _GROUP_FAULTS:
            runtime.isolation.report_fault(
                start.group_id, start.generation, str(outcome)
            )
            runtime.dispatcher.record_fault(start.group_id)
        elif outcome is Outcome.UNAVAILABLE:
            # The controller learns this from the group's members.
            runtime.dispatcher.record_fault(start.group_id)

    async def _has_crashed(
        self, start: schedulers.Start, outcome: Outcome, head: head_status.Head
    ) -> bool:
        if outcome is Outcome.CUT_OFF:
            return await head.has_ended()
        if outcome is Outcome.GROUP_LOST:
            now_s = self._runtime.clock.monotonic()
            if _member_is_dead(self._runtime.fleet, start, now_s):
                return True
            return await head.is_lost_alone()
        return False

    def _release(
        self, start: schedulers.Start, outcome: Outcome | None
    ) -> None:
        dispatch_outcome = _DISPATCH_OUTCOMES.get(outcome, dispatch.FAILED)
        self._runtime.dispatcher.finished(self.work.id, dispatch_outcome)

    def _prepare_next(self, start: schedulers.Start, outcome: Outcome) -> None:
        """Update the work for the next attempt, or refuse it."""
        runtime = self._runtime
        if outcome not in attempts.NOT_RUN:
            self._may_have_run = True
        if outcome is Outcome.REJECTED:
            raise exceptions.UpstreamFailed("the engine rejected the request")
        if outcome in attempts.FAILURES:
            self._spend_retry(outcome)
            self._failed_groups.add(start.group_id)
            runtime.metrics.retries.labels(str(outcome)).inc()
        deadline_s = self.work.deadline_s
        if self.delivered:
            timeout_s = max(
                self._first_token_timeout_s, work_lib.RESUME_TIMEOUT_S
            )
            deadline_s = self._last_token_s + timeout_s
        self.work = attrs.evolve(
            self.work,
            resume_from=self.delivered,
            exclude=self._excluded_groups(),
            deadline_s=deadline_s,
        )

    def _spend_retry(self, outcome: Outcome) -> None:
        if self._runtime.clock.monotonic() > self.work.deadline_s and (
            not self.delivered
        ):
            raise self._failure(f"no token before the deadline: {outcome}")
        if not self._runtime.budget.spend():
            if not self._may_have_run:
                raise exceptions.UpstreamUnreachable(str(outcome))
            raise exceptions.RetryBudgetExhausted(str(outcome))

    def _failure(self, message: str) -> exceptions.Refusal:
        if self._may_have_run:
            return exceptions.UpstreamFailed(message)
        return exceptions.UpstreamUnreachable(message)

    def _on_tokens(self, texts: list[str]) -> Awaitable[None] | None:
        now_s = self._runtime.clock.monotonic()
        metrics = self._runtime.metrics
        if self.delivered:
            metrics.token_gap_s.observe(now_s - self._last_token_s)
        else:
            metrics.first_token_s.observe(now_s - self._started_s)
            self._runtime.dispatcher.scheduler.started(self.work.id)
        self._last_token_s = now_s
        self.delivered += len(texts)
        self._runtime.dispatcher.scheduler.progress(
            self.work.id, self.delivered - self.work.resume_from
        )
        return self.delivery.write_tokens(texts)


def _member_is_dead(
    fleet: state.FleetState, start: schedulers.Start, now_s: float
) -> bool:
    """Return whether a prober observed a definite failure, not a timeout."""
    reports = fleet.reports.get(start.group_id, {}).values()
    return any(
        received.report.definite
        and not received.report.ready
        and received.report.generation == start.generation
        and now_s - received.observed_at_s <= state.REPORT_LIFETIME_S
        for received in reports
    )
