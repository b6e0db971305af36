"""Last read of the list of instances, and the changes between two reads."""

import attrs

from balsamlug import state as fleet
from balsamlug.messages import types


@attrs.frozen
class PublishedList:
    """Last read of the list of instances.

    Attributes:
      entries: plain values by id.
      written: entries that were written or removed since the read before.
    """

    revision: int = 0
    entries: dict[str, dict] = attrs.field(factory=dict)
    written: frozenset[str] = frozenset()

    def is_complete(self) -> bool:
        """Return whether no entry was retained."""
        return fleet.is_list_complete(self.revision)


def delta(
    previous: PublishedList, current: PublishedList
) -> types.InstanceDelta:
    """Return the changes between two reads.

    An entry that was written or removed in between is contained even if it is
    the same again, since other nodes may have seen another value of it.
    """
    before, after = previous.entries, current.entries
    changed = current.written | {
        name for name, raw in after.items() if before.get(name) != raw
    }
    return types.InstanceDelta(
        previous.revision,
        current.revision,
        [after[name] for name in changed if name in after],
        [n for n in changed | before.keys() if n not in after],
    )
