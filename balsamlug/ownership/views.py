"""Collect what a plan depends on from the tables of this node."""

import collections
from collections.abc import Callable
from collections.abc import Mapping

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

MS_PER_S = 1000
# After this time no router can still be sending new work to a group that is
# not ready: it has either heard so or dropped its last observation.
SETTLE_S = fleet.REPORT_LIFETIME_S


class Views:
    """Views of the domains, with the shared parts computed once."""

    def __init__(self, state: fleet.FleetState) -> None:
        self._state = state
        self._key: tuple[int, int] = (-1, -1)
        self._engines: dict[str, dict[str, tables.Instance]] = {}
        self._quotas: dict[str, split.Quotas] = {}

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

    def max_loads(self, domain: str) -> int:
        """Return this domain's share of the loads at one time."""
        total = sum(len(engines) for engines in self._engines.values())
        share = len(self.engines(domain)) / max(1, total)
        return max(1, int(self._state.settings.limits.max_loads * share))

    def planner_view(
        self,
        record: records.DomainRecord,
        observations: Mapping[str, obs.Observation],
        now_s: float,
    ) -> planner.View:
        """Return the view that a plan of a domain is made from."""
        domain = record.domain
        _, value = records.version_and_value(self._state.domains.get(domain))
        groups = group_table.from_value(value)
        ready = self.ready_groups(groups, now_s)
        _note_readiness(record, groups, ready, now_s)
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
            elsewhere=collections.Counter(g.deployment for g in others),
            ready_elsewhere=collections.Counter(
                g.deployment
                for g in others
                if self._state.group_status(g.id, now_s).ready
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

    def targets(
        self, record: records.DomainRecord, now_s: float
    ) -> dict[str, float]:
        """Return what the holder of a domain probes, with the intervals.

        Members of groups that are reported ready are left to the probers of
        the group.
        """
        domain = record.domain
        _, value = records.version_and_value(self._state.domains.get(domain))
        groups = group_table.from_value(value)
        ready = self.ready_groups(groups, now_s)
        served = {m for g in ready for m in groups[g].members}
        members = {m for g in groups.values() for m in g.members}
        wanted = (self.engines(domain).keys() | members) - served
        _note_considered(record, wanted, now_s)
        return {
            i: prober.PROBE_INTERVAL_S
            if i in members
            else prober.SPARE_INTERVAL_S
            for i in wanted
        }

    def situation(
        self,
        record: records.DomainRecord,
        observations: Mapping[str, obs.Observation],
        address: Callable[[str], str],
    ) -> orders.Situation:
        """Return what the orders of a domain depend on."""
        domain = record.domain
        _, value = records.version_and_value(self._state.domains.get(domain))
        groups = group_table.from_value(value)
        members = {m for g in groups.values() for m in g.members}
        known = self.engines(domain).keys() | members
        deployments = self._state.settings.deployments
        return orders.Situation(
            groups=groups,
            observations={
                i: observations[i] for i in known & observations.keys()
            },
            addresses={i: address(i) for i in known},
            epoch=record.view.lease.epoch if record.view else 0,
            last_number=value.get("next_group", 1) - 1,
            max_loads=self.max_loads(domain),
            priorities={d.name: d.priority for d in deployments.values()},
        )

    def _elsewhere(self, domain: str) -> list[tuple[str, tables.Group]]:
        """Return the groups of other domains that stay."""
        return [
            (other.domain, group)
            for other in self._state.domains.values()
            if other.domain != domain
            for group in group_table.from_value(other.value).values()
            if not group.retiring
        ]

    def _not_our_turn(
        self, domain: str, others: list[tuple[str, tables.Group]]
    ) -> frozenset[str]:
        """Return the deployments that an earlier domain has to change."""
        deployments = self._state.settings.deployments
        return frozenset(
            group.deployment
            for other, group in others
            if other < domain
            and group.deployment in deployments
            and draft.outdated(group, deployments[group.deployment])
        )


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
    sampled_s = head.sent_at_s - head.status.load_age_ms / MS_PER_S
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
