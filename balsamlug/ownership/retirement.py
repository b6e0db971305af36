"""Planning steps that retire groups and dissolve retired groups.

A retiring group takes no new work. It is dissolved when it has no work in
flight, which returns its members to the spares.
"""

from collections.abc import Iterable

from balsamlug import tables
from balsamlug.config import schema
from balsamlug.ownership import draft as drafts
from balsamlug.ownership import group_health
from balsamlug.ownership import split

Draft = drafts.Draft


def dissolve_retired(draft: Draft) -> None:
    """Dissolve retiring groups that have no work in flight or are broken.

    A group that this plan retires was still assessed as one that is repaired.
    """
    for group in _sorted_by_id(draft.groups.values()):
        if not group.retiring:
            continue
        known = draft.view.groups.get(group.id)
        was_retiring = known is not None and bool(known.retiring)
        broken = was_retiring and group_health.is_broken(draft, group)
        if broken or group.id in draft.view.idle_groups:
            draft.dissolve(group, group.retiring)


def retire_outdated(draft: Draft) -> None:
    """Retire groups of changed deployments, one per deployment at a time."""
    for group in _sorted_by_id(draft.groups.values()):
        if group.retiring:
            continue
        deployment = draft.view.deployments.get(group.deployment)
        if deployment is None:
            draft.retire(group, "the deployment was removed")
        elif drafts.is_outdated(group, deployment) and _may_retire(
            draft, group
        ):
            draft.retire(group, "the deployment changed")


def _may_retire(draft: Draft, group: tables.Group) -> bool:
    """Return whether the deployment is still served without a group.

    Domains update one after the other, and a domain updates one group at a
    time. The only group of a deployment may always retire, because no other
    group can serve in its place.
    """
    view = draft.view
    if group.id not in view.ready:
        return True
    others = [
        g
        for g in draft.groups.values()
        if g.deployment == group.deployment and g.id != group.id
    ]
    if group.deployment in view.deferred_updates or any(
        _is_changing(draft, g) for g in others
    ):
        return False
    groups_in_other_domains = view.groups_in_other_domains.get(
        group.deployment, 0
    )
    if not others and not groups_in_other_domains:
        return True
    return any(g.id in view.ready for g in others) or bool(
        view.ready_in_other_domains.get(group.deployment, 0)
    )


def _is_changing(draft: Draft, group: tables.Group) -> bool:
    """Return whether a group retires or loads.

    A broken group does not count, because it may remain broken.
    """
    if group.retiring:
        return True
    broken = group_health.is_broken(draft, group)
    return group.id not in draft.view.ready and not broken


def retire_surplus(draft: Draft) -> None:
    """Retire groups above the maximum of their deployment in the fleet."""
    for deployment in draft.view.deployments.values():
        local_count = draft.count_groups(deployment.name)
        total = local_count + draft.view.groups_in_other_domains.get(
            deployment.name, 0
        )
        surplus = min(
            local_count - draft.quota(deployment).maximum,
            total - deployment.max_groups,
        )
        for group in _in_retirement_order(draft, deployment)[: max(0, surplus)]:
            draft.retire(group, "more groups than the deployment's maximum")


def retire_for_quota(draft: Draft) -> None:
    """Retire groups above a quota if their members complete a missing group.

    Small groups are formed from the remaining members of a large group. When
    the lost instances return, this step frees members for the large group.
    """
    for deployment in split.by_priority(draft.view.deployments.values()):
        local_count = draft.count_groups(deployment.name)
        if local_count >= draft.quota(deployment).maximum:
            continue
        chosen = _groups_to_retire_for(draft, deployment)
        if chosen and _is_beneficial(draft, deployment, chosen):
            for group in chosen:
                draft.retire(group, f"makes room for {deployment.name}")
            return


def _is_beneficial(
    draft: Draft, deployment: schema.Deployment, chosen: list[tables.Group]
) -> bool:
    """Return whether a new group justifies retiring the chosen groups.

    A group below the minimum of its deployment may cost more members than it
    has. A more urgent group that is below the quota of the fleet may cost as
    many members as it has, any other group must cost fewer.
    """
    if draft.count_groups(deployment.name) < draft.quota(deployment).minimum:
        return True
    lost = sum(len(g.members) for g in chosen)
    urgent = draft.is_below_fleet_quota(deployment) and all(
        draft.priority(g) > deployment.priority for g in chosen
    )
    return lost < deployment.group_size + urgent


def _groups_to_retire_for(
    draft: Draft, deployment: schema.Deployment
) -> list[tables.Group]:
    """Return groups above their quota whose members suffice for a new group."""
    retiring = [g for g in draft.groups.values() if g.retiring]
    available = len(draft.spares) + sum(len(g.members) for g in retiring)
    chosen = []
    for group in _groups_above_quota(draft):
        if available >= deployment.group_size:
            break
        if group.id in draft.view.ready and not _may_cost_service(
            draft, deployment
        ):
            continue
        chosen.append(group)
        available += len(group.members)
    return chosen if available >= deployment.group_size else []


def _may_cost_service(draft: Draft, deployment: schema.Deployment) -> bool:
    """Return whether groups that serve may retire for a missing group.

    They stop at once, but the new group first loads weights, and the lost
    instances may return before it serves.
    """
    view = draft.view
    local_count = draft.count_groups(deployment.name)
    total = local_count + view.groups_in_other_domains.get(deployment.name, 0)
    is_below_minimum = local_count < draft.quota(deployment).minimum
    return not total or is_below_minimum or deployment.name not in view.settling


def _groups_above_quota(draft: Draft) -> list[tables.Group]:
    """Return the groups above their quota, the least urgent first."""
    ordered = split.by_priority(draft.view.deployments.values())
    return [
        group
        for d in reversed(ordered)
        for group in _in_retirement_order(draft, d)[
            : max(0, draft.count_groups(d.name) - draft.quota(d).maximum)
        ]
    ]


def _in_retirement_order(
    draft: Draft, deployment: schema.Deployment
) -> list[tables.Group]:
    """Return the groups of a deployment, those that are not ready first."""
    candidates = [
        g
        for g in draft.groups.values()
        if g.deployment == deployment.name and not g.retiring
    ]
    return sorted(
        candidates, key=lambda g: (g.id in draft.view.ready, -g.generation)
    )


def _sorted_by_id(groups: Iterable[tables.Group]) -> list[tables.Group]:
    return sorted(groups, key=lambda g: g.id)
