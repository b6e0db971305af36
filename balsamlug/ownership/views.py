"""Collect what a plan depends on from the tables of this node."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

from balsamlug import clock as clocks
from balsamlug import state as fleet
from balsamlug import tables
from balsamlug.health import observations as obs
from balsamlug.health import prober
from balsamlug.ownership import conditions
from balsamlug.ownership import draft
from balsamlug.ownership import groups as group_table
from balsamlug.ownership import orders
from balsamlug.ownership import planner
from balsamlug.ownership import record as records
from balsamlug.ownership import split

# After this time no router can still be sending new work to a group that is
# not ready: it has either heard so or dropped its last observation.
SETTLE_S = fleet.REPORT_LIFETIME_S
# 190 of 200 interruptions a day are restarts, which take one to two minutes.
DISSOLVE_AFTER_S = 120.0
# Each tick may add this many times the domain's static share of the loads.
RAMP = 2


class Views:
    """Views of the domains, with the shared parts computed once."""

    def __init__(self, state: fleet.FleetState) -> None:
        self._state = state
        self.groups = group_table.Cache(state)
        self._key: tuple[int, int] = (-1, -1)
        self._engines: dict[str, dict[str, tables.Instance]] = {}
        self._quotas: dict[str, split.Quotas] = {}
        self._fleet_quota: dict[str, int] = {}

    def refresh(self) -> None:
        """Take over changes of the instance list and the settings."""
        state = self._state
        key = (state.instances_revision, state.config_revision)
        if key == self._key:
            return
        self._key = key
        self._engines = {}
        for instance in state.instances.values():
            if instance.kind is tables.InstanceKind.ENGINE:
                engines = self._engines.setdefault(instance.fabric_domain, {})
                engines[instance.id] = instance
        self._quotas = split.split(state.instances.values(), state.settings)
        self._fleet_quota = split.fleet_quota(self._quotas)

    def domains(self) -> list[str]:
        """Return every domain that has engines or an object."""
        return sorted(self._engines.keys() | self._state.domains.keys())

    def engines(self, domain: str) -> dict[str, tables.Instance]:
        """Return the listed engines of a domain."""
        return self._engines.get(domain, {})

    def region(self, domain: str) -> str:
        """Return the region of a domain, empty when it has no engines."""
        engines = self.engines(domain).values()
        return min((e.region for e in engines), default="")

    def max_loads(self, domain: str, loading: int, now_s: float) -> int:
        """Return how many instances of a domain may load weights now.

        The site's limit is shared by the domains that have a group which is
        not ready. Reports on other domains arrive within a second, so the
        number rises in steps: many domains that return together must not
        each take the whole limit before they know of one another.

        Args:
          loading: instances of the domain that load already.
        """
        limit = self._state.settings.limits.max_loads
        static = self._share(limit, domain, self._engines.keys())
        if loading == 0:
            return static
        waiting = {
            other
            for other, group in self.groups.all()
            if not self._state.group_status(group.id, now_s).ready
        }
        dynamic = self._share(limit, domain, waiting | {domain})
        return max(static, min(dynamic, loading + RAMP * static))

    def _share(self, limit: int, domain: str, sharing: Iterable[str]) -> int:
        total = sum(len(self.engines(other)) for other in sharing)
        return max(1, limit * len(self.engines(domain)) // max(1, total))

    def planner_view(
        self,
        record: records.DomainRecord,
        observations: Mapping[str, obs.Observation],
        now_s: float,
    ) -> planner.View:
        """Return the view that a plan of a domain is made from."""
        domain = record.domain
        _, value = records.version_and_value(self._state.domains.get(domain))
        groups = self.groups.of(domain)
        ready = self.ready_groups(groups, now_s)
        reported = frozenset(g for g in groups if self._reported_ready(g))
        _note_readiness(record, groups, reported | ready, now_s)
        engines = self.engines(domain)
        members = {m for g in groups.values() for m in g.members}
        facts = conditions.Facts(
            engines,
            value.get("draining", {}),
            observations,
            record.considered_since_s,
        )
        elsewhere = self._elsewhere(domain)
        others = [group for _, group in elsewhere]
        return planner.View(
            domain=domain,
            deployments=self._state.settings.deployments,
            quotas=self._quotas.get(domain, {}),
            groups=groups,
            next_group=value.get("next_group", 1),
            conditions=conditions.conditions(
                sorted(engines.keys() | members), facts, now_s
            ),
            ready=ready,
            quiet=quiet_groups(record, groups, observations, now_s),
            long_broken=frozenset(
                group_id
                for group_id, since_s in record.not_ready_since_s.items()
                if now_s - since_s >= DISSOLVE_AFTER_S
            ),
            fleet_quota=self._fleet_quota,
            elsewhere=collections.Counter(g.deployment for g in others),
            ready_elsewhere=self._ready_elsewhere(
                self._outdated(groups.values()), others, now_s
            ),
            not_our_turn=self._not_our_turn(domain, elsewhere),
        )

    def ready_groups(
        self, groups: Mapping[str, tables.Group], now_s: float
    ) -> frozenset[str]:
        """Return the groups that are reported ready at their generation."""
        found = {g: self._state.group_status(g, now_s) for g in groups}
        return frozenset(
            g
            for g, status in found.items()
            if status.ready and status.generation == groups[g].generation
        )

    def _ready_at_others(self, group: tables.Group, node: str) -> bool:
        received = self._state.reports.get(group.id, {})
        return any(
            r.report.ready and r.report.generation == group.generation
            for prober_, r in received.items()
            if prober_ != node
        ) and not any(r.report.definite for r in received.values())

    def _reported_ready(self, group_id: str) -> bool:
        """Return whether the last report of any prober says ready.

        A router that hears only this prober may still send new work.
        """
        received = self._state.reports.get(group_id, {}).values()
        return any(r.report.ready for r in received)

    def watched_groups(self, domain: str, node: str) -> list[tables.Group]:
        """Return the groups that a holder has to probe itself.

        Groups that another node reports as ready are left to their probers.
        When all their probers are cut off from a member, the holder's own
        report keeps the group in service.
        """
        return [
            group
            for group in self.groups.of(domain).values()
            if not self._ready_at_others(group, node)
        ]

    def targets(
        self, record: records.DomainRecord, node: str, now_s: float
    ) -> dict[str, float]:
        """Return what the holder of a domain probes, with the intervals."""
        engines = self.engines(record.domain)
        groups = self.groups.of(record.domain).values()
        watched = self.watched_groups(record.domain, node)
        members = {m for g in watched for m in g.members}
        assigned = {m for g in groups for m in g.members}
        spares = engines.keys() - assigned
        _note_considered(record, members | spares, now_s)
        return dict.fromkeys(spares, prober.SPARE_INTERVAL_S) | dict.fromkeys(
            members, prober.PROBE_INTERVAL_S
        )

    def situation(
        self,
        record: records.DomainRecord,
        observations: Mapping[str, obs.Observation],
        address: Callable[[str], str],
        now_s: float,
    ) -> orders.Situation:
        """Return what the orders of a domain depend on."""
        domain = record.domain
        _, value = records.version_and_value(self._state.domains.get(domain))
        groups = self.groups.of(domain)
        members = {m for g in groups.values() for m in g.members}
        known = self.engines(domain).keys() | members
        seen = {i: observations[i] for i in known & observations.keys()}
        deployments = self._state.settings.deployments
        return orders.Situation(
            groups=groups,
            observations=seen,
            addresses={i: address(i) for i in known},
            epoch=record.view.lease.epoch if record.view else 0,
            last_number=value.get("next_group", 1) - 1,
            max_loads=self.max_loads(domain, orders.loading(seen), now_s),
            priorities={d.name: d.priority for d in deployments.values()},
        )

    def _elsewhere(self, domain: str) -> list[tuple[str, tables.Group]]:
        """Return the groups of other domains that stay."""
        return [
            (other, group)
            for other, group in self.groups.all()
            if other != domain and not group.retiring
        ]

    def _ready_elsewhere(
        self, changed: set[str], others: list[tables.Group], now_s: float
    ) -> collections.Counter:
        """Return the ready groups of deployments that have to change."""
        return collections.Counter(
            g.deployment
            for g in others
            if g.deployment in changed
            and self._state.group_status(g.id, now_s).ready
        )

    def _not_our_turn(
        self, domain: str, others: list[tuple[str, tables.Group]]
    ) -> frozenset[str]:
        """Return the deployments that an earlier domain has to change."""
        earlier = [group for other, group in others if other < domain]
        return frozenset(self._outdated(earlier))

    def _outdated(self, groups: Iterable[tables.Group]) -> set[str]:
        """Return the deployments of groups that need a change."""
        deployments = self._state.settings.deployments
        return {
            g.deployment
            for g in groups
            if g.deployment in deployments
            and draft.outdated(g, deployments[g.deployment])
        }


def quiet_groups(
    record: records.DomainRecord,
    groups: Mapping[str, tables.Group],
    observations: Mapping[str, obs.Observation],
    now_s: float,
) -> frozenset[str]:
    """Return the groups that certainly have no work in flight."""
    return frozenset(
        g.id
        for g in groups.values()
        if _quiet(
            observations.get(g.members[0]),
            g,
            record.not_ready_since_s.get(g.id, now_s) + SETTLE_S,
        )
    )


def _quiet(
    head: obs.Observation | None, group: tables.Group, settled_s: float
) -> bool:
    """Return whether a load sample taken after settling shows no work."""
    if head is None or head.status is None or head.failure is not None:
        return False
    sampled_s = head.sent_at_s - head.status.load_age_ms / clocks.MS_PER_S
    if head.status.group != group.id:
        return head.sent_at_s >= settled_s
    load = head.status.load
    return sampled_s >= settled_s and load.running + load.queued == 0


def _note_readiness(
    record: records.DomainRecord,
    groups: Mapping[str, tables.Group],
    ready: frozenset[str],
    now_s: float,
) -> None:
    since = record.not_ready_since_s
    not_ready = groups.keys() - ready
    for group_id in not_ready - since.keys():
        since[group_id] = now_s
    for group_id in since.keys() - not_ready:
        del since[group_id]


def _note_considered(
    record: records.DomainRecord, wanted: set[str], now_s: float
) -> None:
    since = record.considered_since_s
    for instance in wanted - since.keys():
        since[instance] = now_s
    for instance in since.keys() - wanted:
        del since[instance]
