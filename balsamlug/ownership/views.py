"""Collect the inputs of plans and orders from the tables of this node."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Set

from balsamlug import clock as clocks
from balsamlug import state as fleet
from balsamlug import tables
from balsamlug.config import schema
from balsamlug.health import observations as obs
from balsamlug.health import prober
from balsamlug.ownership import capacity as capacities
from balsamlug.ownership import conditions
from balsamlug.ownership import draft
from balsamlug.ownership import groups as group_table
from balsamlug.ownership import orders
from balsamlug.ownership import planner
from balsamlug.ownership import record as records
from balsamlug.ownership import services as service_table
from balsamlug.ownership import split

# After this time no router sends new work to a group that is not ready: a
# router has received the report or its last report has expired.
ROUTERS_INFORMED_AFTER_S = fleet.REPORT_LIFETIME_S
# Members of a broken group are used for other groups after this time. 190 of
# 200 interruptions a day are restarts, which take one to two minutes.
DISSOLVE_AFTER_S = 120.0
# Groups that serve are retired for a group of another deployment after this
# time, for the same reason.
REBALANCE_AFTER_S = DISSOLVE_AFTER_S
# At each tick, the limit on loads exceeds the current loads by at most this
# multiple of the domain's static share.
LOAD_RAMP_FACTOR = 2


class Views:
    """Views of the domains, and in each domain of the engines of a service.

    Engines are computed once per change of the instance list, quotas once per
    change of the settings or of the number of engines. Engines that were lost
    count for the quotas until another model could have been loaded.

    Args:
      prefers_warm_heads: whether cold instances are no heads if possible.
    """

    def __init__(
        self, state: fleet.FleetState, prefers_warm_heads: bool = False
    ) -> None:
        self._state = state
        self._prefers_warm_heads = prefers_warm_heads
        self.groups = group_table.Cache(state)
        self._services = service_table.Services(state)
        self._key: tuple[int, int] = (-1, -1)
        self._engines: capacities.Engines[str] = {}
        self._service_engines: capacities.Engines[capacities.DomainService] = {}
        self._held = capacities.HeldCapacity()
        self._capacity: dict[capacities.DomainService, int] = {}
        self._quotas: dict[capacities.DomainService, split.Quotas] = {}
        self._fleet_quota: dict[str, dict[str, int]] = {}

    def refresh(self, now_s: float) -> None:
        """Apply changes of the instance list and the settings."""
        state = self._state
        key = (state.instances_revision, state.config_revision)
        if key == self._key and not self._held.changes_with_time():
            return
        settings_changed = key[1] != self._key[1]
        if settings_changed:
            self._held.hold_s = capacities.hold_s(state.catalogue)
        if key != self._key:
            self._key = key
            instances = state.instances.values()
            self._engines = capacities.engines_by(
                lambda i: i.fabric_domain, instances
            )
            self._service_engines = capacities.engines_by(
                self._key_of, instances
            )
            capacity = self._held.update(self._service_engines, now_s)
        else:
            capacity = self._held.counts(now_s)
        if settings_changed or capacity != self._capacity:
            self._capacity = capacity
            self._split()

    def _key_of(self, engine: tables.Instance) -> capacities.DomainService:
        return engine.fabric_domain, self._services.of_instance(engine)

    def _split(self) -> None:
        """Compute the quotas of each service from its engines."""
        self._quotas, self._fleet_quota = {}, {}
        for service in sorted({service for _, service in self._capacity}):
            capacity = {
                domain: count
                for (domain, other), count in self._capacity.items()
                if other == service
            }
            settings = self._services.settings(service)
            quotas = split.split_capacity(capacity, settings)
            self._fleet_quota[service] = split.fleet_quota(quotas)
            for domain, quota in quotas.items():
                self._quotas[domain, service] = quota

    def domains(self) -> list[str]:
        """Return every domain that has listed engines or a domain object."""
        return sorted(self._engines.keys() | self._state.domains.keys())

    def engines(self, domain: str) -> Mapping[str, tables.Instance]:
        """Return the listed engines of a domain."""
        return self._engines.get(domain, {})

    def services(self, domain: str) -> list[str]:
        """Return the services that have engines or groups in a domain."""
        listed = {
            service
            for other, service in self._service_engines
            if other == domain
        }
        stored = {
            self._services.of_group(g) for g in self.groups.of(domain).values()
        }
        return sorted(listed | stored)

    def region(self, domain: str) -> str:
        """Return the region of a domain, empty when it has no engines."""
        engines = self.engines(domain).values()
        return min((e.region for e in engines), default="")

    def max_loads(self, domain: str, loading: int, now_s: float) -> int:
        """Return how many instances of a domain may load weights now.

        The limit of the site is shared by the domains that have a group which
        is not ready. Reports from other domains take up to a second to arrive,
        so the number rises in steps: when many domains recover together, each
        must not use the full limit before it has received the reports of the
        others.

        Args:
          loading: instances of the domain that are already loading.
        """
        limit = self._state.settings.limits.max_loads
        static = self._load_share(limit, domain, self._engines.keys())
        if loading == 0:
            return static
        domains_not_ready = {
            other
            for other, group in self.groups.all()
            if not self._state.group_status(group.id, now_s).ready
        }
        dynamic = self._load_share(limit, domain, domains_not_ready | {domain})
        return max(static, min(dynamic, loading + LOAD_RAMP_FACTOR * static))

    def _load_share(
        self, limit: int, domain: str, sharing: Iterable[str]
    ) -> int:
        total = sum(len(self.engines(other)) for other in sharing)
        return max(1, limit * len(self.engines(domain)) // max(1, total))

    def planner_view(
        self,
        record: records.DomainRecord,
        observations: Mapping[str, obs.Observation],
        now_s: float,
        service: str,
    ) -> planner.View:
        """Return the input of the plan of a service in a domain."""
        domain = record.domain
        _, value = records.version_and_value(self._state.domains.get(domain))
        self._update_times(record, now_s)
        groups = self._services.of_groups(self.groups.of(domain), service)
        ready = self.ready_groups(groups, now_s)
        engines = self._service_engines.get((domain, service), {})
        members = {m for g in groups.values() for m in g.members}
        inputs = conditions.ConditionInputs(
            engines,
            value.get("draining", {}),
            observations,
            record.probing_since_s,
            self._cold(engines),
            frozenset(self.engines(domain).keys() - engines.keys()),
        )
        deployments = self._services.deployments(service)
        groups_in_other_domains = self._groups_in_other_domains(domain, service)
        others = [group for _, group in groups_in_other_domains]
        return planner.View(
            domain=domain,
            deployments=deployments,
            quotas=self._quotas.get((domain, service), {}),
            groups=groups,
            next_group=value.get("next_group", 1),
            conditions=conditions.conditions(
                sorted(engines.keys() | members), inputs, now_s
            ),
            ready=ready,
            idle_groups=idle_groups(record, groups, observations, now_s),
            long_broken=frozenset(
                group_id
                for group_id, since_s in record.not_ready_since_s.items()
                if now_s - since_s >= DISSOLVE_AFTER_S
            ),
            settling=frozenset(
                name
                for (other, name), since_s in record.below_quota_since_s.items()
                if other == service and now_s - since_s < REBALANCE_AFTER_S
            ),
            fleet_quota=self._fleet_quota.get(service, {}),
            groups_in_other_domains=collections.Counter(
                g.deployment for g in others
            ),
            ready_in_other_domains=self._ready_in_other_domains(
                _outdated(groups.values(), deployments), others, now_s
            ),
            deferred_updates=_deferred_updates(
                domain, groups_in_other_domains, deployments
            ),
        )

    def _update_times(self, record: records.DomainRecord, now_s: float) -> None:
        """Update since when groups are not ready and deployments lack some."""
        groups = self.groups.of(record.domain)
        ready = self.ready_groups(groups, now_s)
        reported = frozenset(g for g in groups if self._is_reported_ready(g))
        not_ready = groups.keys() - (reported | ready)
        _update_since(record.not_ready_since_s, not_ready, now_s)
        below_quota = {
            (service, name)
            for service in self.services(record.domain)
            for name in self._missing_groups(record.domain, service)
        }
        _update_since(record.below_quota_since_s, below_quota, now_s)

    def _missing_groups(self, domain: str, service: str) -> dict[str, int]:
        """Return how many groups of each deployment a service lacks."""
        groups = self._services.of_groups(self.groups.of(domain), service)
        quotas = self._quotas.get((domain, service), {})
        return split.missing_groups(quotas, groups.values())

    def _cold(self, engines: Mapping[str, tables.Instance]) -> frozenset[str]:
        """Return the instances whose service limits requests to cold ones."""
        if not self._prefers_warm_heads:
            return frozenset()
        services = self._state.catalogue.services
        limited = {s.name for s in services if s.warmup_per_s}
        return frozenset(
            name
            for name, instance in engines.items()
            if instance.warmup_left_ms and instance.service in limited
        )

    def ready_groups(
        self, groups: Mapping[str, tables.Group], now_s: float
    ) -> frozenset[str]:
        """Return the groups that are reported as ready at their generation."""
        statuses = {g: self._state.group_status(g, now_s) for g in groups}
        return frozenset(
            g
            for g, status in statuses.items()
            if status.ready and status.generation == groups[g].generation
        )

    def _is_ready_at_other_nodes(self, group: tables.Group, node: str) -> bool:
        reports = self._state.reports.get(group.id, {})
        return any(
            r.report.ready and r.report.generation == group.generation
            for prober_, r in reports.items()
            if prober_ != node
        ) and not any(r.report.definite for r in reports.values())

    def _is_reported_ready(self, group_id: str) -> bool:
        """Return whether the last report of any prober is ready.

        A router that receives reports only from this prober may still send new
        work.
        """
        reports = self._state.reports.get(group_id, {}).values()
        return any(r.report.ready for r in reports)

    def watched_groups(self, domain: str, node: str) -> list[tables.Group]:
        """Return the groups that a holder must probe itself.

        A holder does not probe groups that another node reports as ready. When
        none of their probers can reach a member, the holder's report keeps the
        group in service.
        """
        return [
            group
            for group in self.groups.of(domain).values()
            if not self._is_ready_at_other_nodes(group, node)
        ]

    def probe_intervals(
        self, record: records.DomainRecord, node: str, now_s: float
    ) -> dict[str, float]:
        """Return the probe interval of each instance that a holder probes."""
        engines = self.engines(record.domain)
        groups = self.groups.of(record.domain).values()
        watched = self.watched_groups(record.domain, node)
        members = {m for g in watched for m in g.members}
        assigned = {m for g in groups for m in g.members}
        spares = engines.keys() - assigned
        _update_since(record.probing_since_s, members | spares, now_s)
        return dict.fromkeys(spares, prober.SPARE_INTERVAL_S) | dict.fromkeys(
            members, prober.PROBE_INTERVAL_S
        )

    def snapshot(
        self,
        record: records.DomainRecord,
        observations: Mapping[str, obs.Observation],
        address: Callable[[str], str],
        now_s: float,
    ) -> orders.DomainSnapshot:
        """Return the inputs of the orders of a domain."""
        domain = record.domain
        _, value = records.version_and_value(self._state.domains.get(domain))
        groups = self.groups.of(domain)
        members = {m for g in groups.values() for m in g.members}
        instances = self.engines(domain).keys() | members
        available = {
            i: observations[i] for i in instances & observations.keys()
        }
        deployments = self._state.settings.deployments.values()
        priorities: dict[str, int] = {}
        for deployment in sorted(deployments, key=lambda d: -d.priority):
            priorities[deployment.name] = deployment.priority
        return orders.DomainSnapshot(
            groups=groups,
            observations=available,
            addresses={i: address(i) for i in instances},
            epoch=record.view.lease.epoch if record.view else 0,
            last_generation=value.get("next_group", 1) - 1,
            max_loads=self.max_loads(
                domain, orders.count_loading(available), now_s
            ),
            priorities=priorities,
            unformed={
                service: self._unformed_members(domain, service)
                for service in self.services(domain)
            },
            services={
                name: self._services.of_instance(engine)
                for name, engine in self.engines(domain).items()
            },
            group_services={
                name: self._services.of_group(group)
                for name, group in groups.items()
            },
        )

    def _unformed_members(
        self, domain: str, service: str
    ) -> collections.Counter[str]:
        """Return the members that groups lack until lost engines return.

        Spares keep the weights of such a group, so that it can form at once.
        """
        if not self._held.has_lost_engines((domain, service)):
            return collections.Counter()
        groups = self._services.of_groups(self.groups.of(domain), service)
        quotas = self._quotas.get((domain, service), {})
        deployments = self._services.deployments(service)
        return split.unformed_members(quotas, groups.values(), deployments)

    def _groups_in_other_domains(
        self, domain: str, service: str
    ) -> list[tuple[str, tables.Group]]:
        """Return a service's groups in other domains that do not retire."""
        return [
            (other, group)
            for other, group in self.groups.all()
            if other != domain
            and not group.retiring
            and self._services.of_group(group) == service
        ]

    def _ready_in_other_domains(
        self, changed: set[str], others: list[tables.Group], now_s: float
    ) -> collections.Counter:
        """Count the ready groups of deployments that must be updated."""
        return collections.Counter(
            g.deployment
            for g in others
            if g.deployment in changed
            and self._state.group_status(g.id, now_s).ready
        )


def _deferred_updates(
    domain: str,
    others: Iterable[tuple[str, tables.Group]],
    deployments: Mapping[str, schema.Deployment],
) -> frozenset[str]:
    """Return the deployments that must be updated in an earlier domain."""
    earlier = [group for other, group in others if other < domain]
    return frozenset(_outdated(earlier, deployments))


def _outdated(
    groups: Iterable[tables.Group],
    deployments: Mapping[str, schema.Deployment],
) -> set[str]:
    """Return the deployments of groups that must be updated."""
    return {
        g.deployment
        for g in groups
        if g.deployment in deployments
        and draft.is_outdated(g, deployments[g.deployment])
    }


def idle_groups(
    record: records.DomainRecord,
    groups: Mapping[str, tables.Group],
    observations: Mapping[str, obs.Observation],
    now_s: float,
) -> frozenset[str]:
    """Return the groups that certainly have no work in flight."""
    return frozenset(
        g.id
        for g in groups.values()
        if _is_idle(
            observations.get(g.members[0]),
            g,
            record.not_ready_since_s.get(g.id, now_s)
            + ROUTERS_INFORMED_AFTER_S,
        )
    )


def _is_idle(
    head: obs.Observation | None, group: tables.Group, routers_informed_s: float
) -> bool:
    """Return whether a load sample of the head shows no work.

    Args:
      routers_informed_s: earliest valid sampling time; from then on, no router
        sends new work to the group.
    """
    if head is None or head.status is None or head.failure is not None:
        return False
    sampled_s = head.sent_at_s - head.status.load_age_ms / clocks.MS_PER_S
    if head.status.group != group.id:
        return head.sent_at_s >= routers_informed_s
    load = head.status.load
    return sampled_s >= routers_informed_s and load.running + load.queued == 0


def _update_since(
    since_s: dict[str, float], names: Set[str], now_s: float
) -> None:
    """Keep since when each of some names is among them; drop the others."""
    for name in names - since_s.keys():
        since_s[name] = now_s
    for name in since_s.keys() - names:
        del since_s[name]
