"""Read what an instance announces of its group."""

from balsamlug import tables


def membership_of(instance: tables.Instance) -> tables.Membership | None:
    """Return the group that an instance announces."""
    announcement = instance.announcement
    return announcement.membership if announcement is not None else None


def is_member(
    member: tables.Membership | None, group: tables.Group, instance: str
) -> bool:
    """Return whether a membership is the one assigned to an instance.

    The rank shows whether another member of the group announced it.
    """
    if member is None or instance not in group.members:
        return False
    announced = member.group, member.generation, member.rank
    rank = group.members.index(instance)
    return announced == (group.id, group.generation, rank)


def group_key(
    announcement: tables.Announcement,
) -> tuple[str, int] | None:
    """Return group and generation that an announcement names."""
    member = announcement.membership
    return None if member is None else (member.group, member.generation)
