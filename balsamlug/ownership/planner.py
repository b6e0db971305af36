"""Plan the groups of one fabric domain; a pure function over tables.

The order is: keep whole groups, repair broken ones from spares, form groups
up to the minimum and then up to the quota, and dissolve a group that cannot
be repaired when its members complete others.
"""

from collections.abc import Callable
from collections.abc import Iterable
import enum

import attrs

from balsamlug import tables
from balsamlug.config import schema
from balsamlug.ownership import draft as drafts
from balsamlug.ownership import reasons
from balsamlug.ownership import split

View = drafts.View
Draft = drafts.Draft
Action = drafts.Action
ActionKind = drafts.ActionKind
Fitness = reasons.Fitness


@attrs.frozen
class Plan:
    """Groups as they should be, with the causes of every change."""

    groups: dict[str, tables.Group]
    next_group: int
    actions: tuple[Action, ...]
    idle: tuple[reasons.Idle, ...]


class Health(enum.Enum):
    """What a group needs."""

    WHOLE = enum.auto()
    # A member is uncertain, or drains while work is in flight.
    WAITING = enum.auto()
    BROKEN = enum.auto()


@attrs.frozen
class Damage:
    """State of one group.

    Attributes:
      lost: ranks whose member must be replaced.
      restarted: ranks whose member runs again under another incarnation.
    """

    health: Health
    lost: tuple[int, ...] = ()
    restarted: tuple[int, ...] = ()


Step = Callable[[Draft], None]
WHOLE = Damage(Health.WHOLE)
WAITING = Damage(Health.WAITING)


def plan(view: View, steps: Iterable[Step] | None = None) -> Plan:
    """Return the plan of one domain.

    Args:
      steps: other rules in another order, for comparisons.
    """
    draft = Draft.start(view)
    for step in STEPS if steps is None else steps:
        step(draft)
    return Plan(
        draft.groups, draft.next_group, tuple(draft.actions), idle(draft)
    )


def damage(draft: Draft, group: tables.Group) -> Damage:
    """Return what is wrong with a group.

    A group that any prober reports as ready is whole: the holder's own path
    to a member may be cut.
    """
    if group.id in draft.view.ready:
        return WHOLE
    conditions = [draft.condition(m) for m in group.members]
    fitness = [c.fitness for c in conditions]
    if Fitness.UNCERTAIN in fitness:
        return WAITING
    working = group.id not in draft.view.quiet and Fitness.LOST not in fitness
    if working and Fitness.DRAINING in fitness:
        return WAITING
    lost = tuple(
        rank for rank, f in enumerate(fitness) if f > Fitness.UNCERTAIN
    )
    restarted = tuple(
        rank
        for rank, (condition, assigned) in enumerate(
            zip(conditions, group.incarnations, strict=False)
        )
        if rank not in lost and assigned not in ("", condition.incarnation)
    )
    health = Health.BROKEN if lost or restarted else Health.WHOLE
    return Damage(health, lost, restarted)


def _finish_retired(draft: Draft) -> None:
    for group in _sorted(draft.groups.values()):
        broken = damage(draft, group).health is Health.BROKEN
        if group.retiring and (group.id in draft.view.quiet or broken):
            draft.dissolve(group, group.retiring)


def _retire_outdated(draft: Draft) -> None:
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
    broken = damage(draft, group).health is Health.BROKEN
    return group.id not in draft.view.ready and not broken


def _retire_surplus(draft: Draft) -> None:
    """Retire groups above the quota that another deployment needs room for."""
    short = _short_of_minimum(draft)
    for deployment in split.by_priority(draft.view.deployments.values()):
        quota = draft.view.quotas.get(deployment.name, split.Quota())
        own = draft.count(deployment.name)
        total = own + draft.view.elsewhere.get(deployment.name, 0)
        surplus = own - quota.maximum
        if not short:
            surplus = min(surplus, total - deployment.max_groups)
        for group in _least_useful(draft, deployment)[: max(0, surplus)]:
            draft.retire(group, "more groups than the deployment's quota")


def _short_of_minimum(draft: Draft) -> bool:
    """Return whether spares are missing for a group of a minimum."""
    return any(
        draft.count(d.name) < _quota(draft, d).minimum
        and len(draft.free) < d.group_size
        for d in draft.view.deployments.values()
    )


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


def repair(draft: Draft) -> None:
    """Repair whole groups only: a load into a broken group is pointless."""
    for group, found in broken(draft):
        if len(found.lost) <= len(draft.free):
            draft.replace(group, list(found.lost), _cause(draft, group, found))


def broken(draft: Draft) -> list[tuple[tables.Group, Damage]]:
    """Return broken groups in repair order.

    Within a priority, the group that needs the fewest spares comes first: it
    returns the most accelerators for each load.
    """
    found = [
        (group, damage(draft, group))
        for group in draft.groups.values()
        if not group.retiring
    ]
    needy = [(g, d) for g, d in found if d.health is Health.BROKEN]
    return sorted(needy, key=lambda pair: _repair_key(draft, *pair))


def _repair_key(
    draft: Draft, group: tables.Group, found: Damage
) -> tuple[int, float, str]:
    loads = len(found.lost) + len(found.restarted)
    share = loads / len(group.members)
    return _priority(draft, group), share, group.id


def _cause(draft: Draft, group: tables.Group, found: Damage) -> str:
    lost = [
        f"{group.members[r]} {reasons.TEXTS[condition.reason]}"
        for r in found.lost
        if (condition := draft.condition(group.members[r])).reason
    ]
    restarted = [f"{group.members[r]} restarted" for r in found.restarted]
    return "; ".join(lost + restarted)


def form(draft: Draft) -> None:
    """Form the minimum groups of all deployments, then the others."""
    ordered = split.by_priority(draft.view.deployments.values())
    for deployment in ordered:
        wanted = _quota(draft, deployment).minimum
        _form_up_to(draft, deployment, wanted, "below its minimum")
    for deployment in ordered:
        wanted = _quota(draft, deployment).maximum
        _form_up_to(draft, deployment, wanted, "spares are available")


def _form_up_to(
    draft: Draft, deployment: schema.Deployment, wanted: int, cause: str
) -> None:
    missing = wanted - draft.count(deployment.name)
    possible = len(draft.free) // deployment.group_size
    for _ in range(min(missing, possible)):
        draft.form(deployment, f"{deployment.name}: {cause}")


def dissolve(draft: Draft) -> None:
    """Dissolve broken groups while that completes more of the others."""
    while (better := _better_without(draft)) is not None:
        for field in attrs.fields(Draft):
            setattr(draft, field.name, getattr(better, field.name))


def _better_without(draft: Draft) -> Draft | None:
    """Return a draft with fewer broken groups and more whole members.

    Single groups are tried first, so that no more are dissolved than needed.
    """
    victims = [group for group, _ in reversed(broken(draft))]
    prefixes = [victims[:n] for n in range(2, len(victims) + 1)]
    for chosen in [[v] for v in victims] + prefixes:
        trial = draft.copy()
        for group in chosen:
            trial.dissolve(group, "its members complete other groups")
        repair(trial)
        form(trial)
        if _whole_members(trial) > _whole_members(draft):
            return trial
    return None


def _whole_members(draft: Draft) -> int:
    """Return the instances in groups that are or will become whole."""
    return sum(
        len(g.members)
        for g in draft.groups.values()
        if _changed(draft, g) or damage(draft, g).health is not Health.BROKEN
    )


def _changed(draft: Draft, group: tables.Group) -> bool:
    before = draft.view.groups.get(group.id)
    return before is None or before.generation != group.generation


def _priority(draft: Draft, group: tables.Group) -> int:
    deployment = draft.view.deployments.get(group.deployment)
    return deployment.priority if deployment is not None else 10


def _quota(draft: Draft, deployment: schema.Deployment) -> split.Quota:
    return draft.view.quotas.get(deployment.name, split.Quota())


def _sorted(groups) -> list[tables.Group]:
    return sorted(groups, key=lambda g: g.id)


def idle(draft: Draft) -> tuple[reasons.Idle, ...]:
    """Return every instance in no group with its reason."""
    assigned = {m for g in draft.groups.values() for m in g.members}
    spare, detail = _spare_reason(draft)
    return tuple(
        reasons.Idle(c.instance, c.reason or spare, "" if c.reason else detail)
        for c in draft.view.conditions.values()
        if c.instance not in assigned
    )


def _spare_reason(draft: Draft) -> tuple[reasons.Reason, str]:
    deployments = draft.view.deployments.values()
    if not deployments:
        return reasons.Reason.NO_DEPLOYMENT, ""
    wanted = [d for d in deployments if _below_maximum(draft, d)]
    if not wanted:
        return reasons.Reason.QUOTA_REACHED, ""
    smallest = min(wanted, key=lambda d: (d.group_size, d.name))
    detail = (
        f"{smallest.name} needs {smallest.group_size},"
        f" the domain has {len(draft.free)}"
    )
    if len(draft.free) >= smallest.group_size:
        return reasons.Reason.QUOTA_REACHED, ""
    return reasons.Reason.TOO_FEW_SPARES, detail


def _below_maximum(draft: Draft, deployment: schema.Deployment) -> bool:
    total = draft.count(deployment.name) + draft.view.elsewhere.get(
        deployment.name, 0
    )
    return total < deployment.max_groups


STEPS: tuple[Step, ...] = (
    _retire_outdated,
    _retire_surplus,
    _finish_retired,
    repair,
    form,
    dissolve,
)
