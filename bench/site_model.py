"""Model of a site for `bench.repair`.

Simulates instances and weight loads; the plans come from the planner.
"""

import collections
from collections.abc import Callable
import heapq

import attrs

from balsamlug import tables
from balsamlug.config import schema
from balsamlug.ownership import planner
from balsamlug.ownership import reasons
from balsamlug.ownership import split
from balsamlug.ownership import views

ACCELERATORS = 8
# Time from a failure until the lease holder replaces the instance, and from a
# restart until it is detected.
REPLACE_DELAY_S = 3.5
RESTART_DETECTION_S = 0.5
LOAD_S = 60.0
# The platform removes an instance that is down for longer than this from its
# list, and lists it again the same time after its return.
LIST_LAG_S = 120.0


@attrs.define
class Machine:
    """One instance of the model.

    Attributes:
      missing: whether the failure was detected.
      listed: whether the platform lists the instance.
      weights: the loaded weights, as model, version, rank and group size.
      loading: weights that are being loaded.
    """

    name: str
    up: bool = True
    # Number of starts and stops, and of started and cancelled loads. A
    # scheduled event holds the number and is ignored when the number has
    # changed since.
    power_changes: int = 0
    load_changes: int = 0
    incarnation: int = 1
    missing: bool = False
    listed: bool = True
    weights: tuple | None = None
    loading: tuple | None = None

    def list_entry(self, domain: str) -> tables.Instance:
        """Return the entry of the instance in the platform's list."""
        kind = tables.InstanceKind.ENGINE
        return tables.Instance(self.name, "", kind, "", domain, "", "")


@attrs.define(eq=False)
class Site:
    """All fabric domains of a site, with one event queue.

    Attributes:
      max_loads: maximum concurrent weight loads in the site.
      downtime_s: group-seconds below the quota, by deployment.
      stranded_s: accelerator-seconds of running instances in no serving
        group.
      loads: weight loads started so far.
    """

    settings: schema.Settings
    max_loads: int
    domains: dict[str, "Domain"] = attrs.field(factory=dict)
    fleet_quota: dict[str, int] = attrs.field(factory=dict)
    events: list = attrs.field(factory=list)
    now_s: float = 0.0
    sequence: int = 0
    downtime_s: collections.Counter = attrs.field(factory=collections.Counter)
    stranded_s: float = 0.0
    loads: int = 0

    def at(self, when_s: float, domain, action: Callable, *args) -> None:
        """Schedule an action of a domain."""
        self.sequence += 1
        heapq.heappush(
            self.events, (when_s, self.sequence, domain, action, args)
        )

    def run(self, until_s: float) -> None:
        """Process the events until a time and integrate the measures."""
        while self.events and self.events[0][0] <= until_s:
            when_s, _, domain, action, args = heapq.heappop(self.events)
            self._advance(when_s)
            action(*args)
            domain.decide()
        self._advance(until_s)

    def update_quotas(self) -> None:
        """Recompute the quotas of all domains from the listed instances."""
        listed = [
            m.list_entry(d.name)
            for d in self.domains.values()
            for m in d.machines.values()
            if m.listed
        ]
        quotas = split.split(listed, self.settings)
        self.fleet_quota = split.fleet_quota(quotas)
        for domain in self.domains.values():
            domain.quotas = quotas.get(domain.name, {})
            domain.decide()

    def groups_in_other_domains(self, name: str) -> collections.Counter:
        """Return the number of groups by deployment in other domains."""
        return collections.Counter(
            group.deployment
            for domain in self.domains.values()
            if domain.name != name
            for group in domain.groups.values()
        )

    def load_share(self) -> int:
        """Return the maximum concurrent loads of one domain."""
        return max(1, self.max_loads // len(self.domains))

    def _advance(self, now_s: float) -> None:
        elapsed_s = now_s - self.now_s
        self.now_s = now_s
        for name in self.settings.deployments:
            required = sum(d.quota_maximum(name) for d in self.domains.values())
            serving = sum(d.serving[name] for d in self.domains.values())
            self.downtime_s[name] += elapsed_s * max(0, required - serving)
        for domain in self.domains.values():
            self.stranded_s += elapsed_s * domain.stranded * ACCELERATORS


@attrs.define(eq=False)
class Domain:
    """One fabric domain with its groups.

    Attributes:
      oldest_first: whether weights load for the oldest group first, and even
        when another member of the group is down.
      broken_since_s: time since which each broken group does not serve.
      serving: number of serving groups, by deployment.
      stranded: running instances in no serving group.
    """

    site: Site
    name: str
    machines: dict[str, Machine]
    steps: tuple[planner.Step, ...]
    oldest_first: bool
    quotas: split.Quotas = attrs.field(factory=dict)
    groups: dict[str, tables.Group] = attrs.field(factory=dict)
    next_group: int = 1
    broken_since_s: dict[str, float] = attrs.field(factory=dict)
    serving: collections.Counter = attrs.field(factory=collections.Counter)
    stranded: int = 0

    def at(self, when_s: float, action: Callable, *args) -> None:
        """Schedule an action of this domain."""
        self.site.at(when_s, self, action, *args)

    @property
    def now_s(self) -> float:
        """Return the time of the site."""
        return self.site.now_s

    def fail(self, name: str, down_s: float, keeps_weights: bool) -> None:
        """Stop an instance for a time."""
        machine = self.machines[name]
        if not machine.up:
            return
        machine.up, machine.loading = False, None
        machine.power_changes += 1
        machine.load_changes += 1
        if not keeps_weights:
            machine.weights = None
        power_changes = machine.power_changes
        self.at(
            self.now_s + REPLACE_DELAY_S,
            self._mark_missing,
            machine,
            power_changes,
        )
        return_s = self.now_s + down_s
        self.at(return_s, self._restart, machine, power_changes, keeps_weights)
        if down_s > LIST_LAG_S:
            self.at(self.now_s + LIST_LAG_S, self._set_listed, machine, False)
            self.at(return_s + LIST_LAG_S, self._set_listed, machine, True)

    def quota_maximum(self, name: str) -> int:
        """Return the maximum number of groups of a deployment."""
        return self.quotas.get(name, split.Quota()).maximum

    def _set_listed(self, machine: Machine, listed: bool) -> None:
        machine.listed = listed
        self.site.update_quotas()

    def _mark_missing(self, machine: Machine, power_changes: int) -> None:
        if machine.power_changes == power_changes:
            machine.missing = True

    def _restart(
        self, machine: Machine, power_changes: int, keeps_weights: bool
    ) -> None:
        if machine.power_changes == power_changes:
            machine.up = True
            machine.power_changes += 1
            machine.incarnation += not keeps_weights
            detected_s = self.now_s + RESTART_DETECTION_S
            self.at(
                detected_s, self._mark_present, machine, machine.power_changes
            )

    def _mark_present(self, machine: Machine, power_changes: int) -> None:
        if machine.power_changes == power_changes:
            machine.missing = False

    def decide(self) -> None:
        """Run the planner until it has no actions, and start loads."""
        for _ in range(8):
            plan = planner.plan(self._view(), self.steps)
            self.groups, self.next_group = plan.groups, plan.next_group
            if not plan.actions:
                break
        self._start_loads()
        self._measure()
        self._record_broken()

    def _view(self) -> planner.View:
        conditions = {
            m.name: self._condition(m) for m in self.machines.values()
        }
        return planner.View(
            self.name,
            self.site.settings.deployments,
            self.quotas,
            self.groups,
            self.next_group,
            conditions,
            idle_groups=frozenset(self.groups),
            long_broken=self._long_broken(),
            fleet_quota=self.site.fleet_quota,
            groups_in_other_domains=self.site.groups_in_other_domains(
                self.name
            ),
        )

    def _long_broken(self) -> frozenset[str]:
        wait_s = views.DISSOLVE_AFTER_S
        return frozenset(
            group_id
            for group_id, since_s in self.broken_since_s.items()
            if self.now_s - since_s >= wait_s
        )

    def _record_broken(self) -> None:
        broken = {g.id for g in self.groups.values() if not self._serves(g)}
        for group_id in self.broken_since_s.keys() - broken:
            del self.broken_since_s[group_id]
        for group_id in broken - self.broken_since_s.keys():
            self.broken_since_s[group_id] = self.now_s
            # Every event is followed by a plan, so an empty one is enough to
            # plan again when the group may be dissolved.
            due_s = self.now_s + views.DISSOLVE_AFTER_S
            self.at(due_s, lambda: None)

    def _condition(self, machine: Machine) -> reasons.Condition:
        reason = None
        if machine.missing:
            reason = reasons.Reason.MISSING
        elif not machine.up:
            reason = reasons.Reason.SILENT
        return reasons.Condition(
            machine.name, reason, str(machine.incarnation), machine.weights
        )

    def _start_loads(self) -> None:
        required = {
            member: (group.model, group.version, rank, len(group.members))
            for group in self.groups.values()
            for rank, member in enumerate(group.members)
        }
        for machine in self.machines.values():
            if machine.loading not in (None, required.get(machine.name)):
                machine.loading = None
                machine.load_changes += 1
        free_loads = self.site.load_share() - sum(
            m.loading is not None for m in self.machines.values()
        )
        for group in sorted(self.groups.values(), key=self._load_key):
            for member in group.members:
                free_loads -= self._start_load(
                    member, required[member], free_loads, group
                )

    def _start_load(
        self, name: str, required: tuple, free_loads: int, group: tables.Group
    ) -> bool:
        machine = self.machines[name]
        busy = machine.loading is not None or machine.weights == required
        alive = all(self.machines[m].up for m in group.members)
        if free_loads <= 0 or busy or not machine.up:
            return False
        if not alive and not self.oldest_first:
            return False
        machine.loading, machine.weights = required, None
        machine.load_changes += 1
        self.site.loads += 1
        self.at(
            self.now_s + LOAD_S,
            self._finish_load,
            machine,
            machine.load_changes,
        )
        return True

    def _finish_load(self, machine: Machine, load_changes: int) -> None:
        if machine.load_changes == load_changes:
            machine.weights, machine.loading = machine.loading, None

    def _load_key(self, group: tables.Group) -> tuple:
        if self.oldest_first:
            return (group.generation,)
        missing = sum(
            self.machines[m].weights
            != (group.model, group.version, rank, len(group.members))
            for rank, m in enumerate(group.members)
        )
        priority = self.site.settings.deployments[group.deployment].priority
        return priority, missing / len(group.members), group.id

    def _measure(self) -> None:
        serving = [g for g in self.groups.values() if self._serves(g)]
        self.serving = collections.Counter(g.deployment for g in serving)
        busy = sum(len(g.members) for g in serving)
        self.stranded = sum(m.up for m in self.machines.values()) - busy

    def _serves(self, group: tables.Group) -> bool:
        return all(
            self.machines[m].up
            and group.incarnations[rank] == str(self.machines[m].incarnation)
            and self.machines[m].weights
            == (group.model, group.version, rank, len(group.members))
            for rank, m in enumerate(group.members)
        )
