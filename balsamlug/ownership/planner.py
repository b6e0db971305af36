"""Plan the groups of one fabric domain; a pure function over tables.

The order is: keep whole groups, repair broken ones from spares, form groups
up to the minimum and then up to the quota, and dissolve a group that cannot
be repaired when its members complete others.
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
    """Groups as they should be, with the causes of every change."""

    groups: dict[str, tables.Group]
    next_group: int
    actions: tuple[Action, ...]
    idle: tuple[reasons.Idle, ...]


Step = Callable[[Draft], None]


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


def repair(draft: Draft) -> None:
    """Repair whole groups only: a load into a broken group is pointless."""
    for group, found in broken(draft):
        if draft.has_spares(group, len(found.lost)):
            draft.replace(group, list(found.lost), _cause(draft, group, found))


def replace_hidden_heads(draft: Draft) -> None:
    """Let another member lead a group whose head the list lacks.

    Requests must not be sent to a server that has left the list, but it may
    only be cut off from the store and still work as a member.
    """
    for group in list(draft.groups.values()):
        conditions = [draft.condition(m) for m in group.members]
        if group.retiring or not conditions[0].hidden:
            continue
        whole = not group_health.is_broken(draft, group)
        if whole and not all(c.hidden for c in conditions):
            ordered = sorted(conditions, key=lambda c: c.hidden)
            members = [c.instance for c in ordered]
            cause = f"{group.members[0]} leads and is not in the list"
            draft.reorder(group, members, cause)


def broken(draft: Draft) -> list[tuple[tables.Group, group_health.GroupHealth]]:
    """Return broken groups in repair order.

    Within a priority, the group that needs the fewest spares comes first: it
    returns the most accelerators for each load.
    """
    found = [
        (group, group_health.assess(draft, group))
        for group in draft.groups.values()
        if not group.retiring
    ]
    needy = [(g, d) for g, d in found if d.health is group_health.Health.BROKEN]
    return sorted(needy, key=lambda pair: _repair_key(draft, *pair))


def _repair_key(
    draft: Draft, group: tables.Group, found: group_health.GroupHealth
) -> tuple[int, float, str]:
    loads = len(found.lost) + len(found.restarted)
    share = loads / len(group.members)
    return draft.priority(group), share, group.id


def _cause(
    draft: Draft, group: tables.Group, found: group_health.GroupHealth
) -> str:
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
        wanted = draft.quota(deployment).minimum
        _form_up_to(draft, deployment, wanted, "below its minimum")
    for deployment in ordered:
        wanted = draft.quota(deployment).maximum
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
    Other groups are formed from the members only after a wait: most instances
    return from a restart sooner than the loads of another group would take.
    """
    victims = [group for group, _ in reversed(broken(draft))]
    prefixes = [victims[:n] for n in range(2, len(victims) + 1)]
    for chosen in [[v] for v in victims] + prefixes:
        trial = draft.copy()
        for group in chosen:
            trial.dissolve(group, "its members complete other groups")
        repair(trial)
        if all(g.id in draft.view.long_broken for g in chosen):
            form(trial)
        if _whole_members(trial) > _whole_members(draft):
            return trial
    return None


def _whole_members(draft: Draft) -> int:
    """Return the instances in groups that are or will become whole."""
    return sum(
        len(g.members)
        for g in draft.groups.values()
        if _changed(draft, g) or not group_health.is_broken(draft, g)
    )


def _changed(draft: Draft, group: tables.Group) -> bool:
    before = draft.view.groups.get(group.id)
    return before is None or before.generation != group.generation


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
    retirement.retire_outdated,
    retirement.retire_surplus,
    retirement.retire_for_quota,
    retirement.finish_retired,
    repair,
    replace_hidden_heads,
    form,
    dissolve,
)
# Without the steps that choose which groups there are.
URGENT_STEPS: tuple[Step, ...] = (
    retirement.finish_retired,
    repair,
    replace_hidden_heads,
)
