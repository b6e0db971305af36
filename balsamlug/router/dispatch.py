"""Connection between request handlers and the scheduler.

The dispatcher submits the work of the handlers, runs the scheduler
periodically and applies its decisions.
"""

import asyncio
from collections.abc import Callable
import functools

import attrs

from balsamlug import clock as clocks
from balsamlug import limit_table
from balsamlug import notices as notices_module
from balsamlug import rate_limits
from balsamlug import state
from balsamlug import tables
from balsamlug.messages import types
from balsamlug.observability import metrics as metrics_module
from balsamlug.router import scheduler as schedulers
from balsamlug.router import upstream

TICK_S = 0.02
# Minimum time between updates of the group statuses. Reports expire only after
# 3 s, so more frequent updates are not needed.
GROUP_REFRESH_S = 0.1
# Minimum time without new work for a faulty group. A prober may still reach a
# group that this router cannot reach; the hold bounds how often an attempt
# fails there.
FAULT_HOLD_S = 1.0

COMPLETED = "completed"
FAILED = "failed"
NOT_RUN = "not_run"
PREEMPTED = "preempted"
CANCELLED = "cancelled"


@attrs.define
class Dispatcher:
    """Deliver the scheduler's decisions to the requests that await them.

    Attributes:
      scheduler: scheduler of this router.
      limits: rate limits that the heads of groups state.
      notices: which heads leave or want no work now.
    """

    scheduler: schedulers.Scheduler
    limits: rate_limits.RateLimits
    notices: notices_module.Notices
    _fleet: state.FleetState
    _clock: clocks.Clock
    _metrics: metrics_module.RouterMetrics
    _waiting: dict[str, asyncio.Future] = attrs.field(factory=dict)
    # work id -> called when the scheduler preempts the running attempt
    _on_preempt: dict[str, Callable[[], None]] = attrs.field(factory=dict)
    _wake: asyncio.Event = attrs.field(factory=asyncio.Event)
    _refreshed_s: float = float("-inf")
    # group id -> monotonic time at which this router found it not serving
    _faults: dict[str, float] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self._fleet.subscribe(self._on_message)

    async def place(self, work: schedulers.Work) -> schedulers.Start:
        """Wait until the scheduler starts the work.

        Raises:
          Refusal: the scheduler refused it.
        """
        self._refresh()
        work = self._within_limits(work)
        self.scheduler.submit(work)
        future = asyncio.get_running_loop().create_future()
        self._waiting[work.id] = future
        self._wake.set()
        try:
            self.tick()
            return await future
        except asyncio.CancelledError:
            self.scheduler.cancel(work.id)
            raise
        finally:
            self._waiting.pop(work.id, None)

    def register_attempt(
        self, work_id: str, on_preempt: Callable[[], None]
    ) -> None:
        """Register the running attempt of placed work for preemption."""
        self._on_preempt[work_id] = on_preempt

    def finished(self, work_id: str, outcome: str) -> None:
        """Release the slot of the work and start queued work."""
        self._on_preempt.pop(work_id, None)
        self.scheduler.finished(work_id, outcome)
        self.tick()

    async def run(self) -> None:
        """Run the scheduler periodically while there is work."""
        while True:
            await self._wake.wait()
            await asyncio.sleep(TICK_S)
            self._refresh()
            self.tick()
            if not self._waiting and not self._on_preempt:
                self._wake.clear()

    def tick(self) -> None:
        """Run the scheduler once and apply its decisions."""
        for decision in self.scheduler.tick():
            _apply_decision(decision, self)
        self._metrics.queued.set(len(self._waiting))

    def record_fault(self, group_id: str) -> None:
        """Start no new work in a group until a newer report says ready."""
        self._faults[group_id] = self._clock.monotonic()
        self._refreshed_s = float("-inf")
        self._refresh()

    def observe_head(
        self, start: schedulers.Start, resp: upstream.Response
    ) -> None:
        """Record what the head of a group states in an answer."""
        key, name = _limit_key(start), start.group_id
        self.limits.table.observe(key, resp.rate_limit, name)
        accepted = self.notices.accepts(key)
        self.notices.observe(key, resp.status, resp.notice, resp.relay, name)
        if self.notices.accepts(key) != accepted:
            self._refreshed_s = float("-inf")
            self._refresh()

    def may_send(self, start: schedulers.Start) -> bool:
        """Return whether the head of a chosen group still wants work."""
        return self.notices.accepts(_limit_key(start))

    def ready_groups(self, deployment: str) -> list[tables.GroupStatus]:
        """Return the groups of a deployment that the scheduler may choose."""
        statuses = self._statuses(self._clock.monotonic())
        return [s for s in statuses if s.ready and s.deployment == deployment]

    def queued(self) -> int:
        """Return the number of requests waiting for a group."""
        return len(self._waiting)

    def _within_limits(self, work: schedulers.Work) -> schedulers.Work:
        """Return work that excludes the groups whose heads take none now.

        Raises:
          UpstreamsPaused: no head wants work now.
          RateLimited: no ready group has room.
        """
        ready = {
            status.group_id: status
            for status in self._observed_statuses(self._clock.monotonic())
            if status.ready
            and status.deployment == work.deployment
            and status.group_id not in work.exclude
        }
        accepting = self.limits.accepting(
            self.notices.accepting(list(ready.values()), _limit_key),
            _limit_key,
            work.deployment,
            work.priority,
            bool(work.resume_from),
        )
        full = ready.keys() - {status.group_id for status in accepting}
        return attrs.evolve(work, exclude=work.exclude | full)

    def _on_message(self, message: types.Message) -> None:
        if isinstance(message, types.GroupReport | types.ConfigUpdate):
            self._refreshed_s = float("-inf")

    def _refresh(self) -> None:
        now_s = self._clock.monotonic()
        if now_s - self._refreshed_s < GROUP_REFRESH_S:
            return
        self._refreshed_s = now_s
        groups = self._statuses(now_s)
        deployments = self._fleet.settings.deployments.values()
        slots = {
            deployment.name: deployment.slots for deployment in deployments
        }
        routers = max(1, len(self._fleet.live_nodes()))
        self.scheduler.update_groups(groups, slots, routers)

    def _statuses(self, now_s: float) -> list[tables.GroupStatus]:
        return [
            self._apply_notice(status)
            for status in self._observed_statuses(now_s)
        ]

    def _observed_statuses(self, now_s: float) -> list[tables.GroupStatus]:
        return [
            self._apply_fault(self._fleet.group_status(group_id, now_s))
            for group_id in list(self._fleet.reports)
        ]

    def _apply_notice(self, status: tables.GroupStatus) -> tables.GroupStatus:
        if not status.ready or self.notices.accepts(_limit_key(status)):
            return status
        return attrs.evolve(status, ready=False, reason="stated by its head")

    def _apply_fault(self, status: tables.GroupStatus) -> tables.GroupStatus:
        fault_s = self._faults.get(status.group_id)
        if fault_s is None:
            return status
        is_held = self._clock.monotonic() - fault_s < FAULT_HOLD_S
        if is_held or status.observed_at_s <= fault_s:
            return attrs.evolve(status, ready=False, reason="router fault")
        del self._faults[status.group_id]
        return status


def _limit_key(group: tables.GroupStatus | schedulers.Start) -> bytes:
    return limit_table.server_key(group.group_id, str(group.generation))


@functools.singledispatch
def _apply_decision(
    decision: schedulers.Decision, dispatcher: Dispatcher
) -> None:
    raise TypeError(f"unknown scheduler decision {decision!r}")


@_apply_decision.register
def _(decision: schedulers.Start, dispatcher: Dispatcher) -> None:
    future = dispatcher._waiting.get(decision.work_id)
    if future is None or future.done():
        dispatcher.scheduler.finished(decision.work_id, CANCELLED)
        return
    dispatcher.limits.table.record_sent(_limit_key(decision))
    future.set_result(decision)


@_apply_decision.register
def _(decision: schedulers.Refuse, dispatcher: Dispatcher) -> None:
    future = dispatcher._waiting.get(decision.work_id)
    if future is not None and not future.done():
        future.set_exception(decision.refusal)


@_apply_decision.register
def _(decision: schedulers.Preempt, dispatcher: Dispatcher) -> None:
    on_preempt = dispatcher._on_preempt.get(decision.work_id)
    if on_preempt is not None:
        on_preempt()
