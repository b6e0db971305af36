"""Assess which groups need a repair, for the planner."""

import enum

import attrs

from balsamlug import tables
from balsamlug.ownership import draft as drafts
from balsamlug.ownership import reasons

Draft = drafts.Draft
Fitness = reasons.Fitness


class Health(enum.Enum):
    """Whether a group needs a repair."""

    COMPLETE = enum.auto()
    # The state of a member is uncertain, or a member drains while work is in
    # flight.
    WAITING = enum.auto()
    BROKEN = enum.auto()


@attrs.frozen
class GroupHealth:
    """Health of one group.

    Attributes:
      lost: ranks whose member must be replaced.
      restarted: ranks whose member has restarted with another incarnation.
    """

    health: Health
    lost: tuple[int, ...] = ()
    restarted: tuple[int, ...] = ()


COMPLETE = GroupHealth(Health.COMPLETE)
WAITING = GroupHealth(Health.WAITING)


def assess(draft: Draft, group: tables.Group) -> GroupHealth:
    """Return the health of a group.

    A group that any prober reports as ready is complete, even if the holder
    cannot reach a member: only the holder's connection may be interrupted.
    """
    if group.id in draft.view.ready:
        return COMPLETE
    conditions = [draft.condition(m) for m in group.members]
    fitness = [c.fitness for c in conditions]
    if Fitness.UNCERTAIN in fitness:
        return WAITING
    has_work = (
        group.id not in draft.view.idle_groups and Fitness.LOST not in fitness
    )
    if has_work and Fitness.DRAINING in fitness:
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
    health = Health.BROKEN if lost or restarted else Health.COMPLETE
    return GroupHealth(health, lost, restarted)


def is_broken(draft: Draft, group: tables.Group) -> bool:
    """Return whether members of a group must be replaced or have restarted."""
    return assess(draft, group).health is Health.BROKEN
