"""Choice of the group for a request, by load reports that lag behind.

The scheduler chooses a group here when it starts queued work.
"""

import collections
import hashlib
import math
import random

import attrs

from balsamlug import clock as clocks
from balsamlug import tables
from balsamlug.router import work as work_lib

# Randomly sampled groups for one choice. With two, routers that share a report
# do not all choose its least loaded group; the third covers candidates without
# room.
CANDIDATES = 3
# Requests that may be queued in an engine, as a part of its slots. They keep
# the slots busy until the routers observe a free one, and the engine orders the
# work of all routers by deadline. With a higher value too many requests would
# be queued at a group that turns out to be slow or is lost.
ENGINE_QUEUE_SHARE = 0.3
# Assumed number of routers that share the groups, until the node table is
# received.
DEFAULT_ROUTERS = 12
# Number of reports from every group over which the traffic share is averaged.
SHARE_AVERAGE_REPORTS = 4
# Maximum number of prefixes whose groups this router caches.
MAX_PREFIXES = 4096
# Groups with affinity to a prefix. All routers derive the same groups from a
# hash, so that requests with the prefix use few caches.
PREFIX_GROUPS = 4
# Expected part of a prompt that a cached prefix covers.
CACHED_PROMPT_SHARE = 0.7
# Prompt tokens per second of prefill.
PREFILL_TOKENS_PER_S = 2500.0
# Time constant with which the routers' reaction to a report reduces the load
# difference that it shows.
REPORT_DECAY_S = 1.5
# Short work preempts long work when fewer free slots than this are expected.
MIN_FREE_SLOTS = 0.5
# Cost of one request of load when groups are compared, because a full batch
# slows each of its requests.
LOAD_COST_S = 0.5


@attrs.define(eq=False)
class GroupRecord:
    """Load of one group, as reported and as changed by this router.

    Attributes:
      slots: number of requests that the group runs at once.
      reported_at_s: monotonic time at which the reported load was measured.
      reported: requests running or queued according to the report.
      changes: this router's starts (+1) and finishes (-1), each with its time,
        that the report does not contain.
      delta: sum of the changes.
      target: number of local requests that this router aims to run in the
        group, adapted with every report. A finished local request is replaced
        without waiting for a report.
      running: local requests that run in the group.
    """

    status: tables.GroupStatus
    slots: int = 0
    reported_at_s: float = float("-inf")
    reported: int = 0
    changes: collections.deque[tuple[float, int]] = attrs.field(
        factory=collections.deque
    )
    delta: int = 0
    target: int = 0
    running: int = 0

    @property
    def load(self) -> int:
        """Return the requests at the group, local changes included."""
        return max(self.reported + self.delta, self.running)

    @property
    def engine_queue_limit(self) -> float:
        """Return how many requests may be queued in the engine."""
        return max(1.0, ENGINE_QUEUE_SHARE * self.slots)

    @property
    def room(self) -> int:
        """Return how many requests this router may start in the group."""
        return self.target - self.running

    def expected_load(self, mean_usage: float, now_s: float) -> float:
        """Estimate the current load.

        All routers receive the same report and react to it, so the load of the
        group approaches the mean of all groups while the report ages.

        Args:
          mean_usage: mean part of the slots in use, over all groups.
        """
        report_weight = math.exp(
            min(0.0, self.reported_at_s - now_s) / REPORT_DECAY_S
        )
        mean = mean_usage * self.slots
        return mean + report_weight * (self.reported - mean) + self.delta

    def record_change(self, now_s: float, change: int) -> None:
        """Record a local start (+1) or finish (-1)."""
        self.changes.append((now_s, change))
        self.delta += change
        self.running += change

    def drop_changes_until(self, reported_at_s: float) -> None:
        """Drop local changes that the reported load contains."""
        while self.changes and self.changes[0][0] <= reported_at_s:
            self.delta -= self.changes.popleft()[1]


@attrs.define(eq=False)
class Pool:
    """The ready groups of one deployment.

    Attributes:
      records: ready groups.
      mean_usage: mean part of the slots in use, queued requests included.
      traffic_share: this router's part of all requests at the groups.
    """

    records: list[GroupRecord] = attrs.field(factory=list)
    mean_usage: float = 0.0
    traffic_share: float = 1.0 / DEFAULT_ROUTERS

    def update_averages(self, reports: int) -> None:
        """Update the averages after a number of new reports."""
        slots = sum(r.slots for r in self.records)
        reported = sum(r.reported for r in self.records)
        local = sum(r.running for r in self.records)
        self.mean_usage = reported / max(1, slots)
        if reported:
            weight = min(
                1.0, reports / (SHARE_AVERAGE_REPORTS * len(self.records))
            )
            sample = min(1.0, local / reported)
            self.traffic_share += weight * (sample - self.traffic_share)


@attrs.define
class Placement:
    """Load of all groups, and the choice of a group for each request.

    Attributes:
      groups: records of the groups by id.
      routers: live routers that share the groups.
    """

    rng: random.Random
    groups: dict[str, GroupRecord] = attrs.field(factory=dict)
    routers: int = DEFAULT_ROUTERS
    _pools: dict[str, Pool] = attrs.field(factory=dict)
    _affinity: collections.OrderedDict[tuple[str, str], tuple[str, ...]] = (
        attrs.field(factory=collections.OrderedDict)
    )

    def update(
        self,
        statuses: list[tables.GroupStatus],
        slots: dict[str, int],
    ) -> None:
        """Apply the current statuses; groups without a status are not ready.

        Args:
          slots: deployment -> number of requests that a group runs at once.
        """
        changed = len(statuses) != len(self.groups)
        reports: collections.Counter[str] = collections.Counter()
        for status in statuses:
            record = self.groups.get(status.group_id)
            if record is None:
                record = GroupRecord(status)
                self.groups[status.group_id] = record
                changed = True
            elif record.status is status or record.status == status:
                continue
            reports[status.deployment] += 1
            changed |= self._apply_status(record, status, slots)
        if changed:
            self._rebuild_pools({status.group_id for status in statuses})
        for deployment, count in reports.items():
            self._pool(deployment).update_averages(count)

    def _apply_status(
        self,
        record: GroupRecord,
        status: tables.GroupStatus,
        slots: dict[str, int],
    ) -> bool:
        old = record.status
        record.status = status
        load = status.load
        record.slots = slots.get(status.deployment, 0) or load.capacity
        reported_at_s = status.observed_at_s - load.age_ms / clocks.MS_PER_S
        if reported_at_s > record.reported_at_s:
            record.reported_at_s = reported_at_s
            record.reported = load.running + load.queued
            record.drop_changes_until(reported_at_s)
            record.target = self._target(record)
        return old is status or _ready_deployment(old) != _ready_deployment(
            status
        )

    def _pool(self, deployment: str) -> Pool:
        pool = self._pools.get(deployment)
        if pool is None:
            pool = self._pools[deployment] = Pool()
        return pool

    def ready(self, deployment: str) -> bool:
        """Return whether any group of a deployment is ready."""
        pool = self._pools.get(deployment)
        return pool is not None and bool(pool.records)

    def _target(self, record: GroupRecord) -> int:
        """Compute how many local requests the group should run.

        The reported difference from the slots refers to the time of the
        report, so it is added to the local requests at that time. Local
        changes since then already are a reaction to the load and must not
        cause a second correction. Free slots are divided by the adaptive
        traffic share, an excess in proportion to each router's load.
        """
        local = record.running - record.delta
        free = record.slots + record.engine_queue_limit - record.reported
        if free >= 0:
            pool = self._pool(record.status.deployment)
            share = (pool.traffic_share + 1 / self.routers) / 2
            fractional_target = local + free * share
        else:
            fractional_target = local * (1 + free / max(1, record.reported))
        target = int(fractional_target)
        return target + (self.rng.random() < fractional_target - target)

    def _rebuild_pools(self, present: set[str]) -> None:
        for group_id in self.groups.keys() - present:
            record = self.groups[group_id]
            record.status = attrs.evolve(record.status, ready=False)
            # A record is retained while local requests run in the group.
            # Otherwise their finishes would be subtracted from a new record
            # when the group returns.
            if not record.running:
                del self.groups[group_id]
        self._affinity.clear()
        for pool in self._pools.values():
            pool.records = []
        for record in self.groups.values():
            if record.status.ready:
                self._pool(record.status.deployment).records.append(record)

    def has_free_slot(self, record: GroupRecord, now_s: float) -> bool:
        """Return whether one more request is expected to run at once."""
        mean_usage = self._pool(record.status.deployment).mean_usage
        return (
            record.slots - record.expected_load(mean_usage, now_s)
            > MIN_FREE_SLOTS
        )

    def is_usable(self, work: work_lib.Work, group_id: str) -> bool:
        """Return whether the work may run in a group."""
        record = self.groups.get(group_id)
        if record is None or group_id in work.exclude:
            return False
        return _ready_deployment(record.status) == work.deployment

    def choose(
        self,
        work: work_lib.Work,
        residence_s: float,
        now_s: float,
        headroom: float = 0.0,
    ) -> GroupRecord | None:
        """Return the group that should run the work.

        Args:
          residence_s: typical time that a request occupies a slot.
          headroom: part of the slots that must remain free.

        Returns:
          The record of the group, or None when no group has room.
        """
        pool = self._pool(work.deployment)
        candidates = self._candidates(pool, work, headroom, now_s)
        if not candidates:
            return None
        affinity_groups = self._affinity_groups(work, pool)
        mean_usage = pool.mean_usage
        saved_s = (
            CACHED_PROMPT_SHARE * work.prompt_tokens / PREFILL_TOKENS_PER_S
        )

        def score(record: GroupRecord) -> float:
            saving = (
                saved_s if record.status.group_id in affinity_groups else 0.0
            )
            expected_load = record.expected_load(mean_usage, now_s)
            return _load_cost_s(record, residence_s, expected_load) - saving

        return min(candidates, key=score)

    def _affinity_groups(
        self, work: work_lib.Work, pool: Pool
    ) -> tuple[str, ...]:
        """Return the ids of the groups with affinity to the work's prefix."""
        if not work.prefix_hash:
            return ()
        key = (work.deployment, work.prefix_hash)
        affinity_groups = self._affinity.get(key)
        if affinity_groups is None:
            names = (record.status.group_id for record in pool.records)
            ranked = sorted(
                names, key=lambda name: _rendezvous_hash(work, name)
            )
            affinity_groups = self._affinity[key] = tuple(
                ranked[:PREFIX_GROUPS]
            )
            if len(self._affinity) > MAX_PREFIXES:
                self._affinity.popitem(last=False)
        return affinity_groups

    def _candidates(
        self,
        pool: Pool,
        work: work_lib.Work,
        headroom: float,
        now_s: float,
    ) -> list[GroupRecord]:
        usable = [
            r
            for r in pool.records
            if r.room > 0 and r.status.group_id not in work.exclude
        ]
        if headroom:
            mean_usage, part = pool.mean_usage, 1 - headroom
            usable = [
                r
                for r in usable
                if r.expected_load(mean_usage, now_s) < part * r.slots
            ]
        if len(usable) <= CANDIDATES:
            return usable
        chosen = self.rng.sample(usable, CANDIDATES)
        affinity_groups = self._affinity_groups(work, pool)
        if affinity_groups:
            chosen += [
                r for r in usable if r.status.group_id in affinity_groups
            ]
        return chosen

    def started(
        self, work: work_lib.Work, record: GroupRecord, now_s: float
    ) -> None:
        """Record that work of this router started in a group."""
        record.record_change(now_s, 1)

    def finished(self, group_id: str, now_s: float) -> None:
        """Record that work of this router left a group."""
        record = self.groups.get(group_id)
        if record is not None:
            record.record_change(now_s, -1)


def _ready_deployment(status: tables.GroupStatus) -> str:
    """Return the deployment that a ready group serves, else an empty string."""
    return status.deployment if status.ready else ""


def _rendezvous_hash(work: work_lib.Work, group_id: str) -> bytes:
    """Return the rendezvous hash of a group for the prefix of the work."""
    name = f"{work.deployment}/{work.prefix_hash}/{group_id}".encode()
    return hashlib.blake2b(name, digest_size=8).digest()


def _load_cost_s(record: GroupRecord, residence_s: float, load: float) -> float:
    """Return the expected wait in the engine plus the cost of the load."""
    slots = max(1, record.slots)
    excess = max(0.0, load + 1 - slots)
    return (excess * residence_s + load * LOAD_COST_S) / slots
