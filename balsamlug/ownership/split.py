"""Split the groups of each deployment over the fabric domains.

Every holder computes the same split from the instance list and the settings,
so no further agreement is needed. Because the list is delayed, two holders may
temporarily compute different splits. This only shifts capacity between
deployments; it never makes a group unsafe.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping

import attrs

from balsamlug import hashing
from balsamlug import tables
from balsamlug.config import schema


@attrs.frozen
class Quota:
    """Groups of one deployment in one domain.

    Attributes:
      minimum: groups that count towards min_groups of the deployment.
      maximum: all groups that the domain should form.
    """

    minimum: int = 0
    maximum: int = 0


Quotas = dict[str, Quota]


@attrs.define
class _Allocation:
    free_instances: dict[str, int]
    minimum: dict[tuple[str, str], int] = attrs.field(factory=dict)
    above_minimum: dict[tuple[str, str], int] = attrs.field(factory=dict)
    placed: dict[str, int] = attrs.field(factory=dict)


def split(
    instances: Iterable[tables.Instance], settings: schema.Settings
) -> dict[str, Quotas]:
    """Return the quotas of every domain, keyed by domain and deployment."""
    return split_capacity(capacity(instances), settings)


def split_capacity(
    instances_by_domain: dict[str, int], settings: schema.Settings
) -> dict[str, Quotas]:
    """Return the quotas for the number of live engines in each domain."""
    allocation = _Allocation(dict(instances_by_domain))
    domains = list(allocation.free_instances)
    ordered = by_priority(settings.deployments.values())
    for deployment in ordered:
        _place_minimum(allocation, deployment)
    if any(d.weight for d in ordered):
        _place_large_first(allocation, ordered, weights(settings))
    _place_above_minimum(allocation, ordered, weights(settings))
    return {
        domain: {d.name: _quota(allocation, domain, d.name) for d in ordered}
        for domain in domains
    }


def fleet_quota(quotas: dict[str, Quotas]) -> dict[str, int]:
    """Return the quota of each deployment over all domains."""
    total: dict[str, int] = {}
    for domain_quotas in quotas.values():
        for name, quota in domain_quotas.items():
            total[name] = total.get(name, 0) + quota.maximum
    return total


def missing_groups(
    quotas: Quotas, groups: Iterable[tables.Group]
) -> dict[str, int]:
    """Return how many groups a domain lacks of each deployment below quota."""
    count = collections.Counter(g.deployment for g in groups if not g.retiring)
    return {
        name: quota.maximum - count[name]
        for name, quota in quotas.items()
        if count[name] < quota.maximum
    }


def unformed_members(
    quotas: Quotas,
    groups: Iterable[tables.Group],
    deployments: Mapping[str, schema.Deployment],
) -> collections.Counter[str]:
    """Return the members of each model that a domain lacks for its quotas."""
    lacking: collections.Counter[str] = collections.Counter()
    for name, missing in missing_groups(quotas, groups).items():
        if deployment := deployments.get(name):
            lacking[deployment.model] += missing * deployment.group_size
    return lacking


def by_priority(
    deployments: Iterable[schema.Deployment],
) -> list[schema.Deployment]:
    """Return deployments in planning order, the most urgent first."""
    return sorted(deployments, key=lambda d: (d.priority, d.name))


def weights(settings: schema.Settings) -> dict[str, int]:
    """Return the weight of each deployment.

    Without a weight of its own, a deployment has the sum of the weights of its
    customers, at least 1.
    """
    return {
        name: max(
            1,
            deployment.weight
            or sum(
                c.weight
                for c in settings.customers.values()
                if name in c.deployments
            ),
        )
        for name, deployment in settings.deployments.items()
    }


def capacity(instances: Iterable[tables.Instance]) -> dict[str, int]:
    """Return the number of live engines in each domain."""
    free_instances: dict[str, int] = {}
    for instance in instances:
        if instance.kind is not tables.InstanceKind.ENGINE:
            continue
        live = instance.state is tables.InstanceState.LIVE
        free_instances.setdefault(instance.fabric_domain, 0)
        free_instances[instance.fabric_domain] += int(live)
    return dict(sorted(free_instances.items()))


def _place_minimum(
    allocation: _Allocation, deployment: schema.Deployment
) -> None:
    for _ in range(min(deployment.min_groups, deployment.max_groups)):
        if not _place_group(allocation, deployment, allocation.minimum):
            return


def _place_large_first(
    allocation: _Allocation,
    ordered: list[schema.Deployment],
    weight: dict[str, int],
) -> None:
    """Place the groups that the weights allow in total, largest first.

    Small groups that are placed first would take the instances that a domain
    has left for a large group.
    """
    for deployment, count in _target_counts(allocation, ordered, weight):
        for _ in range(count):
            if not _place_group(
                allocation, deployment, allocation.above_minimum
            ):
                break


def _target_counts(
    allocation: _Allocation,
    ordered: list[schema.Deployment],
    weight: dict[str, int],
) -> list[tuple[schema.Deployment, int]]:
    """Return how many more groups of each deployment fit, ignoring domains."""
    available = sum(allocation.free_instances.values())
    placed = {d.name: allocation.placed.get(d.name, 0) for d in ordered}
    counts = dict.fromkeys(placed, 0)
    while True:
        deployment = min(
            ordered,
            key=lambda d: (
                (placed[d.name] + counts[d.name] + 1)
                * d.group_size
                / weight[d.name],
                d.priority,
            ),
        )
        available -= deployment.group_size
        if available < 0:
            break
        counts[deployment.name] += 1
    largest = sorted(ordered, key=lambda d: -d.group_size)
    return [(d, counts[d.name]) for d in largest]


def _place_above_minimum(
    allocation: _Allocation,
    ordered: list[schema.Deployment],
    weight: dict[str, int],
) -> None:
    """Place groups of the deployment that is furthest below its weight."""
    count = {d.name: 0 for d in ordered}
    open_deployments = {
        d.name: d for d in ordered if _is_below_maximum(allocation, d)
    }
    while open_deployments:
        deployment = min(
            open_deployments.values(),
            key=lambda d: (
                (count[d.name] + 1) * d.group_size / weight[d.name],
                d.priority,
                d.name,
            ),
        )
        if not _place_group(allocation, deployment, allocation.above_minimum):
            del open_deployments[deployment.name]
            continue
        count[deployment.name] += 1
        if not _is_below_maximum(allocation, deployment):
            del open_deployments[deployment.name]


def _is_below_maximum(
    allocation: _Allocation, deployment: schema.Deployment
) -> bool:
    return allocation.placed.get(deployment.name, 0) < deployment.max_groups


def _place_group(
    allocation: _Allocation,
    deployment: schema.Deployment,
    table: dict[tuple[str, str], int],
) -> bool:
    """Place one group in the domain with the most free instances.

    Returns False if no domain has enough free instances.
    """
    fitting = [
        d
        for d, n in allocation.free_instances.items()
        if n >= deployment.group_size
    ]
    if not fitting:
        return False
    domain = min(
        fitting,
        key=lambda d: (
            -allocation.free_instances[d],
            hashing.score(deployment.name, d),
        ),
    )
    allocation.free_instances[domain] -= deployment.group_size
    key = (domain, deployment.name)
    table[key] = table.get(key, 0) + 1
    allocation.placed[deployment.name] = (
        allocation.placed.get(deployment.name, 0) + 1
    )
    return True


def _quota(allocation: _Allocation, domain: str, name: str) -> Quota:
    minimum = allocation.minimum.get((domain, name), 0)
    return Quota(
        minimum, minimum + allocation.above_minimum.get((domain, name), 0)
    )
