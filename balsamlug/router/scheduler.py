"""Scheduling of generation requests in one router.

The dispatcher submits requests and carries out the decisions: where and when
each request starts, is refused or is preempted.
"""

import collections
import functools
import heapq
import itertools
import random

import attrs

from balsamlug import clock as clock_lib
from balsamlug import exceptions
from balsamlug import tables
from balsamlug.config import schema
from balsamlug.router import admission
from balsamlug.router import estimate
from balsamlug.router import placement
from balsamlug.router import preemption
from balsamlug.router import queueing
from balsamlug.router import work as work_lib

Work = work_lib.Work
Start = work_lib.Start
Refuse = work_lib.Refuse
Preempt = work_lib.Preempt
Decision = work_lib.Decision

# Outcomes of `finished`. Only COMPLETED work updates the estimates.
COMPLETED = "completed"
FAILED = "failed"
PREEMPTED = "preempted"


@attrs.define
class DeploymentQueues:
    """Queued and running work of one deployment.

    Attributes:
      running: work id -> entry that runs in a group.
    """

    short: queueing.FairQueue = attrs.field(factory=queueing.FairQueue)
    long: queueing.FairQueue = attrs.field(factory=queueing.FairQueue)
    usage: preemption.Usage = attrs.field(factory=preemption.Usage)
    running: dict[str, work_lib.Entry] = attrs.field(factory=dict)

    def queue_of(self, entry: work_lib.Entry) -> queueing.FairQueue:
        """Return the queue for the length class of an entry."""
        return self.long if entry.is_long else self.short


class Scheduler:
    """Decide when and where each generation request of a router runs.

    The caller reports events and carries out the decisions of `tick`.
    """

    def __init__(
        self,
        clock: clock_lib.Clock,
        rng: random.Random,
        limits: schema.Limits,
    ):
        self._clock = clock
        self._rng = rng
        self._limits = limits
        self._estimator = estimate.Estimator()
        self._placement = placement.Placement(rng)
        self._deployments: dict[str, DeploymentQueues] = {}
        self._entries: dict[str, work_lib.Entry] = {}
        self._expirations: list[tuple[float, int, work_lib.Entry]] = []
        self._sequence = itertools.count()
        self._counts: collections.Counter[str] = collections.Counter()

    def submit(self, work: Work) -> None:
        """Queue work, or the remainder of preempted or interrupted work.

        Raises:
          exceptions.NoReadyGroup: no group of the deployment is ready.
          exceptions.QueueFull: the queue of the customer is full.
          exceptions.DeadlineUnreachable: the first token would miss its
            deadline.
        """
        if work.id in self._entries:
            self.finished(work.id, PREEMPTED)
        now_s = self._clock.monotonic()
        try:
            self._admit(work, now_s)
        except exceptions.Refusal as refusal:
            self._counts[refusal.code] += 1
            raise
        self._enqueue(work, now_s)

    def _admit(self, work: Work, now_s: float) -> None:
        if work.resume_from:
            return
        if not self._placement.ready(work.deployment):
            raise admission.no_ready_group(work.deployment)
        queues = self._queues(work.deployment)
        is_long = self._estimator.is_long(work)
        queue = queues.long if is_long else queues.short
        rates = self._estimator.rates_of(work.deployment)
        rate = max(1, queues.usage.total) * rates.slot_rate
        waiting = queues.short.count(work.customer)
        waiting += queues.long.count(work.customer)
        wait_s = admission.wait_s(queue.cost_ahead(work), rate)
        admission.check_queue(waiting, self._limits.max_queue, wait_s)
        admission.check_deadline(
            work.deadline_s - now_s,
            wait_s,
            rates.expected_first_token_s(now_s),
            wait_s,
        )

    def _queues(self, deployment: str) -> DeploymentQueues:
        queues = self._deployments.get(deployment)
        if queues is None:
            queues = self._deployments[deployment] = DeploymentQueues()
            queues.usage.phase = self._rng.random()
        return queues

    def _enqueue(self, work: Work, now_s: float) -> None:
        entry = work_lib.Entry(
            work=work,
            cost=self._estimator.cost(work),
            is_long=self._estimator.is_long(work),
            queued_s=now_s,
        )
        self._entries[work.id] = entry
        queue = self._queues(work.deployment).queue_of(entry)
        queue.push(entry, front=entry.resumed)
        timeout_s = work_lib.RESUME_TIMEOUT_S if entry.resumed else 0.0
        self._expire_at(entry, max(work.deadline_s, now_s + timeout_s))

    def _expire_at(self, entry: work_lib.Entry, time_s: float) -> None:
        item = (time_s, next(self._sequence), entry)
        heapq.heappush(self._expirations, item)

    def update_groups(
        self,
        statuses: list[tables.GroupStatus],
        slots: dict[str, int],
        routers: int | None = None,
    ) -> None:
        """Update the readiness and load of all groups.

        Args:
          slots: deployment -> number of requests that a group runs at once.
          routers: live routers that share the groups.
        """
        if routers:
            self._placement.routers = routers
        self._placement.update(statuses, slots)

    def tick(self) -> list[Decision]:
        """Return the decisions that are due now."""
        now_s = self._clock.monotonic()
        decisions = self._expire(now_s)
        for queues in self._deployments.values():
            if queues.short or queues.long:
                decisions.extend(self._start_queued(queues, now_s))
        for decision in decisions:
            self._counts[type(decision).__name__.lower()] += 1
        return decisions

    def _expire(self, now_s: float) -> list[Decision]:
        refused: list[Decision] = []
        while self._expirations and self._expirations[0][0] <= now_s:
            entry = heapq.heappop(self._expirations)[2]
            if self._entries.get(entry.work.id) is not entry or entry.group_id:
                continue
            if entry.resumed and self._has_ready_group(entry):
                self._expire_at(entry, now_s + work_lib.RESUME_TIMEOUT_S)
            else:
                refused.append(self._refuse(entry, now_s))
        return refused

    def _has_ready_group(self, entry: work_lib.Entry) -> bool:
        return self._placement.ready(entry.work.deployment)

    def _refuse(self, entry: work_lib.Entry, now_s: float) -> Refuse:
        queues = self._queues(entry.work.deployment)
        queues.queue_of(entry).remove(entry)
        del self._entries[entry.work.id]
        if not self._has_ready_group(entry):
            refusal = admission.no_ready_group(entry.work.deployment)
        else:
            refusal = admission.deadline_refusal(now_s - entry.queued_s)
        return Refuse(entry.work.id, refusal)

    def _start_queued(
        self, queues: DeploymentQueues, now_s: float
    ) -> list[Decision]:
        started: list[Decision] = []
        if queues.long and preemption.is_contended(queues.usage, now_s):
            # Long work below its refill share starts first. Otherwise
            # continuous short work would starve it.
            started.extend(self._start_long(queues, now_s))
        started.extend(self._start_short(queues, now_s))
        if queues.short:
            self._record_contention(queues, now_s)
        started.extend(self._start_long(queues, now_s))
        return started

    def _record_contention(
        self, queues: DeploymentQueues, now_s: float
    ) -> None:
        until_s = now_s + preemption.CONTENTION_HOLD_S
        queues.usage.contended_until_s = until_s

    def _start_long(
        self, queues: DeploymentQueues, now_s: float
    ) -> list[Decision]:
        started: list[Decision] = []
        while queues.long and preemption.long_may_start(queues.usage, now_s):
            placeable = self._next_placeable(queues.long, now_s)
            if placeable is None:
                break
            started.append(self._start(queues, *placeable, now_s))
        return started

    def _start_short(
        self, queues: DeploymentQueues, now_s: float
    ) -> list[Decision]:
        started: list[Decision] = []
        while queues.short:
            placeable = self._next_placeable(queues.short, now_s)
            if placeable is None or not self._placement.has_free_slot(
                placeable[1], now_s
            ):
                decisions = self._preempt_for_short(queues, now_s)
                if decisions:
                    started.extend(decisions)
                    continue
            if placeable is None:
                break
            started.append(self._start(queues, *placeable, now_s))
        return started

    def _preempt_for_short(
        self, queues: DeploymentQueues, now_s: float
    ) -> list[Decision]:
        """Preempt long work and start the next short work in its slot."""
        if not preemption.may_preempt(queues.usage, now_s):
            return []
        entry = queues.short.peek()
        is_usable = functools.partial(self._placement.is_usable, entry.work)
        running = queues.running.values()
        victim = preemption.victim(running, is_usable, now_s)
        if victim is None:
            return []
        victim.preempting = True
        queues.usage.preempting += 1
        self._record_contention(queues, now_s)
        record = self._placement.groups[victim.group_id]
        start = self._start(queues, entry, record, now_s)
        return [Preempt(victim.work.id), start]

    def _next_placeable(
        self, queue: queueing.FairQueue, now_s: float
    ) -> tuple[work_lib.Entry, placement.GroupRecord] | None:
        entry = queue.peek()
        record = self._place(entry, now_s)
        if record is not None:
            return entry, record
        if not entry.work.exclude:
            return None
        # Work that excludes the only groups with room must not block the work
        # of other customers.
        for customer in queue.customers():
            entry = customer.head()
            record = self._place(entry, now_s)
            if record is not None:
                return entry, record
        return None

    def _place(
        self, entry: work_lib.Entry, now_s: float
    ) -> placement.GroupRecord | None:
        rates = self._estimator.rates_of(entry.work.deployment)
        residence_s = rates.median_tokens / rates.slot_rate
        headroom = preemption.LONG_HEADROOM if entry.is_long else 0.0
        return self._placement.choose(entry.work, residence_s, now_s, headroom)

    def _start(
        self,
        queues: DeploymentQueues,
        entry: work_lib.Entry,
        record: placement.GroupRecord,
        now_s: float,
    ) -> Start:
        queues.queue_of(entry).start(entry)
        queues.usage.add(entry.is_long, 1)
        queues.running[entry.work.id] = entry
        entry.group_id = record.status.group_id
        entry.started_s = now_s
        self._placement.started(entry.work, record, now_s)
        return Start(
            work_id=entry.work.id,
            group_id=entry.group_id,
            head_address=record.status.head_address,
            generation=record.status.generation,
            engine_priority=preemption.engine_priority(entry, now_s),
        )

    def started(self, work_id: str) -> None:
        """Record that the group accepted the work."""
        entry = self._entries.get(work_id)
        if entry is not None and entry.group_id:
            self._counts["accepted"] += 1

    def progress(self, work_id: str, tokens: int) -> None:
        """Record the total number of tokens received since the start."""
        entry = self._entries.get(work_id)
        if entry is None or not entry.group_id:
            return
        entry.tokens = tokens
        if entry.first_token_s is None:
            entry.first_token_s = self._clock.monotonic()
            self._estimator.record_first_token(entry)
        if not entry.is_long:
            self._reclassify(entry)

    def _reclassify(self, entry: work_lib.Entry) -> None:
        length = entry.work.resume_from + entry.tokens
        if length <= self._estimator.long_tokens(entry.work.deployment):
            return
        usage = self._queues(entry.work.deployment).usage
        usage.add(False, -1)
        usage.add(True, 1)
        entry.is_long = True

    def finished(self, work_id: str, outcome: str) -> None:
        """Remove work that left its group or the queue, with any outcome."""
        entry = self._entries.pop(work_id, None)
        if entry is None:
            return
        now_s = self._clock.monotonic()
        queues = self._queues(entry.work.deployment)
        self._counts[outcome] += 1
        if not entry.group_id:
            queues.queue_of(entry).remove(entry)
            return
        del queues.running[work_id]
        queues.usage.add(entry.is_long, -1)
        queues.usage.preempting -= entry.preempting
        self._placement.finished(entry.group_id, now_s)
        queue = queues.queue_of(entry)
        queue.charge(entry.work.customer, entry.tokens - entry.cost)
        if outcome == COMPLETED:
            self._estimator.record_completion(entry, now_s)

    def cancel(self, work_id: str) -> None:
        """Remove work whose caller has disconnected."""
        self.finished(work_id, "cancelled")

    def stats(self) -> dict[str, float]:
        """Return counters and current queue and usage sizes by name."""
        queues = self._deployments.values()
        return dict(self._counts) | {
            "waiting_short": sum(len(q.short) for q in queues),
            "waiting_long": sum(len(q.long) for q in queues),
            "running_short": sum(q.usage.short for q in queues),
            "running_long": sum(q.usage.long for q in queues),
            "preempting": sum(q.usage.preempting for q in queues),
        }
