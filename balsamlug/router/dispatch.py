"""Drive the scheduler: submit work, tick it, act on its decisions."""

import asyncio
from collections.abc import Callable
import functools

import attrs

from balsamlug import clock as clocks
from balsamlug import state
from balsamlug import tables
from balsamlug.messages import types
from balsamlug.observability import metrics as metrics_module
from balsamlug.router import scheduler as schedulers

TICK_S = 0.02
# Reports expire after 3 s, which needs no finer check than this.
GROUP_REFRESH_S = 0.1
# A prober may still reach a group that this router cannot; this bounds how
# often an attempt is lost on it.
FAULT_HOLD_S = 1.0

COMPLETED = "completed"
FAILED = "failed"
NOT_RUN = "not_run"
PREEMPTED = "preempted"
CANCELLED = "cancelled"


@attrs.define
class Dispatcher:
    """Turn the scheduler's decisions into results of awaiting requests."""

    scheduler: schedulers.Scheduler
    _fleet: state.FleetState
    _clock: clocks.Clock
    _metrics: metrics_module.RouterMetrics
    _waiting: dict[str, asyncio.Future] = attrs.field(factory=dict)
    # work id -> called when the scheduler preempts the running attempt
    _on_preempt: dict[str, Callable[[], None]] = attrs.field(factory=dict)
    _wake: asyncio.Event = attrs.field(factory=asyncio.Event)
    _refreshed_s: float = float("-inf")
    # group id -> when this router found it not serving
    _faults: dict[str, float] = attrs.field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self._fleet.subscribe(self._on_message)

    async def place(self, work: schedulers.Work) -> schedulers.Start:
        """Wait until the scheduler starts the work.

        Raises:
          Refusal: the scheduler refused it.
        """
        self._refresh()
        self.scheduler.submit(work)
        fut = asyncio.get_running_loop().create_future()
        self._waiting[work.id] = fut
        self._wake.set()
        try:
            self.tick()
            return await fut
        except asyncio.CancelledError:
            self.scheduler.cancel(work.id)
            raise
        finally:
            self._waiting.pop(work.id, None)

    def running(self, work_id: str, on_preempt: Callable[[], None]) -> None:
        """Register the running attempt of placed work."""
        self._on_preempt[work_id] = on_preempt

    def finished(self, work_id: str, outcome: str) -> None:
        """Release the work's slot and start what waits for it."""
        self._on_preempt.pop(work_id, None)
        self.scheduler.finished(work_id, outcome)
        self.tick()

    async def run(self) -> None:
        """Tick while there is work."""
        while True:
            await self._wake.wait()
            await asyncio.sleep(TICK_S)
            self._refresh()
            self.tick()
            if not self._waiting and not self._on_preempt:
                self._wake.clear()

    def tick(self) -> None:
        """Run the scheduler once and act on its decisions."""
        for decision in self.scheduler.tick():
            _act(decision, self)
        self._metrics.queued.set(len(self._waiting))

    def fault(self, group_id: str) -> None:
        """Give a group no new work until it is observed as ready again."""
        self._faults[group_id] = self._clock.monotonic()
        self._refreshed_s = float("-inf")
        self._refresh()

    def ready_groups(self, deployment: str) -> list[tables.GroupStatus]:
        """Return the groups that the scheduler may choose now."""
        statuses = self._statuses(self._clock.monotonic())
        return [s for s in statuses if s.ready and s.deployment == deployment]

    def queued(self) -> int:
        """Return the number of requests waiting for a group."""
        return len(self._waiting)

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
            self._without_fault(self._fleet.group_status(group_id, now_s))
            for group_id in list(self._fleet.reports)
        ]

    def _without_fault(self, status: tables.GroupStatus) -> tables.GroupStatus:
        fault_s = self._faults.get(status.group_id)
        if fault_s is None:
            return status
        held = self._clock.monotonic() - fault_s < FAULT_HOLD_S
        if held or status.observed_at_s <= fault_s:
            return attrs.evolve(status, ready=False, reason="router fault")
        del self._faults[status.group_id]
        return status


@functools.singledispatch
def _act(decision: schedulers.Decision, dispatcher: Dispatcher) -> None:
    raise TypeError(f"unknown decision {decision!r}")


@_act.register
def _(decision: schedulers.Start, dispatcher: Dispatcher) -> None:
    fut = dispatcher._waiting.get(decision.work_id)
    if fut is None or fut.done():
        dispatcher.scheduler.finished(decision.work_id, CANCELLED)
        return
    fut.set_result(decision)


@_act.register
def _(decision: schedulers.Refuse, dispatcher: Dispatcher) -> None:
    fut = dispatcher._waiting.get(decision.work_id)
    if fut is not None and not fut.done():
        fut.set_exception(decision.refusal)


@_act.register
def _(decision: schedulers.Preempt, dispatcher: Dispatcher) -> None:
    on_preempt = dispatcher._on_preempt.get(decision.work_id)
    if on_preempt is not None:
        on_preempt()
