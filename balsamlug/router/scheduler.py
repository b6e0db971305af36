"""Choose a group for each request: least in flight."""

import collections
import random
from typing import Any

import attrs

from balsamlug import clock as clocks
from balsamlug import exceptions
from balsamlug import tables
from balsamlug.config import schema


@attrs.frozen
class Work:
    """One request as the scheduler sees it.

    Attributes:
      deadline_s: monotonic time by which the first token is due.
      resume_from: tokens the caller already has.
      exclude: ids of groups that must not run it.
    """

    id: str
    customer: str
    deployment: str
    priority: int
    weight: int
    deadline_s: float
    prompt_tokens: int
    max_tokens: int
    fingerprint: str
    prefix_hash: str
    resume_from: int = 0
    exclude: frozenset[str] = frozenset()


@attrs.frozen
class Start:
    """Send the work to a group."""

    work_id: str
    group_id: str
    head_address: str
    generation: int
    engine_priority: int


@attrs.frozen
class Refuse:
    """Answer the work with a refusal."""

    work_id: str
    refusal: exceptions.Refusal


@attrs.frozen
class Preempt:
    """Cancel running work; the rest is submitted again."""

    work_id: str


Decision = Start | Refuse | Preempt


class Scheduler:
    """Start the oldest work on the group with the least in flight."""

    def __init__(
        self, clock: clocks.Clock, rng: random.Random, limits: schema.Limits
    ) -> None:
        self._limits = limits
        self._clock = clock
        self._rng = rng
        self._groups: list[tables.GroupStatus] = []
        self._slots: dict[str, int] = {}
        self._queue: dict[str, Work] = {}
        self._running: dict[str, str] = {}

    def submit(self, work: Work) -> None:
        """Queue work."""
        if len(self._queue) >= self._limits.max_queue:
            raise exceptions.QueueFull("too many requests wait", 1000)
        self._queue[work.id] = work

    def update_groups(
        self, groups: list[tables.GroupStatus], slots: dict[str, int]
    ) -> None:
        """Replace the known groups and the slots of their deployments."""
        self._groups = groups
        self._slots = slots

    def tick(self) -> list[Decision]:
        """Return what to do now."""
        decisions: list[Decision] = []
        for work in list(self._queue.values()):
            decision = self._decide(work)
            if decision is not None:
                del self._queue[work.id]
                decisions.append(decision)
        return decisions

    def started(self, work_id: str) -> None:
        """Note the first token of an attempt."""

    def progress(self, work_id: str, tokens: int) -> None:
        """Note tokens of an attempt."""

    def finished(self, work_id: str, outcome: str) -> None:
        """Release what the work holds."""
        self._running.pop(work_id, None)

    def cancel(self, work_id: str) -> None:
        """Forget queued or running work."""
        self._queue.pop(work_id, None)
        self._running.pop(work_id, None)

    def stats(self) -> dict[str, Any]:
        """Return the numbers of queued and running requests."""
        return {"queued": len(self._queue), "running": len(self._running)}

    def _decide(self, work: Work) -> Decision | None:
        if self._clock.monotonic() > work.deadline_s:
            return Refuse(work.id, exceptions.DeadlineUnreachable("late"))
        ready = [
            g
            for g in self._groups
            if g.ready
            and g.deployment == work.deployment
            and g.group_id not in work.exclude
        ]
        if not ready:
            refusal = exceptions.NoReadyGroup("no group is ready", 1000)
            return Refuse(work.id, refusal)
        load = collections.Counter(self._running.values())
        group = min(ready, key=lambda g: load[g.group_id])
        if load[group.group_id] >= self._slots.get(work.deployment, 1):
            return None
        self._running[work.id] = group.group_id
        return Start(
            work.id,
            group.group_id,
            group.head_address,
            group.generation,
            work.priority,
        )
