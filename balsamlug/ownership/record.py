"""State of one fabric domain that a node retains between manager ticks.

It holds the observed lease, unconfirmed writes, the last plan and the back-off
of calls to the object store.
"""

import asyncio
from collections.abc import Iterable
import random

import attrs

from balsamlug import state as fleet
from balsamlug.ownership import groups as group_table
from balsamlug.ownership import lease as leases
from balsamlug.ownership import planner
from balsamlug.store import positions

# Where generations may have been lost, the next one is higher by a random
# number of this range. A writer may have missed as many as the lower bound, and
# the range keeps two writers apart.
SKIPPED_GENERATIONS = range(2**10, 2**24)
# After a failed store call, the next call waits for a random part of a bound
# that doubles up to the maximum. Candidates with a higher rank number wait
# longer, so that the many candidates of a long outage do not all call at once
# when the store is available again.
INITIAL_BACKOFF_S = 0.25
MAX_BACKOFF_S = 3.0
MAX_CANDIDATE_BACKOFF_S = 600.0
# A holder that receives no response from any engine of its domain for this
# time cannot repair the domain. It releases the lease, because another node
# may reach the engines, and does not apply again during the pause. The pause
# limits how often the lease changes its holder when no node reaches them.
RELEASE_AFTER_UNREACHABLE_S = 10.0
CANDIDACY_PAUSE_S = 60.0
# Unconfirmed writes are recorded, so that the node recognises them when it
# reads the object.
MAX_PENDING_WRITES = 16
# Delay before a refused generation is replaced; it doubles with each refusal,
# since a faulty engine may refuse every generation.
FIRST_RENUMBER_DELAY_S = 0.01
MAX_RENUMBER_DELAY_S = 3.0
# Bits by which the skipped generations grow with each refusal, and refusals
# after which they grow no further.
SKIP_GROWTH_BITS = 2
MAX_REFUSALS = 10


@attrs.define
class DomainRecord:
    """State of one domain at this node, in addition to the domain object.

    Attributes:
      view: observed lease, None before the first tick.
      pending: operation id -> clock reading before the write was sent, for
        writes whose outcome is unknown.
      required_epoch: lowest epoch that the engines accept.
      refused: group -> highest generation that an engine refused to join.
      required_generation: lowest generation to assign next.
      renumber_from_s: earliest time at which refused generations are replaced.
      plan: last plan that this node made as the holder.
      probing_since_s: when the holder first requested probes of each
        instance.
      not_ready_since_s: since when each group is reported as not ready.
      below_quota_since_s: since when each deployment of a service has fewer
        groups here than its quota.
      deleted: whether the last read found no object.
      last_response_s: when an engine of the domain last answered the holder.
      candidacy_paused_until_s: this node does not apply for the lease before
        this time.
      next_call_s: earliest time of the next store call.
      failures: consecutive failed store calls, up to 16.
      store_call: store call in flight.
      engines: engines of the domain that were listed at the last tick.
      first_engine_s: when the instance list first had an engine.
      last_engine_added_s: when the instance list last added an engine.
    """

    domain: str
    view: leases.LeaseView | None = None
    pending: dict[str, float] = attrs.field(factory=dict)
    required_epoch: int = 0
    refused: dict[str, int] = attrs.field(factory=dict)
    required_generation: int = 0
    renumber_from_s: float = 0.0
    _refusals: int = 0
    plan: planner.Plan | None = None
    probing_since_s: dict[str, float] = attrs.field(factory=dict)
    not_ready_since_s: dict[str, float] = attrs.field(factory=dict)
    below_quota_since_s: dict[tuple[str, str], float] = attrs.field(
        factory=dict
    )
    deleted: bool = False
    last_response_s: float = 0.0
    candidacy_paused_until_s: float = 0.0
    next_call_s: float = 0.0
    failures: int = 0
    store_call: asyncio.Task | None = None
    engines: frozenset[str] = frozenset()
    first_engine_s: float = float("inf")
    last_engine_added_s: float = float("-inf")

    def record_engines(self, engines: frozenset[str], now_s: float) -> None:
        """Record which engines of the domain are listed."""
        if engines - self.engines:
            self.first_engine_s = min(self.first_engine_s, now_s)
            self.last_engine_added_s = now_s
        self.engines = engines

    def observe(self, obj: fleet.DomainObject | None, now_s: float) -> None:
        """Update the view from a received version of the domain object."""
        version, value = version_and_value(obj)
        era = positions.era_of(version)
        lease = leases.from_value(value)
        sent_s = self.pending.pop(lease.operation_id, None)
        if sent_s is not None:
            self.view = leases.confirm(self.view, lease, sent_s, era)
        else:
            self.view = leases.observe(self.view, lease, now_s, era)

    def begin_write(self, operation_id: str, now_s: float) -> None:
        """Record a write before it is sent."""
        self.pending[operation_id] = now_s
        while len(self.pending) > MAX_PENDING_WRITES:
            del self.pending[next(iter(self.pending))]

    def holds(self, now_s: float) -> bool:
        """Return whether this node may act as the holder now."""
        return leases.holds(self.view, now_s)

    def has_current_epoch(self) -> bool:
        """Return whether this node has not observed a takeover of its lease.

        The lease may have expired. A conditional update then still fails if
        another node took over.
        """
        view = self.view
        return (
            view is not None
            and view.epoch_held > 0
            and view.lease.epoch == view.epoch_held
            and bool(view.lease.holder)
        )

    def record_refused_generation(
        self, group_id: str, generation: int, rng: random.Random, now_s: float
    ) -> None:
        """Record that an engine has had a higher generation than a group's.

        How high is unknown, so the distance to the next generation grows with
        each refusal.
        """
        if generation <= self.refused.get(group_id, 0):
            return
        self.refused[group_id] = generation
        growth = SKIP_GROWTH_BITS * self._refusals
        skipped = rng.choice(SKIPPED_GENERATIONS) << growth
        self.required_generation = max(
            self.required_generation, generation + skipped
        )
        delay_s = FIRST_RENUMBER_DELAY_S * 2.0**self._refusals
        self.renumber_from_s = now_s + min(MAX_RENUMBER_DELAY_S, delay_s)
        self._refusals = min(self._refusals + 1, MAX_REFUSALS)

    def refused_generations(
        self, groups: Iterable[str], now_s: float
    ) -> dict[str, int]:
        """Return the refused generations to replace now, by group."""
        self.refused = {g: self.refused[g] for g in groups if g in self.refused}
        return self.refused if now_s >= self.renumber_from_s else {}

    def record_response(self, responded_or_idle: bool, now_s: float) -> None:
        """Record that an engine answered or that no probe is needed."""
        if responded_or_idle or not self.holds(now_s):
            self.last_response_s = now_s

    def are_engines_unreachable(self, now_s: float) -> bool:
        """Return whether no engine has recently answered the holder."""
        return now_s - self.last_response_s >= RELEASE_AFTER_UNREACHABLE_S

    def pause_candidacy(self, now_s: float) -> None:
        """Do not apply for the lease until the pause has passed."""
        self.candidacy_paused_until_s = now_s + CANDIDACY_PAUSE_S

    def back_off(
        self, now_s: float, rank: int, rng: random.Random, at_least_s: float
    ) -> None:
        """Delay the next store call after a failed one."""
        bound_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2.0**self.failures)
        if not self.has_current_epoch():
            bound_s = min(MAX_CANDIDATE_BACKOFF_S, bound_s * (1 + rank) ** 2)
        self.failures = min(self.failures + 1, 16)
        self.next_call_s = now_s + at_least_s + rng.uniform(0.5, 1) * bound_s

    def reset_backoff(self) -> None:
        """End the back-off after a successful store call."""
        self.failures = 0
        self.next_call_s = 0.0


def new_value() -> dict:
    """Return the value of a domain object that does not exist yet."""
    return {"lease": {}, "groups": {}, "draining": {}, "next_group": 1}


def planned_value(value: dict, plan: planner.Plan | None) -> dict:
    """Return a value with the groups of a plan, unchanged without a plan."""
    if plan is None:
        return value
    groups = {g.id: group_table.to_value(g) for g in plan.groups.values()}
    return value | {"groups": groups, "next_group": plan.next_group}


def version_and_value(obj: fleet.DomainObject | None) -> tuple[int, dict]:
    """Return version and value; version 0 if the object does not exist."""
    return (obj.version, obj.value) if obj is not None else (0, new_value())
