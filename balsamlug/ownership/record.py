"""What one node remembers about a fabric domain between ticks."""

import asyncio
import random

import attrs

from balsamlug import state as fleet
from balsamlug.ownership import groups as group_table
from balsamlug.ownership import lease as leases
from balsamlug.ownership import planner

# After a failed call the next one waits for a random part of a bound that
# doubles up to this. Candidates of a lower rank wait longer, so that the many
# candidates of a long outage do not call all at once when the store returns.
BACKOFF_FIRST_S = 0.25
BACKOFF_MAXIMUM_S = 3.0
BACKOFF_CANDIDATE_MAXIMUM_S = 600.0
# A holder that hears no engine of its domain for this time cannot repair it.
# Another node may have a path; if none has, the lease moves on slowly.
HAND_OVER_AFTER_S = 10.0
UNFIT_S = 60.0
# Unconfirmed writes are remembered so that they are recognised when read.
MAX_PENDING = 16


@attrs.define
class DomainRecord:
    """Memory of one domain.

    Attributes:
      view: of the lease, None before the first tick.
      pending: operation id -> reading before the write was sent, of writes
        whose outcome is unknown.
      required_epoch: lowest epoch that the engines accept.
      considered_since_s: when the holder first asked for each instance.
      not_ready_since_s: since when each group is reported as not ready.
      deleted: the last read found no object.
      heard_s: when an engine of the domain last answered the holder.
      unfit_until_s: this node does not apply for the lease before this.
      next_call_s: no call of the store before this.
      step: store call in flight.
      engines: engines of the domain that were listed last time.
      grown_s: when the list last brought another engine.
    """

    domain: str
    view: leases.LeaseView | None = None
    pending: dict[str, float] = attrs.field(factory=dict)
    required_epoch: int = 0
    plan: planner.Plan | None = None
    considered_since_s: dict[str, float] = attrs.field(factory=dict)
    not_ready_since_s: dict[str, float] = attrs.field(factory=dict)
    deleted: bool = False
    heard_s: float = 0.0
    unfit_until_s: float = 0.0
    next_call_s: float = 0.0
    failures: int = 0
    step: asyncio.Task | None = None
    engines: frozenset[str] = frozenset()
    grown_s: float = float("-inf")

    def note_engines(self, engines: frozenset[str], now_s: float) -> None:
        """Note which engines of the domain are listed."""
        if engines - self.engines:
            self.grown_s = now_s
        self.engines = engines

    def observe(self, value: dict, now_s: float) -> None:
        """Take over the lease of a seen version."""
        lease = leases.from_value(value)
        sent_s = self.pending.pop(lease.operation_id, None)
        if sent_s is not None:
            self.view = leases.confirm(self.view, lease, sent_s)
        else:
            self.view = leases.observe(self.view, lease, now_s)

    def begin_write(self, operation_id: str, now_s: float) -> None:
        """Note a write before it is sent."""
        self.pending[operation_id] = now_s
        while len(self.pending) > MAX_PENDING:
            del self.pending[next(iter(self.pending))]

    def holds(self, now_s: float) -> bool:
        """Return whether this node may act as the holder now."""
        return leases.holds(self.view, now_s)

    def owns_epoch(self) -> bool:
        """Return whether no other node has taken over, as far as is known.

        The lease may have lapsed; a conditional update then still shows
        whether anyone took over.
        """
        view = self.view
        return (
            view is not None
            and view.epoch_held > 0
            and view.lease.epoch == view.epoch_held
            and bool(view.lease.holder)
        )

    def note_heard(self, heard: bool, now_s: float) -> None:
        """Note whether the domain answers, or has nothing to probe."""
        if heard or not self.holds(now_s):
            self.heard_s = now_s

    def is_cut_off(self, now_s: float) -> bool:
        """Return whether no engine has answered the holder for long."""
        return now_s - self.heard_s >= HAND_OVER_AFTER_S

    def hand_over(self, now_s: float) -> None:
        """Leave the lease to other nodes for a while."""
        self.unfit_until_s = now_s + UNFIT_S

    def delay_calls(
        self, now_s: float, rank: int, rng: random.Random, at_least_s: float
    ) -> None:
        """Back off after a failed call."""
        bound_s = min(BACKOFF_MAXIMUM_S, BACKOFF_FIRST_S * 2.0**self.failures)
        if not self.owns_epoch():
            bound_s = min(
                BACKOFF_CANDIDATE_MAXIMUM_S, bound_s * (1 + rank) ** 2
            )
        self.failures = min(self.failures + 1, 16)
        self.next_call_s = now_s + at_least_s + rng.uniform(0.5, 1) * bound_s

    def allow_calls(self) -> None:
        """End the back-off after a successful call."""
        self.failures = 0
        self.next_call_s = 0.0


def new_value() -> dict:
    """Return the value of a domain object that does not exist yet."""
    return {"lease": {}, "groups": {}, "draining": {}, "next_group": 1}


def planned_value(value: dict, plan: planner.Plan | None) -> dict:
    """Return a value with the groups of a plan; the rest stays."""
    if plan is None:
        return value
    groups = {g.id: group_table.to_value(g) for g in plan.groups.values()}
    return value | {"groups": groups, "next_group": plan.next_group}


def version_and_value(obj: fleet.DomainObject | None) -> tuple[int, dict]:
    """Return version and value, also of an object that does not exist."""
    return (obj.version, obj.value) if obj is not None else (0, new_value())
