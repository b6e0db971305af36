"""Which groups stop taking new work, to be dissolved once they are quiet."""

from collections.abc import Iterable

from balsamlug import tables
from balsamlug.config import schema
from balsamlug.ownership import draft as drafts
from balsamlug.ownership import group_health
from balsamlug.ownership import split

Draft = drafts.Draft


def finish_retired(draft: Draft) -> None:
    """Dissolve retired groups that are quiet or broken."""
    for group in _sorted(draft.groups.values()):
        broken = group_health.is_broken(draft, group)
        if group.retiring and (group.id in draft.view.quiet or broken):
            draft.dissolve(group, group.retiring)


def retire_outdated(draft: Draft) -> None:
    """Retire groups whose deployment changed, one of each at a time."""
    for group in _sorted(draft.groups.values()):
        if group.retiring:
            continue
        deployment = draft.view.deployments.get(group.deployment)
        if deployment is None:
            draft.retire(group, "the deployment was removed")
        elif drafts.outdated(group, deployment) and _may_retire(draft, group):
            draft.retire(group, "the deployment changed")


def _may_retire(draft: Draft, group: tables.Group) -> bool:
    """Return whether a change of a group leaves its deployment served.

    Domains take turns, and a domain changes one group after the other. The
    only group of a deployment has no alternative to wait for.
    """
    view = draft.view
    if group.id not in view.ready:
        return True
    others = [
        g
        for g in draft.groups.values()
        if g.deployment == group.deployment and g.id != group.id
    ]
    if group.deployment in view.not_our_turn or any(
        _changing(draft, g) for g in others
    ):
        return False
    elsewhere = view.elsewhere.get(group.deployment, 0)
    if not others and not elsewhere:
        return True
    return any(g.id in view.ready for g in others) or bool(
        view.ready_elsewhere.get(group.deployment, 0)
    )


def _changing(draft: Draft, group: tables.Group) -> bool:
    """Return whether a group retires or loads; a broken one may stay so."""
    if group.retiring:
        return True
    broken = group_health.is_broken(draft, group)
    return group.id not in draft.view.ready and not broken


def retire_surplus(draft: Draft) -> None:
    """Retire groups that exceed the fleet's maximum of their deployment."""
    for deployment in draft.view.deployments.values():
        own = draft.count(deployment.name)
        total = own + draft.view.elsewhere.get(deployment.name, 0)
        surplus = min(
            own - draft.quota(deployment).maximum,
            total - deployment.max_groups,
        )
        for group in _least_useful(draft, deployment)[: max(0, surplus)]:
            draft.retire(group, "more groups than the deployment's maximum")


def retire_for_quota(draft: Draft) -> None:
    """Retire groups above a quota whose members complete a missing group.

    Small groups are formed from the survivors of a large one. When the lost
    instances return, this makes room for the large group again.
    """
    for deployment in split.by_priority(draft.view.deployments.values()):
        own = draft.count(deployment.name)
        if own >= draft.quota(deployment).maximum:
            continue
        chosen = _room_for(draft, deployment)
        if chosen and _worth_it(draft, deployment, chosen):
            for group in chosen:
                draft.retire(group, f"makes room for {deployment.name}")
            return


def _worth_it(
    draft: Draft, deployment: schema.Deployment, chosen: list[tables.Group]
) -> bool:
    """Return whether one more group is worth the groups it replaces.

    A group of a minimum may cost more members than it gains, a more urgent
    one that the fleet lacks as many, any other one fewer.
    """
    if draft.count(deployment.name) < draft.quota(deployment).minimum:
        return True
    lost = sum(len(g.members) for g in chosen)
    urgent = draft.fleet_is_short(deployment) and all(
        draft.priority(g) > deployment.priority for g in chosen
    )
    return lost < deployment.group_size + urgent


def _room_for(
    draft: Draft, deployment: schema.Deployment
) -> list[tables.Group]:
    """Return surplus groups to retire for one more group, if they suffice."""
    retiring = [g for g in draft.groups.values() if g.retiring]
    room = len(draft.free) + sum(len(g.members) for g in retiring)
    chosen = []
    for group in _above_quota(draft):
        if room >= deployment.group_size:
            break
        chosen.append(group)
        room += len(group.members)
    return chosen if room >= deployment.group_size else []


def _above_quota(draft: Draft) -> list[tables.Group]:
    """Return the groups above their quotas, the least urgent first."""
    ordered = split.by_priority(draft.view.deployments.values())
    return [
        group
        for d in reversed(ordered)
        for group in _least_useful(draft, d)[
            : max(0, draft.count(d.name) - draft.quota(d).maximum)
        ]
    ]


def _least_useful(
    draft: Draft, deployment: schema.Deployment
) -> list[tables.Group]:
    """Return the groups of a deployment, those that do not serve first."""
    candidates = [
        g
        for g in draft.groups.values()
        if g.deployment == deployment.name and not g.retiring
    ]
    return sorted(
        candidates, key=lambda g: (g.id in draft.view.ready, -g.generation)
    )


def _sorted(groups: Iterable[tables.Group]) -> list[tables.Group]:
    return sorted(groups, key=lambda g: g.id)
