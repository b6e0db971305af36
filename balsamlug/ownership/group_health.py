"""Health of a group, as the planner sees it."""

import enum

import attrs

from balsamlug import tables
from balsamlug.ownership import draft as drafts
from balsamlug.ownership import reasons

Draft = drafts.Draft
Fitness = reasons.Fitness


class Health(enum.Enum):
    """What a group needs."""

    WHOLE = enum.auto()
    # A member is uncertain, or drains while work is in flight.
    WAITING = enum.auto()
    BROKEN = enum.auto()


@attrs.frozen
class GroupHealth:
    """State of one group.

    Attributes:
      lost: ranks whose member must be replaced.
      restarted: ranks whose member runs again under another incarnation.
    """

    health: Health
    lost: tuple[int, ...] = ()
    restarted: tuple[int, ...] = ()


WHOLE = GroupHealth(Health.WHOLE)
WAITING = GroupHealth(Health.WAITING)


def assess(draft: Draft, group: tables.Group) -> GroupHealth:
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
    return GroupHealth(health, lost, restarted)


def is_broken(draft: Draft, group: tables.Group) -> bool:
    """Return whether members of a group must be replaced or have restarted."""
    return assess(draft, group).health is Health.BROKEN
