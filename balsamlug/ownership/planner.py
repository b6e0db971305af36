"""Plan the groups of one fabric domain, as a pure function over tables.

The plan keeps complete groups, repairs broken groups from spares, forms groups
up to the minimum and then up to the quota, and dissolves a group that cannot
be repaired if its members complete other groups.
"""

from collections.abc import Callable
from collections.abc import Iterable

import attrs

from balsamlug import tables
from balsamlug.config import schema
from balsamlug.ownership import draft as drafts
from balsamlug.ownership import group_health
from balsamlug.ownership import reasons
from balsamlug.ownership import retirement
from balsamlug.ownership import split

View = drafts.View
Draft = drafts.Draft
Action = drafts.Action
ActionKind = drafts.ActionKind


@attrs.frozen
class Plan:
    """Target groups of a domain, with the cause of every change."""

    groups: dict[str, tables.Group]
    next_group: int
    actions: tuple[Action, ...]
    idle: tuple[reasons.Idle, ...]


Step = Callable[[Draft], None]


def plan(view: View, steps: Iterable[Step] | None = None) -> Plan:
    """Return the plan of one domain.

    Args:
      steps: planning steps to use instead of STEPS, for comparisons.
    """
    draft = Draft.from_view(view)
    for step in STEPS if steps is None else steps:
        step(draft)
    return Plan(
        draft.groups, draft.next_group, tuple(draft.actions), idle(draft)
    )


def plan_services(
    views: Iterable[View], steps: Iterable[Step] | None = None
) -> Plan:
    """Return the plan of a domain from the views of its services.

    Args:
      steps: see `plan`.
    """
    plans: list[Plan] = []
    next_group = 0
    for view in views:
        number = max(view.next_group, next_group)
        plans.append(plan(attrs.evolve(view, next_group=number), steps))
        next_group = plans[-1].next_group
    return Plan(
        {k: group for part in plans for k, group in part.groups.items()},
        next_group,
        tuple(action for part in plans for action in part.actions),
        tuple(instance for part in plans for instance in part.idle),
    )


def renumber(draft: Draft) -> None:
    """Give groups a new generation if an engine refuses the present one."""
    for group in list(draft.groups.values()):
        refused = draft.view.refused.get(group.id, 0)
        if group.generation <= refused and not group.retiring:
            cause = f"generation {group.generation} is refused"
            draft.reorder(group, list(group.members), cause)


def repair(draft: Draft) -> None:
    """Repair broken groups for which there are enough spares.

    A load into a group that remains broken would be wasted.
    """
    for group, health in broken_groups(draft):
        if draft.has_enough_spares(group, len(health.lost)):
            draft.replace_members(
                group, list(health.lost), _repair_cause(draft, group, health)
            )


def replace_hidden_heads(draft: Draft) -> None:
    """Make another member the head of a group if the head is not listed.

    Requests must not be sent to a server that has left the instance list. The
    server may only have lost its connection to the store, so it can remain a
    member.
    """
    for group in list(draft.groups.values()):
        conditions = [draft.condition(m) for m in group.members]
        if group.retiring or not conditions[0].hidden:
            continue
        complete = not group_health.is_broken(draft, group)
        if complete and not all(c.hidden for c in conditions):
            ordered = sorted(conditions, key=lambda c: c.hidden)
            members = [c.instance for c in ordered]
            cause = f"{group.members[0]} leads and is not in the list"
            draft.reorder(group, members, cause)


def broken_groups(
    draft: Draft,
) -> list[tuple[tables.Group, group_health.GroupHealth]]:
    """Return broken groups in repair order.

    Within a priority, the group that needs the smallest share of its members
    loaded comes first, because it restores the most accelerators per load.
    """
    assessed = [
        (group, group_health.assess(draft, group))
        for group in draft.groups.values()
        if not group.retiring
    ]
    broken_pairs = [
        (g, health)
        for g, health in assessed
        if health.health is group_health.Health.BROKEN
    ]
    return sorted(broken_pairs, key=lambda pair: _repair_key(draft, *pair))


def _repair_key(
    draft: Draft, group: tables.Group, health: group_health.GroupHealth
) -> tuple[int, float, str]:
    loads = len(health.lost) + len(health.restarted)
    share = loads / len(group.members)
    return draft.priority(group), share, group.id


def _repair_cause(
    draft: Draft, group: tables.Group, health: group_health.GroupHealth
) -> str:
    lost = [
        f"{group.members[r]} {reasons.TEXTS[condition.reason]}"
        for r in health.lost
        if (condition := draft.condition(group.members[r])).reason
    ]
    restarted = [f"{group.members[r]} restarted" for r in health.restarted]
    return "; ".join(lost + restarted)


def form(draft: Draft) -> None:
    """Form the minimum of all deployments, then groups up to the quota."""
    ordered = split.by_priority(draft.view.deployments.values())
    for deployment in ordered:
        target = draft.quota(deployment).minimum
        _form_up_to(draft, deployment, target, "below its minimum")
    for deployment in ordered:
        target = draft.quota(deployment).maximum
        _form_up_to(draft, deployment, target, "spares are available")


def _form_up_to(
    draft: Draft, deployment: schema.Deployment, target: int, cause: str
) -> None:
    missing = target - draft.count_groups(deployment.name)
    possible = len(draft.spares) // deployment.group_size
    for _ in range(min(missing, possible)):
        draft.form(deployment, f"{deployment.name}: {cause}")


def dissolve(draft: Draft) -> None:
    """Dissolve broken groups while more members end in complete groups."""
    while (better_draft := _find_better_draft(draft)) is not None:
        for field in attrs.fields(Draft):
            setattr(draft, field.name, getattr(better_draft, field.name))


def _find_better_draft(draft: Draft) -> Draft | None:
    """Return a draft with more members in complete groups, or None.

    Single groups are tried first, so that no more groups are dissolved than
    necessary. New groups are formed from the members only after a wait, since
    most instances return from a restart sooner than the loads of another group
    would take.
    """
    candidates = [group for group, _ in reversed(broken_groups(draft))]
    prefixes = [candidates[:n] for n in range(2, len(candidates) + 1)]
    for chosen in [[group] for group in candidates] + prefixes:
        trial = draft.copy()
        for group in chosen:
            trial.dissolve(group, "its members complete other groups")
        repair(trial)
        if all(g.id in draft.view.long_broken for g in chosen):
            form(trial)
        if _count_complete_members(trial) > _count_complete_members(draft):
            return trial
    return None


def _count_complete_members(draft: Draft) -> int:
    """Count the members of groups that are or will become complete."""
    return sum(
        len(g.members)
        for g in draft.groups.values()
        if _has_changed(draft, g) or not group_health.is_broken(draft, g)
    )


def _has_changed(draft: Draft, group: tables.Group) -> bool:
    previous = draft.view.groups.get(group.id)
    return previous is None or previous.generation != group.generation


def idle(draft: Draft) -> tuple[reasons.Idle, ...]:
    """Return every instance that is in no group, with its reason."""
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
    below_maximum = [d for d in deployments if _below_maximum(draft, d)]
    if not below_maximum:
        return reasons.Reason.QUOTA_REACHED, ""
    smallest = min(below_maximum, key=lambda d: (d.group_size, d.name))
    detail = (
        f"{smallest.name} needs {smallest.group_size},"
        f" the domain has {len(draft.spares)}"
    )
    if len(draft.spares) >= smallest.group_size:
        return reasons.Reason.QUOTA_REACHED, ""
    return reasons.Reason.TOO_FEW_SPARES, detail


def _below_maximum(draft: Draft, deployment: schema.Deployment) -> bool:
    total = draft.count_groups(
        deployment.name
    ) + draft.view.groups_in_other_domains.get(deployment.name, 0)
    return total < deployment.max_groups


STEPS: tuple[Step, ...] = (
    retirement.retire_outdated,
    retirement.retire_surplus,
    retirement.retire_for_quota,
    retirement.dissolve_retired,
    renumber,
    repair,
    replace_hidden_heads,
    form,
    dissolve,
)
# Excludes the steps that choose which groups exist: retiring, forming, and
# dissolving broken groups. Used while the instance list still adds engines of
# the domain.
URGENT_STEPS: tuple[Step, ...] = (
    retirement.dissolve_retired,
    renumber,
    repair,
    replace_hidden_heads,
)
