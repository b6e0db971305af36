"""Simple scheduling policies with which the scheduler is compared.

They have the interface of `scheduler.Scheduler` and refuse work only when no
group is ready. Policies that forward immediately leave the queueing to the
engines.
"""

import collections
import random

from balsamlug import clock as clock_lib
from balsamlug import tables
from balsamlug.config import schema
from balsamlug.router import admission
from balsamlug.router import scheduler


class Baseline:
    """Forwards work in the order of arrival."""

    # Whether the simulation runs the policy as one router with all requests,
    # which policies with one shared queue need.
    single_router = False

    def __init__(
        self,
        clock: clock_lib.Clock,
        rng: random.Random,
        limits: schema.Limits,
    ):
        self._rng = rng
        self._queue: collections.deque[scheduler.Work] = collections.deque()
        self._ready: list[tables.GroupStatus] = []
        self._slots: dict[str, int] = {}
        self._in_flight: collections.Counter[str] = collections.Counter()
        self._group_of: dict[str, str] = {}

    def update_groups(
        self, statuses: list[tables.GroupStatus], slots: dict[str, int]
    ) -> None:
        """Replace the list of ready groups."""
        self._ready = [s for s in statuses if s.ready]
        self._slots = slots

    def submit(self, work: scheduler.Work) -> None:
        """Add work to the queue, or refuse it when no group is ready."""
        if not self._ready and not work.resume_from:
            raise admission.no_ready_group(work.deployment)
        self._queue.append(work)

    def tick(self) -> list[scheduler.Decision]:
        """Start queued work until the policy has no group for it."""
        decisions: list[scheduler.Decision] = []
        while self._queue:
            work = self._queue[0]
            usable = [s for s in self._ready if s.group_id not in work.exclude]
            status = self._choose(usable or self._ready)
            if status is None:
                break
            self._queue.popleft()
            decisions.append(self._start(work, status))
        return decisions

    def _choose(
        self, usable: list[tables.GroupStatus]
    ) -> tables.GroupStatus | None:
        raise NotImplementedError

    def _start(
        self, work: scheduler.Work, status: tables.GroupStatus
    ) -> scheduler.Start:
        self._group_of[work.id] = status.group_id
        self._in_flight[status.group_id] += 1
        return scheduler.Start(
            work.id, status.group_id, status.head_address, status.generation, 0
        )

    def started(self, work_id: str) -> None:
        """Ignore the acceptance of the work by its group."""

    def progress(self, work_id: str, tokens: int) -> None:
        """Ignore the number of generated tokens."""

    def finished(self, work_id: str, outcome: str) -> None:
        """Subtract the work from the count of its group."""
        group_id = self._group_of.pop(work_id, None)
        if group_id is not None:
            self._in_flight[group_id] -= 1


class RoundRobin(Baseline):
    """Forwards to the ready groups in rotation, from a random first one."""

    _position = -1

    def _choose(
        self, usable: list[tables.GroupStatus]
    ) -> tables.GroupStatus | None:
        if not usable:
            return None
        if self._position < 0:
            self._position = self._rng.randrange(len(usable))
        self._position += 1
        return usable[self._position % len(usable)]


class LeastInFlight(Baseline):
    """Forwards to the group with the fewest requests of this router."""

    def _choose(
        self, usable: list[tables.GroupStatus]
    ) -> tables.GroupStatus | None:
        if not usable:
            return None
        least = min(self._in_flight[s.group_id] for s in usable)
        ties = [s for s in usable if self._in_flight[s.group_id] == least]
        return self._rng.choice(ties)


class SingleQueue(Baseline):
    """Keeps one queue for all routers and starts work only in free slots.

    It has the exact number of free slots. Independent routers cannot have
    this information, which makes it a strong baseline.
    """

    single_router = True

    def _choose(
        self, usable: list[tables.GroupStatus]
    ) -> tables.GroupStatus | None:
        free = [
            s
            for s in usable
            if self._in_flight[s.group_id] < self._slots[s.deployment]
        ]
        if not free:
            return None
        return min(free, key=lambda s: self._in_flight[s.group_id])


BASELINES = {
    "round_robin": RoundRobin,
    "least_in_flight": LeastInFlight,
    "single_queue": SingleQueue,
}
