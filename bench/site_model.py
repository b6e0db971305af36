"""Model of a site for the repair benchmark: instances, loads and plans."""

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
# From the failure until the holder replaces the instance, and until a
# restarted process is seen.
REPLACE_S = 3.5
NOTICE_S = 0.5
LOAD_S = 60.0
# An instance that is down for longer than this leaves the platform's list.
LIST_LAG_S = 120.0


@attrs.define
class Machine:
    """One instance of the model."""

    name: str
    up: bool = True
    # Count changes of power and loads; events of earlier ones are void.
    change: int = 0
    load: int = 0
    incarnation: int = 1
    missing: bool = False
    listed: bool = True
    weights: tuple | None = None
    loading: tuple | None = None

    def listing(self, domain: str) -> tables.Instance:
        """Return the entry of the platform's list."""
        kind = tables.InstanceKind.ENGINE
        return tables.Instance(self.name, "", kind, "", domain, "", "")


@attrs.define(eq=False)
class Site:
    """All domains of a site, with one queue of events."""

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
        """Process events and integrate the measures."""
        while self.events and self.events[0][0] <= until_s:
            when_s, _, domain, action, args = heapq.heappop(self.events)
            self._pass_time(when_s)
            action(*args)
            domain.decide()
        self._pass_time(until_s)

    def list_changed(self) -> None:
        """Split the groups again over the listed instances."""
        listed = [
            m.listing(d.name)
            for d in self.domains.values()
            for m in d.machines.values()
            if m.listed
        ]
        quotas = split.split(listed, self.settings)
        self.fleet_quota = split.fleet_quota(quotas)
        for domain in self.domains.values():
            domain.quotas = quotas.get(domain.name, {})
            domain.decide()

    def elsewhere(self, name: str) -> collections.Counter:
        """Return the groups of each deployment in other domains."""
        return collections.Counter(
            group.deployment
            for domain in self.domains.values()
            if domain.name != name
            for group in domain.groups.values()
        )

    def load_share(self) -> int:
        """Return how many instances of one domain may load at once."""
        return max(1, self.max_loads // len(self.domains))

    def _pass_time(self, now_s: float) -> None:
        passed_s = now_s - self.now_s
        self.now_s = now_s
        for name in self.settings.deployments:
            wanted = sum(d.wanted(name) for d in self.domains.values())
            serving = sum(d.serving[name] for d in self.domains.values())
            self.downtime_s[name] += passed_s * max(0, wanted - serving)
        for domain in self.domains.values():
            self.stranded_s += passed_s * domain.stranded * ACCELERATORS


@attrs.define(eq=False)
class Domain:
    """One fabric domain with its plan.

    Attributes:
      serving: groups that serve now, by deployment.
      stranded: running instances in no serving group now.
    """

    site: Site
    name: str
    machines: dict[str, Machine]
    steps: tuple[planner.Step, ...]
    first_broken_first: bool
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
        """Take an instance down for a time."""
        machine = self.machines[name]
        if not machine.up:
            return
        machine.up, machine.loading = False, None
        machine.change += 1
        machine.load += 1
        if not keeps_weights:
            machine.weights = None
        change = machine.change
        self.at(self.now_s + REPLACE_S, self._miss, machine, change)
        back = self.now_s + down_s
        self.at(back, self._return, machine, change, keeps_weights)
        if down_s > LIST_LAG_S:
            self.at(self.now_s + LIST_LAG_S, self._list, machine, False)
            self.at(back + LIST_LAG_S, self._list, machine, True)

    def wanted(self, name: str) -> int:
        """Return the domain's quota of a deployment."""
        return self.quotas.get(name, split.Quota()).maximum

    def _list(self, machine: Machine, listed: bool) -> None:
        machine.listed = listed
        self.site.list_changed()

    def _miss(self, machine: Machine, change: int) -> None:
        if machine.change == change:
            machine.missing = True

    def _return(self, machine: Machine, change: int, same: bool) -> None:
        if machine.change == change:
            machine.up = True
            machine.change += 1
            machine.incarnation += not same
            seen_s = self.now_s + NOTICE_S
            self.at(seen_s, self._notice, machine, machine.change)

    def _notice(self, machine: Machine, change: int) -> None:
        if machine.change == change:
            machine.missing = False

    def decide(self) -> None:
        """Plan until nothing changes, and start loads."""
        for _ in range(8):
            found = planner.plan(self._view(), self.steps)
            self.groups, self.next_group = found.groups, found.next_group
            if not found.actions:
                break
        self._start_loads()
        self._measure()
        self._note_broken()

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
            groups_in_other_domains=self.site.elsewhere(self.name),
        )

    def _long_broken(self) -> frozenset[str]:
        wait_s = views.DISSOLVE_AFTER_S
        return frozenset(
            group_id
            for group_id, since_s in self.broken_since_s.items()
            if self.now_s - since_s >= wait_s
        )

    def _note_broken(self) -> None:
        broken = {g.id for g in self.groups.values() if not self._serves(g)}
        for group_id in self.broken_since_s.keys() - broken:
            del self.broken_since_s[group_id]
        for group_id in broken - self.broken_since_s.keys():
            self.broken_since_s[group_id] = self.now_s
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
        wanted = {
            member: (group.model, group.version, rank, len(group.members))
            for group in self.groups.values()
            for rank, member in enumerate(group.members)
        }
        for machine in self.machines.values():
            if machine.loading not in (None, wanted.get(machine.name)):
                machine.loading = None
                machine.load += 1
        room = self.site.load_share() - sum(
            m.loading is not None for m in self.machines.values()
        )
        for group in sorted(self.groups.values(), key=self._load_key):
            for member in group.members:
                room -= self._load(member, wanted[member], room, group)

    def _load(
        self, name: str, wanted: tuple, room: int, group: tables.Group
    ) -> bool:
        machine = self.machines[name]
        busy = machine.loading is not None or machine.weights == wanted
        alive = all(self.machines[m].up for m in group.members)
        if room <= 0 or busy or not machine.up:
            return False
        if not alive and not self.first_broken_first:
            return False
        machine.loading, machine.weights = wanted, None
        machine.load += 1
        self.site.loads += 1
        self.at(self.now_s + LOAD_S, self._loaded, machine, machine.load)
        return True

    def _loaded(self, machine: Machine, load: int) -> None:
        if machine.load == load:
            machine.weights, machine.loading = machine.loading, None

    def _load_key(self, group: tables.Group) -> tuple:
        if self.first_broken_first:
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
