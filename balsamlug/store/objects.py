"""Objects and listings that the object API client returns."""

import attrs

from balsamlug.store import positions


@attrs.frozen
class Answer:
    """Body of an answer of the object API and the era it was given in."""

    body: dict
    era: int

    def position(self, revision: int) -> int:
        """Return the position of a revision in this answer."""
        return positions.position(self.era, revision)


@attrs.frozen
class StoredObject:
    """An object at one version, which is a position of the object API."""

    kind: str
    name: str
    version: int
    value: dict


@attrs.frozen
class Changes:
    """Changes of the objects of a kind since a revision.

    Attributes:
      items: objects that were written.
      deleted: names of objects that were removed.
      revision: starting revision of the next watch.
    """

    items: tuple[StoredObject, ...]
    deleted: tuple[str, ...]
    revision: int


@attrs.frozen
class Page:
    """Page of a listing.

    Attributes:
      more: whether further pages follow, with later names.
    """

    items: tuple[StoredObject, ...]
    more: bool
    revision: int


@attrs.frozen
class InstanceList:
    """The platform's list of instances, which lags behind the actual state.

    Attributes:
      instances: one plain dict for each instance.
      rejected: names of entries that could not be parsed, with the reason.
      written: names of entries that were written or removed since the last
        read, also if they are the same again. Not known for every list.
    """

    instances: tuple[dict, ...]
    revision: int
    rejected: tuple[tuple[str, str], ...] = ()
    written: frozenset[str] = frozenset()
