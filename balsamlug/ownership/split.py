"""Split the groups of each deployment over the fabric domains.

Every holder computes the same split from the instance list and the settings,
so no second agreement is needed. The list lags, therefore two holders may
disagree for a while; that shifts capacity and never makes a group unsafe.
"""

from collections.abc import Iterable

import attrs

from balsamlug import hashing
from balsamlug import tables
from balsamlug.config import schema


@attrs.frozen
class Quota:
    """Groups of one deployment in one domain.

    Attributes:
      minimum: groups that count towards the deployment's min_groups.
      maximum: all groups the domain should form.
    """

    minimum: int = 0
    maximum: int = 0


Quotas = dict[str, Quota]


@attrs.define
class _Work:
    free: dict[str, int]
    minimum: dict[tuple[str, str], int] = attrs.field(factory=dict)
    extra: dict[tuple[str, str], int] = attrs.field(factory=dict)
    placed: dict[str, int] = attrs.field(factory=dict)


def split(
    instances: Iterable[tables.Instance], settings: schema.Settings
) -> dict[str, Quotas]:
    """Return the quotas of every domain, keyed by domain and deployment."""
    work = _Work(_capacity(instances))
    domains = list(work.free)
    ordered = by_priority(settings.deployments.values())
    for deployment in ordered:
        _place_minimum(work, deployment)
    if any(d.weight for d in ordered):
        _place_large_first(work, ordered, weights(settings))
    _place_extra(work, ordered, weights(settings))
    return {
        domain: {d.name: _quota(work, domain, d.name) for d in ordered}
        for domain in domains
    }


def fleet_quota(quotas: dict[str, Quotas]) -> dict[str, int]:
    """Return the groups of each deployment over all domains."""
    total: dict[str, int] = {}
    for of_domain in quotas.values():
        for name, quota in of_domain.items():
            total[name] = total.get(name, 0) + quota.maximum
    return total


def by_priority(
    deployments: Iterable[schema.Deployment],
) -> list[schema.Deployment]:
    """Return deployments in planning order, the most urgent first."""
    return sorted(deployments, key=lambda d: (d.priority, d.name))


def weights(settings: schema.Settings) -> dict[str, int]:
    """Return the weight of each deployment: the sum of its customers'."""
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


def _capacity(instances: Iterable[tables.Instance]) -> dict[str, int]:
    free: dict[str, int] = {}
    for instance in instances:
        if instance.kind is not tables.InstanceKind.ENGINE:
            continue
        live = instance.state is tables.InstanceState.LIVE
        free.setdefault(instance.fabric_domain, 0)
        free[instance.fabric_domain] += int(live)
    return dict(sorted(free.items()))


def _place_minimum(work: _Work, deployment: schema.Deployment) -> None:
    for _ in range(min(deployment.min_groups, deployment.max_groups)):
        if not _place(work, deployment, work.minimum):
            return


def _place_large_first(
    work: _Work, ordered: list[schema.Deployment], weight: dict[str, int]
) -> None:
    """Place what the weights allow in total, the largest groups first.

    Small groups that are placed early would take the room that a domain has
    for a large one.
    """
    for deployment, count in _wanted_counts(work, ordered, weight):
        for _ in range(count):
            if not _place(work, deployment, work.extra):
                break


def _wanted_counts(
    work: _Work, ordered: list[schema.Deployment], weight: dict[str, int]
) -> list[tuple[schema.Deployment, int]]:
    """Return how many more groups of each deployment fit by size alone."""
    room = sum(work.free.values())
    placed = {d.name: work.placed.get(d.name, 0) for d in ordered}
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
        room -= deployment.group_size
        if room < 0:
            break
        counts[deployment.name] += 1
    largest = sorted(ordered, key=lambda d: -d.group_size)
    return [(d, counts[d.name]) for d in largest]


def _place_extra(
    work: _Work, ordered: list[schema.Deployment], weight: dict[str, int]
) -> None:
    """Give out the rest, next to the deployment furthest below its weight."""
    count = {d.name: 0 for d in ordered}
    open_ = {d.name: d for d in ordered if _wanted(work, d)}
    while open_:
        deployment = min(
            open_.values(),
            key=lambda d: (
                (count[d.name] + 1) * d.group_size / weight[d.name],
                d.priority,
                d.name,
            ),
        )
        if not _place(work, deployment, work.extra):
            del open_[deployment.name]
            continue
        count[deployment.name] += 1
        if not _wanted(work, deployment):
            del open_[deployment.name]


def _wanted(work: _Work, deployment: schema.Deployment) -> bool:
    return work.placed.get(deployment.name, 0) < deployment.max_groups


def _place(
    work: _Work,
    deployment: schema.Deployment,
    table: dict[tuple[str, str], int],
) -> bool:
    """Place one group in the domain with the most room, if any has enough."""
    fitting = [d for d, n in work.free.items() if n >= deployment.group_size]
    if not fitting:
        return False
    domain = min(
        fitting,
        key=lambda d: (-work.free[d], hashing.score(deployment.name, d)),
    )
    work.free[domain] -= deployment.group_size
    key = (domain, deployment.name)
    table[key] = table.get(key, 0) + 1
    work.placed[deployment.name] = work.placed.get(deployment.name, 0) + 1
    return True


def _quota(work: _Work, domain: str, name: str) -> Quota:
    minimum = work.minimum.get((domain, name), 0)
    return Quota(minimum, minimum + work.extra.get((domain, name), 0))
