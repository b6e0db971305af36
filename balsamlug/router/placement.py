"""Choice of the group for a request, from lagged load reports."""

import collections
import hashlib
import math
import random

import attrs

from balsamlug import clock as clocks
from balsamlug import tables
from balsamlug.router import work as work_lib

# Random candidates of a choice. Two avoid the crowding on the least loaded
# group of a shared report; the third covers candidates without room.
CANDIDATES = 3
# Requests that may wait in an engine, as a part of its slots. They keep the
# slots busy until the routers see a free one, and the engine orders the work
# of all routers by deadline. With more of them too much waits at a group that
# turns out to be slow or is lost.
MARGIN_SHARE = 0.3
# Routers that share the groups, until the node table tells.
DEFAULT_ROUTERS = 12
# Reports of every group after which an old traffic share is forgotten.
SHARE_MEMORY = 4
# Prefixes whose groups this router remembers.
PREFIXES = 4096
# Groups that hold a prefix. All routers derive the same ones from a hash, so
# their requests meet in few caches.
PREFIX_GROUPS = 4
# Part of a prompt that a cached prefix usually covers.
PREFIX_COVER = 0.7
# Prompt tokens per second of prefill.
PREFILL_RATE = 2500.0
# Time in which the routers' reaction removes most of a reported difference.
REPORT_DECAY_S = 1.5
# Short work preempts long work when fewer slots than this are expected free.
FREE_SLOTS = 0.5
# A full batch slows each of its requests; cost of load in the comparison.
LOAD_COST_S = 0.5


@attrs.define(eq=False)
class GroupRecord:
    """One group as this router knows it.

    Attributes:
      slots: requests the group runs at once.
      figures_s: monotonic time of the reported figures.
      reported: requests running or queued by the report.
      log: this router's starts (+1) and finishes (-1) with their times.
      delta: sum of the log since the figures.
      target: own requests this router aims to have there, adapted by every
        report. An own finish is replaced without waiting for a report.
    """

    status: tables.GroupStatus
    slots: int = 0
    figures_s: float = float("-inf")
    reported: int = 0
    log: collections.deque[tuple[float, int]] = attrs.field(
        factory=collections.deque
    )
    delta: int = 0
    target: int = 0
    running: int = 0

    @property
    def load(self) -> int:
        """Return the requests at the group, own changes included."""
        return max(self.reported + self.delta, self.running)

    @property
    def margin(self) -> float:
        """Return how many requests may wait in the engine."""
        return max(1.0, MARGIN_SHARE * self.slots)

    @property
    def room(self) -> int:
        """Return how many requests this router may add."""
        return self.target - self.running

    def expected(self, usual: float, now_s: float) -> float:
        """Estimate the present load.

        All routers see the same report and react to it, so a difference from
        the other groups shrinks while the report ages.

        Args:
          usual: mean part of the slots taken, over all groups.
        """
        trust = math.exp(min(0.0, self.figures_s - now_s) / REPORT_DECAY_S)
        mean = usual * self.slots
        return mean + trust * (self.reported - mean) + self.delta

    def note(self, now_s: float, change: int) -> None:
        """Record an own start or finish."""
        self.log.append((now_s, change))
        self.delta += change
        self.running += change

    def forget_before(self, figures_s: float) -> None:
        """Drop own changes that the reported figures contain."""
        while self.log and self.log[0][0] <= figures_s:
            self.delta -= self.log.popleft()[1]


@attrs.define(eq=False)
class Pool:
    """The ready groups of one deployment.

    Attributes:
      usual: mean part of the slots that is taken, queued requests included.
      traffic_share: this router's part of all requests at the groups.
    """

    records: list[GroupRecord] = attrs.field(factory=list)
    usual: float = 0.0
    traffic_share: float = 1.0 / DEFAULT_ROUTERS

    def refresh(self, reports: int) -> None:
        """Follow a number of new reports."""
        slots = sum(r.slots for r in self.records)
        reported = sum(r.reported for r in self.records)
        own = sum(r.running for r in self.records)
        self.usual = reported / max(1, slots)
        if reported:
            gain = min(1.0, reports / (SHARE_MEMORY * len(self.records)))
            sample = min(1.0, own / reported)
            self.traffic_share += gain * (sample - self.traffic_share)


@attrs.define
class Placement:
    """Tables of the groups and the choice between them."""

    rng: random.Random
    groups: dict[str, GroupRecord] = attrs.field(factory=dict)
    routers: int = DEFAULT_ROUTERS
    _pools: dict[str, Pool] = attrs.field(factory=dict)
    _homes: collections.OrderedDict[tuple[str, str], tuple[str, ...]] = (
        attrs.field(factory=collections.OrderedDict)
    )

    def update(
        self,
        statuses: list[tables.GroupStatus],
        slots: dict[str, int],
    ) -> None:
        """Take over the present statuses; absent groups are gone.

        Args:
          slots: deployment -> requests a group runs at once.
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
            changed |= self._apply(record, status, slots)
        if changed:
            self._rebuild({status.group_id for status in statuses})
        for deployment, count in reports.items():
            self._pool(deployment).refresh(count)

    def _apply(
        self,
        record: GroupRecord,
        status: tables.GroupStatus,
        slots: dict[str, int],
    ) -> bool:
        old = record.status
        record.status = status
        load = status.load
        record.slots = slots.get(status.deployment, 0) or load.capacity
        figures_s = status.observed_at_s - load.age_ms / clocks.MS_PER_S
        if figures_s > record.figures_s:
            record.figures_s = figures_s
            record.reported = load.running + load.queued
            record.forget_before(figures_s)
            record.target = self._target(record)
        return old is status or _served(old) != _served(status)

    def _pool(self, deployment: str) -> Pool:
        found = self._pools.get(deployment)
        if found is None:
            found = self._pools[deployment] = Pool()
        return found

    def ready(self, deployment: str) -> bool:
        """Tell whether any group of a deployment is ready."""
        pool = self._pools.get(deployment)
        return pool is not None and bool(pool.records)

    def _target(self, record: GroupRecord) -> int:
        """Derive the own share of what the group should hold.

        The difference refers to the moment of the figures, so it is added to
        the own requests of that moment: what this router has done since is
        part of the step and not a reason for another one. Free slots are
        shared by the adaptive part, an excess in proportion to the load.
        """
        own = record.running - record.delta
        free = record.slots + record.margin - record.reported
        if free >= 0:
            pool = self._pool(record.status.deployment)
            share = (pool.traffic_share + 1 / self.routers) / 2
            exact = own + free * share
        else:
            exact = own * (1 + free / max(1, record.reported))
        whole = int(exact)
        return whole + (self.rng.random() < exact - whole)

    def _rebuild(self, present: set[str]) -> None:
        for group_id in self.groups.keys() - present:
            record = self.groups[group_id]
            record.status = attrs.evolve(record.status, ready=False)
            # Own requests still there would otherwise be counted out of a
            # new record when the group comes back.
            if not record.running:
                del self.groups[group_id]
        self._homes.clear()
        for pool in self._pools.values():
            pool.records = []
        for record in self.groups.values():
            if record.status.ready:
                self._pool(record.status.deployment).records.append(record)

    def has_free_slot(self, record: GroupRecord, now_s: float) -> bool:
        """Tell whether one more request should run at once."""
        usual = self._pool(record.status.deployment).usual
        return record.slots - record.expected(usual, now_s) > FREE_SLOTS

    def is_usable(self, work: work_lib.Work, group_id: str) -> bool:
        """Tell whether the work may run in a group."""
        record = self.groups.get(group_id)
        if record is None or group_id in work.exclude:
            return False
        return _served(record.status) == work.deployment

    def choose(
        self,
        work: work_lib.Work,
        residence_s: float,
        now_s: float,
        headroom: float = 0.0,
    ) -> GroupRecord | None:
        """Return the group that should run the work, None without room.

        Args:
          residence_s: usual time a request spends in a slot.
          headroom: part of the slots that must stay free.
        """
        pool = self._pool(work.deployment)
        candidates = self._candidates(pool, work, headroom, now_s)
        if not candidates:
            return None
        homes = self._homes_of(work, pool)
        usual = pool.usual
        saved_s = PREFIX_COVER * work.prompt_tokens / PREFILL_RATE

        def score(record: GroupRecord) -> float:
            saving = saved_s if record.status.group_id in homes else 0.0
            expected = record.expected(usual, now_s)
            return _queueing_s(record, residence_s, expected) - saving

        return min(candidates, key=score)

    def _homes_of(self, work: work_lib.Work, pool: Pool) -> tuple[str, ...]:
        """Return the groups that should hold the prefix of the work."""
        if not work.prefix_hash:
            return ()
        key = (work.deployment, work.prefix_hash)
        homes = self._homes.get(key)
        if homes is None:
            names = (record.status.group_id for record in pool.records)
            ranked = sorted(names, key=lambda name: _rank(work, name))
            homes = self._homes[key] = tuple(ranked[:PREFIX_GROUPS])
            if len(self._homes) > PREFIXES:
                self._homes.popitem(last=False)
        return homes

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
            usual, part = pool.usual, 1 - headroom
            usable = [
                r for r in usable if r.expected(usual, now_s) < part * r.slots
            ]
        if len(usable) <= CANDIDATES:
            return usable
        chosen = self.rng.sample(usable, CANDIDATES)
        homes = self._homes_of(work, pool)
        if homes:
            chosen += [r for r in usable if r.status.group_id in homes]
        return chosen

    def started(
        self, work: work_lib.Work, record: GroupRecord, now_s: float
    ) -> None:
        """Record an own start."""
        record.note(now_s, 1)

    def finished(self, group_id: str, now_s: float) -> None:
        """Record that own work left a group."""
        record = self.groups.get(group_id)
        if record is not None:
            record.note(now_s, -1)


def _served(status: tables.GroupStatus) -> str:
    """Return the deployment the group is ready for, empty for none."""
    return status.deployment if status.ready else ""


def _rank(work: work_lib.Work, group_id: str) -> bytes:
    name = f"{work.deployment}/{work.prefix_hash}/{group_id}".encode()
    return hashlib.blake2b(name, digest_size=8).digest()


def _queueing_s(record: GroupRecord, residence_s: float, load: float) -> float:
    slots = max(1, record.slots)
    excess = max(0.0, load + 1 - slots)
    return (excess * residence_s + load * LOAD_COST_S) / slots
