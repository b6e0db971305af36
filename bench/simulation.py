"""Simulates routers with one policy and model groups on an injected clock.

The policies are `scheduler.Scheduler` and those of `bench.baselines`.
"""

from collections.abc import Callable
import heapq
import itertools
import random

import attrs

from balsamlug import clock as clock_lib
from balsamlug import exceptions
from balsamlug import tables
from balsamlug.config import schema
from balsamlug.router import scheduler
from bench import engine
from bench import shapes

TICK_S = 0.02
REPORT_PERIOD_S = 0.5
# Time from a preemption until the upstream stops the request.
CANCEL_DELAY_S = 0.02
# Time until a connection to a failed group is refused or one in use breaks.
CONNECT_FAILURE_S = 0.01
# Time until the routers receive the status of a failed group.
LOSS_DETECTION_S = 1.5
GROUP_REPAIR_S = 25.0
ACCELERATORS = 8
DEPLOYMENT = "model"
# Maximum attempts of a request, which models an exhausted retry budget.
MAX_ATTEMPTS = 12

Policy = Callable[..., scheduler.Scheduler]


@attrs.define
class Totals:
    """Sums over one run.

    Attributes:
      peak_tokens: tokens decoded during the peak.
      peak_work: the same plus the slot time of first prefills, in tokens.
      wasted_tokens: generated tokens that were discarded.
      repeated_prefill: prompt and answer tokens prefilled more than once.
      idle_waiting_s: slot-seconds idle while work was queued at a router.
      broken: requests refused after a part of the answer was delivered.
    """

    peak_tokens: float = 0.0
    tokens: float = 0.0
    peak_work: float = 0.0
    prompts: int = 0
    cached_prompts: int = 0
    wasted_tokens: int = 0
    repeated_prefill: int = 0
    preemptions: int = 0
    idle_waiting_s: float = 0.0
    downtime_s: float = 0.0
    broken: int = 0


class Simulation:
    """Event queue, groups and routers of one run."""

    def __init__(self, shape: shapes.Shape, policy: Policy, seed: int):
        self.shape = shape
        self.clock = clock_lib.ManualClock()
        self.requests = {r.id: r for r in shapes.generate(shape, seed)}
        self.totals = Totals()
        rng = random.Random(seed)
        single = getattr(policy, "single_router", False)
        count = 1 if single else len(shapes.ROUTER_LOADS)
        self.routers = [
            policy(self.clock, random.Random(f"{seed}-{i}"), schema.Limits())
            for i in range(count)
        ]
        self.groups = {
            f"g{i}": engine.EngineGroup(f"g{i}", shape.slots)
            for i in range(shape.groups)
        }
        self._statuses = {
            g.id: self._status(g, 0.0) for g in self.groups.values()
        }
        self._jobs: dict[str, engine.Job] = {}
        self._waiting_count = 0
        self._first_prefills = 0.0
        self._events: list = []
        self._sequence = itertools.count()
        self._schedule_inputs(rng)

    def _schedule(self, time_s: float, action: Callable, *arguments) -> None:
        item = (time_s, next(self._sequence), action, arguments)
        heapq.heappush(self._events, item)

    def _schedule_inputs(self, rng: random.Random) -> None:
        for request in self.requests.values():
            self._schedule(request.arrival_s, self._submit_new, request)
        for group in self.groups.values():
            self._schedule(rng.random() * REPORT_PERIOD_S, self._report, group)
        self._schedule(0.0, self._tick_all)
        peak_end_s = shapes.PEAK_START_S + shapes.PEAK_S
        self._schedule(shapes.PEAK_START_S, self._add_peak_totals, -1)
        self._schedule(peak_end_s, self._add_peak_totals, 1)
        if self.shape.lost_at_s is not None:
            group = self.groups["g0"]
            self._schedule(self.shape.lost_at_s, self._fail_group, group)

    def run(self) -> "Simulation":
        """Process all events until the end of the simulated time."""
        while self._events and self._events[0][0] <= shapes.HORIZON_S:
            time_s, _, action, arguments = heapq.heappop(self._events)
            self.clock.now_s = time_s
            action(*arguments)
        self.clock.now_s = shapes.HORIZON_S
        self.totals.tokens = self._decoded()
        for job in self._jobs.values():
            self._update_delivered(job)
        return self

    def _decoded(self) -> float:
        for group in self.groups.values():
            group.advance(self.clock.now_s)
        return sum(group.decoded_tokens for group in self.groups.values())

    def _add_peak_totals(self, sign: int) -> None:
        decoded = self._decoded()
        self.totals.peak_tokens += sign * decoded
        self.totals.peak_work += sign * (decoded + self._first_prefills)

    def _update_delivered(self, job: engine.Job) -> int:
        generated = self.groups[job.group_id].generated_tokens(job)
        request = self.requests[job.request_id]
        request.delivered = job.resume_from + generated
        return generated

    def _tick_all(self) -> None:
        self._schedule(self.clock.now_s + TICK_S, self._tick_all)
        self._add_idle_time()
        statuses = list(self._statuses.values())
        slots = {DEPLOYMENT: self.shape.slots}
        for index, router in enumerate(self.routers):
            router.update_groups(statuses, slots)
            self._tick(index)

    def _add_idle_time(self) -> None:
        if self._waiting_count:
            free = sum(
                g.slots - len(g.running) for g in self.groups.values() if g.up
            )
            self.totals.idle_waiting_s += TICK_S * min(
                free, self._waiting_count
            )

    def _submit_new(self, request: shapes.Request) -> None:
        request.router %= len(self.routers)
        self._submit(request, frozenset())

    def _submit(self, request: shapes.Request, exclude: frozenset) -> None:
        work = scheduler.Work(
            id=request.id,
            customer=request.customer,
            deployment=DEPLOYMENT,
            priority=request.kind.priority,
            weight=request.weight,
            deadline_s=request.deadline_s,
            prompt_tokens=request.prompt_tokens,
            max_tokens=request.kind.max_tokens,
            prefix_hash=request.prefix_hash,
            resume_from=request.delivered,
            exclude=exclude,
        )
        try:
            self.routers[request.router].submit(work)
        except exceptions.Refusal as refusal:
            self._refuse(request, refusal)
        else:
            self._waiting_count += 1
            self._tick(request.router)

    def _refuse(
        self, request: shapes.Request, refusal: exceptions.Refusal
    ) -> None:
        request.refusal = refusal.code
        self.totals.broken += request.delivered > 0

    def _tick(self, index: int) -> None:
        for decision in self.routers[index].tick():
            request = self.requests[decision.work_id]
            if isinstance(decision, scheduler.Start):
                self._start(request, decision)
            elif isinstance(decision, scheduler.Refuse):
                self._waiting_count -= 1
                self._refuse(request, decision.refusal)
            else:
                self._preempt(request)

    def _start(
        self, request: shapes.Request, decision: scheduler.Start
    ) -> None:
        self._waiting_count -= 1
        request.attempts += 1
        now_s = self.clock.now_s
        group = self.groups[decision.group_id]
        job = engine.Job(
            request_id=request.id,
            router=request.router,
            tokens=request.tokens - request.delivered,
            prompt_tokens=request.prompt_tokens,
            resume_from=request.delivered,
            prefix_hash=request.prefix_hash,
            priority=decision.engine_priority,
            group_id=group.id,
        )
        self._jobs[request.id] = job
        if not group.up or group.generation != decision.generation:
            self._schedule(now_s + CONNECT_FAILURE_S, self._fail_job, job)
            return
        group.submit(job, now_s)
        self._schedule_group_event(group)

    def _schedule_group_event(self, group: engine.EngineGroup) -> None:
        time_s = group.next_event_s()
        if time_s is not None:
            self._schedule(time_s, self._group_event, group, group.version)

    def _group_event(self, group: engine.EngineGroup, version: int) -> None:
        if version != group.version:
            return
        kind, job = group.process_next_event(self.clock.now_s)
        request = self.requests[job.request_id]
        router = self.routers[job.router]
        if kind == engine.FIRST_TOKEN:
            self._record_first_token(request, job)
            router.progress(job.request_id, 1)
        else:
            self._complete(request, job)
        self._schedule_group_event(group)

    def _record_first_token(
        self, request: shapes.Request, job: engine.Job
    ) -> None:
        now_s = self.clock.now_s
        if request.first_token_s is None:
            request.first_token_s = now_s
            request.slot_s = job.slot_s
        if request.preempted_s is not None:
            pause_s = now_s - request.preempted_s
            request.stall_s = max(request.stall_s, pause_s)
            request.preempted_s = None
        self._record_prefill(request, job)

    def _record_prefill(self, request: shapes.Request, job: engine.Job) -> None:
        self.totals.prompts += 1
        self.totals.cached_prompts += job.prefilled < job.prompt_tokens
        if request.attempts > 1:
            self.totals.repeated_prefill += job.prefilled
        else:
            self._first_prefills += engine.PREFILL_COST * job.prefilled

    def _complete(self, request: shapes.Request, job: engine.Job) -> None:
        request.delivered = request.tokens
        request.done_s = self.clock.now_s
        del self._jobs[request.id]
        router = self.routers[job.router]
        router.progress(request.id, job.tokens)
        router.finished(request.id, scheduler.COMPLETED)
        self._tick(job.router)

    def _preempt(self, request: shapes.Request) -> None:
        job = self._jobs[request.id]
        self.totals.preemptions += 1
        request.preempted_s = self.clock.now_s
        self.groups[job.group_id].advance(self.clock.now_s)
        generated = self._update_delivered(job)
        time_s = self.clock.now_s + CANCEL_DELAY_S
        self._schedule(time_s, self._cancel, request, job, generated)

    def _cancel(
        self, request: shapes.Request, job: engine.Job, generated: int
    ) -> None:
        if job.ended:
            return
        group = self.groups[job.group_id]
        group.cancel(job, self.clock.now_s)
        self.totals.wasted_tokens += max(
            0, group.generated_tokens(job) - generated
        )
        del self._jobs[request.id]
        router = self.routers[job.router]
        router.finished(request.id, scheduler.PREEMPTED)
        self._submit(request, frozenset())
        self._schedule_group_event(group)

    def _status(
        self, group: engine.EngineGroup, now_s: float
    ) -> tables.GroupStatus:
        load = tables.LoadReport(
            len(group.running), group.queued_count(), group.slots
        )
        return tables.GroupStatus(
            group_id=group.id,
            deployment=DEPLOYMENT,
            generation=group.generation,
            ready=group.up,
            reason="" if group.up else "member missing",
            head_address=group.id,
            load=load,
            observed_at_s=now_s,
        )

    def _report(self, group: engine.EngineGroup) -> None:
        now_s = self.clock.now_s
        self._schedule(now_s + REPORT_PERIOD_S, self._report, group)
        if not group.up:
            return
        status = self._status(group, now_s)
        lag_s = self.shape.report_lag_s
        self._schedule(
            now_s + lag_s, self._statuses.__setitem__, group.id, status
        )
        group.advance(now_s)
        for job in group.running:
            if job.decoding:
                generated = group.generated_tokens(job)
                self.routers[job.router].progress(job.request_id, generated)

    def _fail_group(self, group: engine.EngineGroup) -> None:
        now_s = self.clock.now_s
        for job in group.fail(now_s):
            self._schedule(now_s + CONNECT_FAILURE_S, self._fail_job, job)
        status = self._status(group, now_s)
        self._schedule(
            now_s + LOSS_DETECTION_S,
            self._statuses.__setitem__,
            group.id,
            status,
        )
        self._schedule(
            now_s + GROUP_REPAIR_S, group.restore, now_s + GROUP_REPAIR_S
        )
        self.totals.downtime_s += GROUP_REPAIR_S

    def _fail_job(self, job: engine.Job) -> None:
        request = self.requests[job.request_id]
        if self._jobs.get(request.id) is not job:
            return
        self._update_delivered(job)
        del self._jobs[request.id]
        self.routers[job.router].finished(request.id, scheduler.FAILED)
        if request.attempts >= MAX_ATTEMPTS:
            request.refusal = "retry_budget_exhausted"
            return
        self._submit(request, frozenset([job.group_id]))
